// The clock of the event loop.
#ifndef TEASELSPREAD_SRC_EDGE_CLOCK_H_
#define TEASELSPREAD_SRC_EDGE_CLOCK_H_

#include <chrono>

#include "teaselspread/types.h"

namespace teaselspread {

// The steady clock as a TimePoint. Only differences mean anything, and only
// within one process: the time of day may jump by seconds either way, and every
// deadline, lease and suspicion measured with it would lapse at once or hang.
// Thread safe.
[[nodiscard]] inline TimePoint SteadyNow() {
  const auto since = std::chrono::steady_clock::now().time_since_epoch();
  return TimePoint(std::chrono::duration_cast<Duration>(since));
}

}  // namespace teaselspread

#endif  // TEASELSPREAD_SRC_EDGE_CLOCK_H_
