#include "teaselspread/accounts.h"

#include <criterion/criterion.h>

#include <string>
#include <tuple>

namespace teaselspread {
namespace {

Snapshot MakeSnapshot() {
  Snapshot snapshot;
  snapshot.has_accounts = true;
  snapshot.accounts["ada"] = {"ada", Priority::kNormal, {}};
  snapshot.account_by_key["k-ada"] = "ada";
  return snapshot;
}

RouteConfig MakeRoute(bool allow_anonymous,
                      Priority priority = Priority::kNormal) {
  RouteConfig route;
  route.allow_anonymous = allow_anonymous;
  route.priority = priority;
  return route;
}

// Name of the account, "-" without one, or name of the error.
std::string Identify(const Snapshot& snapshot,
                     std::string_view authorization,
                     bool allow_anonymous = false,
                     bool is_nested_call = false,
                     std::string_view request_id = "q-1") {
  const auto account =
      IdentifyCaller(snapshot, MakeRoute(allow_anonymous), authorization,
                     is_nested_call, request_id);
  if (!account)
    return std::string(NameOf(account.error().kind));
  return *account == nullptr ? "-" : (*account)->name;
}

// Deployments without accounts may use the header for something else.
Test(accounts, without_accounts_every_caller_is_served) {
  const Snapshot snapshot;
  for (const char* header : {"", "Bearer k-ada", "Basic eDp5", "Bearer"})
    cr_assert(Identify(snapshot, header) == "-", "%s", header);
  cr_assert(Identify(snapshot, "", false, false, "unknown.1") == "-");
}

Test(accounts, a_key_gives_its_account) {
  const Snapshot snapshot = MakeSnapshot();
  for (const char* header :
       {"Bearer k-ada", "bearer k-ada", "BEARER  k-ada ", " Bearer k-ada"})
    cr_assert(Identify(snapshot, header) == "ada", "%s", header);
  cr_assert(Identify(snapshot, "Bearer k-ada", true) == "ada");
  cr_assert(Identify(snapshot, "Bearer k-ada", false, true) == "ada");
  cr_assert(Identify(snapshot, "Bearer k-ada", false, false, "q.1") == "ada");
}

// Guards against parts of keys, other schemes and empty keys that pass, and
// against a removed key that is served on a route which needs none.
Test(accounts, an_unknown_key_is_refused_on_every_route) {
  const Snapshot snapshot = MakeSnapshot();
  for (const char* header :
       {"Bearer k-ad", "Bearer k-ada2", "Bearer K-ADA", "Bearer ada", "Bearer",
        "Bearer ", "k-ada", "Basic k-ada", "Bearerk-ada",
        "Bearer k-ada k-ada"}) {
    for (const bool allow_anonymous : {false, true}) {
      for (const bool is_nested_call : {false, true}) {
        cr_assert(Identify(snapshot, header, allow_anonymous, is_nested_call,
                           "q-1.1") == "unauthorized",
                  "%s", header);
      }
    }
  }
}

// An empty list of accounts has no valid key.
Test(accounts, without_any_account_every_key_is_refused) {
  Snapshot snapshot;
  snapshot.has_accounts = true;
  cr_assert(Identify(snapshot, "Bearer k-ada") == "unauthorized");
  cr_assert(Identify(snapshot, "") == "unauthorized");
  cr_assert(Identify(snapshot, "", true) == "-");
}

// Upstreams have no key for their calls. A call whose parent is unknown because
// the node has restarted must be repeated, and 401 would end it.
Test(accounts, nested_calls_need_no_key) {
  const Snapshot snapshot = MakeSnapshot();
  cr_assert(Identify(snapshot, "", false, true, "q-1.1") == "-");
  cr_assert(Identify(snapshot, "", false, false, "q-1.1") == "not-ready");
  cr_assert(Identify(snapshot, "", true, false, "q-1.1") == "-");
  cr_assert(Identify(snapshot, "", false, false, "q-1") == "unauthorized");
  cr_assert(Identify(snapshot, "", false, false, "") == "unauthorized");
}

// Errors end in logs and responses.
Test(accounts, errors_do_not_contain_the_key) {
  const auto account = IdentifyCaller(MakeSnapshot(), MakeRoute(false),
                                      "Bearer k-secret", false, "q-1");
  cr_assert_not(account.has_value());
  cr_assert(account.error().message.find("secret") == std::string::npos);
}

auto OrderOf(const RequestPriority& priority) {
  return std::tuple(priority.priority, priority.tie_break);
}

// Guards against a route of high priority whose requests overtake those of a
// more urgent account, and against nested calls that wait behind other
// requests.
Test(accounts, the_account_goes_before_the_route) {
  const AccountConfig urgent{"ada", Priority::kInternal, {}};
  const AccountConfig normal{"bo", Priority::kNormal, {}};
  const RouteConfig high = MakeRoute(false, Priority::kInternal);
  const RouteConfig medium = MakeRoute(false, Priority::kNormal);
  const RouteConfig low = MakeRoute(false, Priority::kBackground);
  const auto order = [](const AccountConfig& account,
                        const RouteConfig& route) {
    return OrderOf(EffectivePriority(&account, route));
  };
  cr_assert(OrderOf(kNestedCallPriority) < order(urgent, high));
  cr_assert(order(urgent, high) < order(urgent, medium));
  cr_assert(order(urgent, medium) < order(urgent, low));
  cr_assert(order(urgent, low) < order(normal, high));
  cr_assert(order(normal, high) < order(normal, medium));
  cr_assert(order(normal, medium) < order(normal, low));
}

// Guards against anonymous requests that go before all those of accounts, and
// against those of accounts that go before them, on the same route.
Test(accounts, requests_without_an_account_equal_those_of_the_same_priority) {
  const AccountConfig normal{"bo", Priority::kNormal, {}};
  const AccountConfig without_priority{"cy", std::nullopt, {}};
  const RouteConfig medium = MakeRoute(false, Priority::kNormal);
  const RequestPriority anonymous = EffectivePriority(nullptr, medium);
  cr_assert(EffectivePriority(&normal, medium) == anonymous);
  cr_assert(EffectivePriority(&without_priority, medium) == anonymous);
}

Test(accounts, a_priority_is_the_same_at_the_gate) {
  for (const Priority route :
       {Priority::kInternal, Priority::kNormal, Priority::kBackground}) {
    const RequestPriority anonymous =
        EffectivePriority(nullptr, MakeRoute(true, route));
    cr_assert(DecodePriority(EncodePriority(anonymous)) == anonymous);
    for (const Priority account :
         {Priority::kInternal, Priority::kNormal, Priority::kBackground}) {
      const AccountConfig config{"ada", account, {}};
      const RequestPriority sent =
          EffectivePriority(&config, MakeRoute(false, route));
      cr_assert(DecodePriority(EncodePriority(sent)) == sent);
    }
  }
}

// The byte comes from another process: none may give a priority that does not
// exist.
Test(accounts, every_byte_is_a_priority) {
  for (unsigned byte = 0; byte <= 0xFF; ++byte) {
    const RequestPriority priority =
        DecodePriority(static_cast<std::uint8_t>(byte));
    cr_assert(priority.priority <= Priority::kBackground);
    cr_assert(priority.tie_break <= 3);
  }
}

}  // namespace
}  // namespace teaselspread
