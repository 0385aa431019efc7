#include "teaselspread/start_pace.h"

#include <algorithm>

namespace teaselspread {
namespace {

constexpr Duration kWindow = std::chrono::seconds(1);
constexpr double kMicrosPerSecond = 1e6;

// Time in which the limit allows this many starts.
Duration TimeFor(const StartPace& pace, double starts) {
  const double micros = starts / pace.settings.per_second * kMicrosPerSecond;
  return Duration(static_cast<std::int64_t>(std::max(micros, 0.0)));
}

}  // namespace

bool IsPaced(const StartPace& pace, TimePoint now) {
  return pace.settings.per_second > 0 && now < pace.slow_until;
}

// Any time from an earlier start on may hold no more starts than the limit
// allows in that time, plus the burst.
TimePoint NextStart(const StartPace& pace, TimePoint now) {
  if (!IsPaced(pace, now))
    return now;
  TimePoint next = now;
  auto starts_since = static_cast<double>(pace.starts.size());
  for (const TimePoint start : pace.starts) {
    const Duration needed = TimeFor(pace, starts_since - pace.settings.burst);
    next = std::max(next, start + std::min(needed, kWindow));
    --starts_since;
  }
  return std::min(next, pace.slow_until);
}

TimePoint StartBehind(const StartPace& pace, std::size_t ahead, TimePoint now) {
  if (!IsPaced(pace, now))
    return now;
  const TimePoint start =
      NextStart(pace, now) + TimeFor(pace, static_cast<double>(ahead));
  return std::min(start, pace.slow_until);
}

void RecordStart(StartPace& pace, TimePoint now) {
  if (pace.settings.per_second <= 0)
    return;
  while (!pace.starts.empty() && now - pace.starts.front() >= kWindow)
    pace.starts.pop_front();
  pace.starts.push_back(now);
}

}  // namespace teaselspread
