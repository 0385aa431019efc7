#include <algorithm>
#include <utility>

#include "spread/internal.h"

namespace teaselspread::spread {
namespace {

std::size_t Quorum(const SpreadState& state) {
  const auto live = static_cast<std::size_t>(
      std::count_if(state.peers.begin(), state.peers.end(),
                    [](const auto& row) { return IsLive(row.second); }));
  const std::size_t queried = std::min(state.settings.witnesses, live);
  return queried == 0 ? 0 : queried / 2 + 1;
}

// Reports to the highest ranked witnesses first and, with each retry, to as
// many more: the first ones may just have died.
void NotifyWitnesses(Call& call, Recording& recording) {
  SpreadState& state = call.state;
  recording.witnesses_queried += state.settings.witnesses;
  recording.due = call.now + state.settings.record_retry;
  for (const SpreadPeer* peer :
       RankedWitnesses(state, recording.witnesses_queried, false)) {
    if (!recording.acks.contains(peer->id))
      Send(call, peer->control,
           RecordHeld{SenderOf(state, call.now), recording.version});
  }
}

void HandOut(Call& call) {
  SpreadState& state = call.state;
  state.applying = state.recording->version;
  state.recording.reset();
  call.actions.apply = CollectToApply(state, state.applying);
  if (call.actions.apply.empty())
    state.applying = 0;
}

bool RecordTimedOut(const SpreadState& state, TimePoint now) {
  const Recording& recording = *state.recording;
  return state.versions_from_log.contains(recording.version) &&
         now - recording.started >= state.settings.record_timeout;
}

void HandOutIfConfirmed(Call& call) {
  SpreadState& state = call.state;
  if (!state.recording)
    return;
  if (state.recording->acks.size() >= Quorum(state))
    return HandOut(call);
  // Too few witnesses can be reached, but the version was read from the log,
  // which serves as the witness.
  if (RecordTimedOut(state, call.now)) {
    Count(state, SpreadCount::kAppliedUnwitnessed);
    HandOut(call);
  }
}

// Reports the held version again to the highest ranked live witnesses: one that
// restarted has lost its records, and a new member may rank higher.
void RepairRecords(Call& call) {
  SpreadState& state = call.state;
  if (call.now < state.next_repair)
    return;
  state.next_repair = call.now + state.settings.record_repair_interval;
  if (state.held == 0)
    return;
  for (const SpreadPeer* peer :
       RankedWitnesses(state, state.settings.witnesses, false)) {
    const auto ack = state.witness_acks.find(peer->id);
    const bool confirmed = ack != state.witness_acks.end() &&
                           ack->second.start == peer->start &&
                           ack->second.version >= state.held;
    if (!confirmed)
      Send(call, peer->control,
           RecordHeld{SenderOf(state, call.now), state.held});
  }
}

}  // namespace

void StartRecording(Call& call, ConfigVersion version) {
  Recording recording;
  recording.version = version;
  recording.started = call.now;
  NotifyWitnesses(call, recording);
  call.state.recording = std::move(recording);
  HandOutIfConfirmed(call);
}

void TickRecording(Call& call) {
  SpreadState& state = call.state;
  if (state.recording && state.recording->due <= call.now)
    NotifyWitnesses(call, *state.recording);
  HandOutIfConfirmed(call);
  RepairRecords(call);
}

void ReceiveRecordHeld(Call& call, const RecordHeld& record) {
  SpreadState& state = call.state;
  SpreadPeer& peer = state.peers[record.from.id];
  if (peer.id.empty()) {
    // Not known as a member yet: stored, but not counted as live.
    peer.id = record.from.id;
    peer.status = MemberStatus::kLeft;
    peer.control = record.from.control;
    peer.settled_when_first_seen = state.floor_settled;
    peer.start = StartOf(record.from.incarnation);
    peer.first_start = peer.start;
    peer.gone_since = call.now;
    peer.reader_rank = RankOf(peer.id, kReaderSeed);
    peer.witness_rank = RankOf(peer.id, SeedOf(state.id));
  }
  peer.highest_held = std::max(peer.highest_held, record.version);
  peer.recorded = true;
  Send(call, record.from.control,
       RecordAck{SenderOf(state, call.now), record.version});
}

void ReceiveRecordAck(Call& call, const RecordAck& ack) {
  SpreadState& state = call.state;
  WitnessAck& known = state.witness_acks[ack.from.id];
  const std::uint64_t start = StartOf(ack.from.incarnation);
  if (start >= known.start) {
    known.version = start > known.start ? ack.version
                                        : std::max(known.version, ack.version);
    known.start = start;
  }
  if (!state.recording || ack.version != state.recording->version)
    return;
  state.recording->acks.insert(ack.from.id);
  HandOutIfConfirmed(call);
}

}  // namespace teaselspread::spread
