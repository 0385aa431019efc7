#include "teaselspread/accounts.h"

#include <algorithm>

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/string_view.h>

namespace teaselspread {
namespace {

constexpr absl::string_view kScheme = "Bearer";
constexpr unsigned kPriorityBits = 2;
constexpr std::uint8_t kPriorityMask = (1U << kPriorityBits) - 1;

// The API key that the header bears; empty if it bears none, for example
// because it is of another scheme.
std::string_view ApiKeyOf(std::string_view authorization) {
  const absl::string_view value = absl::StripAsciiWhitespace(
      absl::string_view(authorization.data(), authorization.size()));
  const absl::string_view scheme = value.substr(0, value.find(' '));
  if (!absl::EqualsIgnoreCase(scheme, kScheme))
    return {};
  const absl::string_view key =
      absl::StripLeadingAsciiWhitespace(value.substr(scheme.size()));
  return {key.data(), key.size()};
}

// Nested calls have the id of their parent request, a dot and a suffix.
bool HasIdOfNestedCall(std::string_view request_id) {
  return request_id.find('.') != std::string_view::npos;
}

// Stands in the tie-break for the route's priority. Not 0, so that nested calls
// go before requests of an account and a route of the highest priority.
std::uint8_t TieBreakOf(Priority route_priority) {
  return static_cast<std::uint8_t>(static_cast<unsigned>(route_priority) + 1);
}

// Tie-break of a request whose route's priority alone counts. Routes of the
// highest priority rank equal to nested calls.
std::uint8_t DefaultTieBreak(Priority priority) {
  return priority == Priority::kInternal ? 0 : TieBreakOf(priority);
}

}  // namespace

Result<const AccountConfig*> IdentifyCaller(const Snapshot& snapshot,
                                            const RouteConfig& route,
                                            std::string_view authorization,
                                            bool is_nested_call,
                                            std::string_view request_id) {
  if (!snapshot.has_accounts)
    return nullptr;
  if (!authorization.empty()) {
    const auto key = snapshot.account_by_key.find(ApiKeyOf(authorization));
    if (key == snapshot.account_by_key.end())
      return Fail(ErrorKind::kUnauthorized, "unknown API key");
    const auto account = snapshot.accounts.find(key->second);
    if (account == snapshot.accounts.end())
      return Fail(ErrorKind::kUnauthorized, "API key without an account");
    return &account->second;
  }
  if (route.allow_anonymous || is_nested_call)
    return nullptr;
  if (HasIdOfNestedCall(request_id))
    return Fail(ErrorKind::kNotReady, "nested call of an unknown request");
  return Fail(ErrorKind::kUnauthorized, "no API key");
}

RequestPriority EffectivePriority(const AccountConfig* account,
                                  const RouteConfig& route) {
  if (account == nullptr || !account->priority)
    return {route.priority, DefaultTieBreak(route.priority)};
  return {*account->priority, TieBreakOf(route.priority)};
}

std::uint8_t EncodePriority(const RequestPriority& priority) {
  const unsigned tie_break =
      priority.tie_break == DefaultTieBreak(priority.priority)
          ? 0
          : priority.tie_break;
  return static_cast<std::uint8_t>(static_cast<unsigned>(priority.priority) |
                                   tie_break << kPriorityBits);
}

RequestPriority DecodePriority(std::uint8_t byte) {
  constexpr auto kLowest = static_cast<std::uint8_t>(Priority::kBackground);
  const auto rank = std::min<std::uint8_t>(byte & kPriorityMask, kLowest);
  const auto priority = static_cast<Priority>(rank);
  const auto tie_break =
      static_cast<std::uint8_t>(byte >> kPriorityBits & kPriorityMask);
  return {priority, tie_break == 0 ? DefaultTieBreak(priority) : tie_break};
}

}  // namespace teaselspread
