// Reading a settings file by tables of keys, each error with its place.
#ifndef TEASELSPREAD_CONFIG_SETTINGS_READER_H_
#define TEASELSPREAD_CONFIG_SETTINGS_READER_H_

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <yaml-cpp/yaml.h>

#include "teaselspread/settings.h"

namespace teaselspread {

// A node of the file, with its place in words: "timings/probe_interval".
struct SettingsItem {
  const std::string& file;
  std::string path;
  YAML::Node node;
  // Of its key: yaml-cpp gives an empty value the place of what follows it.
  int line = 1;
};

// One key that a map may have, and what to do with its value.
struct SettingsKey {
  std::string_view name;
  bool required;
  std::function<Result<void>(const SettingsItem&)> read;
};

inline constexpr bool kRequired = true;
inline constexpr bool kOptional = false;

// "file:line: field: text" of kind kSettings. Thread safe.
[[nodiscard]] tl::unexpected<Error> InvalidSetting(const SettingsItem& item,
                                                   std::string_view text);

// Reads a map: refuses keys that are unknown, stand twice or are missing.
// Not thread safe while the keys write to shared members.
[[nodiscard]] Result<void> ReadMap(const SettingsItem& item,
                                   const std::vector<SettingsKey>& keys);

// The whole file. Errors: kSettings when it cannot be read. Blocks on the file.
// Thread safe.
[[nodiscard]] Result<std::string> ReadSettingsFile(const std::string& path);

// Keys that set the member given. Precondition of all: the member outlives the
// key.
[[nodiscard]] SettingsKey NameKey(std::string_view name, std::string& target);
[[nodiscard]] SettingsKey AddressKey(std::string_view name,
                                     bool required,
                                     Address& target);
[[nodiscard]] SettingsKey AddressesKey(std::string_view name,
                                       std::vector<Address>& target);
[[nodiscard]] SettingsKey RemoteSeedsKey(
    std::string_view name,
    std::map<std::string, std::vector<Address>>& target);
// Bounds in seconds.
[[nodiscard]] SettingsKey DurationKey(std::string_view name,
                                      double low,
                                      double high,
                                      Duration& target);
// Any number within the bounds.
[[nodiscard]] SettingsKey NumberKey(std::string_view name,
                                    double low,
                                    double high,
                                    double& target);
[[nodiscard]] SettingsKey LevelKey(std::string_view name, LogLevel& target);
[[nodiscard]] SettingsKey FileKey(std::string_view name, std::string& target);
[[nodiscard]] SettingsKey TextKey(std::string_view name, std::string& target);
[[nodiscard]] SettingsKey MapKey(std::string_view name,
                                 bool required,
                                 std::vector<SettingsKey> keys);

}  // namespace teaselspread

#endif  // TEASELSPREAD_CONFIG_SETTINGS_READER_H_
