#include <algorithm>
#include <array>

#include "claims/coverage.h"
#include "teaselspread/claims.h"

namespace teaselspread {
namespace {

constexpr std::array<std::string_view, 3> kStateNames = {
    "outside", "taking-over", "voting"};

ClaimVote MakeVote(const ClaimKeeper& keeper,
                   const ClaimRequest& request,
                   VoteKind kind) {
  ClaimVote vote;
  vote.attempt = request.attempt;
  vote.holder = keeper.self.id;
  vote.kind = kind;
  vote.newest_epoch = keeper.epoch.number;
  return vote;
}

// A holder that cannot read the log may have been replaced without knowing it,
// and its successors wait no longer than `fencing_timeout`.
bool MayVote(const ClaimKeeper& keeper,
             const ClaimRequest& request,
             TimePoint now) {
  return keeper.state == HolderState::kVoting &&
         request.epoch == keeper.epoch.number &&
         now - keeper.log_confirmed_at < keeper.settings.fencing_timeout / 2;
}

ClaimVote Grant(ClaimKeeper& keeper,
                const ClaimRequest& request,
                TimePoint now) {
  if (!Covers(keeper, request.key, now))
    return MakeVote(keeper, request, VoteKind::kAbstain);
  ClaimRecord record;
  record.digest = request.digest;
  record.attempt = request.attempt;
  record.epoch = request.epoch;
  record.updated_at = now;
  keeper.records[request.key.text] = record;
  return MakeVote(keeper, request, VoteKind::kGrant);
}

ClaimVote VoteOnRecord(ClaimKeeper& keeper,
                       const ClaimRecord& record,
                       const ClaimRequest& request,
                       TimePoint now) {
  const bool same_attempt =
      record.attempt == request.attempt && record.epoch == request.epoch;
  if (record.state == ClaimState::kReleased) {
    // The request of the released attempt itself arrived late or twice.
    return same_attempt ? MakeVote(keeper, request, VoteKind::kAbstain)
                        : Grant(keeper, request, now);
  }
  if (record.digest != request.digest)
    return MakeVote(keeper, request, VoteKind::kMismatch);
  if (record.state == ClaimState::kClaimed && same_attempt)
    return MakeVote(keeper, request, VoteKind::kGrant);
  if (record.state == ClaimState::kDone) {
    ClaimVote vote = MakeVote(keeper, request, VoteKind::kDone);
    vote.outcome = record.outcome;
    return vote;
  }
  ClaimVote vote = MakeVote(keeper, request, VoteKind::kHeld);
  vote.may_be_running = record.state == ClaimState::kClaimed &&
                        now - record.updated_at < keeper.settings.max_run_time;
  return vote;
}

}  // namespace

std::string_view NameOf(HolderState state) {
  return kStateNames.at(static_cast<std::size_t>(state));
}

bool Covers(const ClaimKeeper& keeper, const ClaimKey& key, TimePoint now) {
  const ClaimSettings& settings = keeper.settings;
  const TimePoint complete_since = keeper.complete_since;
  if (key.has_issue_time) {
    const bool too_old = key.issued < now - settings.key_lifetime;
    const bool too_new = key.issued > now + settings.max_clock_skew;
    if (too_old || too_new)
      return false;
    return complete_since == TimePoint::min() ||
           key.issued > complete_since + 2 * settings.max_clock_skew;
  }
  return complete_since == TimePoint::min() ||
         now > complete_since + MaxRetryAge(settings);
}

ClaimVote VoteOn(ClaimKeeper& keeper,
                 const ClaimRequest& request,
                 TimePoint now) {
  if (!MayVote(keeper, request, now))
    return MakeVote(keeper, request, VoteKind::kAbstain);
  const auto found = keeper.records.find(request.key.text);
  if (found == keeper.records.end())
    return Grant(keeper, request, now);
  const ClaimRecord record = found->second;
  return VoteOnRecord(keeper, record, request, now);
}

void ReleaseClaim(ClaimKeeper& keeper, const ClaimRelease& release) {
  const auto found = keeper.records.find(release.key);
  if (found == keeper.records.end())
    return;
  ClaimRecord& record = found->second;
  if (record.state == ClaimState::kClaimed && record.attempt == release.attempt)
    record.state = ClaimState::kReleased;
}

void RecordOutcome(ClaimKeeper& keeper,
                   const ClaimCompletion& completion,
                   TimePoint now) {
  if (keeper.state == HolderState::kNotHolder)
    return;
  ClaimRecord& record = keeper.records[completion.key];
  if (record.state == ClaimState::kDone)
    return;
  record.digest = completion.digest;
  record.attempt = completion.attempt;
  record.state = ClaimState::kDone;
  record.outcome = completion.outcome;
  record.updated_at = now;
}

}  // namespace teaselspread
