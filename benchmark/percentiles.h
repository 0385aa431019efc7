// Percentiles of a stream of values, by Boost.Accumulators.
#ifndef TEASELSPREAD_BENCHMARK_PERCENTILES_H_
#define TEASELSPREAD_BENCHMARK_PERCENTILES_H_

#include <sstream>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

namespace teaselspread::bench {

namespace acc = boost::accumulators;

// Estimates by the P-square method, without keeping the values. Not thread
// safe.
class Percentiles {
 public:
  void Add(double value) {
    this->p50(value);
    this->p99(value);
    this->p999(value);
  }
  [[nodiscard]] double P50() const { return acc::p_square_quantile(this->p50); }
  [[nodiscard]] double P99() const { return acc::p_square_quantile(this->p99); }
  [[nodiscard]] double P999() const {
    return acc::p_square_quantile(this->p999);
  }

 private:
  using Quantile =
      acc::accumulator_set<double, acc::stats<acc::tag::p_square_quantile>>;
  Quantile p50{acc::quantile_probability = 0.5};
  Quantile p99{acc::quantile_probability = 0.99};
  Quantile p999{acc::quantile_probability = 0.999};
};

}  // namespace teaselspread::bench

#endif  // TEASELSPREAD_BENCHMARK_PERCENTILES_H_
