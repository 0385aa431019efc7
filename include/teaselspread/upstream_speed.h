// How long work takes at an upstream at this moment, relative to the usual.
//
// An upstream on a shared machine may run all its requests 2.5 times as long
// for a part of a second. A moving average of run times learns of it only when
// the slowed requests have ended, and goes on believing it afterwards. Some
// upstreams therefore report the factor in each response.
//
// Pure: the caller passes the time in. Nothing here is thread safe.
#ifndef TEASELSPREAD_UPSTREAM_SPEED_H_
#define TEASELSPREAD_UPSTREAM_SPEED_H_

#include <cstdint>
#include <optional>

#include "teaselspread/types.h"

namespace teaselspread {

// Bounds of the factor in percent; a figure beyond them is limited to them.
inline constexpr std::uint32_t kMinWorkPercent = 10;
inline constexpr std::uint32_t kMaxWorkPercent = 2000;

// The level of the figures that one upstream reports.
struct WorkLevel {
  // None before the first report.
  std::optional<double> percent;
  TimePoint updated_at;
};

// The reported `percent` relative to the upstream's own level, in percent, and
// updates the level. It falls to a lower figure at once and rises slowly, since
// other work on the VM only ever slows an upstream. Precondition: `percent` is
// a positive number.
[[nodiscard]] double RelativeToLevel(WorkLevel& level,
                                     double percent,
                                     TimePoint now);

struct SpeedFactor {
  // Factor by which work takes longer than usual, as last reported; none while
  // the upstream reports none.
  std::optional<double> reported;
  TimePoint reported_at;
};

// Work takes `percent` of the time that is usual at the upstream.
// Precondition: `percent` is a positive number.
void HearSpeed(SpeedFactor& speed, double percent, TimePoint now);

// The factor that is assumed at `now`: the reported one, which decays to 1 with
// its age; 1 if there is none.
[[nodiscard]] double FactorAt(const SpeedFactor& speed, TimePoint now);

// The same in whole percent, within the bounds above.
[[nodiscard]] std::uint32_t PercentAt(const SpeedFactor& speed, TimePoint now);

// The factor over a run, from those at its start and end.
[[nodiscard]] double FactorOverRun(double at_start, double at_end);

// A time at the usual speed, as it is with this factor, and the reverse.
// Precondition: `factor` is positive.
[[nodiscard]] Duration SlowedBy(double factor, Duration usual);
[[nodiscard]] Duration UsualTime(double factor, Duration slowed);

// Whether `told` has to be told of `speed`: what it assumes at `now` differs
// from the factor by more than a tenth. Always false while the upstream reports
// nothing.
[[nodiscard]] bool NeedsReport(const SpeedFactor& told,
                               const SpeedFactor& speed,
                               TimePoint now);

}  // namespace teaselspread

#endif  // TEASELSPREAD_UPSTREAM_SPEED_H_
