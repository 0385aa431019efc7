#include "base/clock.h"

namespace teaselspread {

TimePoint SystemNow() {
  static const ClockAnchor anchor = {
      std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now()),
      SteadyNow()};
  return AnchoredTime(anchor, SteadyNow());
}

}  // namespace teaselspread
