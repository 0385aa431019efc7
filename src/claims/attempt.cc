#include <algorithm>
#include <array>
#include <utility>

#include "teaselspread/claims.h"

namespace teaselspread {
namespace {

constexpr std::array<std::string_view, 7> kVerdictNames = {
    "pending", "granted",  "in-progress", "unknown",
    "done",    "mismatch", "unproven"};

std::size_t CountVotes(const ClaimAttempt& attempt, VoteKind kind) {
  return static_cast<std::size_t>(std::count_if(
      attempt.votes.begin(), attempt.votes.end(),
      [kind](const auto& entry) { return entry.second.kind == kind; }));
}

bool IsHolderOf(const ClaimEpoch& epoch, const std::string& id) {
  return std::any_of(epoch.holders.begin(), epoch.holders.end(),
                     [&id](const Holder& holder) { return holder.id == id; });
}

bool AnyMayBeRunning(const ClaimAttempt& attempt) {
  return std::any_of(
      attempt.votes.begin(), attempt.votes.end(),
      [](const auto& entry) { return entry.second.may_be_running; });
}

// A request that waited in a socket during a pause may be older than the
// records of its key and would run a second time.
bool WasPaused(const ClaimKeeper& keeper, TimePoint now) {
  return now - keeper.last_tick > keeper.settings.max_tick_gap ||
         now < keeper.stale_requests_until;
}

// Without a majority of grants, either another attempt holds the key or too few
// holders voted.
ClaimVerdict VerdictWithoutMajority(const ClaimAttempt& attempt) {
  if (CountVotes(attempt, VoteKind::kHeld) == 0)
    return ClaimVerdict::kUnproven;
  return AnyMayBeRunning(attempt) ? ClaimVerdict::kInProgress
                                  : ClaimVerdict::kUnknown;
}

ClaimVerdict EvaluateVotes(const ClaimAttempt& attempt) {
  const std::size_t holders = attempt.epoch.holders.size();
  const std::size_t quorum = QuorumOf(attempt.epoch.holders);
  const std::size_t grants = CountVotes(attempt, VoteKind::kGrant);
  if (CountVotes(attempt, VoteKind::kDone) > 0)
    return ClaimVerdict::kDone;
  if (CountVotes(attempt, VoteKind::kMismatch) > 0)
    return ClaimVerdict::kMismatch;
  if (grants >= quorum)
    return ClaimVerdict::kGranted;
  const std::size_t pending = holders - attempt.votes.size();
  if (grants + pending >= quorum)
    return ClaimVerdict::kPending;
  return VerdictWithoutMajority(attempt);
}

}  // namespace

std::string_view NameOf(ClaimVerdict verdict) {
  return kVerdictNames.at(static_cast<std::size_t>(verdict));
}

ErrorKind ErrorOf(ClaimVerdict verdict) {
  switch (verdict) {
    case ClaimVerdict::kInProgress:
      return ErrorKind::kInProgress;
    case ClaimVerdict::kMismatch:
      return ErrorKind::kKeyMismatch;
    case ClaimVerdict::kUnknown:
    case ClaimVerdict::kUnproven:
      return ErrorKind::kOutcomeUnknown;
    default:
      return ErrorKind::kInternal;
  }
}

ClaimAttempt BeginClaim(const ClaimKeeper& keeper,
                        const AttemptId& id,
                        const ClaimKey& key,
                        const RequestDigest& digest,
                        TimePoint now) {
  ClaimAttempt attempt;
  attempt.id = id;
  attempt.key = key;
  attempt.digest = digest;
  attempt.epoch = keeper.epoch;
  attempt.window = keeper.settings.claim_window;
  attempt.requested_at = now;
  if (keeper.epoch.holders.empty() || WasPaused(keeper, now))
    attempt.verdict = ClaimVerdict::kUnproven;
  return attempt;
}

ClaimRequest RequestOf(const ClaimAttempt& attempt) {
  return {attempt.epoch.number, attempt.id, attempt.key, attempt.digest};
}

ClaimVerdict ReceiveVote(ClaimAttempt& attempt,
                         const ClaimVote& vote,
                         TimePoint now) {
  if (vote.newest_epoch > attempt.epoch.number)
    attempt.epoch_is_old = true;
  if (attempt.verdict != ClaimVerdict::kPending || vote.attempt != attempt.id ||
      !IsHolderOf(attempt.epoch, vote.holder))
    return attempt.verdict;
  // A delayed request may have been granted after the record of an earlier run
  // had expired.
  if (now - attempt.requested_at > attempt.window)
    return AbandonClaim(attempt);
  attempt.votes.emplace(vote.holder, vote);
  attempt.verdict = EvaluateVotes(attempt);
  if (attempt.verdict == ClaimVerdict::kDone)
    attempt.outcome = vote.outcome;
  return attempt.verdict;
}

ClaimVerdict AbandonClaim(ClaimAttempt& attempt) {
  if (attempt.verdict == ClaimVerdict::kPending)
    attempt.verdict = VerdictWithoutMajority(attempt);
  return attempt.verdict;
}

bool MayRun(const ClaimAttempt& attempt, TimePoint now) {
  return attempt.verdict == ClaimVerdict::kGranted &&
         now - attempt.requested_at <= attempt.window;
}

ClaimRelease ReleaseOf(const ClaimAttempt& attempt) {
  return {attempt.key.text, attempt.id};
}

ClaimCompletion CompletionOf(const ClaimSettings& settings,
                             const ClaimAttempt& attempt,
                             ClaimOutcome outcome) {
  if (outcome.body.size() > settings.max_stored_body_bytes) {
    outcome.body.clear();
    outcome.body_stored = false;
  }
  return {attempt.key.text, attempt.id, attempt.digest, std::move(outcome)};
}

}  // namespace teaselspread
