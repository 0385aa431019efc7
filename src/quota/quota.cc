#include "teaselspread/quota.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <random>
#include <tuple>
#include <utility>

#include <xxhash.h>

namespace teaselspread {
namespace {

// Part of the excess that covers tokens spent after they were lent.
constexpr double kExcessForLifetime = 0.5;
// A token has to outlive the network round trip from its lender, also where no
// excess is agreed.
constexpr Duration kMinLifetime = std::chrono::milliseconds(20);
// Parts of the excess and of the slack that all own shares together start with.
// If a lender is cut off together with a third of the nodes, two thirds of the
// own shares are spent besides the whole limit that it lends until the
// partition is detected: half of the excess.
constexpr double kExcessForOwnShares = 0.75;
constexpr double kSlackForOwnShares = 0.5;
// Time in which a lost link is detected. An own share grows only after it.
constexpr Duration kDetection = std::chrono::seconds(1);
// Requests that come together may take more than the burst, by this part of the
// slack: a small bucket refuses random bursts of accounts below their limit.
constexpr double kSlackForBurst = 0.25;
// Time constant of the moving average of the demand.
constexpr double kDemandSeconds = 1;
// Longest wait that a refusal names, so that a limit that has been raised takes
// effect soon.
constexpr Duration kMaxRetry = std::chrono::seconds(5);
constexpr double kMicrosPerSecond = 1e6;
// Absorbs rounding to whole microseconds.
constexpr double kWholeToken = 1 - 1e-6;

double SecondsOf(Duration duration) {
  return static_cast<double>(duration.count()) / kMicrosPerSecond;
}

void Refill(TokenBucket& bucket,
            double per_second,
            double capacity,
            TimePoint now) {
  const double seconds = SecondsOf(now - bucket.refilled_at);
  const double refilled = bucket.tokens + std::max(seconds, 0.0) * per_second;
  bucket.tokens = std::min(refilled, capacity);
  bucket.refilled_at = std::max(bucket.refilled_at, now);
}

Duration TimeToNextToken(const TokenBucket& bucket, double per_second) {
  const double missing = 1 - bucket.tokens;
  if (missing <= 0)
    return {};
  const double micros = std::ceil(missing / per_second * kMicrosPerSecond);
  const auto max_micros = static_cast<double>(kMaxRetry.count());
  // Also for the infinite wait that a rate of zero gives.
  return Duration(static_cast<std::int64_t>(std::min(micros, max_micros)));
}

double LenderCapacity(const QuotaBounds& bounds, const AccountLimit& limit) {
  return limit.burst + bounds.slack * kSlackForBurst;
}

BorrowedTokens& RowOf(TokenBorrower& borrower, std::string_view account) {
  const auto row = borrower.accounts.find(account);
  if (row != borrower.accounts.end())
    return row->second;
  return borrower.accounts.emplace(account, BorrowedTokens{}).first->second;
}

// Tokens are not returned long after their lifetime: the lender's bucket has
// been refilled since, so that they would run beside a full bucket.
void ForgetOld(BorrowedTokens& row, Duration lifetime, TimePoint now) {
  if (row.unspent > 0 && now - row.unspent_since > lifetime)
    row.unspent = 0;
}

void AddUnspent(BorrowedTokens& row,
                std::uint32_t tokens,
                Duration lifetime,
                TimePoint since) {
  ForgetOld(row, lifetime, since);
  row.unspent += tokens;
  row.unspent_since = since;
}

void Expire(BorrowedTokens& row, Duration lifetime, TimePoint now) {
  if (row.tokens > 0 && now >= row.valid_until) {
    const std::uint32_t expired = std::exchange(row.tokens, 0);
    AddUnspent(row, expired, lifetime, row.valid_until);
  }
  ForgetOld(row, lifetime, now);
}

double DemandAt(const BorrowedTokens& row, TimePoint now) {
  const double seconds = SecondsOf(now - row.last_request_at);
  return row.demand_per_second *
         std::exp(-std::max(seconds, 0.0) / kDemandSeconds);
}

// What all own shares together start with.
double OwnSharesStart(const QuotaBounds& bounds, const AccountLimit& limit) {
  const double agreed =
      limit.per_second * SecondsOf(bounds.window) + limit.burst;
  return agreed * bounds.excess * kExcessForOwnShares +
         bounds.slack * kSlackForOwnShares;
}

// Rounds up with a probability equal to the fraction, so that the sum over all
// nodes keeps its mean.
double RoundAtRandom(double value, Rng& rng) {
  const double whole = std::floor(value);
  std::bernoulli_distribution has_one_more(value - whole);
  return has_one_more(rng) ? whole + 1 : whole;
}

}  // namespace

Duration TokenLifetime(const QuotaBounds& bounds) {
  const auto window = static_cast<double>(bounds.window.count());
  const Duration agreed(
      static_cast<std::int64_t>(bounds.excess * kExcessForLifetime * window));
  return std::max(agreed, kMinLifetime);
}

std::string_view LenderOf(std::string_view account,
                          std::span<const QuotaNode> reachable) {
  std::string_view lender;
  std::uint32_t most_mbit = 0;
  XXH64_hash_t most_weight = 0;
  const XXH64_hash_t seed = XXH3_64bits(account.data(), account.size());
  for (const auto& [name, line_mbit] : reachable) {
    const XXH64_hash_t weight =
        XXH3_64bits_withSeed(name.data(), name.size(), seed);
    if (lender.empty() || std::tie(line_mbit, weight, name) >
                              std::tie(most_mbit, most_weight, lender)) {
      lender = name;
      most_mbit = line_mbit;
      most_weight = weight;
    }
  }
  return lender;
}

void BeginLending(TokenLender& lender,
                  std::string_view account,
                  TimePoint now) {
  if (!lender.buckets.contains(account))
    lender.buckets.emplace(account, TokenBucket{0, now});
}

void StopLending(TokenLender& lender, std::string_view account) {
  const auto bucket = lender.buckets.find(account);
  if (bucket != lender.buckets.end())
    lender.buckets.erase(bucket);
}

TokenGrant Lend(TokenLender& lender,
                std::string_view account,
                const AccountLimit& limit,
                double share,
                std::uint32_t wanted,
                TimePoint now) {
  const auto found = lender.buckets.find(account);
  if (found == lender.buckets.end())
    return {0, kMaxRetry};
  TokenBucket& bucket = found->second;
  const double per_second = limit.per_second * share;
  const double capacity =
      std::max(1.0, LenderCapacity(lender.bounds, limit) * share);
  Refill(bucket, per_second, capacity, now);
  const double whole = std::floor(bucket.tokens + 1 - kWholeToken);
  const auto tokens = static_cast<std::uint32_t>(
      std::min(std::max(whole, 0.0), static_cast<double>(wanted)));
  bucket.tokens -= tokens;
  if (tokens == wanted)
    return {tokens, {}};
  return {tokens, TimeToNextToken(bucket, per_second)};
}

void TakeBack(TokenLender& lender,
              std::string_view account,
              const AccountLimit& limit,
              std::uint32_t unspent) {
  const auto found = lender.buckets.find(account);
  if (found == lender.buckets.end())
    return;
  TokenBucket& bucket = found->second;
  const double capacity = std::max(1.0, LenderCapacity(lender.bounds, limit));
  bucket.tokens = std::min(bucket.tokens + unspent, capacity);
}

QuotaDecision Spend(TokenBorrower& borrower,
                    std::string_view account,
                    TimePoint now) {
  BorrowedTokens& row = RowOf(borrower, account);
  Expire(row, TokenLifetime(borrower.bounds), now);
  if (row.tokens > 0) {
    --row.tokens;
    row.demand_per_second = DemandAt(row, now) + 1 / kDemandSeconds;
    row.last_request_at = now;
    return {QuotaOutcome::kAdmitted, {}};
  }
  if (now < row.denied_until)
    return {QuotaOutcome::kDenied, row.denied_until - now};
  return {QuotaOutcome::kMustBorrow, {}};
}

TokenAsk AskFor(TokenBorrower& borrower,
                std::string_view account,
                std::uint32_t waiting,
                TimePoint now) {
  BorrowedTokens& row = RowOf(borrower, account);
  const Duration lifetime = TokenLifetime(borrower.bounds);
  Expire(row, lifetime, now);
  const std::uint32_t unspent = std::exchange(row.unspent, 0);
  if (waiting == 0)
    return {0, unspent};
  const auto expected =
      static_cast<std::uint32_t>(DemandAt(row, now) * SecondsOf(lifetime));
  return {waiting + expected, unspent};
}

void OnGrant(TokenBorrower& borrower,
             std::string_view account,
             const TokenGrant& grant,
             TimePoint asked_at,
             TimePoint now) {
  BorrowedTokens& row = RowOf(borrower, account);
  const Duration lifetime = TokenLifetime(borrower.bounds);
  Expire(row, lifetime, now);
  const TimePoint valid_until = asked_at + lifetime;
  if (grant.tokens > 0) {
    // All tokens expire together, with the first of them.
    row.valid_until =
        row.tokens > 0 ? std::min(row.valid_until, valid_until) : valid_until;
    row.tokens += grant.tokens;
    Expire(row, lifetime, now);
  }
  if (grant.retry_after > Duration::zero())
    row.denied_until = now + grant.retry_after;
  // Expired tokens admit no request, so this node still decides alone.
  if (grant.tokens > 0 && now >= valid_until)
    return;
  row.is_alone = false;
  if (row.own_share &&
      now - row.own_share->refilled_at > borrower.bounds.window)
    row.own_share.reset();
}

void Refund(TokenBorrower& borrower, std::string_view account, TimePoint now) {
  BorrowedTokens& row = RowOf(borrower, account);
  const Duration lifetime = TokenLifetime(borrower.bounds);
  if (row.is_alone && row.own_share) {
    row.own_share->tokens += 1;
    return;
  }
  Expire(row, lifetime, now);
  if (now < row.valid_until)
    ++row.tokens;
  else
    AddUnspent(row, 1, lifetime, now);
}

std::vector<std::string> AccountsToReturn(TokenBorrower& borrower,
                                          TimePoint now) {
  std::vector<std::string> accounts;
  for (auto& [account, row] : borrower.accounts) {
    Expire(row, TokenLifetime(borrower.bounds), now);
    if (row.unspent > 0)
      accounts.push_back(account);
  }
  return accounts;
}

QuotaDecision SpendAlone(TokenBorrower& borrower,
                         std::string_view account,
                         const AccountLimit& limit,
                         std::size_t known_nodes,
                         TimePoint now,
                         Rng& rng) {
  BorrowedTokens& row = RowOf(borrower, account);
  const auto nodes = static_cast<double>(std::max<std::size_t>(known_nodes, 1));
  const double per_second = limit.per_second / nodes;
  const double start = OwnSharesStart(borrower.bounds, limit) / nodes;
  const double capacity =
      std::max({1.0, limit.burst / nodes, std::ceil(start)});
  if (!row.own_share) {
    row.own_share = TokenBucket{RoundAtRandom(start, rng), now + kDetection};
  } else if (!row.is_alone) {
    // The lender lent the whole limit in the meantime.
    row.own_share->refilled_at = std::max(row.own_share->refilled_at, now);
  }
  row.is_alone = true;
  TokenBucket& bucket = *row.own_share;
  Refill(bucket, per_second, capacity, now);
  if (bucket.tokens < kWholeToken) {
    const Duration until_refill = bucket.refilled_at - now;
    return {QuotaOutcome::kDenied,
            until_refill + TimeToNextToken(bucket, per_second)};
  }
  bucket.tokens = std::max(bucket.tokens - 1, 0.0);
  return {QuotaOutcome::kAdmitted, {}};
}

}  // namespace teaselspread
