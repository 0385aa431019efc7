#include "teaselspread/upstream_model.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

namespace teaselspread {
namespace {

using Ms = std::chrono::milliseconds;

Test(upstream_model, each_route_has_its_own_time) {
  ServiceTimes measured;
  measured["read"].mean_us = 640'000;
  measured["call"].mean_us = 40'000;
  std::vector<RouteTime> reported;
  UpdateReportedTimes(reported, measured);
  cr_assert(ReportedTimeOf(reported, "read") == Ms(640));
  cr_assert(ReportedTimeOf(reported, "call") == Ms(40));
  cr_assert(ReportedTimeOf(reported, "other") == Duration{0});
}

// A mean changes a little with every run. If each change were reported, every
// node would get a frame for each request of every other node.
Test(upstream_model, small_changes_are_not_reported) {
  ServiceTimes measured;
  measured["read"].mean_us = 100'000;
  std::vector<RouteTime> reported;
  UpdateReportedTimes(reported, measured);
  measured["read"].mean_us = 109'000;
  UpdateReportedTimes(reported, measured);
  cr_assert(ReportedTimeOf(reported, "read") == Ms(100));
  measured["read"].mean_us = 125'000;
  UpdateReportedTimes(reported, measured);
  cr_assert(ReportedTimeOf(reported, "read") == Ms(125));
}

// Configurations add and remove routes. Rows of removed ones would take the
// place of new ones.
Test(upstream_model, removed_routes_are_not_reported) {
  ServiceTimes measured;
  measured["old"].mean_us = 100'000;
  std::vector<RouteTime> reported;
  UpdateReportedTimes(reported, measured);
  measured.clear();
  measured["new"].mean_us = 50'000;
  UpdateReportedTimes(reported, measured);
  cr_assert_eq(reported.size(), 1U);
  cr_assert(ReportedTimeOf(reported, "new") == Ms(50));
}

}  // namespace
}  // namespace teaselspread
