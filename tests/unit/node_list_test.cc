#include "edge/node_list.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

#include <absl/strings/str_cat.h>

namespace teaselspread {
namespace {

const std::vector<Hello> kNodes = {{"a-1", "a", {"127.0.0.1", 7380}, 10},
                                   {"b-1", "b", {"127.0.0.2", 7381}, 0}};

ConfigFrame ListOf(const std::string& text) {
  ConfigFrame frame = PackNodeList({});
  frame.packed = text;
  return frame;
}

Test(node_list, arrives_as_it_was_sent) {
  const auto frame = DecodeLinkFrame(
      EncodeLinkFrame(PackNodeList(kNodes)).substr(kFrameLengthBytes));
  cr_assert(frame.has_value());
  const auto nodes = UnpackNodeList(std::get<ConfigFrame>(*frame));
  cr_assert(nodes.has_value());
  cr_assert_eq(nodes->size(), kNodes.size());
  for (std::size_t i = 0; i < kNodes.size(); ++i) {
    const Hello& node = nodes->at(i);
    cr_expect(node.node == kNodes[i].node);
    cr_expect(node.data_center == kNodes[i].data_center);
    cr_expect(node.link == kNodes[i].link);
    cr_expect_eq(node.line_mbit, kNodes[i].line_mbit);
  }
}

// Guards against a list with an unusable line that costs the other nodes their
// places, or ends the process.
Test(node_list, leaves_out_malformed_nodes) {
  for (const std::string line :
       {"", " ", "c-1", "c-1 c nowhere 10", "c-1 c 127.0.0.1:99999 10",
        "c-1 c 127.0.0.1:7380 -1", " c 127.0.0.1:7380 10",
        "c-1 c 127.0.0.1:7380 10 more"}) {
    const auto nodes = UnpackNodeList(
        ListOf(absl::StrCat(line, "\na-1 a 127.0.0.1:7380 10\n", line)));
    cr_assert(nodes.has_value());
    cr_expect_eq(nodes->size(), 1U, "'%s'", line.c_str());
  }
}

// Guards against a list of any length from a peer that takes the memory.
Test(node_list, takes_a_bounded_number_of_nodes) {
  std::string text;
  for (std::size_t i = 0; i <= kMaxListedNodes; ++i)
    absl::StrAppend(&text, "n-", i, " a 127.0.0.1:7380 10\n");
  cr_assert_eq(UnpackNodeList(ListOf(text))->size(), kMaxListedNodes);
}

// Guards against a list that a node of the release before takes for a new
// configuration, and a configuration that is taken for a list.
Test(node_list, is_no_configuration) {
  cr_expect_eq(PackNodeList(kNodes).version, 0U);
  ConfigFrame config;
  config.version = 4;
  config.key = "nodes";
  cr_expect_not(UnpackNodeList(config).has_value());
  cr_expect(IsNodeListRequest(NodeListRequest()));
}

}  // namespace
}  // namespace teaselspread
