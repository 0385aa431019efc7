#include "teaselspread/settings.h"

#include "config/settings_reader.h"
#include "config/yaml.h"

namespace teaselspread {
namespace {

using Key = SettingsKey;

// In seconds.
constexpr double kMinInterval = 0.001;
constexpr double kMaxInterval = 3600;
constexpr double kMinRetention = 1;
constexpr double kMaxRetention = 366.0 * 86400;

Key Interval(std::string_view name, Duration& target) {
  return DurationKey(name, kMinInterval, kMaxInterval, target);
}

Key TimingsKey(TimingSettings& timings) {
  return MapKey("timings", kOptional,
                {Interval("probe_interval", timings.probe_interval),
                 Interval("probe_timeout", timings.probe_timeout),
                 Interval("log_poll", timings.log_poll),
                 Interval("log_timeout", timings.log_timeout),
                 Interval("exchange_interval", timings.exchange_interval),
                 Interval("announcement_lease", timings.announcement_lease)});
}

Key LogKey(LogServiceSettings& log) {
  return MapKey(
      "log", kRequired,
      {AddressKey("address", kRequired, log.address),
       DurationKey("retention", kMinRetention, kMaxRetention, log.retention)});
}

Key LoggingKey(LoggingSettings& logging) {
  return MapKey(
      "logging", kOptional,
      {FileKey("file", logging.file), LevelKey("level", logging.level)});
}

std::vector<Key> KeysOf(NodeSettings& settings) {
  return {NameKey("vm", settings.vm),
          NameKey("deployment", settings.deployment),
          NameKey("data_center", settings.data_center),
          AddressKey("http", kRequired, settings.http),
          AddressKey("control", kRequired, settings.control),
          AddressKey("announce", kOptional, settings.announce),
          AddressKey("upstream", kRequired, settings.upstream),
          LogKey(settings.log),
          AddressesKey("seeds", settings.seeds),
          RemoteSeedsKey("remote_seeds", settings.remote_seeds),
          MemoryKey("memory_mb", settings.memory_mb),
          LoggingKey(settings.logging),
          TimingsKey(settings.timings)};
}

// Anyone who can send announcements can direct traffic to an address of their
// choice, so the announcement listener must only be reachable within the VM.
bool IsLoopback(const Address& address) {
  return address.host.starts_with("127.") || address.host == "::1";
}

bool IsAnyHost(const Address& address) {
  return address.host == "0.0.0.0" || address.host == "::";
}

// Whether sockets bound to both addresses would conflict.
bool Conflict(const Address& a, const Address& b) {
  return a.port == b.port && (a.host == b.host || IsAnyHost(a) || IsAnyHost(b));
}

// Checks constraints between fields.
Result<void> CheckConsistency(const std::string& file,
                              const YAML::Node& root,
                              const NodeSettings& settings) {
  const auto invalid = [&](const std::string& key, const std::string& path,
                           std::string_view text) {
    const YAML::Node node = root[key];
    return InvalidSetting({file, path, node, node ? LineOf(node) : 1}, text);
  };
  if (!IsLoopback(settings.announce)) {
    return invalid("announce", "announce",
                   "expected a loopback address such as 127.0.0.1:8081");
  }
  if (Conflict(settings.control, settings.http) ||
      Conflict(settings.control, settings.announce)) {
    return invalid("control", "control",
                   "expected another port than http and announce");
  }
  // A node that is its own upstream would forward each request to itself until
  // its resources are exhausted.
  for (const Address& own :
       {settings.http, settings.control, settings.announce}) {
    if (Conflict(settings.upstream, own)) {
      return invalid("upstream", "upstream",
                     "expected another port than http, control and announce");
    }
  }
  if (settings.timings.probe_timeout >= settings.timings.probe_interval) {
    return invalid("timings", "timings/probe_timeout",
                   "expected less than timings/probe_interval");
  }
  if (settings.remote_seeds.contains(settings.data_center)) {
    return invalid(
        "remote_seeds", "remote_seeds",
        "expected other data centres only; seeds is for the own one");
  }
  return {};
}

}  // namespace

Result<NodeSettings> ParseNodeSettings(const std::string& file,
                                       const std::string& text) {
  const auto node = ParseYaml(file, text, ErrorKind::kSettings);
  if (!node)
    return tl::make_unexpected(node.error());
  NodeSettings settings;
  if (const auto result = ReadMap({file, "", *node}, KeysOf(settings)); !result)
    return tl::make_unexpected(result.error());
  if (settings.announce.port == 0)
    settings.announce = {"127.0.0.1", settings.http.port};
  if (const auto result = CheckConsistency(file, *node, settings); !result)
    return tl::make_unexpected(result.error());
  return settings;
}

Result<NodeSettings> LoadNodeSettings(const std::string& path) {
  const auto text = ReadSettingsFile(path);
  if (!text)
    return tl::make_unexpected(text.error());
  return ParseNodeSettings(path, *text);
}

}  // namespace teaselspread
