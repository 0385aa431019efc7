// Serializes HTTP/1.1 messages with the framing headers of one connection.
#ifndef TEASELSPREAD_SRC_EDGE_HTTP_TEXT_H_
#define TEASELSPREAD_SRC_EDGE_HTTP_TEXT_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "teaselspread/http.h"

namespace teaselspread {

// Whether the connection is kept open after a message.
enum class AfterMessage : std::uint8_t { kKeep, kClose };

// A request up to its body, which has `body_bytes`, with a Content-Length for
// it; a GET or HEAD without a body gets none. Framing headers in `request` are
// replaced. Thread safe.
[[nodiscard]] std::string HeadTextOf(const HttpRequest& request,
                                     std::string_view host,
                                     std::size_t body_bytes);

// A response with a Content-Length. `head_only` omits the body, as required
// for the response to a HEAD request. Thread safe.
[[nodiscard]] std::string TextOf(const HttpResponse& response,
                                 AfterMessage after,
                                 bool head_only);

}  // namespace teaselspread

#endif  // TEASELSPREAD_SRC_EDGE_HTTP_TEXT_H_
