#include "teaselspread/claims.h"

#include <criterion/criterion.h>

#include <set>
#include <string>
#include <vector>

namespace teaselspread {
namespace {

using Ms = std::chrono::milliseconds;
using Minutes = std::chrono::minutes;

// Late enough for valid restarts, which are numbered by the clock.
const TimePoint kStart{std::chrono::hours(24 * 365 * 50)};
const RequestDigest kBodyDigest{0, 1};

Holder MakeHolder(int i, std::uint64_t boot_id = 1) {
  return {
      "node-" + std::to_string(i), "dc-" + std::to_string(i % 3), boot_id, {}};
}

std::vector<Holder> MakeHolders(int count) {
  std::vector<Holder> holders;
  holders.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i)
    holders.push_back(MakeHolder(i));
  return holders;
}

ClaimEpoch FirstEpoch() {
  ClaimEpoch epoch;
  epoch.number = 1;
  epoch.holders = MakeHolders(3);
  return epoch;
}

void ActivateEpoch(ClaimKeeper& keeper,
                   const ClaimEpoch& epoch,
                   TimePoint now) {
  (void)LearnEpoch(keeper, epoch, now);
  LearnActivation(keeper, epoch.number, now);
  ConfirmEpoch(keeper, now);
  TickClaims(keeper, now);
}

std::vector<ClaimKeeper> MakeKeepers(int count) {
  std::vector<ClaimKeeper> keepers(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    ClaimKeeper& keeper = keepers[static_cast<std::size_t>(i)];
    keeper.self = MakeHolder(i);
    ActivateEpoch(keeper, FirstEpoch(), kStart);
  }
  return keepers;
}

ClaimAttempt BeginAttempt(const ClaimKeeper& keeper,
                          std::uint64_t sequence,
                          const std::string& key,
                          const RequestDigest& digest,
                          TimePoint now) {
  return BeginClaim(keeper, {keeper.self.id, keeper.self.boot_id, sequence},
                    {key, false, TimePoint{}}, digest, now);
}

ClaimVerdict CollectVotes(std::vector<ClaimKeeper>& keepers,
                          ClaimAttempt& attempt,
                          TimePoint now) {
  for (ClaimKeeper& keeper : keepers)
    ReceiveVote(attempt, VoteOn(keeper, RequestOf(attempt), now), now);
  return attempt.verdict;
}

// A caller sends the same key again: while the first request runs, after its
// response was lost, and by mistake for another request.
Test(claims, a_retry_gets_the_state_of_the_first_attempt) {
  auto keepers = MakeKeepers(3);
  ClaimAttempt first = BeginAttempt(keepers[0], 1, "k", kBodyDigest, kStart);
  cr_assert(CollectVotes(keepers, first, kStart) == ClaimVerdict::kGranted);
  cr_assert(MayRun(first, kStart));
  ClaimAttempt retry = BeginAttempt(keepers[1], 1, "k", kBodyDigest, kStart);
  cr_assert(CollectVotes(keepers, retry, kStart) == ClaimVerdict::kInProgress);
  const TimePoint later = kStart + Minutes(1);
  for (TimePoint t = kStart; t <= later; t += Ms(500)) {
    for (ClaimKeeper& keeper : keepers)
      TickClaims(keeper, t);
  }
  ClaimAttempt late = BeginAttempt(keepers[2], 1, "k", kBodyDigest, later);
  cr_assert(CollectVotes(keepers, late, later) == ClaimVerdict::kUnknown);
  const ClaimCompletion completion = CompletionOf(
      keepers[0].settings, first, {201, "text/plain", "no. 7", true});
  for (ClaimKeeper& keeper : keepers)
    RecordOutcome(keeper, completion, later);
  ClaimAttempt again = BeginAttempt(keepers[1], 2, "k", kBodyDigest, later);
  cr_assert(CollectVotes(keepers, again, later) == ClaimVerdict::kDone);
  cr_assert(again.outcome.body == "no. 7");
  ClaimAttempt other = BeginAttempt(keepers[1], 3, "k", {0, 2}, later);
  cr_assert(CollectVotes(keepers, other, later) == ClaimVerdict::kMismatch);
  cr_assert(ErrorOf(ClaimVerdict::kMismatch) == ErrorKind::kKeyMismatch);
}

// The gatekeeper abandoned the run and responded "not run". The caller's retry
// has to run, and the delayed claim request of the first must not block it.
Test(claims, a_released_key_can_be_claimed_again) {
  auto keepers = MakeKeepers(3);
  ClaimAttempt first = BeginAttempt(keepers[0], 1, "k", kBodyDigest, kStart);
  cr_assert(CollectVotes(keepers, first, kStart) == ClaimVerdict::kGranted);
  cr_assert(!MayRun(first, kStart + Ms(5001)), "too late to run");
  for (ClaimKeeper& keeper : keepers)
    ReleaseClaim(keeper, ReleaseOf(first));
  cr_assert(VoteOn(keepers[0], RequestOf(first), kStart).kind ==
            VoteKind::kAbstain);
  ClaimAttempt second = BeginAttempt(keepers[1], 1, "k", kBodyDigest, kStart);
  cr_assert(CollectVotes(keepers, second, kStart) == ClaimVerdict::kGranted);
}

// A holder's VM is replaced. The two remaining holders hand over their records,
// so that new keys are granted at once and old ones are still known.
Test(claims, one_lost_holder_is_replaced_without_a_gap) {
  auto keepers = MakeKeepers(4);
  ClaimAttempt first = BeginAttempt(keepers[0], 1, "old", kBodyDigest, kStart);
  (void)CollectVotes(keepers, first, kStart);
  EpochLog log{true, FirstEpoch(), FirstEpoch()};
  Rng rng(1);
  const std::vector<Holder> alive = {MakeHolder(0), MakeHolder(1),
                                     MakeHolder(3)};
  const ClaimEpoch next = *ProposeEpoch(log, alive, rng);
  std::vector<HandoverRequests> requests;
  for (const std::size_t i : {0, 1, 3})
    requests.push_back(LearnEpoch(keepers[i], next, kStart));
  std::size_t at = 0;
  for (const std::size_t i : {0, 1, 3}) {
    for (const Holder& to : requests[at++].recipients) {
      if (to.id == "node-2")
        continue;
      const auto& asked = keepers[to.id == "node-0" ? 0 : 1];
      const auto response = MakeHandoverResponse(asked, {next, keepers[i].self},
                                                 to.id, to.boot_id);
      ReceiveHandover(keepers[i], *response, kStart);
    }
    cr_assert(WantsActivation(keepers[i], kStart));
  }
  for (const std::size_t i : {0, 1, 3})
    ActivateEpoch(keepers[i], next, kStart);
  ClaimAttempt fresh = BeginAttempt(keepers[3], 1, "new", kBodyDigest, kStart);
  cr_assert(CollectVotes(keepers, fresh, kStart) == ClaimVerdict::kGranted);
  ClaimAttempt retry = BeginAttempt(keepers[3], 2, "old", kBodyDigest, kStart);
  cr_assert(CollectVotes(keepers, retry, kStart) == ClaimVerdict::kInProgress);
}

// Two of three holders restart and lose their records. A key that may have run
// is not granted; one that was issued after the loss is.
Test(claims, after_a_loss_only_newer_keys_are_granted) {
  ClaimKeeper keeper;
  keeper.self = MakeHolder(0, 2);
  ClaimEpoch next = FirstEpoch();
  next.number = 2;
  next.holders = {MakeHolder(0, 2), MakeHolder(1, 2), MakeHolder(2)};
  next.previous_number = 1;
  next.previous = MakeHolders(3);
  ActivateEpoch(keeper, next, kStart);
  MarkHolderGone(keeper, "node-1", 1, kStart);
  const TimePoint later = kStart + Ms(2500);
  TickClaims(keeper, later);
  cr_assert(keeper.state == HolderState::kVoting);
  const auto vote = [&](const ClaimKey& key, TimePoint now) {
    ConfirmEpoch(keeper, now);
    return VoteOn(keeper, {2, {"g", 1, 1}, key, kBodyDigest}, now).kind;
  };
  cr_assert(vote({"opaque", false, {}}, later) == VoteKind::kAbstain);
  cr_assert(vote({"old", true, kStart}, later) == VoteKind::kAbstain);
  const TimePoint young = later + Ms(1500);
  cr_assert(vote({"young", true, young}, young) == VoteKind::kGrant);
  cr_assert(vote({"future", true, young + Minutes(1)}, young) ==
            VoteKind::kAbstain);
  const TimePoint after = later + Minutes(11);
  cr_assert(vote({"opaque", false, {}}, after) == VoteKind::kGrant);
}

// A holder cannot read the log and may have been replaced.
Test(claims, a_holder_that_cannot_read_the_log_stops_voting) {
  auto keepers = MakeKeepers(3);
  const ClaimRequest request{1, {"g", 1, 1}, {"k", false, {}}, kBodyDigest};
  cr_assert(VoteOn(keepers[0], request, kStart + Minutes(16)).kind ==
            VoteKind::kAbstain);
}

// Two nodes detect the death of a holder and both propose an epoch. Every
// reader, also one that starts after the log was trimmed, must find the same
// holders.
Test(claims, every_reader_folds_the_log_to_the_same_epoch) {
  Rng rng(1);
  const auto alive = MakeHolders(6);
  EpochLog log{true, {}, {}};
  const ClaimEpoch first = *ProposeEpoch(log, alive, rng);
  std::set<std::string> data_centers;
  for (const Holder& holder : first.holders)
    data_centers.insert(holder.data_center);
  cr_assert(data_centers.size() == 3);
  std::vector<LoggedEpoch> records = {
      {0, {EpochRecordKind::kPropose, first, {}, 0}}};
  log = ReadEpochs(records, 0);
  std::vector<Holder> fewer = alive;
  std::erase(fewer, first.holders[0]);
  const ClaimEpoch winner = *ProposeEpoch(log, fewer, rng);
  ClaimEpoch loser = winner;
  std::swap(loser.holders[0], loser.holders[1]);
  records.push_back({1, {EpochRecordKind::kPropose, winner, {}, 0}});
  records.push_back({2, {EpochRecordKind::kPropose, loser, {}, 0}});
  // A paused node appends a checkpoint of the state at offset 0.
  records.push_back({3, {EpochRecordKind::kCheckpoint, first, first, 0}});
  records.push_back({4, {EpochRecordKind::kCheckpoint, winner, first, 2}});
  cr_assert(ReadEpochs(records, 0).current == winner);
  for (std::size_t trimmed = 1; trimmed <= 3; ++trimmed) {
    const std::span<const LoggedEpoch> rest(
        records.begin() + static_cast<std::ptrdiff_t>(trimmed), records.end());
    cr_assert(ReadEpochs(rest, trimmed).current == winner);
  }
  cr_assert(!ReadEpochs({}, 9).has_base);
}

// A whole data centre fails and recovers, which leaves two holders in one of
// the others. If that one failed next, keys without an issue time would not be
// granted until old keys have expired.
Test(claims, holders_spread_again_when_a_data_center_returns) {
  Rng rng(1);
  const auto all = MakeHolders(6);
  EpochLog log{true, FirstEpoch(), FirstEpoch()};
  const std::vector<Holder> without_dc_0 = {all[1], all[2], all[4], all[5]};
  const ClaimEpoch crowded = *ProposeEpoch(log, without_dc_0, rng);
  cr_assert(FoldEpoch(log, {EpochRecordKind::kPropose, crowded, {}, 0}));
  const ClaimEpoch spread = *ProposeEpoch(log, all, rng);
  std::set<std::string> data_centers;
  for (const Holder& holder : spread.holders)
    data_centers.insert(holder.data_center);
  cr_assert(data_centers.size() == 3);
  cr_assert(FoldEpoch(log, {EpochRecordKind::kPropose, spread, {}, 0}));
  cr_assert(!ProposeEpoch(log, all, rng).has_value());
}

// Retention dropped all epoch records while the log could not be written. The
// new holders must wait until the old ones have certainly stopped voting.
Test(claims, a_restart_waits_for_the_whole_fence) {
  Rng rng(1);
  const auto record = ProposeRestart(MakeHolders(3), kStart, rng);
  EpochLog log = ReadEpochs({}, 9);
  cr_assert(!log.has_base);
  const std::vector<LoggedEpoch> records = {{9, *record}};
  log = ReadEpochs(records, 9);
  cr_assert(log.has_base && log.current.holders.size() == 3);
  cr_assert(log.active.number == 0, "nothing is active yet");
  ClaimKeeper keeper;
  keeper.self = MakeHolder(0);
  (void)LearnEpoch(keeper, log.current, kStart);
  cr_assert(keeper.state == HolderState::kTakingOver);
  TickClaims(keeper, kStart + Minutes(29));
  cr_assert(!WantsActivation(keeper, kStart + Minutes(29)));
  cr_assert(WantsActivation(keeper, kStart + Minutes(30)));
  cr_assert(FoldEpoch(log, {EpochRecordKind::kActivate, log.current, {}, 0}));
  LearnActivation(keeper, log.active.number, kStart + Minutes(30));
  cr_assert(keeper.state == HolderState::kVoting);
  cr_assert(keeper.complete_since > kStart, "what ran before is not known");
}

// Keys are any printable text; a UUID of version 7 contains its issue time.
Test(claims, keys_are_read_and_checked) {
  const auto uuid = ParseClaimKey("017F22E2-79B0-7CC3-98C4-DC0C0C07398F");
  cr_assert(uuid->has_issue_time);
  cr_assert(uuid->issued == TimePoint(Ms(0x017F22E279B0)));
  cr_assert(
      !ParseClaimKey("017F22E2-79B0-4CC3-98C4-DC0C0C07398F")->has_issue_time);
  cr_assert(!ParseClaimKey("filing-7")->has_issue_time);
  cr_assert(ParseClaimKey("").error().kind == ErrorKind::kKeyMissing);
  cr_assert(ParseClaimKey("a b").error().kind == ErrorKind::kBadRequest);
  cr_assert(ParseClaimKey(std::string(129, 'a')).error().kind ==
            ErrorKind::kBadRequest);
  cr_assert(DigestOf("POST", "/f", "a") != DigestOf("POST", "/f", "b"));
  cr_assert(DigestOf("POST", "/f", "a") != DigestOf("POST", "/g", "a"));
}

}  // namespace
}  // namespace teaselspread
