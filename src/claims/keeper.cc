#include <algorithm>
#include <array>

#include "claims/coverage.h"
#include "teaselspread/claims.h"

namespace teaselspread {
namespace {

constexpr std::array<std::string_view, 3> kStateNames = {
    "outside", "taking-over", "voting"};

ClaimVote VoteFor(const ClaimKeeper& keeper,
                  const ClaimAsk& ask,
                  VoteKind kind) {
  ClaimVote vote;
  vote.attempt = ask.attempt;
  vote.holder = keeper.self.id;
  vote.kind = kind;
  vote.newest_epoch = keeper.epoch.number;
  return vote;
}

// A holder that is cut off from the log may have been replaced without knowing
// it, and its successors wait only so long.
bool MayVote(const ClaimKeeper& keeper, const ClaimAsk& ask, TimePoint now) {
  return keeper.state == HolderState::kVoting &&
         ask.epoch == keeper.epoch.number &&
         now - keeper.log_confirmed < keeper.settings.fence / 2;
}

ClaimVote Grant(ClaimKeeper& keeper, const ClaimAsk& ask, TimePoint now) {
  if (!Covers(keeper, ask.key, now))
    return VoteFor(keeper, ask, VoteKind::kAbstain);
  ClaimRecord record;
  record.digest = ask.digest;
  record.attempt = ask.attempt;
  record.epoch = ask.epoch;
  record.touched = now;
  keeper.records[ask.key.text] = record;
  return VoteFor(keeper, ask, VoteKind::kGrant);
}

ClaimVote VoteOnKnown(ClaimKeeper& keeper,
                      const ClaimRecord& record,
                      const ClaimAsk& ask,
                      TimePoint now) {
  const bool same_attempt =
      record.attempt == ask.attempt && record.epoch == ask.epoch;
  if (record.state == ClaimState::kReleased) {
    // The ask of the released attempt itself came late or twice.
    return same_attempt ? VoteFor(keeper, ask, VoteKind::kAbstain)
                        : Grant(keeper, ask, now);
  }
  if (record.digest != ask.digest)
    return VoteFor(keeper, ask, VoteKind::kMismatch);
  if (record.state == ClaimState::kClaimed && same_attempt)
    return VoteFor(keeper, ask, VoteKind::kGrant);
  if (record.state == ClaimState::kDone) {
    ClaimVote vote = VoteFor(keeper, ask, VoteKind::kDone);
    vote.outcome = record.outcome;
    return vote;
  }
  ClaimVote vote = VoteFor(keeper, ask, VoteKind::kHeld);
  vote.recent = record.state == ClaimState::kClaimed &&
                now - record.touched < keeper.settings.longest_run;
  return vote;
}

}  // namespace

std::string_view NameOf(HolderState state) {
  return kStateNames.at(static_cast<std::size_t>(state));
}

bool Covers(const ClaimKeeper& keeper, const ClaimKey& key, TimePoint now) {
  const ClaimSettings& settings = keeper.settings;
  const TimePoint since = keeper.complete_since;
  if (key.has_issue_time) {
    const bool too_old = key.issued < now - settings.key_life;
    const bool too_new = key.issued > now + settings.clock_bound;
    if (too_old || too_new)
      return false;
    return since == TimePoint::min() ||
           key.issued > since + 2 * settings.clock_bound;
  }
  return since == TimePoint::min() || now > since + LongestRepeat(settings);
}

ClaimVote VoteOn(ClaimKeeper& keeper, const ClaimAsk& ask, TimePoint now) {
  if (!MayVote(keeper, ask, now))
    return VoteFor(keeper, ask, VoteKind::kAbstain);
  const auto found = keeper.records.find(ask.key.text);
  if (found == keeper.records.end())
    return Grant(keeper, ask, now);
  const ClaimRecord record = found->second;
  return VoteOnKnown(keeper, record, ask, now);
}

void ReleaseClaim(ClaimKeeper& keeper, const ClaimRelease& release) {
  const auto found = keeper.records.find(release.key);
  if (found == keeper.records.end())
    return;
  ClaimRecord& record = found->second;
  if (record.state == ClaimState::kClaimed && record.attempt == release.attempt)
    record.state = ClaimState::kReleased;
}

void RecordOutcome(ClaimKeeper& keeper, const ClaimDone& done, TimePoint now) {
  if (keeper.state == HolderState::kOutside)
    return;
  ClaimRecord& record = keeper.records[done.key];
  if (record.state == ClaimState::kDone)
    return;
  record.digest = done.digest;
  record.attempt = done.attempt;
  record.state = ClaimState::kDone;
  record.outcome = done.outcome;
  record.touched = now;
}

}  // namespace teaselspread
