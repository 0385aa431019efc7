#include "config/settings_reader.h"
#include "config/yaml.h"
#include "teaselspread/edge.h"

namespace teaselspread {
namespace {

using Key = SettingsKey;

constexpr double kMinHeartbeatSeconds = 0.05;
constexpr double kMaxHeartbeatSeconds = 60;
constexpr double kMaxLineMbit = 1e6;
constexpr double kMaxDescriptors = 1e6;
// Upper bound of weights and exponents; a weight of 0 disables its term.
constexpr double kMaxWeight = 100;

Key WeightKey(std::string_view name, double& target) {
  return NumberKey(name, 0, kMaxWeight, target);
}

std::vector<Key> KeysOf(PlacementSettings& placement) {
  return {WeightKey("crossing_cost", placement.crossing_cost),
          WeightKey("price_of_time", placement.price_of_time),
          WeightKey("late_exponent", placement.late_exponent),
          WeightKey("wait_weight", placement.wait_weight),
          WeightKey("busy_factor", placement.busy_factor),
          WeightKey("spread", placement.spread)};
}

std::vector<Key> KeysOf(WaitingSettings& waiting) {
  return {WeightKey("late_part", waiting.late_part),
          WeightKey("wait_part", waiting.wait_part),
          BoolKey("reserve_slots", waiting.reserve_slots)};
}

std::vector<Key> KeysOf(EdgeSettings& settings) {
  return {NameKey("vm", settings.vm),
          NameKey("data_center", settings.data_center),
          NameKey("service", settings.service),
          AddressKey("outbound", kRequired, settings.outbound),
          AddressKey("readiness", kRequired, settings.readiness),
          AddressKey("admin", kRequired, settings.admin),
          AddressKey("metrics", kRequired, settings.metrics),
          AddressKey("link", kRequired, settings.link),
          AddressKey("upstream", kRequired, settings.upstream),
          AddressKey("store", kRequired, settings.store),
          NumberKey("line_mbit", 0, kMaxLineMbit, settings.line_mbit),
          MemoryKey("memory_mb", settings.memory_mb),
          NumberKey("max_fds", 0, kMaxDescriptors, settings.max_fds),
          DurationKey("heartbeat", kMinHeartbeatSeconds, kMaxHeartbeatSeconds,
                      settings.heartbeat),
          MapKey("placement", kOptional, KeysOf(settings.placement)),
          MapKey("waiting", kOptional, KeysOf(settings.waiting)),
          TextKey("agreed", settings.agreed),
          LevelKey("log_level", settings.log_level)};
}

}  // namespace

Result<EdgeSettings> ParseEdgeSettings(const std::string& file,
                                       const std::string& text) {
  const auto root = ParseYaml(file, text, ErrorKind::kSettings);
  if (!root)
    return tl::make_unexpected(root.error());
  EdgeSettings settings;
  if (const auto done = ReadMap({file, "", *root}, KeysOf(settings)); !done)
    return tl::make_unexpected(done.error());
  return settings;
}

Result<EdgeSettings> LoadEdgeSettings(const std::string& path) {
  const auto text = ReadSettingsFile(path);
  if (!text)
    return tl::make_unexpected(text.error());
  return ParseEdgeSettings(path, *text);
}

}  // namespace teaselspread
