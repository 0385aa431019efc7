// Mean run times of an upstream that its node reports to the others, by route,
// since one service may run lookups of milliseconds beside reads of a second.
//
// With one mean over all routes, short requests would seem late everywhere and
// be sent to distant upstreams for no gain, and long ones would seem short and
// miss their aim.
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

// Mean run time of one route at one upstream.
struct RouteTime {
  std::string route;
  std::uint32_t mean_ms = 0;

  bool operator==(const RouteTime&) const = default;
};

// Moving average of the run time of one route.
struct ServiceTime {
  double mean_us = 0;
};

using ServiceTimes = std::map<std::string, ServiceTime, std::less<>>;

// Updates `reported` from `measured`. A mean changes with every run, and each
// reported change costs every node a frame, so a time is reported again only
// when it differs by more than a fifth and more than 1 ms. Routes beyond the
// first 32 are left out.
void UpdateReportedTimes(std::vector<RouteTime>& reported,
                         const ServiceTimes& measured);

// The reported time of `route`; zero if there is none.
[[nodiscard]] Duration ReportedTimeOf(const std::vector<RouteTime>& reported,
                                      std::string_view route);

}  // namespace teaselspread

#endif  // TEASELSPREAD_UPSTREAM_MODEL_H_
