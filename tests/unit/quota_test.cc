// Decisions of one lender, one borrower and the node census. The fleet as a
// whole is in quota_fleet_test. Virtual clock, seeds.
#include "teaselspread/quota.h"

#include "teaselspread/node_census.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <string>
#include <vector>

namespace teaselspread {
namespace {

using Ms = std::chrono::milliseconds;
using Seconds = std::chrono::seconds;

const TimePoint kStart{std::chrono::hours(1)};
constexpr AccountLimit kLimit{.per_second = 20, .burst = 20};
constexpr std::string_view kAccount = "account-7";

std::vector<std::string> Names(std::size_t count) {
  std::vector<std::string> names;
  for (std::size_t index = 0; index < count; ++index)
    names.push_back("vm-" + std::to_string(index));
  return names;
}

std::vector<QuotaNode> Nodes(const std::vector<std::string>& names,
                             std::uint32_t line_mbit) {
  std::vector<QuotaNode> nodes;
  nodes.reserve(names.size());
  for (const std::string& name : names)
    nodes.push_back({name, line_mbit});
  return nodes;
}

TokenLender LenderSince(TimePoint since) {
  TokenLender lender;
  BeginLending(lender, kAccount, since);
  return lender;
}

std::uint32_t LendAt(TokenLender& lender, std::uint32_t wanted, TimePoint now) {
  return Lend(lender, kAccount, kLimit, 1, wanted, now).tokens;
}

// A borrower that asked for `tokens` at `asked_at` and was lent all of them.
TokenBorrower BorrowerWith(std::uint32_t tokens, TimePoint asked_at) {
  TokenBorrower borrower;
  (void)AskFor(borrower, kAccount, tokens, asked_at);
  OnGrant(borrower, kAccount, {tokens, {}}, asked_at, asked_at);
  return borrower;
}

std::uint32_t SpendUpTo(TokenBorrower& borrower,
                        std::uint32_t requests,
                        TimePoint now) {
  std::uint32_t admitted = 0;
  for (std::uint32_t request = 0; request < requests; ++request) {
    if (Spend(borrower, kAccount, now).outcome == QuotaOutcome::kAdmitted)
      ++admitted;
  }
  return admitted;
}

Test(quota, lifetime_is_half_of_the_excess_of_a_window) {
  cr_assert(TokenLifetime({}) == Ms(250));
  cr_assert(TokenLifetime({.window = Seconds(10), .excess = 0.2}) ==
            Seconds(1));
}

// Two lenders for one account would lend its limit twice.
Test(quota, nodes_select_the_same_lender_whatever_their_order) {
  const std::vector<std::string> names = Names(85);
  std::vector<QuotaNode> nodes = Nodes(names, 1000);
  Rng rng(1);
  for (int account = 0; account < 100; ++account) {
    const std::string name = "account-" + std::to_string(account);
    const std::string lender(LenderOf(name, nodes));
    std::shuffle(nodes.begin(), nodes.end(), rng);
    cr_assert_eq(LenderOf(name, nodes), lender);
  }
  cr_assert(LenderOf(kAccount, {}).empty());
}

// One lender for all accounts would carry the messages of all.
Test(quota, accounts_spread_over_the_nodes_with_the_most_bandwidth) {
  const std::vector<std::string> names = Names(12);
  std::vector<QuotaNode> nodes = Nodes(names, 1000);
  for (std::size_t index = 0; index < 8; ++index)
    nodes[index].line_mbit = 100;
  std::map<std::string, int> accounts_by_lender;
  for (int account = 0; account < 400; ++account) {
    const std::string name = "account-" + std::to_string(account);
    ++accounts_by_lender[std::string(LenderOf(name, nodes))];
  }
  cr_assert_eq(accounts_by_lender.size(), 4U);
  for (const auto& [lender, accounts] : accounts_by_lender) {
    cr_assert(lender >= "vm-8" || lender.size() > 4, "%s", lender.c_str());
    cr_assert_geq(accounts, 60);
  }
}

// The loss of one node must not move the accounts of the other lenders, whose
// new buckets would start empty.
Test(quota, losing_a_node_moves_only_its_own_accounts) {
  const std::vector<std::string> names = Names(85);
  const std::vector<QuotaNode> all = Nodes(names, 0);
  std::vector<QuotaNode> rest = all;
  rest.erase(rest.begin() + 17);
  for (int account = 0; account < 300; ++account) {
    const std::string name = "account-" + std::to_string(account);
    const std::string_view before = LenderOf(name, all);
    if (before != names[17])
      cr_assert_eq(LenderOf(name, rest), before);
  }
}

// The previous lender may have lent all tokens just before.
Test(quota, a_lender_starts_empty_and_fills_at_the_rate) {
  TokenLender lender = LenderSince(kStart);
  const TokenGrant none = Lend(lender, kAccount, kLimit, 1, 1, kStart);
  cr_assert_eq(none.tokens, 0U);
  cr_assert(none.retry_after == Ms(50));
  cr_assert_eq(LendAt(lender, 100, kStart + Ms(500)), 10U);
  BeginLending(lender, kAccount, kStart + Ms(500));
  cr_assert_eq(LendAt(lender, 1, kStart + Ms(550)), 1U);
}

Test(quota, a_lender_holds_the_burst_and_a_quarter_of_the_slack) {
  TokenLender lender = LenderSince(kStart);
  cr_assert_eq(LendAt(lender, 100, kStart + Seconds(60)), 25U);
  TokenLender third = LenderSince(kStart);
  const TimePoint later = kStart + Seconds(60);
  cr_assert_eq(Lend(third, kAccount, kLimit, 1.0 / 3, 100, later).tokens, 8U);
}

// With a share of the burst below one token, nothing would ever be lent.
Test(quota, the_smallest_share_still_lends_single_tokens) {
  TokenLender lender = LenderSince(kStart);
  const AccountLimit small{.per_second = 5, .burst = 5};
  const double share = 1.0 / 85;
  cr_assert_eq(
      Lend(lender, kAccount, small, share, 4, kStart + Seconds(60)).tokens, 1U);
}

Test(quota, a_lower_limit_holds_from_the_next_request_for_tokens) {
  TokenLender lender = LenderSince(kStart);
  cr_assert_eq(LendAt(lender, 1, kStart + Seconds(60)), 1U);
  const AccountLimit lower{.per_second = 2, .burst = 2};
  const TokenGrant grant =
      Lend(lender, kAccount, lower, 1, 100, kStart + Seconds(60));
  cr_assert_eq(grant.tokens, 7U);
  cr_assert(grant.retry_after == Ms(500));
}

Test(quota, a_node_that_does_not_lend_grants_nothing) {
  TokenLender lender = LenderSince(kStart);
  StopLending(lender, kAccount);
  cr_assert_eq(LendAt(lender, 5, kStart + Seconds(60)), 0U);
  TakeBack(lender, kAccount, kLimit, 5);
  cr_assert(lender.buckets.empty());
}

Test(quota, returned_tokens_are_lent_again_within_the_capacity) {
  TokenLender lender = LenderSince(kStart);
  cr_assert_eq(LendAt(lender, 10, kStart + Ms(500)), 10U);
  TakeBack(lender, kAccount, kLimit, 4);
  cr_assert_eq(LendAt(lender, 10, kStart + Ms(500)), 4U);
  TakeBack(lender, kAccount, kLimit, 1000);
  cr_assert_eq(LendAt(lender, 1000, kStart + Ms(500)), 25U);
}

// A limit of zero or a lost refill must not ask for a wait without end.
Test(quota, the_wait_for_the_next_token_is_bounded) {
  TokenLender lender = LenderSince(kStart);
  const AccountLimit slow{.per_second = 0.01, .burst = 1};
  for (const AccountLimit& limit : {slow, AccountLimit{}}) {
    const TokenGrant grant = Lend(lender, kAccount, limit, 1, 1, kStart);
    cr_assert_eq(grant.tokens, 0U);
    cr_assert(grant.retry_after == Seconds(5));
  }
}

Test(quota, borrowed_tokens_admit_until_they_expire) {
  TokenBorrower borrower = BorrowerWith(3, kStart);
  cr_assert_eq(SpendUpTo(borrower, 1, kStart + Ms(249)), 1U);
  const QuotaDecision late = Spend(borrower, kAccount, kStart + Ms(250));
  cr_assert(late.outcome == QuotaOutcome::kMustBorrow);
  cr_assert_eq(AskFor(borrower, kAccount, 1, kStart + Ms(260)).unspent, 2U);
  cr_assert_eq(AskFor(borrower, kAccount, 1, kStart + Ms(260)).unspent, 0U);
}

// Guards against bounds without an excess: tokens that expire at once would
// admit nothing, and the lender would ask itself again and again.
Test(quota, tokens_outlive_a_round_trip_without_an_agreed_excess) {
  cr_assert_gt(TokenLifetime({.window = Seconds(5), .excess = 0}), Ms(10));
}

// The lifetime starts when the request for tokens is sent. Counted from the
// answer, a slow answer would let tokens be spent long after they were lent.
Test(quota, an_answer_that_comes_after_the_lifetime_admits_nothing) {
  TokenBorrower borrower;
  const TimePoint now = kStart + Ms(300);
  OnGrant(borrower, kAccount, {4, {}}, kStart, now);
  cr_assert_eq(SpendUpTo(borrower, 4, now), 0U);
  cr_assert_eq(AskFor(borrower, kAccount, 1, now).unspent, 4U);
}

// Tokens returned after a long pause would run beside a bucket that has been
// refilled in the meantime.
Test(quota, old_unspent_tokens_are_not_returned) {
  TokenBorrower borrower = BorrowerWith(3, kStart);
  cr_assert_eq(AskFor(borrower, kAccount, 1, kStart + Ms(501)).unspent, 0U);
}

Test(quota, a_grant_of_none_denies_until_the_next_token) {
  TokenBorrower borrower;
  OnGrant(borrower, kAccount, {0, Ms(50)}, kStart, kStart);
  const QuotaDecision denied = Spend(borrower, kAccount, kStart + Ms(20));
  cr_assert(denied.outcome == QuotaOutcome::kDenied);
  cr_assert(denied.retry_after == Ms(30));
  cr_assert(Spend(borrower, kAccount, kStart + Ms(50)).outcome ==
            QuotaOutcome::kMustBorrow);
}

// A part of what was wanted is spent first; then no token exists for a while.
Test(quota, a_smaller_grant_is_spent_before_requests_are_denied) {
  TokenBorrower borrower;
  OnGrant(borrower, kAccount, {2, Ms(50)}, kStart, kStart);
  cr_assert_eq(SpendUpTo(borrower, 2, kStart), 2U);
  cr_assert(Spend(borrower, kAccount, kStart).outcome == QuotaOutcome::kDenied);
}

// Without tokens for expected requests, each request of a large account would
// wait for a round trip.
Test(quota, tokens_are_borrowed_for_the_expected_requests) {
  TokenBorrower borrower;
  TimePoint now = kStart;
  for (int request = 0; request < 200; ++request) {
    now += Ms(25);
    OnGrant(borrower, kAccount, {1, {}}, now, now);
    cr_assert_eq(SpendUpTo(borrower, 1, now), 1U);
  }
  const std::uint32_t wanted = AskFor(borrower, kAccount, 1, now).wanted;
  cr_assert(wanted >= 10 && wanted <= 12, "%u", wanted);
  cr_assert_eq(AskFor(borrower, kAccount, 3, now + Seconds(30)).wanted, 3U);
}

Test(quota, a_refund_admits_another_request) {
  TokenBorrower borrower = BorrowerWith(1, kStart);
  cr_assert_eq(SpendUpTo(borrower, 2, kStart), 1U);
  Refund(borrower, kAccount, kStart + Ms(10));
  cr_assert_eq(SpendUpTo(borrower, 2, kStart + Ms(10)), 1U);
  Refund(borrower, kAccount, kStart + Ms(800));
  cr_assert_eq(SpendUpTo(borrower, 1, kStart + Ms(800)), 0U);
  cr_assert_eq(AskFor(borrower, kAccount, 1, kStart + Ms(900)).unspent, 1U);
}

// A node with few requests of an account would keep refunded tokens until they
// are too old to be returned.
Test(quota, refunded_tokens_are_returned_without_a_waiting_request) {
  TokenBorrower borrower = BorrowerWith(2, kStart);
  cr_assert_eq(SpendUpTo(borrower, 2, kStart), 2U);
  cr_assert(AccountsToReturn(borrower, kStart + Ms(300)).empty());
  Refund(borrower, kAccount, kStart + Ms(300));
  const std::vector<std::string> accounts =
      AccountsToReturn(borrower, kStart + Ms(400));
  cr_assert(accounts == std::vector<std::string>{std::string(kAccount)});
  const TokenAsk ask = AskFor(borrower, kAccount, 0, kStart + Ms(400));
  cr_assert_eq(ask.wanted, 0U);
  cr_assert_eq(ask.unspent, 1U);
  // The answer denies nothing.
  TokenLender lender = LenderSince(kStart);
  const TokenGrant grant = Lend(lender, kAccount, kLimit, 1, 0, kStart);
  cr_assert_eq(grant.tokens, 0U);
  cr_assert(grant.retry_after == Duration::zero());
}

Test(quota, a_refund_of_a_request_decided_alone_goes_to_the_own_share) {
  TokenBorrower borrower;
  Rng rng(1);
  const auto alone = [&] {
    return SpendAlone(borrower, kAccount, kLimit, 1, kStart, rng).outcome;
  };
  while (alone() == QuotaOutcome::kAdmitted) {
  }
  Refund(borrower, kAccount, kStart);
  cr_assert(alone() == QuotaOutcome::kAdmitted);
  cr_assert(alone() == QuotaOutcome::kDenied);
  cr_assert_eq(AskFor(borrower, kAccount, 1, kStart).unspent, 0U);
}

// A whole token for each of 85 nodes at once would be 85 requests. All own
// shares start with 0.75 x 0.1 x (20 x 5 + 20) requests of the excess and 10 of
// the slack together.
Test(quota, nodes_that_start_alone_share_a_part_of_the_agreed_excess) {
  constexpr int kFleets = 200;
  int admitted = 0;
  Rng rng(5);
  for (int fleet = 0; fleet < kFleets; ++fleet) {
    for (int node = 0; node < 85; ++node) {
      TokenBorrower borrower;
      if (SpendAlone(borrower, kAccount, kLimit, 85, kStart, rng).outcome ==
          QuotaOutcome::kAdmitted)
        ++admitted;
    }
  }
  const double mean = static_cast<double>(admitted) / kFleets;
  cr_assert(mean > 18.5 && mean < 19.5, "%f", mean);
}

Test(quota, a_node_alone_keeps_to_its_share_of_the_rate) {
  TokenBorrower borrower;
  Rng rng(1);
  int admitted = 0;
  for (TimePoint now = kStart; now < kStart + Seconds(100); now += Ms(10)) {
    if (SpendAlone(borrower, kAccount, kLimit, 10, now, rng).outcome ==
        QuotaOutcome::kAdmitted)
      ++admitted;
  }
  // 20 a second over 10 nodes, and the token that it starts with.
  cr_assert(admitted >= 199 && admitted <= 201, "%d", admitted);
}

// The lender lends the whole limit while it is reached: an own share that grew
// meanwhile would admit that much again whenever the lender dies.
Test(quota, the_own_share_does_not_grow_while_a_lender_answers) {
  TokenBorrower borrower;
  Rng rng(1);
  const auto alone = [&](TimePoint now) {
    return SpendAlone(borrower, kAccount, kLimit, 10, now, rng).outcome;
  };
  while (alone(kStart) == QuotaOutcome::kAdmitted) {
  }
  OnGrant(borrower, kAccount, {0, {}}, kStart + Ms(1), kStart + Ms(2));
  cr_assert(alone(kStart + Seconds(4)) == QuotaOutcome::kDenied);
  cr_assert(alone(kStart + Ms(4500)) == QuotaOutcome::kAdmitted);
}

// Guards against a slow lender, whose tokens expire on the way: its answers
// would stop the own share from growing, and the node would admit nothing.
Test(quota, answers_that_come_too_late_do_not_stop_the_own_share) {
  TokenBorrower borrower;
  Rng rng(1);
  const auto alone = [&](TimePoint now) {
    return SpendAlone(borrower, kAccount, kLimit, 10, now, rng).outcome;
  };
  while (alone(kStart) == QuotaOutcome::kAdmitted) {
  }
  OnGrant(borrower, kAccount, {3, {}}, kStart + Ms(1), kStart + Seconds(1));
  cr_assert(alone(kStart + Seconds(4)) == QuotaOutcome::kAdmitted);
}

Test(node_census, counts_nodes_of_the_roster_and_those_reached) {
  NodeCensus census{.self = "vm-0"};
  for (const std::string& name : Names(10))
    OnNodeKnown(census, name, kStart);
  cr_assert_eq(CountKnown(census, kStart), 10U);
  cr_assert_float_eq(ReachedShare(census, kStart), 0.1, 1e-9);
  for (const std::string& name : Names(6))
    OnNodeReached(census, name, kStart);
  OnNodeReached(census, "vm-5", kStart + Ms(1));
  cr_assert_float_eq(ReachedShare(census, kStart), 0.6, 1e-9);
  OnNodeReached(census, "vm-new", kStart);
  cr_assert_eq(CountKnown(census, kStart), 11U);
}

// A fleet of `count` nodes, all reached by vm-0 since kStart.
NodeCensus FullCensus(std::size_t count) {
  NodeCensus census{.self = "vm-0"};
  for (const std::string& name : Names(count))
    OnNodeReached(census, name, kStart);
  return census;
}

// A node that died would take its share of each limit away for good.
Test(node_census, most_nodes_drop_a_lost_one_after_a_minute) {
  NodeCensus census = FullCensus(10);
  const TimePoint lost_at = kStart + Seconds(100);
  OnNodeLost(census, "vm-3", lost_at);
  OnNodeLost(census, "vm-3", lost_at + Seconds(30));
  cr_assert_eq(CountKnown(census, lost_at + Ms(59'999)), 10U);
  cr_assert_float_eq(ReachedShare(census, lost_at), 0.9, 1e-9);
  cr_assert_eq(CountKnown(census, lost_at + Seconds(60)), 9U);
  cr_assert_float_eq(ReachedShare(census, lost_at + Seconds(60)), 1, 1e-9);
  // A roster that still names it changes nothing.
  OnNodeKnown(census, "vm-3", lost_at + Seconds(61));
  cr_assert_eq(CountKnown(census, lost_at + Seconds(61)), 9U);
  OnNodeReached(census, "vm-3", lost_at + Seconds(62));
  cr_assert_eq(CountKnown(census, lost_at + Seconds(62)), 10U);
}

// The smaller side of a partition would lend the whole limit besides the
// larger one.
Test(node_census, half_or_less_of_the_nodes_drop_none) {
  for (const std::size_t lost : {5U, 6U, 9U}) {
    NodeCensus census = FullCensus(10);
    for (std::size_t index = 1; index <= lost; ++index)
      OnNodeLost(census, "vm-" + std::to_string(index), kStart);
    cr_assert_eq(CountKnown(census, kStart + Seconds(3600)), 10U);
  }
}

// Links return one by one after a partition.
Test(node_census, a_side_that_grows_to_most_nodes_does_not_drop_at_once) {
  NodeCensus census = FullCensus(10);
  for (int index = 1; index <= 8; ++index)
    OnNodeLost(census, "vm-" + std::to_string(index), kStart);
  const TimePoint healed_at = kStart + Seconds(300);
  for (int index = 1; index <= 8; ++index) {
    const TimePoint now = healed_at + Ms(100 * index);
    OnNodeReached(census, "vm-" + std::to_string(index), now);
    cr_assert_eq(CountKnown(census, now), 10U);
  }
}

Test(node_census, a_node_that_left_counts_again_when_it_is_back) {
  NodeCensus census = FullCensus(10);
  OnNodeLeft(census, "vm-3", kStart);
  OnNodeLost(census, "vm-3", kStart);
  OnNodeKnown(census, "vm-3", kStart);
  cr_assert_eq(CountKnown(census, kStart), 9U);
  cr_assert_float_eq(ReachedShare(census, kStart), 1, 1e-9);
  OnNodeReached(census, "vm-3", kStart + Seconds(1));
  cr_assert_eq(CountKnown(census, kStart + Seconds(1)), 10U);
}

Test(node_census, a_node_that_was_never_reached_is_known_for_a_minute) {
  NodeCensus census = FullCensus(10);
  OnNodeKnown(census, "vm-gone", kStart);
  cr_assert_eq(CountKnown(census, kStart + Seconds(59)), 11U);
  cr_assert_eq(CountKnown(census, kStart + Seconds(60)), 10U);
}

}  // namespace
}  // namespace teaselspread
