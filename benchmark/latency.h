// Exact percentiles of latencies, by Boost.Accumulators.
#ifndef TEASELSPREAD_BENCHMARK_LATENCY_H_
#define TEASELSPREAD_BENCHMARK_LATENCY_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdio>
#include <string>
#include <vector>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/tail_quantile.hpp>

namespace teaselspread {

// Milliseconds.
struct LatencySummary {
  std::size_t count = 0;
  double mean = 0;
  double p50 = 0;
  double p99 = 0;
  double p999 = 0;
  double max = 0;
};

inline LatencySummary Summarize(const std::vector<double>& milliseconds) {
  namespace acc = boost::accumulators;
  using Tail = acc::tag::tail_quantile<acc::right>;
  if (milliseconds.empty())
    return {};
  // The upper half is kept, so the median and all above it are exact.
  acc::accumulator_set<double, acc::stats<Tail, acc::tag::mean>> samples(
      acc::tag::tail<acc::right>::cache_size = milliseconds.size() / 2 + 2);
  for (const double sample : milliseconds)
    samples(sample);
  const auto quantile = [&samples](double share) {
    return acc::quantile(samples, acc::quantile_probability = share);
  };
  return {milliseconds.size(),
          acc::mean(samples),
          quantile(0.5),
          quantile(0.99),
          quantile(0.999),
          *std::max_element(milliseconds.begin(), milliseconds.end())};
}

inline std::string JsonOf(const LatencySummary& summary) {
  char text[256];
  std::snprintf(text, sizeof text,
                R"({"count":%zu,"mean_ms":%.4f,"p50_ms":%.4f,"p99_ms":%.4f,)"
                R"("p999_ms":%.4f,"max_ms":%.4f})",
                summary.count, summary.mean, summary.p50, summary.p99,
                summary.p999, summary.max);
  return text;
}

inline double MillisecondsSince(std::chrono::steady_clock::time_point begun) {
  return std::chrono::duration<double, std::milli>(
             std::chrono::steady_clock::now() - begun)
      .count();
}

}  // namespace teaselspread

#endif  // TEASELSPREAD_BENCHMARK_LATENCY_H_
