#include "teaselspread/spread.h"

#include <algorithm>
#include <utility>

#include "spread/internal.h"

namespace teaselspread {
namespace {

using spread::Call;

// A paused node has missed reports of other nodes. If it vouched at once from
// its old state, a restarted VM could receive too low a floor.
void HandlePause(Call& call) {
  SpreadState& state = call.state;
  spread::Count(state, SpreadCount::kPauseDetected);
  state.vouch_suspended_until = call.now + state.settings.vouch_suspension;
  state.deliveries.clear();
}

void Begin(Call& call) {
  SpreadState& state = call.state;
  call.now = std::max(call.now, state.latest_now);
  state.latest_now = call.now;
  if (call.now - state.expected_wake > state.settings.pause_threshold)
    HandlePause(call);
}

SpreadActions Finish(Call& call) {
  SpreadState& state = call.state;
  const bool reader = IsReader(state, call.now);
  call.actions.reader_changed =
      reader != std::exchange(state.was_reader, reader);
  const bool ready = IsReady(state);
  call.actions.ready_changed = ready != std::exchange(state.was_ready, ready);
  state.expected_wake = std::max(call.now, NextWake(state));
  return std::move(call.actions);
}

void RemoveExpiredPeers(Call& call) {
  SpreadState& state = call.state;
  std::erase_if(state.peers, [&call](const auto& row) {
    return !spread::IsLive(row.second) &&
           call.now - row.second.gone_since >
               call.state.settings.gone_member_retention;
  });
  std::erase_if(state.witness_acks, [&state](const auto& row) {
    return !state.peers.contains(row.first);
  });
}

// Whether `peer` ranks before this node as a reader.
bool RanksBefore(const SpreadState& state, const SpreadPeer& peer) {
  return peer.status == MemberStatus::kAlive &&
         peer.reader_rank > spread::RankOf(state.id, spread::kReaderSeed);
}

// Returns false when `start` is older than the known start of the peer.
bool UpdateStart(SpreadPeer& peer, std::uint64_t start) {
  if (start < peer.start)
    return false;
  if (start > peer.start) {
    peer.start = start;
    peer.held = 0;
  }
  return true;
}

struct Dispatch {
  Call& call;

  void operator()(const Push& message) const {
    spread::ReceivePush(this->call, message);
  }
  void operator()(const PushAck& message) const {
    spread::ReceivePushAck(this->call, message);
  }
  void operator()(const PullRequest& message) const {
    spread::ReceivePullRequest(this->call, message);
  }
  void operator()(const PullReply& message) const {
    spread::ReceivePullReply(this->call, message);
  }
  void operator()(const PullBusy& message) const {
    spread::ReceivePullBusy(this->call, message);
  }
  void operator()(const RecordHeld& message) const {
    spread::ReceiveRecordHeld(this->call, message);
  }
  void operator()(const RecordAck& message) const {
    spread::ReceiveRecordAck(this->call, message);
  }
  void operator()(const FloorQuery& message) const {
    spread::ReceiveFloorQuery(this->call, message);
  }
  void operator()(const FloorReply& message) const {
    spread::ReceiveFloorReply(this->call, message);
  }
  void operator()(const VersionNotice& message) const {
    spread::ReceiveNotice(this->call, message);
  }
  // Messages of the membership module.
  template <class Other>
  void operator()(const Other& /*message*/) const {}
};

}  // namespace

SpreadState MakeSpread(const SpreadSettings& settings,
                       const Member& self,
                       TimePoint now) {
  SpreadState state;
  state.settings = settings;
  state.id = self.id;
  state.data_center = self.data_center;
  state.control = self.control;
  state.incarnation = self.incarnation;
  state.started = now;
  state.next_floor_query = now;
  state.next_notice = now;
  state.next_repair = now + settings.record_repair_interval;
  state.last_reader_heartbeat = now;
  state.latest_now = now;
  state.expected_wake = now;
  return state;
}

TimePoint NextWake(const SpreadState& state) {
  TimePoint wake = std::min(state.next_notice, state.next_repair);
  if (!state.floor_settled)
    wake = std::min(wake, state.next_floor_query);
  if (state.recording)
    wake = std::min(wake, state.recording->due);
  if (state.pull)
    wake = std::min(wake, state.pull->due);
  // Only readers send heartbeats, and only standbys act on missing ones.
  if (state.reader_position < state.settings.readers + state.settings.standbys)
    wake = std::min(wake, state.next_heartbeat);
  for (const Delivery& delivery : state.deliveries)
    wake = std::min(wake, delivery.due);
  return wake;
}

SpreadActions TickSpread(SpreadState& state, TimePoint now, Rng& rng) {
  Call call{state, now, rng, {}};
  Begin(call);
  spread::TickDeliveries(call);
  spread::TickFloor(call);
  if (call.now >= state.next_repair)
    RemoveExpiredPeers(call);
  spread::TickRecording(call);
  spread::TickPull(call);
  spread::TickHeartbeat(call);
  spread::TickNotices(call);
  return Finish(call);
}

SpreadActions ObserveMember(SpreadState& state,
                            const Member& member,
                            TimePoint now,
                            Rng& rng) {
  Call call{state, now, rng, {}};
  Begin(call);
  if (member.id == state.id || member.data_center != state.data_center)
    return Finish(call);
  const std::uint64_t start = StartOf(member.incarnation);
  const auto [row, added] = state.peers.try_emplace(member.id);
  SpreadPeer& peer = row->second;
  if (added) {
    peer.id = member.id;
    peer.status = MemberStatus::kLeft;
    peer.settled_when_first_seen = state.floor_settled;
    peer.first_start = start;
    peer.reader_rank = spread::RankOf(member.id, spread::kReaderSeed);
    peer.witness_rank = spread::RankOf(member.id, spread::SeedOf(state.id));
  }
  peer.first_start = std::min(peer.first_start, start);
  peer.highest_held = std::max(peer.highest_held, member.held);
  if (!UpdateStart(peer, start))
    return Finish(call);
  peer.control = member.control;
  peer.held = std::max(peer.held, member.held);
  // Updated incrementally: counting 833 peers at each of the 833 member updates
  // of a join was most of a node's work.
  if (RanksBefore(state, peer))
    --state.reader_position;
  peer.status = member.status;
  if (RanksBefore(state, peer))
    ++state.reader_position;
  if (!spread::IsLive(peer))
    peer.gone_since = call.now;
  if (spread::IsLive(peer))
    spread::PullIfBehind(call, peer.held);
  return Finish(call);
}

SpreadActions ObserveVersion(SpreadState& state,
                             const PeerVersion& version,
                             TimePoint now,
                             Rng& rng) {
  Call call{state, now, rng, {}};
  Begin(call);
  // Versions of nodes in other data centres arrive only in notices.
  const auto found = state.peers.find(version.id);
  if (found == state.peers.end())
    return Finish(call);
  SpreadPeer& peer = found->second;
  peer.highest_held = std::max(peer.highest_held, version.held);
  if (!UpdateStart(peer, StartOf(version.incarnation)))
    return Finish(call);
  peer.held = std::max(peer.held, version.held);
  if (version.fresh_as_of != TimePoint{})
    spread::UpdateFreshness(call, version.held, version.fresh_as_of);
  spread::PullIfBehind(call, peer.held);
  return Finish(call);
}

SpreadActions ReceiveSpread(SpreadState& state,
                            const Message& message,
                            TimePoint now,
                            Rng& rng) {
  Call call{state, now, rng, {}};
  Begin(call);
  std::visit(Dispatch{call}, message);
  return Finish(call);
}

SpreadActions ObserveLogRead(SpreadState& state,
                             const std::vector<ConfigUpdate>& updates,
                             TimePoint read_started,
                             bool reached_end,
                             TimePoint now,
                             Rng& rng) {
  Call call{state, now, rng, {}};
  Begin(call);
  ConfigVersion newest = state.held;
  for (const ConfigUpdate& update : updates) {
    newest = std::max(newest, update.version);
    if (update.version > state.held)
      spread::HandleUpdate(call, update, spread::UpdateSource::kLog);
  }
  if (reached_end)
    spread::UpdateFreshness(call, std::max(newest, spread::TipOf(state)),
                            read_started);
  spread::Advance(call);
  return Finish(call);
}

SpreadActions ConfirmApplied(SpreadState& state,
                             const ConfigUpdate& full,
                             TimePoint now,
                             Rng& rng) {
  Call call{state, now, rng, {}};
  Begin(call);
  state.applying = 0;
  if (full.version <= state.held) {
    spread::Count(state, SpreadCount::kBelowHeldRefused);
    return Finish(call);
  }
  state.held = full.version;
  state.snapshot = full;
  state.versions_from_log.erase(
      state.versions_from_log.begin(),
      state.versions_from_log.upper_bound(state.held));
  state.snapshot_wanted = false;
  if (state.pending_freshness.version <= state.held)
    state.fresh_as_of =
        std::max(state.fresh_as_of, state.pending_freshness.as_of);
  spread::Advance(call);
  return Finish(call);
}

SpreadActions RejectUpdate(SpreadState& state, TimePoint now, Rng& rng) {
  Call call{state, now, rng, {}};
  Begin(call);
  spread::Count(state, SpreadCount::kUpdateRejected);
  const ConfigVersion failed = state.applying;
  state.applying = 0;
  for (auto row = state.updates.upper_bound(state.held);
       row != state.updates.end() && row->first <= failed;) {
    state.update_bytes -= row->second.body.size();
    row = state.updates.erase(row);
  }
  state.snapshot_wanted = true;
  spread::SchedulePull(call, state.settings.pull_delay);
  return Finish(call);
}

void SetIncarnation(SpreadState& state, std::uint64_t incarnation) {
  state.incarnation = std::max(state.incarnation, incarnation);
}

void LeaveSpread(SpreadState& state) {
  state.leaving = true;
}

}  // namespace teaselspread
