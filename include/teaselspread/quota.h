// Rate limits of client accounts, over all nodes together.
//
// A token is the right to run one request of an account. For each account one
// node, the lender, holds a token bucket; the others borrow a few tokens at a
// time from it. A node that reaches no lender spends its own small share of the
// limit, and the lender leaves out the share of nodes that it does not reach,
// so the sum holds while the network is partitioned.
//
// Pure: the caller passes the time in. Nothing here is thread safe.
#ifndef TEASELSPREAD_QUOTA_H_
#define TEASELSPREAD_QUOTA_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "teaselspread/snapshot.h"
#include "teaselspread/types.h"

namespace teaselspread {

// Agreed bounds: in any `window` at most (rate * window + burst) * (1 +
// `excess`) + `slack` requests of an account run, over all nodes.
struct QuotaBounds {
  Duration window = std::chrono::seconds(5);
  double excess = 0.1;
  double slack = 20;
};

// Time within which a borrowed token has to be spent. Tokens spent in a window
// were lent up to this long before it.
[[nodiscard]] Duration TokenLifetime(const QuotaBounds& bounds);

// A node that can be reached, as a possible lender.
struct QuotaNode {
  std::string_view name;
  // Bandwidth of its VM's network line; 0 if unknown.
  std::uint32_t line_mbit = 0;
};

// The lender of `account`'s tokens: one of the nodes with the most bandwidth,
// so that accounts spread over them and all nodes select the same one. Empty if
// `reachable` is.
[[nodiscard]] std::string_view LenderOf(std::string_view account,
                                        std::span<const QuotaNode> reachable);

struct TokenBucket {
  double tokens = 0;
  TimePoint refilled_at;
};

// The accounts for which this node lends.
struct TokenLender {
  QuotaBounds bounds;
  std::map<std::string, TokenBucket, std::less<>> buckets;
};

// Starts with an empty bucket, as the previous lender may have lent all tokens.
// Does nothing if this node lends for `account` already.
void BeginLending(TokenLender& lender, std::string_view account, TimePoint now);
void StopLending(TokenLender& lender, std::string_view account);

struct TokenGrant {
  std::uint32_t tokens = 0;
  // Time until the next token if fewer than requested were lent, otherwise
  // zero.
  Duration retry_after{};
};

// Lends up to `wanted` tokens. `share`: fraction of the limit that this lender
// may lend, 0..1. Lends none for an account that it has not begun to lend for.
[[nodiscard]] TokenGrant Lend(TokenLender& lender,
                              std::string_view account,
                              const AccountLimit& limit,
                              double share,
                              std::uint32_t wanted,
                              TimePoint now);

// Returns tokens that a borrower has not spent. To be called before Lend for
// the same request. Does nothing if this node does not lend for `account`;
// tokens beyond the bucket's capacity are dropped.
void TakeBack(TokenLender& lender,
              std::string_view account,
              const AccountLimit& limit,
              std::uint32_t unspent);

enum class QuotaOutcome : std::uint8_t {
  kAdmitted,
  // Over the limit.
  kDenied,
  // This node has no token: AskFor, or SpendAlone without a lender.
  kMustBorrow,
};

struct QuotaDecision {
  QuotaOutcome outcome = QuotaOutcome::kMustBorrow;
  // For kDenied: when a token will be available.
  Duration retry_after{};
};

// What this node holds of one account's tokens.
struct BorrowedTokens {
  std::uint32_t tokens = 0;
  TimePoint valid_until;
  // Tokens that expired unspent and have not been returned yet, and since when.
  std::uint32_t unspent = 0;
  TimePoint unspent_since;
  // The lender had no tokens until then.
  TimePoint denied_until;
  // Moving average of the requests a second that borrowed tokens admitted.
  double demand_per_second = 0;
  TimePoint last_request_at;
  // Spent without a lender. None before the first time, and after a lender has
  // answered more than a window after the last time.
  std::optional<TokenBucket> own_share;
  // Whether the last request was decided without a lender.
  bool is_alone = false;
};

struct TokenBorrower {
  QuotaBounds bounds;
  std::map<std::string, BorrowedTokens, std::less<>> accounts;
};

// Takes a token for one request, if this node holds a valid one. To be called
// again for a request that has waited for a grant.
[[nodiscard]] QuotaDecision Spend(TokenBorrower& borrower,
                                  std::string_view account,
                                  TimePoint now);

struct TokenAsk {
  std::uint32_t wanted = 0;
  std::uint32_t unspent = 0;
};

// What to request from the lender while `waiting` requests wait for tokens: one
// for each, and those that are expected within a token's lifetime. If none
// waits, `wanted` is 0, and `unspent` may be returned alone. Removes the
// unspent tokens from `borrower`; the caller sends them to the lender.
[[nodiscard]] TokenAsk AskFor(TokenBorrower& borrower,
                              std::string_view account,
                              std::uint32_t waiting,
                              TimePoint now);

// `asked_at`: when the request for tokens was sent; their lifetime counts from
// then, so that it ends here before it ends for the lender. Also to be called
// for an answer that comes too late for the requests that waited, so that its
// tokens are returned.
void OnGrant(TokenBorrower& borrower,
             std::string_view account,
             const TokenGrant& grant,
             TimePoint asked_at,
             TimePoint now);

// A request that had been admitted was refused before it reached an upstream.
// Precondition: Spend or SpendAlone admitted it, and it was not refunded
// before.
void Refund(TokenBorrower& borrower, std::string_view account, TimePoint now);

// Accounts with tokens to return, which the next request for tokens would take
// back too late if this node has few requests of the account. To be called more
// often than once a TokenLifetime, and AskFor with none waiting for each.
[[nodiscard]] std::vector<std::string> AccountsToReturn(TokenBorrower& borrower,
                                                        TimePoint now);

// Decides without a lender: this node's equal share of the limit. It starts
// with a part of the excess and the slack, rounded at random so that few nodes
// have a token too many at a time, and grows after the time
// in which a lost link is detected. It starts anew if a lender has answered
// more than a window after the last call. `known_nodes`: from the NodeCensus,
// with this one.
[[nodiscard]] QuotaDecision SpendAlone(TokenBorrower& borrower,
                                       std::string_view account,
                                       const AccountLimit& limit,
                                       std::size_t known_nodes,
                                       TimePoint now,
                                       Rng& rng);

}  // namespace teaselspread

#endif  // TEASELSPREAD_QUOTA_H_
