// Whether the head of a response can be trusted, beyond what the parser checks.
#ifndef TEASELSPREAD_SRC_HTTP_RESPONSE_HEAD_H_
#define TEASELSPREAD_SRC_HTTP_RESPONSE_HEAD_H_

#include <cstdint>
#include <string_view>

#include <boost/beast/http/fields.hpp>

namespace teaselspread {

enum class HeadFault : std::uint8_t {
  kNone,
  // The status is neither final nor that of a known interim response.
  kStatus,
  // Transfer codings other than chunked, so the body would stay coded.
  kFraming,
  // A line that begins with a blank. It may be the continuation of the line
  // before or a field of its own, and readers differ in this.
  kFoldedLine,
  // Several request ids that differ.
  kRequestIds,
};

// Stable name for logs. Thread safe.
[[nodiscard]] std::string_view NameOf(HeadFault fault);

// From 200 to 599. Thread safe.
[[nodiscard]] bool IsFinalStatus(unsigned status);

// 100, 102 and 103: another response follows. 101 would end HTTP on the
// connection, and no request asks for that. Thread safe.
[[nodiscard]] bool IsInterimStatus(unsigned status);

// `fields` are those of the head alone, without trailers. Thread safe.
[[nodiscard]] HeadFault FaultOf(unsigned status,
                                const boost::beast::http::fields& fields);

// Whether a line of the head, as received, begins with a blank. Thread safe.
[[nodiscard]] bool HasFoldedLine(std::string_view head);

}  // namespace teaselspread

#endif  // TEASELSPREAD_SRC_HTTP_RESPONSE_HEAD_H_
