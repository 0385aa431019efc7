#include "teaselspread/settings.h"

#include <arpa/inet.h>

#include <array>
#include <fstream>
#include <functional>
#include <set>
#include <sstream>

#include "base/text.h"
#include "config/scalar.h"
#include "config/yaml.h"

namespace teaselspread {
namespace {

using Done = Result<void>;

constexpr std::array<std::string_view, 4> kLevelNames = {"debug", "info",
                                                         "warn", "error"};
constexpr double kMinInterval = 0.001;
constexpr double kMaxInterval = 3600;
constexpr double kMinRetention = 1;
constexpr double kMaxRetention = 366.0 * 86400;

// A node of the file, with its place in words: "timings/probe_interval".
struct Item {
  const std::string& file;
  std::string path;
  YAML::Node node;
  // Of its key: yaml-cpp gives an empty value the place of what follows it.
  int line = 1;
};

tl::unexpected<Error> Wrong(const Item& item, std::string_view text) {
  return Fail(ErrorKind::kSettings,
              Concat(item.file, ":", item.line, ": ",
                     item.path.empty() ? "settings" : item.path, ": ", text));
}

// One key that a map may have.
struct Key {
  std::string_view name;
  bool required;
  std::function<Done(const Item&)> read;
};

constexpr bool kRequired = true;
constexpr bool kOptional = false;

std::string NamesOf(const std::vector<Key>& keys) {
  std::string names;
  for (const Key& key : keys)
    names += Concat(names.empty() ? "" : ", ", key.name);
  return names;
}

Done ReadKey(const std::vector<Key>& keys,
             const Item& item,
             const std::string& name) {
  for (const Key& key : keys) {
    if (key.name == name)
      return key.read(item);
  }
  return Wrong(item, Concat("unknown field, expected one of: ", NamesOf(keys)));
}

Done ReadMap(const Item& item, const std::vector<Key>& keys) {
  if (!item.node.IsMap())
    return Wrong(item, Concat("expected a map, got ", KindOf(item.node)));
  std::set<std::string> seen;
  for (const auto& pair : item.node) {
    if (!pair.first.IsScalar())
      return Wrong(item, "expected a name as key");
    const std::string name = pair.first.Scalar();
    const std::string path =
        item.path.empty() ? name : Concat(item.path, "/", name);
    // yaml-cpp would take one of the two without a word.
    if (!seen.insert(name).second)
      return Wrong({item.file, path, pair.first, LineOf(pair.first)},
                   "stands twice");
    if (auto done = ReadKey(
            keys, {item.file, path, pair.second, LineOf(pair.first)}, name);
        !done)
      return done;
  }
  for (const Key& key : keys) {
    if (key.required && !seen.contains(std::string(key.name)))
      return Wrong(item, Concat("missing field ", key.name));
  }
  return {};
}

Result<std::string> ScalarOf(const Item& item, std::string_view expected) {
  if (!item.node.IsScalar()) {
    return Wrong(item, Concat(expected, ", got ", KindOf(item.node)));
  }
  return item.node.Scalar();
}

Done ReadName(const Item& item, std::string& name) {
  auto text = ScalarOf(item, kNameExpectation);
  if (!text)
    return tl::make_unexpected(text.error());
  if (!IsName(*text))
    return Wrong(item, Concat(kNameExpectation, ", got ", Shown(*text)));
  name = std::move(*text);
  return {};
}

Done ReadAddress(const Item& item, Address& address) {
  constexpr std::string_view kExpected =
      "expected an IP number and a port such as 10.0.0.1:8080";
  const auto text = ScalarOf(item, kExpected);
  if (!text)
    return tl::make_unexpected(text.error());
  auto parsed = ParseAddress(*text);
  if (!parsed)
    return Wrong(item, Concat(kExpected, ", got ", Shown(*text)));
  address = std::move(*parsed);
  return {};
}

Done ReadAddresses(const Item& item, std::vector<Address>& addresses) {
  if (!item.node.IsSequence())
    return Wrong(
        item, Concat("expected a list of addresses, got ", KindOf(item.node)));
  for (const YAML::Node& node : item.node) {
    if (auto done = ReadAddress({item.file, item.path, node, LineOf(node)},
                                addresses.emplace_back());
        !done) {
      return done;
    }
  }
  return {};
}

Done ReadDuration(const Item& item, double low, double high, Duration& value) {
  const FieldRule rule{"", ScalarType::kDuration, false, low, high};
  const auto text = ScalarOf(item, "expected a duration such as 30s or 500ms");
  if (!text)
    return tl::make_unexpected(text.error());
  const auto parsed = ParseScalar(rule, *text);
  if (!parsed)
    return Wrong(item, Concat(parsed.error(), ", got ", Shown(*text)));
  value = std::get<Duration>(*parsed);
  return {};
}

Done ReadLevel(const Item& item, LogLevel& level) {
  constexpr std::string_view kExpected =
      "expected one of debug, info, warn, error";
  const auto text = ScalarOf(item, kExpected);
  if (!text)
    return tl::make_unexpected(text.error());
  for (std::size_t i = 0; i < kLevelNames.size(); ++i) {
    if (kLevelNames.at(i) == *text) {
      level = static_cast<LogLevel>(i);
      return {};
    }
  }
  return Wrong(item, Concat(kExpected, ", got ", Shown(*text)));
}

Done ReadFileName(const Item& item, std::string& name) {
  auto text = ScalarOf(item, "expected the name of a file");
  if (!text)
    return tl::make_unexpected(text.error());
  name = std::move(*text);
  return {};
}

Done ReadRemoteSeeds(const Item& item,
                     std::map<std::string, std::vector<Address>>& seeds) {
  if (!item.node.IsMap())
    return Wrong(item,
                 Concat("expected a map from data centre to addresses, got ",
                        KindOf(item.node)));
  for (const auto& pair : item.node) {
    std::string name;
    const Item key{item.file, item.path, pair.first, LineOf(pair.first)};
    if (auto done = ReadName(key, name); !done)
      return done;
    const Item value{item.file, Concat(item.path, "/", name), pair.second,
                     key.line};
    if (seeds.contains(name))
      return Wrong(value, "stands twice");
    if (auto done = ReadAddresses(value, seeds[name]); !done)
      return done;
  }
  return {};
}

// Keys of one kind, bound to the member that they set.
Key Name(std::string_view name, std::string& target) {
  return {name, kRequired,
          [&target](const Item& item) { return ReadName(item, target); }};
}

Key AddressOf(std::string_view name, bool required, Address& target) {
  return {name, required,
          [&target](const Item& item) { return ReadAddress(item, target); }};
}

Key Interval(std::string_view name, Duration& target) {
  return {name, kOptional, [&target](const Item& item) {
            return ReadDuration(item, kMinInterval, kMaxInterval, target);
          }};
}

Key Map(std::string_view name, bool required, std::vector<Key> keys) {
  return {name, required, [keys = std::move(keys)](const Item& item) {
            return ReadMap(item, keys);
          }};
}

Key Timings(TimingSettings& timings) {
  return Map("timings", kOptional,
             {Interval("probe_interval", timings.probe_interval),
              Interval("probe_timeout", timings.probe_timeout),
              Interval("log_poll", timings.log_poll),
              Interval("log_timeout", timings.log_timeout),
              Interval("exchange_interval", timings.exchange_interval),
              Interval("announcement_lease", timings.announcement_lease),
              Interval("drain", timings.drain)});
}

Key Log(LogSettings& log) {
  const auto retention = [&log](const Item& item) {
    return ReadDuration(item, kMinRetention, kMaxRetention, log.retention);
  };
  return Map("log", kRequired,
             {AddressOf("address", kRequired, log.address),
              {"retention", kOptional, retention}});
}

Key Logging(LoggingSettings& logging) {
  return Map("logging", kOptional,
             {{"file", kOptional,
               [&logging](const Item& item) {
                 return ReadFileName(item, logging.file);
               }},
              {"level", kOptional, [&logging](const Item& item) {
                 return ReadLevel(item, logging.level);
               }}});
}

std::vector<Key> KeysOf(NodeSettings& settings) {
  return {Name("vm", settings.vm),
          Name("deployment", settings.deployment),
          Name("data_center", settings.data_center),
          AddressOf("http", kRequired, settings.http),
          AddressOf("control", kRequired, settings.control),
          AddressOf("announce", kOptional, settings.announce),
          AddressOf("upstream", kRequired, settings.upstream),
          Log(settings.log),
          {"seeds", kOptional,
           [&settings](const Item& item) {
             return ReadAddresses(item, settings.seeds);
           }},
          {"remote_seeds", kOptional,
           [&settings](const Item& item) {
             return ReadRemoteSeeds(item, settings.remote_seeds);
           }},
          Logging(settings.logging),
          Timings(settings.timings)};
}

// Anyone who can reach the announcements can move traffic to an address of
// their choice, so they stay inside the VM.
bool IsLoopback(const Address& address) {
  return address.host.starts_with("127.") || address.host == "::1";
}

Done CheckTogether(const std::string& file,
                   const YAML::Node& root,
                   const NodeSettings& settings) {
  const auto wrong = [&](const std::string& key, const std::string& path,
                         std::string_view text) {
    const YAML::Node node = root[key];
    return Wrong({file, path, node, node ? LineOf(node) : 1}, text);
  };
  if (!IsLoopback(settings.announce)) {
    return wrong("announce", "announce",
                 "expected a loopback address such as 127.0.0.1:8081");
  }
  if (settings.timings.probe_timeout >= settings.timings.probe_interval) {
    return wrong("timings", "timings/probe_timeout",
                 "expected less than timings/probe_interval");
  }
  if (settings.remote_seeds.contains(settings.data_center)) {
    return wrong("remote_seeds", "remote_seeds",
                 "expected other data centres only; seeds is for the own one");
  }
  return {};
}

}  // namespace

std::string_view NameOf(LogLevel level) {
  return kLevelNames.at(static_cast<std::size_t>(level));
}

Result<Address> ParseAddress(std::string_view text) {
  const auto wrong = Fail(
      ErrorKind::kSettings,
      Concat("expected an IP number and a port such as 10.0.0.1:8080, got ",
             Shown(text)));
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos)
    return wrong;
  std::string host(text.substr(0, colon));
  const bool bracketed =
      host.size() > 2 && host.front() == '[' && host.back() == ']';
  if (bracketed)
    host = host.substr(1, host.size() - 2);
  std::array<unsigned char, sizeof(in6_addr)> number{};
  if (inet_pton(bracketed ? AF_INET6 : AF_INET, host.c_str(), number.data()) !=
      1) {
    return wrong;
  }
  const auto port = ParseNumberText<std::uint16_t>(text.substr(colon + 1));
  if (!port || *port == 0)
    return wrong;
  return Address{std::move(host), *port};
}

std::string ToString(const Address& address) {
  const bool is_v6 = address.host.find(':') != std::string::npos;
  return is_v6 ? Concat("[", address.host, "]:", address.port)
               : Concat(address.host, ":", address.port);
}

Result<NodeSettings> ParseNodeSettings(const std::string& file,
                                       const std::string& text) {
  const auto node = ParseYaml(file, text, ErrorKind::kSettings);
  if (!node)
    return tl::make_unexpected(node.error());
  NodeSettings settings;
  const Item root{file, "", *node};
  if (const auto done = ReadMap(root, KeysOf(settings)); !done)
    return tl::make_unexpected(done.error());
  if (settings.announce.port == 0)
    settings.announce = {"127.0.0.1", settings.http.port};
  if (const auto done = CheckTogether(file, *node, settings); !done)
    return tl::make_unexpected(done.error());
  return settings;
}

Result<NodeSettings> LoadNodeSettings(const std::string& path) {
  std::ifstream stream(path);
  std::ostringstream text;
  if (!stream || !(text << stream.rdbuf())) {
    return Fail(ErrorKind::kSettings,
                Concat(path,
                       ":1: settings: expected a readable file that is "
                       "not empty"));
  }
  return ParseNodeSettings(path, text.str());
}

}  // namespace teaselspread
