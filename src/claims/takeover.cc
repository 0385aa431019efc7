#include <algorithm>
#include <utility>

#include "claims/coverage.h"
#include "teaselspread/claims.h"

namespace teaselspread {
namespace {

constexpr Duration kSweepInterval = std::chrono::seconds(10);

const Holder* FindHolder(const std::vector<Holder>& holders,
                         std::string_view id) {
  const auto found =
      std::find_if(holders.begin(), holders.end(),
                   [id](const Holder& holder) { return holder.id == id; });
  return found == holders.end() ? nullptr : &*found;
}

bool IsHolder(const std::vector<Holder>& holders, const Holder& self) {
  return std::any_of(
      holders.begin(), holders.end(),
      [&self](const Holder& holder) { return SameProcess(holder, self); });
}

std::size_t CountHandovers(const ClaimKeeper& keeper, HandoverState state) {
  return static_cast<std::size_t>(std::count_if(
      keeper.handovers.begin(), keeper.handovers.end(),
      [state](const auto& entry) { return entry.second.state == state; }));
}

// While a majority of the old holders is open, the old epoch may still decide
// claims.
bool OldEpochIsClosed(const ClaimKeeper& keeper) {
  return CountHandovers(keeper, HandoverState::kOpen) <
         QuorumOf(keeper.epoch.previous);
}

// Every decision of the old epoch includes the vote of a holder that handed
// over its records, unless a majority is gone or did not respond.
bool HandoverIsComplete(const ClaimKeeper& keeper) {
  const std::size_t missing = CountHandovers(keeper, HandoverState::kOpen) +
                              CountHandovers(keeper, HandoverState::kGone);
  return CountHandovers(keeper, HandoverState::kSealed) > 0 &&
         missing < QuorumOf(keeper.epoch.previous);
}

// Two old holders may have granted the key to different attempts, and only the
// records of a missing holder show which ran. The key is blocked: neither
// attempt may run or be released now.
void MergeRecord(ClaimTable& table, const KeyedRecord& entry) {
  if (entry.record.state == ClaimState::kReleased)
    return;
  const auto [found, is_new] = table.emplace(entry.key, entry.record);
  if (is_new)
    return;
  ClaimRecord& known = found->second;
  known.updated_at = std::max(known.updated_at, entry.record.updated_at);
  if (known.state == ClaimState::kDone)
    return;
  if (entry.record.state == ClaimState::kDone) {
    known = entry.record;
    return;
  }
  if (known.attempt != entry.record.attempt)
    known.state = ClaimState::kBlocked;
}

void StartVoting(ClaimKeeper& keeper, TimePoint now) {
  const bool complete = HandoverIsComplete(keeper);
  ClaimTable table;
  TimePoint since = complete ? TimePoint::min() : now;
  for (const auto& [id, handover] : keeper.handovers) {
    if (handover.state != HandoverState::kSealed)
      continue;
    since = std::max(since, handover.complete_since);
    for (const KeyedRecord& entry : handover.records)
      MergeRecord(table, entry);
  }
  // Outcomes received during the takeover.
  for (const auto& [key, record] : keeper.records) {
    if (record.state == ClaimState::kDone)
      MergeRecord(table, {key, record});
  }
  keeper.records = std::move(table);
  keeper.complete_since = since;
  keeper.voted_epoch = keeper.epoch.number;
  keeper.state = HolderState::kVoting;
  keeper.handovers.clear();
}

bool IsReadyToVote(const ClaimKeeper& keeper, TimePoint now) {
  if (keeper.state != HolderState::kTakingOver || !OldEpochIsClosed(keeper))
    return false;
  // After a restart the earlier holders are unknown: only time closes them.
  if (keeper.epoch.previous.empty())
    return now - keeper.epoch_learned_at >= keeper.settings.fencing_timeout;
  const bool has_timed_out =
      now - keeper.epoch_learned_at >= keeper.settings.handover_timeout;
  return HandoverIsComplete(keeper) || has_timed_out;
}

// The log must hold the activation before the first vote. Otherwise the next
// epoch could not know whether this one or the one before may still decide.
// With epochs in quick succession, partitioned holders kept voting in an old
// one while a new one had closed only epochs that never voted, and keys ran
// twice.
void TryToVote(ClaimKeeper& keeper, TimePoint now) {
  if (keeper.activated && IsReadyToVote(keeper, now))
    StartVoting(keeper, now);
}

// Nothing can have run before the first epoch, so there is no handover.
void StartFirstEpoch(ClaimKeeper& keeper) {
  keeper.activated = true;
  keeper.complete_since = TimePoint::min();
  keeper.voted_epoch = keeper.epoch.number;
  keeper.state = HolderState::kVoting;
}

std::vector<KeyedRecord> RecordsOf(const ClaimKeeper& keeper) {
  std::vector<KeyedRecord> records;
  records.reserve(keeper.records.size());
  for (const auto& [key, record] : keeper.records)
    records.push_back({key, record});
  return records;
}

Handover OwnHandover(const ClaimKeeper& keeper) {
  if (keeper.voted_epoch < keeper.epoch.previous_number)
    return {HandoverState::kNeverVoted, {}, {}};
  return {HandoverState::kSealed, keeper.complete_since, RecordsOf(keeper)};
}

void BeginTakeover(ClaimKeeper& keeper) {
  keeper.state = HolderState::kTakingOver;
  for (const Holder& old : keeper.epoch.previous) {
    Handover& handover = keeper.handovers[old.id];
    if (SameProcess(old, keeper.self))
      handover = OwnHandover(keeper);
    else if (old.id == keeper.self.id)
      handover.state = HandoverState::kGone;
  }
}

// A holder may store a hundred thousand records. Scanning all of them at every
// tick was the first thing to use up a holder's share of a core.
void SweepRecords(ClaimKeeper& keeper, TimePoint now) {
  if (now < keeper.next_sweep)
    return;
  keeper.next_sweep = now + kSweepInterval;
  const Duration max_age = MaxRetryAge(keeper.settings);
  std::erase_if(keeper.records, [now, max_age](const auto& entry) {
    return now - entry.second.updated_at > max_age;
  });
}

void DetectPause(ClaimKeeper& keeper, TimePoint now) {
  const bool is_first_tick = keeper.last_tick == TimePoint{};
  if (!is_first_tick && now - keeper.last_tick > keeper.settings.max_tick_gap)
    keeper.stale_requests_until = now + keeper.settings.claim_window;
  keeper.last_tick = now;
}

Handover* FindOpenHandover(ClaimKeeper& keeper, std::string_view id) {
  const auto found = keeper.handovers.find(std::string(id));
  if (found == keeper.handovers.end() ||
      found->second.state != HandoverState::kOpen)
    return nullptr;
  return &found->second;
}

HandoverState HandoverStateOf(HandoverKind kind) {
  if (kind == HandoverKind::kState)
    return HandoverState::kSealed;
  return kind == HandoverKind::kNeverVoted ? HandoverState::kNeverVoted
                                           : HandoverState::kGone;
}

}  // namespace

HandoverRequests LearnEpoch(ClaimKeeper& keeper,
                            const ClaimEpoch& epoch,
                            TimePoint now) {
  if (epoch.number <= keeper.epoch.number)
    return {};
  keeper.epoch = epoch;
  keeper.activated = false;
  keeper.epoch_learned_at = now;
  keeper.handovers.clear();
  if (!IsHolder(epoch.holders, keeper.self)) {
    keeper.state = HolderState::kNotHolder;
    return {};
  }
  if (epoch.number == 1) {
    StartFirstEpoch(keeper);
    return {};
  }
  BeginTakeover(keeper);
  TryToVote(keeper, now);
  return OpenHandovers(keeper);
}

bool WantsActivation(const ClaimKeeper& keeper, TimePoint now) {
  return !keeper.activated && IsReadyToVote(keeper, now);
}

void LearnActivation(ClaimKeeper& keeper, std::uint64_t number, TimePoint now) {
  if (number != keeper.epoch.number)
    return;
  keeper.activated = true;
  TryToVote(keeper, now);
}

HandoverRequests OpenHandovers(const ClaimKeeper& keeper) {
  HandoverRequests requests;
  requests.request = {keeper.epoch, keeper.self};
  if (keeper.state != HolderState::kTakingOver)
    return requests;
  for (const Holder& old : keeper.epoch.previous) {
    const auto found = keeper.handovers.find(old.id);
    if (found != keeper.handovers.end() &&
        found->second.state == HandoverState::kOpen)
      requests.recipients.push_back(old);
  }
  return requests;
}

void ConfirmEpoch(ClaimKeeper& keeper, TimePoint read_began_at) {
  keeper.log_confirmed_at = std::max(keeper.log_confirmed_at, read_began_at);
}

std::optional<HandoverResponse> MakeHandoverResponse(
    const ClaimKeeper& keeper,
    const HandoverRequest& request,
    std::string_view requested_id,
    std::uint64_t requested_boot_id) {
  HandoverResponse response;
  if (keeper.epoch.number < request.epoch.number)
    return std::nullopt;
  response.epoch = request.epoch.number;
  response.holder = std::string(requested_id);
  if (keeper.self.boot_id != requested_boot_id)
    return response;
  // A node that already votes in the new epoch has all records of the old one
  // and newer ones. Responding "never voted" hid claims from the slowest new
  // holder, and keys ran twice.
  if (keeper.voted_epoch < request.epoch.previous_number) {
    response.kind = HandoverKind::kNeverVoted;
    return response;
  }
  response.kind = HandoverKind::kState;
  response.complete_since = keeper.complete_since;
  response.records = RecordsOf(keeper);
  return response;
}

void ReceiveHandover(ClaimKeeper& keeper,
                     const HandoverResponse& response,
                     TimePoint now) {
  if (keeper.state != HolderState::kTakingOver ||
      response.epoch != keeper.epoch.number)
    return;
  if (Handover* handover = FindOpenHandover(keeper, response.holder)) {
    handover->state = HandoverStateOf(response.kind);
    handover->complete_since = response.complete_since;
    handover->records = response.records;
  }
  TryToVote(keeper, now);
}

void MarkHolderGone(ClaimKeeper& keeper,
                    std::string_view id,
                    std::uint64_t boot_id,
                    TimePoint now) {
  const Holder* old = FindHolder(keeper.epoch.previous, id);
  if (old == nullptr || old->boot_id != boot_id)
    return;
  if (Handover* handover = FindOpenHandover(keeper, id))
    handover->state = HandoverState::kGone;
  TryToVote(keeper, now);
}

void TickClaims(ClaimKeeper& keeper, TimePoint now) {
  DetectPause(keeper, now);
  const bool is_fence_expired =
      now - keeper.epoch_learned_at >= keeper.settings.fencing_timeout;
  if (keeper.state == HolderState::kTakingOver && is_fence_expired) {
    for (auto& [id, handover] : keeper.handovers) {
      if (handover.state == HandoverState::kOpen)
        handover.state = HandoverState::kGone;
    }
  }
  TryToVote(keeper, now);
  SweepRecords(keeper, now);
}

}  // namespace teaselspread
