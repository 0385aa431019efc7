// The clocks of the daemons. Decisions never read one: they are handed the
// time.
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

// The time of day of one moment and the steady clock's of the same moment.
struct ClockAnchor {
  TimePoint time_of_day;
  TimePoint steady;
};

// The time of day that has passed since the anchor by the steady clock. Thread
// safe.
[[nodiscard]] constexpr TimePoint AnchoredTime(const ClockAnchor& anchor,
                                               TimePoint steady) {
  return anchor.time_of_day + (steady - anchor.steady);
}

// The time of day as it was when the process first asked, carried on by the
// steady clock. The time of day itself may jump by seconds either way; leases,
// deadlines and suspicions measured with it would lapse at once or hang for as
// long, and a caller would see requests time out that had just begun. Thread
// safe.
[[nodiscard]] TimePoint SystemNow();

}  // namespace teaselspread

#endif  // TEASELSPREAD_SRC_BASE_CLOCK_H_
