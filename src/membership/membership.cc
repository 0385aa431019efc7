#include "teaselspread/membership.h"

#include <algorithm>
#include <utility>

#include <absl/strings/str_cat.h>

#include "membership/internal.h"

namespace teaselspread {
namespace {

using membership::CallContext;

// After a pause all timers have expired while the members' responses are still
// unread in the socket. Acting on the timers would declare healthy members dead
// and cause a burst of refutations. So probes are dropped, suspicions are
// extended by the lost time, and nobody is accused until the state of another
// member has been merged.
void HandlePause(CallContext& call, Duration lateness) {
  Membership& state = call.state;
  membership::Count(state, MembershipCount::kPauseDetected);
  membership::WorsenHealthScore(state);
  state.probe.reset();
  state.relays.clear();
  state.rumour_queue.clear();
  for (auto& [id, entry] : state.members) {
    if (entry.member.status == MemberStatus::kSuspect)
      entry.suspect_deadline += lateness;
  }
  state.next_probe = call.now + state.settings.protocol_period;
  membership::ScheduleEarlyComparison(state, call.now);
  const auto peers =
      membership::PickLiveMembers(state, 2, state.self.id, call.rng);
  if (peers.empty())
    return;
  state.resync_until = call.now + state.settings.max_resync_time;
  // Others may have accused this node by now: refute it before the accusation
  // arrives.
  if (!state.leaving)
    membership::Refute(call, state.self.incarnation);
  for (const MemberEntry* peer : peers)
    membership::SendDigest(call, peer->member.control, true);
}

void BeginCall(CallContext& call) {
  Membership& state = call.state;
  call.now = std::max(call.now, state.latest_time);
  state.latest_time = call.now;
  const Duration lateness = call.now - state.expected_wake;
  if (lateness > state.settings.pause_threshold)
    HandlePause(call, lateness);
}

MembershipActions FinishCall(CallContext& call) {
  call.state.expected_wake = std::max(call.now, NextWake(call.state));
  return std::move(call.actions);
}

void ExchangeWithSeeds(CallContext& call) {
  std::vector<Address> seeds = call.state.seeds;
  std::erase(seeds, call.state.self.control);
  std::shuffle(seeds.begin(), seeds.end(), call.rng);
  constexpr std::size_t kMaxSeeds = 2;
  seeds.resize(std::min(seeds.size(), kMaxSeeds));
  for (const Address& seed : seeds)
    membership::SendExchange(call, seed, true, kAllBuckets);
}

// Dead members are not probed, so the two sides of a healed network partition
// would never reconnect. This pings a random dead member and puts the
// accusation first, so that the member can refute it.
void PingDeadMember(CallContext& call) {
  std::vector<const MemberEntry*> dead;
  for (const auto& [id, entry] : call.state.members) {
    if (entry.member.status == MemberStatus::kDead)
      dead.push_back(&entry);
  }
  if (dead.empty())
    return;
  std::uniform_int_distribution<std::size_t> random_index(0, dead.size() - 1);
  const Member& target = dead[random_index(call.rng)]->member;
  membership::Send(
      call, target.control,
      Ping{SenderOf(call.state, call.now), call.state.next_sequence++,
           target.id, membership::TakeRumours(call, target.id)});
}

void TickReconnect(CallContext& call) {
  Membership& state = call.state;
  if (call.now < state.next_reconnect)
    return;
  const Duration interval = state.settings.reconnect_interval;
  state.next_reconnect =
      call.now + interval / 2 + membership::RandomUpTo(interval, call.rng);
  if (!state.joined || CountLive(state) == 0)
    ExchangeWithSeeds(call);
  PingDeadMember(call);
}

void TickExchange(CallContext& call) {
  Membership& state = call.state;
  if (call.now < state.next_exchange)
    return;
  const Duration interval = state.current_exchange_interval;
  state.current_exchange_interval =
      std::min(2 * interval, state.settings.exchange_interval);
  state.next_exchange =
      call.now + interval / 2 + membership::RandomUpTo(interval, call.rng);
  for (const MemberEntry* peer :
       membership::PickLiveMembers(state, 1, state.self.id, call.rng))
    membership::SendDigest(call, peer->member.control, false);
}

void ObserveSender(CallContext& call, const Sender& from) {
  if (from.id == call.state.self.id)
    return;
  if (const auto found = call.state.members.find(from.id);
      found != call.state.members.end()) {
    Member& member = found->second.member;
    if (StartOf(member.incarnation) == StartOf(from.incarnation))
      member.held = std::max(member.held, from.held);
  }
  call.actions.versions.push_back(
      {from.id, from.incarnation, from.control, from.held, TimePoint{}});
}

void MergeExchange(CallContext& call, const StateExchange& exchange) {
  Membership& state = call.state;
  for (const Member& member : exchange.members) {
    const bool is_own_entry = member.id == exchange.from.id;
    membership::ApplyMember(call, member,
                            is_own_entry ? membership::UpdateSource::kOwnEntry
                                         : membership::UpdateSource::kExchange);
  }
  for (const OpaqueRumour& rumour : exchange.rumours)
    membership::ApplyOpaque(call, rumour);
  state.joined = true;
  state.resync_until = TimePoint{};
  if (exchange.reply_wanted)
    membership::SendExchange(call, exchange.from.control, false,
                             exchange.buckets);
}

void CompareDigest(CallContext& call, const StateDigest& digest) {
  const std::vector<std::uint32_t> own = membership::DigestsOf(call.state);
  std::uint64_t differing = 0;
  for (std::size_t i = 0; i < kStateBuckets; ++i) {
    if (i >= digest.digests.size() || digest.digests[i] != own[i])
      differing |= std::uint64_t{1} << i;
  }
  if (differing != 0) {
    membership::SendExchange(call, digest.from.control, true, differing);
    return;
  }
  call.state.resync_until = TimePoint{};
  if (digest.reply_wanted)
    membership::SendDigest(call, digest.from.control, false);
}

struct MessageVisitor {
  CallContext& call;

  void operator()(const Ping& message) const {
    membership::ApplyRumours(this->call, message.rumours);
    membership::ReceivePing(this->call, message);
  }
  void operator()(const PingRequest& message) const {
    membership::ApplyRumours(this->call, message.rumours);
    membership::ReceivePingRequest(this->call, message);
  }
  void operator()(const Ack& message) const {
    membership::ReceiveAck(this->call, message);
    membership::ApplyRumours(this->call, message.rumours);
  }
  void operator()(const Nack& message) const {
    membership::ReceiveNack(this->call, message);
  }
  void operator()(const Gossip& message) const {
    membership::ApplyRumours(this->call, message.rumours);
  }
  void operator()(const StateExchange& message) const {
    MergeExchange(this->call, message);
  }
  void operator()(const StateDigest& message) const {
    CompareDigest(this->call, message);
  }
  // Messages of the spread module are not handled here.
  template <class Other>
  void operator()(const Other& /*message*/) const {}
};

}  // namespace

Membership MakeMembership(const MembershipSettings& settings,
                          const Member& self,
                          std::vector<Address> seeds,
                          TimePoint now) {
  Membership state;
  state.settings = settings;
  state.self = self;
  state.self.status = MemberStatus::kAlive;
  state.seeds = std::move(seeds);
  state.rumour_tokens = static_cast<double>(settings.rumour_burst_bytes);
  state.tokens_refilled_at = now;
  state.latest_time = now;
  state.next_probe = now;
  state.next_gossip = TimePoint::max();
  membership::ScheduleEarlyComparison(state, now);
  state.next_reconnect = now;
  state.expected_wake = now;
  return state;
}

TimePoint NextWake(const Membership& state) {
  TimePoint wake = std::min({state.next_probe, state.next_gossip,
                             state.next_exchange, state.next_reconnect});
  if (state.probe) {
    wake = std::min(wake, state.probe->deadline);
    if (!state.probe->indirect_sent)
      wake = std::min(wake, state.probe->indirect_at);
  }
  for (const auto& [sequence, relay] : state.relays)
    wake = std::min(wake, relay.nack_at);
  return wake;
}

MembershipActions TickMembership(Membership& state, TimePoint now, Rng& rng) {
  CallContext call{state, now, rng, {}};
  BeginCall(call);
  membership::TickSuspicions(call);
  membership::TickProbe(call);
  membership::TickGossip(call);
  TickReconnect(call);
  TickExchange(call);
  return FinishCall(call);
}

MembershipActions ReceiveMembership(Membership& state,
                                    const Message& message,
                                    TimePoint now,
                                    Rng& rng) {
  CallContext call{state, now, rng, {}};
  BeginCall(call);
  ObserveSender(call, SenderOf(message));
  std::visit(MessageVisitor{call}, message);
  return FinishCall(call);
}

MembershipActions SetAnnouncement(Membership& state,
                                  const Announcement& announcement,
                                  TimePoint now,
                                  Rng& rng) {
  CallContext call{state, now, rng, {}};
  BeginCall(call);
  if (state.self.upstream != announcement) {
    state.self.upstream = announcement;
    ++state.self.incarnation;
    membership::QueueSelf(call);
    membership::GossipNow(call, state.settings.gossip_fan_out);
  }
  return FinishCall(call);
}

void SetHeldVersion(Membership& state,
                    ConfigVersion held,
                    TimePoint fresh_as_of) {
  state.self.held = std::max(state.self.held, held);
  state.fresh_as_of = std::max(state.fresh_as_of, fresh_as_of);
}

MembershipActions Leave(Membership& state, TimePoint now, Rng& rng) {
  CallContext call{state, now, rng, {}};
  BeginCall(call);
  state.leaving = true;
  state.self.status = MemberStatus::kLeft;
  ++state.self.incarnation;
  membership::QueueRumour(call,
                          Accusation{state.self.id, state.self.incarnation,
                                     MemberStatus::kLeft, state.self.id});
  // The process may end soon, so send several rounds of gossip now.
  constexpr std::size_t kRounds = 3;
  membership::GossipNow(call, kRounds * state.settings.gossip_fan_out);
  return FinishCall(call);
}

Result<MembershipActions> Spread(Membership& state,
                                 const OpaqueRumour& rumour,
                                 TimePoint now,
                                 Rng& rng) {
  const std::size_t bytes = rumour.key.size() + rumour.body.size();
  if (bytes > kMaxOpaqueBytes) {
    return Fail(
        ErrorKind::kBodyTooLarge,
        absl::StrCat("rumour of ", bytes, " bytes, at most ", kMaxOpaqueBytes));
  }
  CallContext call{state, now, rng, {}};
  BeginCall(call);
  membership::ApplyOpaque(call, rumour);
  call.actions.rumours.clear();
  membership::GossipNow(call, state.settings.gossip_fan_out);
  return FinishCall(call);
}

bool IsResyncing(const Membership& state, TimePoint now) {
  return now < state.resync_until;
}

}  // namespace teaselspread
