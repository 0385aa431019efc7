#include "config/yaml.h"

#include <absl/strings/ascii.h>

#include "base/text.h"

namespace teaselspread {

std::string_view DescribeKind(const YAML::Node& node) {
  switch (node.Type()) {
    case YAML::NodeType::Scalar:
      return "one value";
    case YAML::NodeType::Sequence:
      return "a list";
    case YAML::NodeType::Map:
      return "a map";
    case YAML::NodeType::Null:
    case YAML::NodeType::Undefined:
      break;
  }
  return "nothing";
}

std::string Quoted(std::string_view text) {
  constexpr std::size_t kMaxQuotedSize = 40;
  std::string quoted;
  for (const char c : text.substr(0, kMaxQuotedSize))
    quoted += absl::ascii_isprint(static_cast<unsigned char>(c)) ? c : '?';
  return Concat("\"", quoted, text.size() > kMaxQuotedSize ? "..." : "", "\"");
}

int LineOf(const YAML::Node& node) {
  return node.Mark().line + 1;
}

Result<YAML::Node> ParseYaml(const std::string& file,
                             const std::string& text,
                             ErrorKind kind) {
  try {
    return YAML::Load(text);
  } catch (const YAML::Exception& error) {
    return Fail(kind, Concat(file, ":", error.mark.line + 1, ": ", error.msg));
  }
}

}  // namespace teaselspread
