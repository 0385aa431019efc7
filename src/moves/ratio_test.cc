#include "moves/ratio_test.h"

#include <algorithm>
#include <cmath>

namespace teaselspread::moves {
namespace {

// Ratios at which a shared fault is evaluated.
constexpr std::array<double, kSharedRatios> kSharedRatioGrid = {
    0.001, 0.003, 0.01, 0.03, 0.06, 0.12, 0.2, 0.35, 0.5, 0.65, 0.8, 0.95};
constexpr double kMaxRatio = 0.98;
constexpr double kMinRatio = 1e-4;
// Terms this far below the largest do not change a sum of doubles.
constexpr double kNegligibleLogGap = 36;

struct FaultSizes {
  double tolerated_increase = 0;
  std::array<double, kAlternatives> fault_increases{};
};

// At the bounds the test is neutral: a fault of 2.5 times the bound and a
// tolerated increase of a quarter of it are equally likely near the bound. A
// response is slow above the old median times the bound, so if half of the
// responses are slow, the median is at the bound.
FaultSizes FaultSizesOf(Metric metric, const MoveBounds& bounds) {
  switch (metric) {
    case Metric::kFailures:
      return {bounds.extra_failures / 4,
              {2.5 * bounds.extra_failures,
               std::max(0.3, 4 * bounds.extra_failures), 0.9}};
    case Metric::kLatency:
      return {0.12, {0.4, 0.6, 0.8}};
    default:
      return {0.25, {0.4, 0.6, 0.9}};
  }
}

LogProbability LogProbabilityOf(double ratio) {
  const double p = std::clamp(ratio, kMinRatio, kMaxRatio);
  return {std::log(p), std::log1p(-p)};
}

RatioPoint MakeRatioPoint(double ratio, const LikelihoodTable& table) {
  RatioPoint point;
  point.old = LogProbabilityOf(ratio);
  point.same = LogProbabilityOf(ratio + table.tolerated_increase);
  for (std::size_t i = 0; i < kAlternatives; ++i)
    point.worse.at(i) = LogProbabilityOf(ratio + table.fault_increases.at(i));
  return point;
}

double LogLikelihood(const Tally& tally, const LogProbability& chance) {
  return tally.bad * chance.bad + (tally.total - tally.bad) * chance.good;
}

// Logarithm of a sum of exponentials, scaled by the largest term.
using LogTerms = std::array<double, kSharedRatios + 2>;
double LogSumExp(const LogTerms& terms) {
  const double largest = *std::max_element(terms.begin(), terms.end());
  double sum = 0;
  for (double term : terms) {
    if (term > largest - kNegligibleLogGap)
      sum += std::exp(term - largest);
  }
  return largest + std::log(sum);
}

}  // namespace

LikelihoodTable MakeLikelihoodTable(Metric metric, const MoveBounds& bounds) {
  LikelihoodTable table;
  const FaultSizes sizes = FaultSizesOf(metric, bounds);
  table.tolerated_increase = sizes.tolerated_increase;
  table.fault_increases = sizes.fault_increases;
  for (std::size_t i = 0; i < kSharedRatios; ++i)
    table.points.at(i) = MakeRatioPoint(kSharedRatioGrid.at(i), table);
  return table;
}

std::array<double, kAlternatives> LogLikelihoodRatios(
    const VersionTallies& pair,
    double history,
    double shared_weight,
    const LikelihoodTable& table) {
  std::array<double, kAlternatives> ratios{};
  if (pair.new_version.total <= 0)
    return ratios;
  const double log_shared_weight =
      std::log(shared_weight / (kSharedRatios + 1));
  // The pooled ratio of both versions is evaluated, too: with many responses a
  // ratio between two grid points fits neither, and the hypothesis with the
  // nearer point would win.
  const double pooled_ratio = (pair.new_version.bad + pair.old_version.bad) /
                              (pair.new_version.total + pair.old_version.total);
  const std::array<RatioPoint, 2> data_points = {
      MakeRatioPoint(pooled_ratio, table), MakeRatioPoint(history, table)};
  const auto point = [&](std::size_t i) -> const RatioPoint& {
    return i < kSharedRatios ? table.points.at(i)
                             : data_points.at(i - kSharedRatios);
  };
  LogTerms old{};
  LogTerms terms{};
  for (std::size_t i = 0; i < old.size(); ++i)
    old.at(i) =
        log_shared_weight + LogLikelihood(pair.old_version, point(i).old);
  old.back() += std::log1p(-shared_weight) - log_shared_weight;
  for (std::size_t i = 0; i < old.size(); ++i)
    terms.at(i) = old.at(i) + LogLikelihood(pair.new_version, point(i).same);
  const double same = LogSumExp(terms);
  for (std::size_t a = 0; a < kAlternatives; ++a) {
    for (std::size_t i = 0; i < old.size(); ++i)
      terms.at(i) =
          old.at(i) + LogLikelihood(pair.new_version, point(i).worse.at(a));
    ratios.at(a) = LogSumExp(terms) - same;
  }
  return ratios;
}

}  // namespace teaselspread::moves
