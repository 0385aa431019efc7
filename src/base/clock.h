// The clocks of the daemons. Decision code never reads them: its callers pass
// the time in.
#ifndef TEASELSPREAD_SRC_BASE_CLOCK_H_
#define TEASELSPREAD_SRC_BASE_CLOCK_H_

#include <chrono>

#include "teaselspread/types.h"

namespace teaselspread {

// The steady clock as a TimePoint. Only differences mean anything, and only
// within one process. Thread safe.
[[nodiscard]] inline TimePoint SteadyNow() {
  const auto since = std::chrono::steady_clock::now().time_since_epoch();
  return TimePoint(std::chrono::duration_cast<Duration>(since));
}

// The time of day and the steady clock, read at the same moment.
struct ClockAnchor {
  TimePoint time_of_day;
  TimePoint steady;
};

// The anchor's time of day plus the steady time elapsed since the anchor.
// Thread safe.
[[nodiscard]] constexpr TimePoint AnchoredTime(const ClockAnchor& anchor,
                                               TimePoint steady) {
  return anchor.time_of_day + (steady - anchor.steady);
}

// The time of day at the first call in this process, advanced by the steady
// clock. The time of day itself may jump by seconds either way: leases,
// deadlines and suspicions based on it would expire at once or that much too
// late, and requests that had just started would time out. Thread
// safe.
[[nodiscard]] TimePoint SystemNow();

}  // namespace teaselspread

#endif  // TEASELSPREAD_SRC_BASE_CLOCK_H_
