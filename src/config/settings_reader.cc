#include "config/settings_reader.h"

#include <array>
#include <fstream>
#include <set>
#include <sstream>

#include "base/text.h"
#include "config/scalar.h"
#include "config/yaml.h"

namespace teaselspread {
namespace {

using ReadResult = Result<void>;
using Item = SettingsItem;
using Key = SettingsKey;

constexpr std::array<std::string_view, 4> kLevelNames = {"debug", "info",
                                                         "warn", "error"};

std::string NamesOf(const std::vector<Key>& keys) {
  std::string names;
  for (const Key& key : keys)
    names += Concat(names.empty() ? "" : ", ", key.name);
  return names;
}

ReadResult ReadKey(const std::vector<Key>& keys,
                   const Item& item,
                   const std::string& name) {
  for (const Key& key : keys) {
    if (key.name == name)
      return key.read(item);
  }
  return InvalidSetting(
      item, Concat("unknown field, expected one of: ", NamesOf(keys)));
}

Result<std::string> ScalarOf(const Item& item, std::string_view expected) {
  if (!item.node.IsScalar())
    return InvalidSetting(item,
                          Concat(expected, ", got ", DescribeKind(item.node)));
  return item.node.Scalar();
}

// Reads one value with `parse`, which returns an empty result if it is invalid.
template <class T, class Parse>
ReadResult ReadValue(const Item& item,
                     std::string_view expected,
                     T& target,
                     Parse parse) {
  const auto text = ScalarOf(item, expected);
  if (!text)
    return tl::make_unexpected(text.error());
  auto value = parse(*text);
  if (!value)
    return InvalidSetting(item, Concat(expected, ", got ", Quoted(*text)));
  target = std::move(*value);
  return {};
}

ReadResult ReadName(const Item& item, std::string& name) {
  return ReadValue(item, kNameExpectation, name,
                   [](const std::string& text) -> std::optional<std::string> {
                     if (!IsName(text))
                       return std::nullopt;
                     return text;
                   });
}

ReadResult ReadAddress(const Item& item, Address& address) {
  return ReadValue(item,
                   "expected an IP number and a port such as 10.0.0.1:8080",
                   address, ParseAddress);
}

ReadResult ReadAddresses(const Item& item, std::vector<Address>& addresses) {
  if (!item.node.IsSequence()) {
    return InvalidSetting(item, Concat("expected a list of addresses, got ",
                                       DescribeKind(item.node)));
  }
  for (const YAML::Node& node : item.node) {
    const Item element{item.file, item.path, node, LineOf(node)};
    if (auto result = ReadAddress(element, addresses.emplace_back()); !result)
      return result;
  }
  return {};
}

template <class T>
ReadResult ReadBounded(const Item& item,
                       std::string_view expected,
                       const FieldRule& rule,
                       T& value) {
  const auto text = ScalarOf(item, expected);
  if (!text)
    return tl::make_unexpected(text.error());
  const auto parsed = ParseScalar(rule, *text);
  if (!parsed)
    return InvalidSetting(item,
                          Concat(parsed.error(), ", got ", Quoted(*text)));
  value = std::get<T>(*parsed);
  return {};
}

std::optional<LogLevel> ParseLevel(std::string_view text) {
  for (std::size_t i = 0; i < kLevelNames.size(); ++i) {
    if (kLevelNames.at(i) == text)
      return static_cast<LogLevel>(i);
  }
  return std::nullopt;
}

ReadResult ReadRemoteSeeds(const Item& item,
                           std::map<std::string, std::vector<Address>>& seeds) {
  if (!item.node.IsMap()) {
    return InvalidSetting(
        item, Concat("expected a map from data centre to addresses, got ",
                     DescribeKind(item.node)));
  }
  for (const auto& pair : item.node) {
    std::string name;
    const Item key{item.file, item.path, pair.first, LineOf(pair.first)};
    if (auto result = ReadName(key, name); !result)
      return result;
    const Item value{item.file, Concat(item.path, "/", name), pair.second,
                     key.line};
    if (seeds.contains(name))
      return InvalidSetting(value, "stands twice");
    if (auto result = ReadAddresses(value, seeds[name]); !result)
      return result;
  }
  return {};
}

}  // namespace

std::string_view NameOf(LogLevel level) {
  return kLevelNames.at(static_cast<std::size_t>(level));
}

tl::unexpected<Error> InvalidSetting(const Item& item, std::string_view text) {
  return Fail(ErrorKind::kSettings,
              Concat(item.file, ":", item.line, ": ",
                     item.path.empty() ? "settings" : item.path, ": ", text));
}

ReadResult ReadMap(const Item& item, const std::vector<Key>& keys) {
  if (!item.node.IsMap())
    return InvalidSetting(
        item, Concat("expected a map, got ", DescribeKind(item.node)));
  std::set<std::string> seen;
  for (const auto& pair : item.node) {
    if (!pair.first.IsScalar())
      return InvalidSetting(item, "expected a name as key");
    const std::string name = pair.first.Scalar();
    const Item value{item.file,
                     item.path.empty() ? name : Concat(item.path, "/", name),
                     pair.second, LineOf(pair.first)};
    // yaml-cpp accepts duplicate keys and silently keeps only one.
    if (!seen.insert(name).second)
      return InvalidSetting(value, "stands twice");
    if (auto result = ReadKey(keys, value, name); !result)
      return result;
  }
  for (const Key& key : keys) {
    if (key.required && !seen.contains(std::string(key.name)))
      return InvalidSetting(item, Concat("missing field ", key.name));
  }
  return {};
}

Key NameKey(std::string_view name, std::string& target) {
  return {name, kRequired,
          [&target](const Item& item) { return ReadName(item, target); }};
}

Key AddressKey(std::string_view name, bool required, Address& target) {
  return {name, required,
          [&target](const Item& item) { return ReadAddress(item, target); }};
}

Key AddressesKey(std::string_view name, std::vector<Address>& target) {
  return {name, kOptional,
          [&target](const Item& item) { return ReadAddresses(item, target); }};
}

Key RemoteSeedsKey(std::string_view name,
                   std::map<std::string, std::vector<Address>>& target) {
  return {name, kOptional, [&target](const Item& item) {
            return ReadRemoteSeeds(item, target);
          }};
}

Key DurationKey(std::string_view name,
                double low,
                double high,
                Duration& target) {
  return {name, kOptional, [low, high, &target](const Item& item) {
            const FieldRule rule{"", ScalarType::kDuration, false, low, high};
            return ReadBounded(item, "expected a duration such as 30s or 500ms",
                               rule, target);
          }};
}

Key NumberKey(std::string_view name, double low, double high, double& target) {
  return {name, kOptional, [low, high, &target](const Item& item) {
            const FieldRule rule{"", ScalarType::kNumber, false, low, high};
            return ReadBounded(item, "expected a number such as 0.5", rule,
                               target);
          }};
}

Key MemoryKey(std::string_view name, double& target) {
  constexpr double kMaxMemoryMb = 1e6;
  return NumberKey(name, 0, kMaxMemoryMb, target);
}

Key BoolKey(std::string_view name, bool& target) {
  return {name, kOptional, [&target](const Item& item) {
            const FieldRule rule{"", ScalarType::kBool, false, 0, 0};
            return ReadBounded(item, "expected true or false", rule, target);
          }};
}

Key LevelKey(std::string_view name, LogLevel& target) {
  return {name, kOptional, [&target](const Item& item) {
            return ReadValue(item, "expected one of debug, info, warn, error",
                             target, ParseLevel);
          }};
}

namespace {

Key AnyTextKey(std::string_view name,
               std::string_view expected,
               std::string& target) {
  return {name, kOptional, [expected, &target](const Item& item) {
            return ReadValue(item, expected, target,
                             [](const std::string& text) {
                               return std::optional<std::string>(text);
                             });
          }};
}

}  // namespace

Key FileKey(std::string_view name, std::string& target) {
  return AnyTextKey(name, "expected the name of a file", target);
}

Key TextKey(std::string_view name, std::string& target) {
  return AnyTextKey(name, "expected one text", target);
}

Result<std::string> ReadSettingsFile(const std::string& path) {
  std::ifstream stream(path);
  std::ostringstream text;
  if (!stream || !(text << stream.rdbuf())) {
    return Fail(ErrorKind::kSettings,
                Concat(path,
                       ":1: settings: expected a readable file that is "
                       "not empty"));
  }
  return text.str();
}

Key MapKey(std::string_view name, bool required, std::vector<Key> keys) {
  return {name, required, [keys = std::move(keys)](const Item& item) {
            return ReadMap(item, keys);
          }};
}

}  // namespace teaselspread
