// Keeps the rate limits of client accounts together with the other nodes: takes
// tokens for requests, borrows them from the lender of each account, and lends
// those of the accounts whose lender this node is. quota.h has the decisions.
//
// Everything here must be used on the thread that runs the loop.
#ifndef TEASELSPREAD_SRC_EDGE_QUOTA_SERVICE_H_
#define TEASELSPREAD_SRC_EDGE_QUOTA_SERVICE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "edge/frames.h"
#include "teaselspread/counters.h"
#include "teaselspread/node_census.h"
#include "teaselspread/quota.h"
#include "teaselspread/snapshot.h"
#include "teaselspread/types.h"

namespace teaselspread {

// How requests of limited accounts were decided.
enum class QuotaEvent : std::uint8_t {
  kAdmitted,
  kDenied,
  kAdmittedAlone,
  kDeniedAlone,
  // The caller left, or the deadline passed, while the request waited.
  kCancelled,
  kRefunded,
  kCount,
};

// Stable name of a counter. Thread safe.
[[nodiscard]] std::string_view NameOf(QuotaEvent event);

// How token requests of this node ended.
enum class TokenRequestResult : std::uint8_t {
  kGranted,
  kNoTokens,
  kNotLender,
  kNoAnswer,
  kLinkLost,
  // There was no node to ask.
  kNoLender,
  kCount,
};

// Stable name of a counter. Thread safe.
[[nodiscard]] std::string_view NameOf(TokenRequestResult result);

// What the service needs from its node.
struct QuotaIo {
  // Sends over the link that this node opened. False if there is none.
  std::function<bool(const std::string& node, const TokenRequest&)>
      send_request;
  // Sends a LeavingFrame to all nodes that opened a link to this one.
  std::function<void()> announce_leave;
  // Calls QuotaService::Tick after the delay, in place of an earlier call that
  // is still due.
  std::function<void(Duration)> tick_after;
  std::function<TimePoint()> now = SteadyNow;
};

// Lender state of an account, for log lines.
struct QuotaStanding {
  // Empty if there is none.
  std::string lender;
  // Age of the lender's last answer; none before the first.
  std::optional<Duration> answer_age;
  // This node decides without a lender.
  bool alone = false;
};

// Not thread safe. Without limits it sends nothing and selects no lenders; it
// only records which nodes are connected.
class QuotaService {
 public:
  using Done = std::function<void(const QuotaDecision&)>;
  using Limits = std::map<std::string, AccountLimit, std::less<>>;

  // `self`: name and bandwidth of this node.
  QuotaService(const QuotaNode& self, const QuotaBounds& bounds, QuotaIo io);
  QuotaService(const QuotaService&) = delete;
  QuotaService& operator=(const QuotaService&) = delete;

  // The accounts with a limit in the configuration in force. Requests that wait
  // for tokens of other accounts are admitted.
  void SetLimits(const Limits& limits);
  // Whether any account has a limit.
  [[nodiscard]] bool IsActive() const { return !this->accounts.empty(); }

  // Calls `done` once, at once or later, unless Cancel is called before. The
  // outcome is kAdmitted or kDenied. Admits requests of accounts without a
  // limit. Precondition: no request of this id waits.
  void Acquire(std::uint64_t request, std::string_view account, Done done);
  // The request needs no token any more; `done` is not called. Does nothing if
  // it does not wait.
  void Cancel(std::uint64_t request, std::string_view account);
  // A request that was admitted has not reached an upstream.
  void Refund(std::string_view account);

  // Returns the answer to a token request of another node.
  [[nodiscard]] TokenGrantFrame OnTokenRequest(const TokenRequest& request);
  void OnTokenGrant(const std::string& node, const TokenGrantFrame& grant);

  // The node is part of the deployment, whether or not it is reached.
  void OnNodeKnown(std::string_view node);
  // OnNodeKnown has been called for all nodes of the deployment. Before, this
  // node neither lends nor spends a share of its own, which it would work out
  // from the nodes that happen to be linked: the sum of such shares, over nodes
  // that started together, is a multiple of the limit. Nodes that still learn
  // no roster after kRosterGrace serve their accounts all the same.
  void OnRosterKnown();
  [[nodiscard]] bool IsRosterKnown() const { return this->roster_known; }
  // Whether the node counts for the shares: it has neither left nor been lost
  // for long.
  [[nodiscard]] bool CountsNode(std::string_view node) const {
    return IsKnown(this->census, node);
  }
  // The link to the node is up, or its bandwidth has become known.
  void OnLinkUp(const std::string& node, std::uint32_t line_mbit);
  void OnLinkLost(const std::string& node);
  // The node announced a planned stop.
  void OnNodeLeaving(const std::string& node);
  // Another node has its address, so it is not part of the deployment any more.
  // Precondition: there is no link to it.
  void OnNodeReplaced(const std::string& node);
  // This node begins a planned stop: it announces that and lends no more.
  void BeginLeaving();

  // Ends what has timed out. Call at least every second and as QuotaIo demands.
  void Tick();

  [[nodiscard]] QuotaStanding StandingOf(std::string_view account) const;
  // Nodes that share the limits, with this one, and the part of the limits that
  // this node lends.
  [[nodiscard]] std::size_t KnownNodes() const { return this->known_nodes; }
  [[nodiscard]] double Share() const { return this->share; }

  CounterTable<QuotaEvent> events;
  CounterTable<TokenRequestResult> token_requests;
  // Tokens lent to other nodes, and borrowed from them.
  std::uint64_t tokens_lent = 0;
  std::uint64_t tokens_borrowed = 0;

 private:
  struct WaitingRequest {
    std::uint64_t id = 0;
    Done done;
    TimePoint since;
  };
  // A token request that has not been answered.
  struct SentRequest {
    std::uint32_t sequence = 0;
    std::string node;
    TimePoint sent_at;
    // Its requests wait no more; the tokens of a late answer are still used.
    bool timed_out = false;
  };
  struct LimitedAccount {
    AccountLimit limit;
    // Empty if no node is known to lend.
    std::string lender;
    std::deque<WaitingRequest> waiting;
    std::optional<SentRequest> sent;
    std::optional<TimePoint> answered_at;
    // While set, no lender has answered. The next token request is sent at
    // `ask_again_at`.
    std::optional<TimePoint> alone_since;
    TimePoint ask_again_at;
  };

  [[nodiscard]] LimitedAccount* Find(std::string_view account);
  [[nodiscard]] QuotaDecision Decide(std::string_view account,
                                     LimitedAccount& row);
  [[nodiscard]] QuotaDecision DecideAlone(std::string_view account,
                                          LimitedAccount& row);
  // This node is the lender itself.
  [[nodiscard]] QuotaDecision DecideAsLender(std::string_view account,
                                             LimitedAccount& row);
  // The same precondition as Serve.
  void Borrow(const std::string& account, LimitedAccount& row);
  // Decides the waiting requests as far as there are tokens, and borrows for
  // the others. `account` must not be a key of `accounts`: callbacks may remove
  // it.
  void Serve(const std::string& account);
  void Complete(const LimitedAccount& row,
                const Done& done,
                const QuotaDecision& decision);
  void ForgetSentRequest(LimitedAccount& row);
  void BeginAlone(std::string_view account,
                  LimitedAccount& row,
                  TokenRequestResult cause);
  void EndAlone(std::string_view account, LimitedAccount& row);
  void RemoveAccounts(const Limits& kept);
  void SelectLenders();
  // Returns whether the lender has changed.
  bool SetLender(const std::string& account,
                 LimitedAccount& row,
                 std::string_view selected);
  void OnLenderAnswer(const std::string& account,
                      LimitedAccount& row,
                      const TokenGrantFrame& grant,
                      TimePoint sent_at,
                      bool is_current);
  // Returns tokens that expired unspent, unless a request for tokens that is
  // under way or about to be sent takes them back.
  void ReturnUnspent();
  void ReturnTo(const std::string& lender_node, const std::string& account);
  // Has Tick return what remains of the account's tokens in time.
  void ReturnLater(std::string_view account);
  void RefreshCensus();
  // Requests that have waited for the roster for too long are denied.
  void DenyUnsettled(const std::string& account);
  void TickBy(TimePoint due);
  [[nodiscard]] TimePoint NextDue() const;

  std::string self;
  std::uint32_t self_mbit;
  QuotaIo io;
  TokenBorrower borrower;
  TokenLender lender;
  NodeCensus census;
  std::size_t known_nodes = 1;
  double share = 1;
  // Bandwidths of the connected nodes, by name.
  std::map<std::string, std::uint32_t, std::less<>> connected;
  std::set<std::string, std::less<>> leaving;
  bool self_leaving = false;
  bool roster_known = false;
  TimePoint started_at;
  std::map<std::string, LimitedAccount, std::less<>> accounts;
  // Accounts of the token requests that have not been answered.
  std::map<std::uint32_t, std::string> sent_by_sequence;
  std::uint32_t last_sequence = 0;
  // When Tick is due; the epoch if it is not.
  TimePoint tick_due;
  Rng rng;
};

}  // namespace teaselspread

#endif  // TEASELSPREAD_SRC_EDGE_QUOTA_SERVICE_H_
