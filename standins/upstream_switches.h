// The faults that the upstream stand-in can be told to have.
#ifndef TEASELSPREAD_STANDINS_UPSTREAM_SWITCHES_H_
#define TEASELSPREAD_STANDINS_UPSTREAM_SWITCHES_H_

#include <array>
#include <string>
#include <string_view>

#include <yaml-cpp/yaml.h>

namespace standin {

// Numbers only, so that one table serves the flag and /control. A bad effect
// (fail_ratio, slow_factor, hang, truncate, cut, wrong_id) applies to requests
// under `route`, after `after_s` seconds of life, from `min_load` on.
struct UpstreamSwitches {
  double work_ms = 2;
  // Spread of the lognormal work time; 0 makes every request alike.
  double work_sigma = 0.3;
  double cold_start_ms = 0;
  // Work takes this many times as long just after the start.
  double cold_factor = 4;
  double fail_ratio = 0;
  double slow_factor = 1;
  double hang = 0;
  double truncate = 0;
  double cut = 0;
  double wrong_id = 0;
  double after_s = 0;
  double min_load = 0;
  // Requests that may wait for a slot before the rest is shed.
  double queue = 0;
  // How old the answers of /health and /load are.
  double lag_ms = 0;
  // 1: /health says that all is well whatever the state.
  double health_lies = 0;
  // 1: no announcements, as if the process were cut from its node.
  double mute = 0;
  std::string route;
};

struct SwitchRow {
  std::string_view name;
  double UpstreamSwitches::*field;
};

constexpr std::array<SwitchRow, 16> kSwitchTable = {{
    {"work_ms", &UpstreamSwitches::work_ms},
    {"work_sigma", &UpstreamSwitches::work_sigma},
    {"cold_start_ms", &UpstreamSwitches::cold_start_ms},
    {"cold_factor", &UpstreamSwitches::cold_factor},
    {"fail_ratio", &UpstreamSwitches::fail_ratio},
    {"slow_factor", &UpstreamSwitches::slow_factor},
    {"hang", &UpstreamSwitches::hang},
    {"truncate", &UpstreamSwitches::truncate},
    {"cut", &UpstreamSwitches::cut},
    {"wrong_id", &UpstreamSwitches::wrong_id},
    {"after_s", &UpstreamSwitches::after_s},
    {"min_load", &UpstreamSwitches::min_load},
    {"queue", &UpstreamSwitches::queue},
    {"lag_ms", &UpstreamSwitches::lag_ms},
    {"health_lies", &UpstreamSwitches::health_lies},
    {"mute", &UpstreamSwitches::mute},
}};

// Takes over the switches that the YAML map `body` names. Throws
// YAML::Exception when a value is no number.
inline void ApplySwitches(const YAML::Node& body, UpstreamSwitches& switches) {
  for (const SwitchRow& row : kSwitchTable) {
    if (const YAML::Node value = body[std::string(row.name)])
      switches.*row.field = value.as<double>();
  }
  if (const YAML::Node route = body["route"])
    switches.route = route.as<std::string>();
}

}  // namespace standin

#endif  // TEASELSPREAD_STANDINS_UPSTREAM_SWITCHES_H_
