// The list of a deployment's nodes, as a node passes it on to one that started
// while the store was down.
//
// The list travels as a ConfigFrame of version 0, and is asked for by a
// TokenRequest that names no account. A node of the release before responds to
// that as to one for which it does not lend, and takes the list for a
// configuration that it does not need; on a kind of frame that it does not know
// it would close the link.
#ifndef TEASELSPREAD_SRC_EDGE_NODE_LIST_H_
#define TEASELSPREAD_SRC_EDGE_NODE_LIST_H_

#include <optional>
#include <vector>

#include "edge/frames.h"

namespace teaselspread {

// Maximum number of nodes that are taken from a list.
inline constexpr std::size_t kMaxListedNodes = 20'000;

// Thread safe.
[[nodiscard]] TokenRequest NodeListRequest();
[[nodiscard]] bool IsNodeListRequest(const TokenRequest& request);

// Thread safe.
[[nodiscard]] ConfigFrame PackNodeList(const std::vector<Hello>& nodes);

// None for a frame that holds no list. Nodes whose fields are malformed are
// left out. Thread safe.
[[nodiscard]] std::optional<std::vector<Hello>> UnpackNodeList(
    const ConfigFrame& frame);

}  // namespace teaselspread

#endif  // TEASELSPREAD_SRC_EDGE_NODE_LIST_H_
