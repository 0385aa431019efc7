#include "edge/response_times.h"

#include <algorithm>

namespace teaselspread {
namespace {

// Covers the way to the caller and a late timer.
constexpr Duration kCallerReserve = std::chrono::milliseconds(10);
// Covers the way from an upstream of another data centre.
constexpr Duration kUpstreamReserve = std::chrono::milliseconds(15);

}  // namespace

Duration TimeToRespond(Duration route_timeout,
                       std::optional<Duration> caller_waits) {
  if (!caller_waits)
    return route_timeout;
  const Duration reserve = std::min(kCallerReserve, *caller_waits / 2);
  return std::min(route_timeout, *caller_waits - reserve);
}

Duration TimeForUpstream(Duration left) {
  return std::max(left - kUpstreamReserve, Duration{0});
}

}  // namespace teaselspread
