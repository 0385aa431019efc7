// What nodes know of how long an upstream takes: by route, since one service
// may run lookups of milliseconds beside reads of a second, and as the work
// that waits there.
//
// With one mean over all routes short requests look late everywhere and go far
// for nothing, long ones look quick and miss their aim.
//
// Pure. Nothing here is thread safe.
#ifndef TEASELSPREAD_UPSTREAM_MODEL_H_
#define TEASELSPREAD_UPSTREAM_MODEL_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "teaselspread/types.h"

namespace teaselspread {

// Mean time of one route's runs at one upstream.
struct RouteTime {
  std::string route;
  std::uint32_t mean_ms = 0;

  bool operator==(const RouteTime&) const = default;
};

// Running estimate of how long one route's requests take.
struct ServiceTime {
  double mean_us = 0;
};

using ServiceTimes = std::map<std::string, ServiceTime, std::less<>>;

// Brings `told` up to date with `measured`. A time changes with every run, and
// each change that is told costs every node a frame: it is told again when it
// is off by more than a fifth. Routes beyond the first 32 are left out.
void UpdateReportedTimes(std::vector<RouteTime>& reported,
                         const ServiceTimes& measured);

// The time told for `route`; zero for none.
[[nodiscard]] Duration ReportedTimeOf(const std::vector<RouteTime>& reported,
                                      std::string_view route);

}  // namespace teaselspread

#endif  // TEASELSPREAD_UPSTREAM_MODEL_H_
