// Client accounts: which account a request belongs to, and the priority that
// follows from it.
//
// Pure: the caller passes everything in, and nothing is kept here.
#ifndef TEASELSPREAD_ACCOUNTS_H_
#define TEASELSPREAD_ACCOUNTS_H_

#include <cstdint>
#include <string_view>

#include "teaselspread/error.h"
#include "teaselspread/snapshot.h"

namespace teaselspread {

// The account of a request that matched `route` of `snapshot`; null if the
// request has none. `authorization`: value of its Authorization header, empty
// without one. `is_nested_call`: whether a running request made it. Errors:
// kUnauthorized for an unknown API key, or for none where one is needed;
// kNotReady for a request without a key whose id is that of a nested call of an
// unknown parent request. Error messages do not contain the key. The result
// points into `snapshot`. Thread safe.
[[nodiscard]] Result<const AccountConfig*> IdentifyCaller(
    const Snapshot& snapshot,
    const RouteConfig& route,
    std::string_view authorization,
    bool is_nested_call,
    std::string_view request_id);

// Order of a request among those that wait.
struct RequestPriority {
  Priority priority = Priority::kNormal;
  // Among requests of the same priority; lower values run first.
  std::uint8_t tie_break = 0;

  bool operator==(const RequestPriority&) const = default;
};

// Priority of nested calls: before all other requests, also before those of an
// account and a route of the highest priority.
inline constexpr RequestPriority kNestedCallPriority{Priority::kInternal, 0};

// The account's priority, then the route's. The route's alone for a request
// without an account (null) or of an account without a priority. Thread safe.
[[nodiscard]] RequestPriority EffectivePriority(const AccountConfig* account,
                                                const RouteConfig& route);

// The priority as one byte between nodes. Releases that know no accounts use
// the values of Priority. Where the route's priority alone counts, the byte is
// the same as theirs. Precondition: `priority` is a result of EffectivePriority
// or kNestedCallPriority. Thread safe.
[[nodiscard]] std::uint8_t EncodePriority(const RequestPriority& priority);

// Accepts every byte; bits without a meaning are ignored. Thread safe.
[[nodiscard]] RequestPriority DecodePriority(std::uint8_t byte);

}  // namespace teaselspread

#endif  // TEASELSPREAD_ACCOUNTS_H_
