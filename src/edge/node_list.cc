#include "edge/node_list.h"

#include <cstdint>
#include <string>
#include <string_view>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include "teaselspread/settings.h"

namespace teaselspread {
namespace {

constexpr ConfigVersion kNoConfig = 0;
constexpr std::string_view kNodeListKey = "nodes";
// Fields of a node, separated by blanks; each node on a line of its own.
constexpr std::size_t kFields = 4;

std::optional<Hello> NodeOf(const std::string& line) {
  const std::vector<std::string> fields = absl::StrSplit(line, ' ');
  if (fields.size() != kFields || fields[0].empty())
    return std::nullopt;
  const auto address = ParseAddress(fields[2]);
  std::uint32_t line_mbit = 0;
  if (!address || !absl::SimpleAtoi(fields[3], &line_mbit))
    return std::nullopt;
  return Hello{fields[0], fields[1], *address, line_mbit};
}

}  // namespace

TokenRequest NodeListRequest() {
  return {};
}

bool IsNodeListRequest(const TokenRequest& request) {
  return request.account.empty();
}

ConfigFrame PackNodeList(const std::vector<Hello>& nodes) {
  ConfigFrame frame;
  frame.version = kNoConfig;
  frame.key = std::string(kNodeListKey);
  for (const Hello& node : nodes) {
    absl::StrAppend(&frame.packed, node.node, " ", node.data_center, " ",
                    ToString(node.link), " ", node.line_mbit, "\n");
  }
  frame.size_bytes = static_cast<std::uint32_t>(frame.packed.size());
  return frame;
}

std::optional<std::vector<Hello>> UnpackNodeList(const ConfigFrame& frame) {
  if (frame.version != kNoConfig || frame.key != kNodeListKey)
    return std::nullopt;
  std::vector<Hello> nodes;
  for (const std::string& line : std::vector<std::string>(
           absl::StrSplit(frame.packed, '\n', absl::SkipEmpty()))) {
    if (nodes.size() == kMaxListedNodes)
      break;
    if (auto node = NodeOf(line))
      nodes.push_back(*std::move(node));
  }
  return nodes;
}

}  // namespace teaselspread
