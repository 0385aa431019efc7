#include "moves/ratio_test.h"

#include <algorithm>
#include <cmath>

namespace teaselspread::moves {
namespace {

// Ratios that a shared fault may have.
constexpr std::array<double, kSharedRatios> kGrid = {
    0.001, 0.003, 0.01, 0.03, 0.06, 0.12, 0.2, 0.35, 0.5, 0.65, 0.8, 0.95};
constexpr double kMostRatio = 0.98;
constexpr double kLeastRatio = 1e-4;
// Terms so far below the largest add nothing to a double.
constexpr double kNegligible = 36;

struct FaultSizes {
  double tolerated = 0;
  std::array<double, kAlternatives> faults{};
};

// The bounds are where the test is indifferent: a fault of twice and a half the
// added ratio against a quarter of it balance near the bound itself. A slow
// answer is one beyond the old median times the bound, so that half of them
// being slow means a median at the bound.
FaultSizes SizesOf(Metric metric, const MoveBounds& bounds) {
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

LogChance LogChanceOf(double ratio) {
  const double p = std::clamp(ratio, kLeastRatio, kMostRatio);
  return {std::log(p), std::log1p(-p)};
}

ChancePoint PointAt(double ratio, const FaultTable& table) {
  ChancePoint point;
  point.old = LogChanceOf(ratio);
  point.same = LogChanceOf(ratio + table.tolerated);
  for (std::size_t i = 0; i < kAlternatives; ++i)
    point.worse.at(i) = LogChanceOf(ratio + table.faults.at(i));
  return point;
}

double LogOf(const Tally& tally, const LogChance& chance) {
  return tally.bad * chance.bad + (tally.total - tally.bad) * chance.good;
}

// Logarithm of a sum of exponentials, the largest taken out first.
using Terms = std::array<double, kSharedRatios + 2>;
double LogSum(const Terms& terms) {
  const double high = *std::max_element(terms.begin(), terms.end());
  double sum = 0;
  for (double term : terms) {
    if (term > high - kNegligible)
      sum += std::exp(term - high);
  }
  return high + std::log(sum);
}

}  // namespace

FaultTable MakeFaultTable(Metric metric, const MoveBounds& bounds) {
  FaultTable table;
  const FaultSizes sizes = SizesOf(metric, bounds);
  table.tolerated = sizes.tolerated;
  table.faults = sizes.faults;
  for (std::size_t i = 0; i < kSharedRatios; ++i)
    table.points.at(i) = PointAt(kGrid.at(i), table);
  return table;
}

std::array<double, kAlternatives> LogRatios(const Pair& pair,
                                            double history,
                                            double shared_weight,
                                            const FaultTable& table) {
  std::array<double, kAlternatives> ratios{};
  if (pair.fresh.total <= 0)
    return ratios;
  const double rest = std::log(shared_weight / (kSharedRatios + 1));
  // The ratio of both together: between the points of the grid many answers fit
  // none of them, and would speak for whatever lies nearer.
  const double all =
      (pair.fresh.bad + pair.old.bad) / (pair.fresh.total + pair.old.total);
  const std::array<ChancePoint, 2> own = {PointAt(all, table),
                                          PointAt(history, table)};
  const auto point = [&](std::size_t i) -> const ChancePoint& {
    return i < kSharedRatios ? table.points.at(i) : own.at(i - kSharedRatios);
  };
  Terms old{};
  Terms terms{};
  for (std::size_t i = 0; i < old.size(); ++i)
    old.at(i) = rest + LogOf(pair.old, point(i).old);
  old.back() += std::log1p(-shared_weight) - rest;
  for (std::size_t i = 0; i < old.size(); ++i)
    terms.at(i) = old.at(i) + LogOf(pair.fresh, point(i).same);
  const double same = LogSum(terms);
  for (std::size_t a = 0; a < kAlternatives; ++a) {
    for (std::size_t i = 0; i < old.size(); ++i)
      terms.at(i) = old.at(i) + LogOf(pair.fresh, point(i).worse.at(a));
    ratios.at(a) = LogSum(terms) - same;
  }
  return ratios;
}

}  // namespace teaselspread::moves
