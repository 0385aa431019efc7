#include "base/clock.h"

namespace teaselspread {

TimePoint SystemNow() {
  static const ClockAnchor kAnchor = {
      std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now()),
      SteadyNow()};
  return AnchoredTime(kAnchor, SteadyNow());
}

}  // namespace teaselspread
