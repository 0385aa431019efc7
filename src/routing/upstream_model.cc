#include "teaselspread/upstream_model.h"

#include <algorithm>
#include <cmath>

namespace teaselspread {
namespace {

constexpr std::size_t kMaxRoutes = 32;
constexpr double kReportThreshold = 0.2;
constexpr double kMicrosPerMilli = 1000;

bool ExceedsThreshold(std::uint32_t reported_ms, double measured_ms) {
  const double difference = std::abs(measured_ms - reported_ms);
  return difference > std::max(1.0, reported_ms * kReportThreshold);
}

}  // namespace

void UpdateReportedTimes(std::vector<RouteTime>& reported,
                         const ServiceTimes& measured) {
  std::erase_if(reported, [&measured](const RouteTime& row) {
    return !measured.contains(row.route);
  });
  for (const auto& [route, time] : measured) {
    const double measured_ms = time.mean_us / kMicrosPerMilli;
    const auto rounded =
        static_cast<std::uint32_t>(std::max(1.0, std::round(measured_ms)));
    const auto row = std::find_if(
        reported.begin(), reported.end(),
        [&name = route](const RouteTime& each) { return each.route == name; });
    if (row == reported.end()) {
      if (reported.size() < kMaxRoutes)
        reported.push_back({route, rounded});
    } else if (ExceedsThreshold(row->mean_ms, measured_ms)) {
      row->mean_ms = rounded;
    }
  }
}

Duration ReportedTimeOf(const std::vector<RouteTime>& reported,
                        std::string_view route) {
  for (const RouteTime& row : reported) {
    if (row.route == route)
      return std::chrono::milliseconds(row.mean_ms);
  }
  return Duration{0};
}

}  // namespace teaselspread
