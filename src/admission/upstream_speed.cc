#include "teaselspread/upstream_speed.h"

#include <algorithm>
#include <cmath>

namespace teaselspread {
namespace {

// Slow moments last from 0.2 to 1 s. A time constant of their length keeps a
// figure useful between two load reports, which are 200 ms apart, and drops it
// soon after the upstream was last heard.
constexpr Duration kDecay = std::chrono::milliseconds(500);
// Time in which the level of an upstream rises to e times its value at most. A
// slow moment raises it by a few percent only.
constexpr Duration kLevelRise = std::chrono::seconds(20);
constexpr double kPercent = 100;
// Relative difference from which callers are told.
constexpr double kReportStep = 0.1;

Duration Scale(Duration time, double factor) {
  return Duration(
      static_cast<std::int64_t>(static_cast<double>(time.count()) * factor));
}

}  // namespace

double RelativeToLevel(WorkLevel& level, double percent, TimePoint now) {
  const double bounded =
      std::clamp<double>(percent, kMinWorkPercent, kMaxWorkPercent);
  if (!level.percent || bounded < *level.percent) {
    level.percent = bounded;
  } else {
    const Duration passed = std::max(now - level.updated_at, Duration{0});
    const double rise = std::exp(static_cast<double>(passed.count()) /
                                 static_cast<double>(kLevelRise.count()));
    level.percent = std::min(bounded, *level.percent * rise);
  }
  level.updated_at = now;
  return bounded / *level.percent * kPercent;
}

void HearSpeed(SpeedFactor& speed, double percent, TimePoint now) {
  speed.reported =
      std::clamp<double>(percent, kMinWorkPercent, kMaxWorkPercent) / kPercent;
  speed.reported_at = now;
}

double FactorAt(const SpeedFactor& speed, TimePoint now) {
  if (!speed.reported)
    return 1;
  const Duration age = std::max(now - speed.reported_at, Duration{0});
  const double decays =
      static_cast<double>(age.count()) / static_cast<double>(kDecay.count());
  return std::lerp(1.0, *speed.reported, std::exp(-decays));
}

std::uint32_t PercentAt(const SpeedFactor& speed, TimePoint now) {
  const auto percent =
      static_cast<std::uint32_t>(std::lround(FactorAt(speed, now) * kPercent));
  return std::clamp(percent, kMinWorkPercent, kMaxWorkPercent);
}

double FactorOverRun(double at_start, double at_end) {
  return (at_start + at_end) / 2;
}

Duration SlowedBy(double factor, Duration usual) {
  return Scale(usual, factor);
}

Duration UsualTime(double factor, Duration slowed) {
  return Scale(slowed, 1 / factor);
}

bool NeedsReport(const SpeedFactor& told,
                 const SpeedFactor& speed,
                 TimePoint now) {
  if (!speed.reported)
    return false;
  const double assumed = FactorAt(told, now);
  return std::abs(FactorAt(speed, now) - assumed) > kReportStep * assumed;
}

}  // namespace teaselspread
