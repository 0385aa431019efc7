// Parses YAML and describes nodes in messages about source files and settings.
#ifndef TEASELSPREAD_CONFIG_YAML_H_
#define TEASELSPREAD_CONFIG_YAML_H_

#include <string>
#include <string_view>

#include <yaml-cpp/yaml.h>

#include "teaselspread/error.h"

namespace teaselspread {

// "a map", "a list", "one value" or "nothing". Thread safe.
[[nodiscard]] std::string_view DescribeKind(const YAML::Node& node);

// `text` in quotes, truncated and with non-printable characters replaced, so
// that a message stays one line. Thread safe.
[[nodiscard]] std::string Quoted(std::string_view text);

// The 1-based line of a node. Thread safe.
[[nodiscard]] int LineOf(const YAML::Node& node);

// The first YAML document of `text`, or an error "file:line: what" of `kind`.
// Thread safe.
[[nodiscard]] Result<YAML::Node> ParseYaml(const std::string& file,
                                           const std::string& text,
                                           ErrorKind kind);

}  // namespace teaselspread

#endif  // TEASELSPREAD_CONFIG_YAML_H_
