#include "teaselspread/settings.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

#include "teaselspread/edge.h"

namespace teaselspread {
namespace {

const std::string kValidSettings = R"(vm: bole-01
deployment: addis
data_center: bole
http: 10.1.0.1:8080
control: 10.1.0.1:7400
announce: 127.0.0.1:8081
upstream: 127.0.0.1:9000
log: {address: "10.9.0.1:8900", retention: 24h}
seeds: ["10.1.0.2:7400"]
remote_seeds: {piassa: ["10.2.0.1:7400"]}
timings: {probe_interval: 300ms, probe_timeout: 100ms}
)";

struct InvalidSettings {
  const char* name;
  // Text in kValidSettings and its replacement.
  const char* replaced;
  const char* replacement;
  const char* message;
};

const std::vector<InvalidSettings> kInvalidSettings = {
    {"missing field", "vm: bole-01\n", "",
     "n.yaml:1: settings: missing field vm"},
    {"unknown field", "vm: bole-01", "vm: bole-01\nvn: x",
     "n.yaml:2: vn: unknown field, expected one of: vm, deployment"},
    {"twice", "vm: bole-01", "vm: bole-01\nvm: bole-02",
     "n.yaml:2: vm: stands twice"},
    {"wrong type", "http: 10.1.0.1:8080", "http: [1]",
     "n.yaml:4: http: expected an IP number and a port such as 10.0.0.1:8080, "
     "got a list"},
    {"host name", "http: 10.1.0.1:8080", "http: bole-01:8080",
     "n.yaml:4: http: expected an IP number and a port such as 10.0.0.1:8080, "
     "got \"bole-01:8080\""},
    {"port zero", "http: 10.1.0.1:8080", "http: 10.1.0.1:0", "n.yaml:4: http:"},
    {"port too large", "http: 10.1.0.1:8080", "http: 10.1.0.1:70000",
     "n.yaml:4: http:"},
    {"announce from outside", "127.0.0.1:8081", "10.1.0.1:8081",
     "n.yaml:6: announce: expected a loopback address"},
    {"control at the port of http", "control: 10.1.0.1:7400",
     "control: 0.0.0.0:8080", "n.yaml:5: control: expected another port"},
    {"its own upstream", "upstream: 127.0.0.1:9000", "upstream: 127.0.0.1:8081",
     "n.yaml:7: upstream: expected another port"},
    {"bad seed", "[\"10.1.0.2:7400\"]", "[\"10.1.0.2\"]", "n.yaml:9: seeds:"},
    {"seeds no list", "[\"10.1.0.2:7400\"]", "",
     "n.yaml:9: seeds: expected a list of addresses, got nothing"},
    {"bad remote seed",
     "piassa:", "\"a b\":", "n.yaml:10: remote_seeds: expected a name"},
    {"own data centre is remote", "piassa", "bole",
     "n.yaml:10: remote_seeds: expected other data centres only"},
    {"duration without unit", "300ms", "300",
     "n.yaml:11: timings/probe_interval: expected a duration such as 30s or "
     "500ms, from 0.001s to 3600s, got \"300\""},
    {"duration out of range", "300ms", "2h",
     "n.yaml:11: timings/probe_interval: expected a duration"},
    {"timeout above interval", "300ms", "50ms",
     "n.yaml:11: timings/probe_timeout: expected less than"},
    {"level", "timings:", "logging: {level: loud}\ntimings:",
     "n.yaml:11: logging/level: expected one of debug, info, warn, error, got "
     "\"loud\""},
    {"not YAML", "vm: bole-01", "vm: [bole-01", "n.yaml:"},
    {"no map", "vm: bole-01\n", "- a\n", "n.yaml:"},
};

std::string Replaced(std::string text,
                     const std::string& replaced,
                     const std::string& replacement) {
  const std::size_t at = text.find(replaced);
  cr_assert(at != std::string::npos, "%s", replaced.c_str());
  return text.replace(at, replaced.size(), replacement);
}

Test(settings, a_good_file_is_read_whole) {
  const auto settings = ParseNodeSettings("n.yaml", kValidSettings);
  cr_assert(settings.has_value(), "%s", settings.error().message.c_str());
  cr_assert(settings->vm == "bole-01");
  cr_assert(ToString(settings->http) == "10.1.0.1:8080");
  cr_assert(settings->remote_seeds.at("piassa").size() == 1);
  cr_assert(settings->timings.probe_interval == std::chrono::milliseconds(300));
}

Test(settings, the_example_is_good) {
  const auto settings = LoadNodeSettings(SOURCE_DIR "/examples/node.yaml");
  cr_assert(settings.has_value(), "%s", settings.error().message.c_str());
}

// Guards against ignoring a mistyped field: a node that started with a default
// instead would look healthy but use the wrong address or data centre.
Test(settings, each_bad_field_gives_one_line_with_its_place) {
  for (const InvalidSettings& invalid : kInvalidSettings) {
    const auto settings = ParseNodeSettings(
        "n.yaml",
        Replaced(kValidSettings, invalid.replaced, invalid.replacement));
    cr_assert(!settings.has_value(), "%s", invalid.name);
    const Error& error = settings.error();
    cr_assert(error.kind == ErrorKind::kSettings, "%s", invalid.name);
    cr_assert(error.message.starts_with(invalid.message), "%s: %s",
              invalid.name, error.message.c_str());
    cr_assert(error.message.find('\n') == std::string::npos, "%s",
              invalid.name);
  }
}

Test(settings, a_missing_file_is_named) {
  const auto settings = LoadNodeSettings("/nonexistent/n.yaml");
  cr_assert(!settings.has_value());
  cr_assert(settings.error().message.starts_with("/nonexistent/n.yaml:1:"));
}

// A switch that is not read leaves urgent requests behind long ones.
Test(settings, a_node_on_a_platform_reads_whether_slots_are_reserved) {
  const std::string addresses = R"(vm: bole-01
data_center: bole
service: filings
outbound: 10.1.0.1:8080
readiness: 10.1.0.1:8081
admin: 10.1.0.1:8082
metrics: 10.1.0.1:8083
link: 10.1.0.1:8084
upstream: 127.0.0.1:9000
store: 10.9.0.1:8900
)";
  const auto without = ParseEdgeSettings("e.yaml", addresses);
  cr_assert(without.has_value(), "%s", without.error().message.c_str());
  cr_assert_not(without->waiting.reserve_slots);
  const auto with = ParseEdgeSettings(
      "e.yaml", addresses + "waiting: {reserve_slots: true}\n");
  cr_assert(with.has_value(), "%s", with.error().message.c_str());
  cr_assert(with->waiting.reserve_slots);
  const auto wrong =
      ParseEdgeSettings("e.yaml", addresses + "waiting: {reserve_slots: 2}\n");
  cr_assert(!wrong.has_value());
  cr_assert(
      wrong.error().message.starts_with("e.yaml:11: waiting/reserve_slots: "),
      "%s", wrong.error().message.c_str());
}

Test(settings, addresses_read_back) {
  for (const char* text : {"10.0.0.1:80", "[::1]:65535"}) {
    const auto address = ParseAddress(text);
    cr_assert(address.has_value(), "%s", text);
    cr_assert(ToString(*address) == text);
  }
}

}  // namespace
}  // namespace teaselspread
