// Slopes: samples of a cost against a size, the line through them, and what it
// gives at the size of the users' first letter.
#ifndef TEASELSPREAD_BENCHMARK_CAPACITY_FIT_H_
#define TEASELSPREAD_BENCHMARK_CAPACITY_FIT_H_

#include <malloc.h>
#include <time.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/covariance.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/variance.hpp>
#include <boost/accumulators/statistics/variates/covariate.hpp>

#include "latency.h"

namespace teaselspread::capacity {

// The size of the letter.
inline constexpr double kTargets = 20000;
inline constexpr double kDataCenters = 24;
inline constexpr double kMembers = 833;
inline constexpr double kServices = 2000;
inline constexpr double kCallsPerSecond = 5.2e6;
inline constexpr double kChangesPerSecond = 40000.0 / 86400;
// Its bounds for control at one node, and for the log.
inline constexpr double kCpuBound = 2.8;
inline constexpr double kMemoryBound = 64;
inline constexpr double kBytesBound = 14000;

struct Sample {
  double x = 0;
  double y = 0;
};

// The least-squares line through samples.
struct Line {
  double slope = 0;
  double intercept = 0;
  double least_x = 0;
  double most_x = 0;
  // Root of the mean square of the residuals, as a share of the mean.
  double error = 0;

  [[nodiscard]] double At(double x) const {
    return this->intercept + this->slope * x;
  }
};

inline Line FitLine(const std::vector<Sample>& samples) {
  namespace acc = boost::accumulators;
  using Covariance = acc::tag::covariance<double, acc::tag::covariate1>;
  acc::accumulator_set<
      double, acc::stats<acc::tag::mean, acc::tag::variance, Covariance>>
      points;
  acc::accumulator_set<double, acc::stats<acc::tag::mean>> heights;
  Line line{0, 0, samples.front().x, samples.front().x, 0};
  for (const Sample& sample : samples) {
    points(sample.x, acc::covariate1 = sample.y);
    heights(sample.y);
    line.least_x = std::min(line.least_x, sample.x);
    line.most_x = std::max(line.most_x, sample.x);
  }
  const double spread = acc::variance(points);
  if (spread > 0)
    line.slope = acc::covariance(points) / spread;
  line.intercept = acc::mean(heights) - line.slope * acc::mean(points);
  acc::accumulator_set<double, acc::stats<acc::tag::mean>> squares;
  for (const Sample& sample : samples) {
    const double residual = sample.y - line.At(sample.x);
    squares(residual * residual);
  }
  if (acc::mean(heights) != 0)
    line.error = std::sqrt(acc::mean(squares)) / std::abs(acc::mean(heights));
  return line;
}

// Fits, prints the samples and the line as JSON, and returns the line.
inline Line Report(const std::string& name,
                   const std::string& x,
                   const std::string& unit,
                   const std::vector<Sample>& samples) {
  const Line line = FitLine(samples);
  std::printf(R"({"slope":"%s","x":"%s","unit":"%s","per_x":%.6g,)"
              R"("at_zero":%.6g,"rms_error":%.3f,"samples":[)",
              name.c_str(), x.c_str(), unit.c_str(), line.slope, line.intercept,
              line.error);
  const char* comma = "";
  for (const Sample& sample : samples) {
    std::printf("%s[%g,%.6g]", comma, sample.x, sample.y);
    comma = ",";
  }
  std::printf("]}\n");
  std::fflush(stdout);
  return line;
}

// One line of the table. `bound` 0: the letter sets none.
struct Row {
  std::string role;
  std::string quantity;
  std::string unit;
  double value = 0;
  double bound = 0;
  std::string slope;
  std::string kind;
};

using Rows = std::vector<Row>;

inline std::string SlopeText(const Line& line, const std::string& x) {
  char text[200];
  std::snprintf(text, sizeof text, "%.3g + %.3g per %s, %g..%g, error %.0f%%",
                line.intercept, line.slope, x.c_str(), line.least_x,
                line.most_x, line.error * 100);
  return text;
}

// Whether the value at `x` lies inside what was measured.
inline std::string KindAt(const Line& line, double x) {
  return x <= line.most_x ? "measured" : "extrapolated";
}

inline void PrintTable(const Rows& rows) {
  std::printf(
      "\n| role | quantity | at the letter's size | bound | slope | kind |\n"
      "|---|---|---|---|---|---|\n");
  for (const Row& row : rows) {
    char bound[40] = "-";
    if (row.bound > 0)
      std::snprintf(bound, sizeof bound, "%g%s", row.bound,
                    row.value > row.bound ? " **over**" : "");
    std::printf("| %s | %s | %.3g %s | %s | %s | %s |\n", row.role.c_str(),
                row.quantity.c_str(), row.value, row.unit.c_str(), bound,
                row.slope.c_str(), row.kind.c_str());
  }
}

// Processor time of the calling thread: other programs' work does not count.
inline double ThreadMicros() {
  constexpr double kMicrosPerSecond = 1e6;
  constexpr double kNanosPerMicro = 1e3;
  timespec time{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * kMicrosPerSecond +
         static_cast<double>(time.tv_nsec) / kNanosPerMicro;
}

// Median processor time of `run` over `rounds`, in microseconds.
inline double MedianMicros(int rounds, const std::function<void()>& run) {
  std::vector<double> times;
  for (int i = 0; i < rounds; ++i) {
    const double begin = ThreadMicros();
    run();
    times.push_back(ThreadMicros() - begin);
  }
  return Summarize(times).p50;
}

// Bytes that the allocator has handed out.
inline double BytesInUse() {
  const auto info = ::mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

}  // namespace teaselspread::capacity

#endif  // TEASELSPREAD_BENCHMARK_CAPACITY_FIT_H_
