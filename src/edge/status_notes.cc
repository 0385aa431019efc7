#include "edge/status_notes.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <string_view>

namespace teaselspread {
namespace {

// No route has such a name: configurations hold no control characters.
constexpr std::string_view kLimitRow = "\x01limit";
constexpr std::string_view kProcessRow = "\x01process";
// The row of a limit holds thousandths of a request a second.
constexpr double kLimitScale = 1000;

std::uint32_t ScaledLimit(double per_second) {
  constexpr double kMax = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(
      std::min(std::round(per_second * kLimitScale), kMax));
}

}  // namespace

std::vector<RouteTime> TimesWithNotes(const GateStatus& status) {
  std::vector<RouteTime> rows = status.route_times;
  if (status.limit_per_second) {
    rows.push_back(
        {std::string(kLimitRow), ScaledLimit(*status.limit_per_second)});
  }
  if (status.process_stamp != 0)
    rows.push_back({std::string(kProcessRow), status.process_stamp});
  return rows;
}

void TakeNotes(GateStatus& status) {
  for (const RouteTime& row : status.route_times) {
    if (row.route == kLimitRow)
      status.limit_per_second = row.mean_ms / kLimitScale;
    if (row.route == kProcessRow)
      status.process_stamp = row.mean_ms;
  }
  std::erase_if(status.route_times, [](const RouteTime& row) {
    return row.route == kLimitRow || row.route == kProcessRow;
  });
}

}  // namespace teaselspread
