// Reads a settings file by tables of keys; errors include file and line.
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

// A node of the file, with its path such as "timings/probe_interval".
struct SettingsItem {
  const std::string& file;
  std::string path;
  YAML::Node node;
  // Line of the key: for an empty value, yaml-cpp reports the position of the
  // token after it.
  int line = 1;
};

// One key that a map may have, and the function that reads its value.
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

// Reads a map and rejects unknown, duplicate and missing keys.
// Not thread safe if the keys write to shared members.
[[nodiscard]] Result<void> ReadMap(const SettingsItem& item,
                                   const std::vector<SettingsKey>& keys);

// Returns the content of the file. Fails with kSettings if it cannot be read or
// is empty. Blocks on file I/O. Thread safe.
[[nodiscard]] Result<std::string> ReadSettingsFile(const std::string& path);

// Keys that write their value to `target`. Precondition: the target outlives
// the key.
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
// Any number within the inclusive bounds.
[[nodiscard]] SettingsKey NumberKey(std::string_view name,
                                    double low,
                                    double high,
                                    double& target);
// Memory of the VM in MB; optional.
[[nodiscard]] SettingsKey MemoryKey(std::string_view name, double& target);
[[nodiscard]] SettingsKey BoolKey(std::string_view name, bool& target);
[[nodiscard]] SettingsKey LevelKey(std::string_view name, LogLevel& target);
[[nodiscard]] SettingsKey FileKey(std::string_view name, std::string& target);
[[nodiscard]] SettingsKey TextKey(std::string_view name, std::string& target);
[[nodiscard]] SettingsKey MapKey(std::string_view name,
                                 bool required,
                                 std::vector<SettingsKey> keys);

}  // namespace teaselspread

#endif  // TEASELSPREAD_CONFIG_SETTINGS_READER_H_
