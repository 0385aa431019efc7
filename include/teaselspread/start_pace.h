// Limits how many requests start at an upstream that is slow after its start.
//
// Such an upstream bears a known rate of requests and crashes well above it; it
// then comes back just as slow. If its slots alone limited it, a short burst
// would crash it again and again.
//
// Pure: the caller passes the time in. Nothing here is thread safe.
#ifndef TEASELSPREAD_START_PACE_H_
#define TEASELSPREAD_START_PACE_H_

#include <cstddef>
#include <deque>

#include "teaselspread/types.h"

namespace teaselspread {

struct StartPaceSettings {
  // Requests a second that a slow upstream bears; 0 if it is not limited.
  double per_second = 0;
  // Requests that may start beyond that rate at once, so that those that come
  // together need not wait for each other.
  double burst = 1;
};

struct StartPace {
  StartPaceSettings settings;
  // The upstream is slow until then.
  TimePoint slow_until;
  // Starts of the last second, also those from before it became slow: they
  // count towards what it gets in its first second.
  std::deque<TimePoint> starts;
};

// Whether the limit applies.
[[nodiscard]] bool IsPaced(const StartPace& pace, TimePoint now);

// When the next request may start; `now` or earlier if it may start at once.
[[nodiscard]] TimePoint NextStart(const StartPace& pace, TimePoint now);

// When a request behind `ahead` waiting ones may start, if all of them start as
// soon as they may.
[[nodiscard]] TimePoint StartBehind(const StartPace& pace,
                                    std::size_t ahead,
                                    TimePoint now);

void RecordStart(StartPace& pace, TimePoint now);

}  // namespace teaselspread

#endif  // TEASELSPREAD_START_PACE_H_
