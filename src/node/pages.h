// The pages of a node: status, metrics, health, moves, explain, announce.
#ifndef TEASELSPREAD_NODE_PAGES_H_
#define TEASELSPREAD_NODE_PAGES_H_

#include <string_view>

#include "node/requests.h"
#include "teaselspread/http.h"

namespace teaselspread {

struct Node;

// Where the upstream announces itself.
inline constexpr std::string_view kAnnouncePath = "/announce";

// Whether `request` asks for one of the node's own pages. Their paths are
// reserved: routes never see them. Thread safe.
[[nodiscard]] bool IsPage(const HttpRequest& request);

// Answers a page. Precondition: IsPage(request). Thread safe.
[[nodiscard]] HttpResponse ServePage(Node& node, const HttpRequest& request);

}  // namespace teaselspread

#endif  // TEASELSPREAD_NODE_PAGES_H_
