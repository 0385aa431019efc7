#include <algorithm>
#include <utility>

#include "claims/coverage.h"
#include "teaselspread/claims.h"

namespace teaselspread {
namespace {

constexpr Duration kSweepEvery = std::chrono::seconds(10);

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

std::size_t CountClosings(const ClaimKeeper& keeper, Closing closing) {
  return static_cast<std::size_t>(
      std::count_if(keeper.handovers.begin(), keeper.handovers.end(),
                    [closing](const auto& entry) {
                      return entry.second.closing == closing;
                    }));
}

// While a majority of the old holders is open, the old epoch may still decide.
bool OldEpochIsClosed(const ClaimKeeper& keeper) {
  return CountClosings(keeper, Closing::kOpen) <
         QuorumOf(keeper.epoch.previous);
}

// Every decision of the old epoch had a vote of a holder whose records are
// here, unless a majority of it is gone or silent.
bool HandoverIsComplete(const ClaimKeeper& keeper) {
  const std::size_t unheard = CountClosings(keeper, Closing::kOpen) +
                              CountClosings(keeper, Closing::kGone);
  return CountClosings(keeper, Closing::kSealed) > 0 &&
         unheard < QuorumOf(keeper.epoch.previous);
}

// Two old holders may have granted the key to different attempts, and the one
// that is not heard of decides which ran. Neither may run or be released now.
void MergeRecord(ClaimTable& table, const KeyedRecord& entry) {
  if (entry.record.state == ClaimState::kReleased)
    return;
  const auto [found, is_new] = table.emplace(entry.key, entry.record);
  if (is_new)
    return;
  ClaimRecord& known = found->second;
  known.touched = std::max(known.touched, entry.record.touched);
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
    if (handover.closing != Closing::kSealed)
      continue;
    since = std::max(since, handover.complete_since);
    for (const KeyedRecord& entry : handover.records)
      MergeRecord(table, entry);
  }
  // Outcomes that came in while taking over.
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

bool IsReady(const ClaimKeeper& keeper, TimePoint now) {
  if (keeper.state != HolderState::kTakingOver || !OldEpochIsClosed(keeper))
    return false;
  // After a restart nobody knows who voted before: only time closes them.
  if (keeper.epoch.previous.empty())
    return now - keeper.epoch_learned >= keeper.settings.fence;
  const bool waited = now - keeper.epoch_learned >= keeper.settings.patience;
  return HandoverIsComplete(keeper) || waited;
}

// The log must say so before the first vote. Otherwise the next epoch could not
// know whether this one or the one before it may still decide: with a quick
// row of epochs, holders that were cut off went on in an old one while a new
// one had closed only epochs that never voted, and keys ran twice.
void TryToVote(ClaimKeeper& keeper, TimePoint now) {
  if (keeper.activated && IsReady(keeper, now))
    StartVoting(keeper, now);
}

// Before the very first epoch nothing can have run.
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
    return {Closing::kNeverVoted, {}, {}};
  return {Closing::kSealed, keeper.complete_since, RecordsOf(keeper)};
}

void BeginTakeover(ClaimKeeper& keeper) {
  keeper.state = HolderState::kTakingOver;
  for (const Holder& old : keeper.epoch.previous) {
    Handover& handover = keeper.handovers[old.id];
    if (SameProcess(old, keeper.self))
      handover = OwnHandover(keeper);
    else if (old.id == keeper.self.id)
      handover.closing = Closing::kGone;
  }
}

// A holder may keep a hundred thousand records: looking through all of them at
// every tick was what first used up a holder's share of a core.
void DropOldRecords(ClaimKeeper& keeper, TimePoint now) {
  if (now < keeper.next_sweep)
    return;
  keeper.next_sweep = now + kSweepEvery;
  const Duration kept = LongestRepeat(keeper.settings);
  std::erase_if(keeper.records, [now, kept](const auto& entry) {
    return now - entry.second.touched > kept;
  });
}

void NoticePause(ClaimKeeper& keeper, TimePoint now) {
  const bool first = keeper.last_tick == TimePoint{};
  if (!first && now - keeper.last_tick > keeper.settings.longest_gap)
    keeper.distrust_until = now + keeper.settings.claim_window;
  keeper.last_tick = now;
}

Handover* FindOpen(ClaimKeeper& keeper, std::string_view id) {
  const auto found = keeper.handovers.find(std::string(id));
  if (found == keeper.handovers.end() ||
      found->second.closing != Closing::kOpen)
    return nullptr;
  return &found->second;
}

Closing ClosingOf(SealKind kind) {
  if (kind == SealKind::kState)
    return Closing::kSealed;
  return kind == SealKind::kNeverVoted ? Closing::kNeverVoted : Closing::kGone;
}

}  // namespace

SealAsks LearnEpoch(ClaimKeeper& keeper,
                    const ClaimEpoch& epoch,
                    TimePoint now) {
  if (epoch.number <= keeper.epoch.number)
    return {};
  keeper.epoch = epoch;
  keeper.activated = false;
  keeper.epoch_learned = now;
  keeper.handovers.clear();
  if (!IsHolder(epoch.holders, keeper.self)) {
    keeper.state = HolderState::kOutside;
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
  return !keeper.activated && IsReady(keeper, now);
}

void LearnActivation(ClaimKeeper& keeper, std::uint64_t number, TimePoint now) {
  if (number != keeper.epoch.number)
    return;
  keeper.activated = true;
  TryToVote(keeper, now);
}

SealAsks OpenHandovers(const ClaimKeeper& keeper) {
  SealAsks asks;
  asks.ask = {keeper.epoch, keeper.self};
  if (keeper.state != HolderState::kTakingOver)
    return asks;
  for (const Holder& old : keeper.epoch.previous) {
    const auto found = keeper.handovers.find(old.id);
    if (found != keeper.handovers.end() &&
        found->second.closing == Closing::kOpen)
      asks.to.push_back(old);
  }
  return asks;
}

void ConfirmEpoch(ClaimKeeper& keeper, TimePoint began) {
  keeper.log_confirmed = std::max(keeper.log_confirmed, began);
}

std::optional<SealAnswer> AnswerSeal(const ClaimKeeper& keeper,
                                     const SealAsk& ask,
                                     std::string_view asked_id,
                                     std::uint64_t asked_boot_id) {
  SealAnswer answer;
  if (keeper.epoch.number < ask.epoch.number)
    return std::nullopt;
  answer.epoch = ask.epoch.number;
  answer.holder = std::string(asked_id);
  if (keeper.self.boot_id != asked_boot_id)
    return answer;
  // One that votes in the new epoch already has all of the old one's records
  // and newer ones. Calling that "never voted" hid claims from the slowest of
  // the new holders, and keys ran twice.
  if (keeper.voted_epoch < ask.epoch.previous_number) {
    answer.kind = SealKind::kNeverVoted;
    return answer;
  }
  answer.kind = SealKind::kState;
  answer.complete_since = keeper.complete_since;
  answer.records = RecordsOf(keeper);
  return answer;
}

void TakeHandover(ClaimKeeper& keeper,
                  const SealAnswer& answer,
                  TimePoint now) {
  if (keeper.state != HolderState::kTakingOver ||
      answer.epoch != keeper.epoch.number)
    return;
  if (Handover* handover = FindOpen(keeper, answer.holder)) {
    handover->closing = ClosingOf(answer.kind);
    handover->complete_since = answer.complete_since;
    handover->records = answer.records;
  }
  TryToVote(keeper, now);
}

void HolderGone(ClaimKeeper& keeper,
                std::string_view id,
                std::uint64_t boot_id,
                TimePoint now) {
  const Holder* old = FindHolder(keeper.epoch.previous, id);
  if (old == nullptr || old->boot_id != boot_id)
    return;
  if (Handover* handover = FindOpen(keeper, id))
    handover->closing = Closing::kGone;
  TryToVote(keeper, now);
}

void TickClaims(ClaimKeeper& keeper, TimePoint now) {
  NoticePause(keeper, now);
  const bool fenced = now - keeper.epoch_learned >= keeper.settings.fence;
  if (keeper.state == HolderState::kTakingOver && fenced) {
    for (auto& [id, handover] : keeper.handovers) {
      if (handover.closing == Closing::kOpen)
        handover.closing = Closing::kGone;
    }
  }
  TryToVote(keeper, now);
  DropOldRecords(keeper, now);
}

}  // namespace teaselspread
