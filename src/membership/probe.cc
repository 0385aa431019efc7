#include <algorithm>
#include <utility>

#include "membership/internal.h"

namespace teaselspread::membership {
namespace {

int TimeoutMultiplier(const Membership& state) {
  return state.health_score + 1;
}

void ImproveHealthScore(Membership& state) {
  state.health_score = std::max(0, state.health_score - 1);
}

// The next live member in probing order; nullptr if there is none.
MemberEntry* NextProbeTarget(CallContext& call) {
  Membership& state = call.state;
  for (int round = 0; round < 2; ++round) {
    while (state.next_probe_index < state.probe_order.size()) {
      const auto found =
          state.members.find(state.probe_order[state.next_probe_index++]);
      if (found != state.members.end() && IsLive(found->second))
        return &found->second;
    }
    std::erase_if(state.probe_order, [&state](const std::string& id) {
      const auto found = state.members.find(id);
      if (found == state.members.end())
        return true;
      found->second.in_probe_order = IsLive(found->second);
      return !found->second.in_probe_order;
    });
    std::shuffle(state.probe_order.begin(), state.probe_order.end(), call.rng);
    state.next_probe_index = 0;
  }
  return nullptr;
}

void StartProbe(CallContext& call) {
  Membership& state = call.state;
  const Duration period =
      state.settings.protocol_period * TimeoutMultiplier(state);
  state.next_probe = call.now + period;
  const MemberEntry* target = NextProbeTarget(call);
  if (target == nullptr)
    return;
  Probe probe;
  probe.target = target->member.id;
  probe.incarnation = target->member.incarnation;
  probe.sequence = state.next_sequence++;
  probe.sent_at = call.now;
  probe.indirect_at =
      call.now + state.settings.probe_timeout * TimeoutMultiplier(state);
  probe.deadline = call.now + period;
  const Address to = target->member.control;
  state.probe = probe;
  Send(call, to,
       Ping{SenderOf(state, call.now), probe.sequence, probe.target,
            TakeRumours(call, probe.target)});
}

void StartIndirectProbe(CallContext& call, Probe& probe) {
  Membership& state = call.state;
  probe.indirect_sent = true;
  const auto found = state.members.find(probe.target);
  if (found == state.members.end())
    return;
  const Address target = found->second.member.control;
  for (const MemberEntry* helper : PickLiveMembers(
           state, state.settings.indirect_probes, probe.target, call.rng)) {
    ++probe.nacks_expected;
    Send(call, helper->member.control,
         PingRequest{SenderOf(state, call.now), probe.sequence, probe.target,
                     target, TakeRumours(call, helper->member.id)});
  }
}

// Helpers that cannot reach the target send a nack. A missing nack points to a
// fault of this node's own network links, so its health score gets worse.
void HandleProbeFailure(CallContext& call, const Probe& probe) {
  Membership& state = call.state;
  Count(state, MembershipCount::kProbeFailed);
  if (probe.nacks_seen < probe.nacks_expected)
    WorsenHealthScore(state);
  const auto found = state.members.find(probe.target);
  if (found == state.members.end() || !IsLive(found->second) ||
      found->second.member.incarnation != probe.incarnation ||
      IsResyncing(state, call.now))
    return;
  Count(state, MembershipCount::kSuspected);
  Suspect(call, found->second, state.self.id);
}

bool Accuses(const std::vector<Rumour>& rumours, const std::string& id) {
  return std::any_of(
      rumours.begin(), rumours.end(), [&id](const Rumour& rumour) {
        const auto* accusation = std::get_if<Accusation>(&rumour);
        return accusation != nullptr && accusation->id == id;
      });
}

void TickRelays(CallContext& call) {
  Membership& state = call.state;
  for (auto row = state.relays.begin(); row != state.relays.end();) {
    if (row->second.nack_at > call.now) {
      ++row;
      continue;
    }
    Send(call, row->second.requester,
         Nack{SenderOf(state, call.now), row->second.requester_sequence});
    row = state.relays.erase(row);
  }
}

}  // namespace

void WorsenHealthScore(Membership& state) {
  state.health_score =
      std::min(state.settings.max_health_score, state.health_score + 1);
}

void AddToOrder(CallContext& call, MemberEntry& entry) {
  if (entry.in_probe_order)
    return;
  entry.in_probe_order = true;
  std::vector<std::string>& order = call.state.probe_order;
  std::uniform_int_distribution<std::size_t> random_index(0, order.size());
  order.insert(
      order.begin() + static_cast<std::ptrdiff_t>(random_index(call.rng)),
      entry.member.id);
}

void TickProbe(CallContext& call) {
  Membership& state = call.state;
  TickRelays(call);
  if (state.probe && !state.probe->indirect_sent &&
      call.now >= state.probe->indirect_at)
    StartIndirectProbe(call, *state.probe);
  if (state.probe && call.now >= state.probe->deadline) {
    const Probe failed = std::move(*state.probe);
    state.probe.reset();
    HandleProbeFailure(call, failed);
  }
  if (!state.probe && call.now >= state.next_probe)
    StartProbe(call);
}

void ReceivePing(CallContext& call, const Ping& ping) {
  if (ping.target != call.state.self.id) {
    Count(call.state, MembershipCount::kWrongTarget);
    return;
  }
  std::vector<Rumour> rumours = TakeRumours(call, ping.from.id);
  // The sender may have missed an earlier refutation that is no longer
  // retransmitted; it would regard this node as dead until the next comparison.
  if (Accuses(ping.rumours, call.state.self.id))
    rumours.emplace_back(call.state.self);
  Send(call, ping.from.control,
       Ack{SenderOf(call.state, call.now), ping.sequence, ping.target,
           std::move(rumours)});
}

void ReceivePingRequest(CallContext& call, const PingRequest& request) {
  Membership& state = call.state;
  const std::uint32_t sequence = state.next_sequence++;
  RelayedProbe relay;
  relay.requester = request.from.control;
  relay.requester_sequence = request.sequence;
  relay.nack_at = call.now + state.settings.probe_timeout;
  state.relays.emplace(sequence, relay);
  Send(call, request.target_address,
       Ping{SenderOf(state, call.now), sequence, request.target,
            TakeRumours(call, request.target)});
}

void ReceiveAck(CallContext& call, const Ack& ack) {
  Membership& state = call.state;
  if (const auto relay = state.relays.find(ack.sequence);
      relay != state.relays.end()) {
    Send(call, relay->second.requester,
         Ack{SenderOf(state, call.now),
             relay->second.requester_sequence,
             ack.target,
             {}});
    state.relays.erase(relay);
    return;
  }
  if (!state.probe || state.probe->sequence != ack.sequence ||
      state.probe->target != ack.target)
    return;
  // The age is subtracted from the time of sending, so that a slow response
  // never makes the peer's version look fresher than it was.
  if (ack.from.id == ack.target && ack.from.log_age_ms != kAgeUnknown &&
      !call.actions.versions.empty()) {
    call.actions.versions.back().fresh_as_of =
        state.probe->sent_at - std::chrono::milliseconds(ack.from.log_age_ms);
  }
  state.probe.reset();
  ImproveHealthScore(state);
}

void ReceiveNack(CallContext& call, const Nack& nack) {
  if (call.state.probe && call.state.probe->sequence == nack.sequence)
    ++call.state.probe->nacks_seen;
}

}  // namespace teaselspread::membership
