#include <algorithm>
#include <cmath>
#include <utility>

#include "membership/internal.h"

namespace teaselspread::membership {
namespace {

// Without suspects, a sweep only removes expired rumours and old dead members.
constexpr Duration kSweepInterval = std::chrono::seconds(5);

void ScheduleSweep(Membership& state, TimePoint deadline) {
  state.next_sweep = std::min(state.next_sweep, deadline);
}

// Decreases from the maximum to the minimum as more members confirm the
// suspicion, since a single accuser may itself be faulty.
Duration SuspicionTimeout(const Membership& state, std::size_t accusers) {
  const MembershipSettings& settings = state.settings;
  const std::size_t live = CountLive(state);
  const auto members = static_cast<double>(live + 1);
  const double min_periods =
      settings.suspicion_factor * std::max(1.0, std::log10(members));
  const double max_periods = min_periods * settings.suspicion_max_factor;
  // Live members other than the accused and the first accuser.
  const std::size_t possible_confirmers = live > 1 ? live - 1 : 0;
  const auto wanted_confirmations = static_cast<double>(
      std::min(settings.confirmations, possible_confirmers));
  double periods = min_periods;
  if (wanted_confirmations >= 1) {
    const auto confirmations = static_cast<double>(accusers - 1);
    const double progress =
        std::log(confirmations + 1) / std::log(wanted_confirmations + 1);
    periods = std::max(min_periods,
                       max_periods - progress * (max_periods - min_periods));
  }
  return std::chrono::duration_cast<Duration>(settings.protocol_period *
                                              periods);
}

void SetStatus(CallContext& call, MemberEntry& entry, MemberStatus status) {
  if (entry.member.status == status)
    return;
  if (IsLive(entry) &&
      (status == MemberStatus::kDead || status == MemberStatus::kLeft))
    --call.state.live_count;
  entry.member.status = status;
  entry.status_since = call.now;
  entry.accusers.clear();
  call.actions.changes.push_back(entry.member);
}

void MarkGone(CallContext& call,
              MemberEntry& entry,
              const Accusation& accusation) {
  entry.member.incarnation = accusation.incarnation;
  SetStatus(call, entry, accusation.status);
  QueueRumour(call, accusation);
}

// An exchange may contain a death that was refuted elsewhere long ago. Merged
// as a suspicion it can still be refuted; merged as a death it would keep
// circulating between nodes. This node is recorded as the accuser.
void ApplyExchangedStatus(CallContext& call, const Member& update) {
  MemberStatus status = update.status;
  if (status == MemberStatus::kDead)
    status = MemberStatus::kSuspect;
  ApplyAccusation(call, Accusation{update.id, update.incarnation, status,
                                   call.state.self.id});
}

void AddMember(CallContext& call, const Member& update) {
  MemberEntry entry;
  entry.member = update;
  entry.status_since = call.now;
  if (update.status == MemberStatus::kSuspect) {
    entry.accusers.insert(call.state.self.id);
    entry.suspect_deadline = call.now + SuspicionTimeout(call.state, 1);
    ScheduleSweep(call.state, entry.suspect_deadline);
  }
  MemberEntry& added =
      call.state.members.emplace(update.id, std::move(entry)).first->second;
  if (IsLive(added)) {
    ++call.state.live_count;
    AddToOrder(call, added);
  }
  call.actions.changes.push_back(update);
}

void ReplaceMember(CallContext& call,
                   MemberEntry& entry,
                   const Member& update) {
  const bool was_live = IsLive(entry);
  const bool same_start =
      StartOf(entry.member.incarnation) == StartOf(update.incarnation);
  const ConfigVersion held = entry.member.held;
  if (entry.member.status != MemberStatus::kAlive)
    entry.status_since = call.now;
  entry.accusers.clear();
  entry.member = update;
  entry.member.status = MemberStatus::kAlive;
  if (same_start)
    entry.member.held = std::max(held, update.held);
  if (!was_live) {
    ++call.state.live_count;
    AddToOrder(call, entry);
    // A partition may have healed, so many other updates may have been missed.
    ScheduleEarlyComparison(call.state, call.now);
  }
  call.actions.changes.push_back(entry.member);
}

// Declares the suspect dead once its deadline has passed.
void TickSuspicion(CallContext& call, MemberEntry& entry) {
  if (entry.suspect_deadline > call.now) {
    ScheduleSweep(call.state, entry.suspect_deadline);
    return;
  }
  Count(call.state, MembershipCount::kDeclaredDead);
  MarkGone(call, entry,
           Accusation{entry.member.id, entry.member.incarnation,
                      MemberStatus::kDead, call.state.self.id});
}

void ApplyToSelf(CallContext& call,
                 std::uint64_t incarnation,
                 MemberStatus status) {
  const Member& self = call.state.self;
  if (status == MemberStatus::kLeft || call.state.leaving)
    return;
  if (status == MemberStatus::kAlive ? incarnation > self.incarnation
                                     : incarnation >= self.incarnation)
    Refute(call, incarnation);
}

}  // namespace

void Refute(CallContext& call, std::uint64_t accused_incarnation) {
  Member& self = call.state.self;
  if (StartOf(accused_incarnation) > StartOf(self.incarnation)) {
    // The clock was set back across a restart. Raising only the revision of the
    // known start would let others assume that this node still holds the
    // version from before the restart.
    self.incarnation = (StartOf(accused_incarnation) + 1) << kRevisionBits;
  } else {
    self.incarnation = std::max(self.incarnation, accused_incarnation) + 1;
  }
  Count(call.state, MembershipCount::kRefuted);
  QueueSelf(call);
  GossipNow(call, call.state.settings.gossip_fan_out);
}

void ApplyMember(CallContext& call, const Member& update, UpdateSource source) {
  Membership& state = call.state;
  if (update.data_center != state.self.data_center) {
    Count(state, MembershipCount::kWrongDataCenter);
    return;
  }
  if (update.id == state.self.id)
    return ApplyToSelf(call, update.incarnation, update.status);
  const auto found = state.members.find(update.id);
  if (found == state.members.end()) {
    AddMember(call, update);
  } else if (update.status != MemberStatus::kAlive) {
    ApplyExchangedStatus(call, update);
    return;
  } else if (update.incarnation > found->second.member.incarnation) {
    ReplaceMember(call, found->second, update);
  } else {
    return;
  }
  if (source != UpdateSource::kExchange)
    QueueRumour(call, update);
}

void Suspect(CallContext& call,
             MemberEntry& entry,
             const std::string& accuser) {
  const bool first = entry.member.status == MemberStatus::kAlive;
  if (first)
    SetStatus(call, entry, MemberStatus::kSuspect);
  if (!first && entry.accusers.size() > call.state.settings.confirmations)
    return;
  if (!entry.accusers.insert(accuser).second)
    return;
  entry.suspect_deadline =
      entry.status_since + SuspicionTimeout(call.state, entry.accusers.size());
  ScheduleSweep(call.state, entry.suspect_deadline);
  QueueRumour(call, Accusation{entry.member.id, entry.member.incarnation,
                               MemberStatus::kSuspect, accuser});
}

void ApplyAccusation(CallContext& call, const Accusation& accusation) {
  Membership& state = call.state;
  if (accusation.id == state.self.id) {
    if (accusation.incarnation >= state.self.incarnation &&
        accusation.status != MemberStatus::kLeft && !state.leaving)
      WorsenHealthScore(state);
    return ApplyToSelf(call, accusation.incarnation, accusation.status);
  }
  const auto found = state.members.find(accusation.id);
  if (found == state.members.end())
    return;
  MemberEntry& entry = found->second;
  const std::uint64_t known = entry.member.incarnation;
  const bool newer = accusation.incarnation > known;
  if (accusation.incarnation < known)
    return;
  switch (accusation.status) {
    case MemberStatus::kAlive:
      return;
    case MemberStatus::kSuspect:
      if (!IsLive(entry))
        return;
      entry.member.incarnation = accusation.incarnation;
      Suspect(call, entry, accusation.accuser);
      return;
    case MemberStatus::kDead:
      if (IsLive(entry) || newer)
        MarkGone(call, entry, accusation);
      return;
    case MemberStatus::kLeft:
      if (entry.member.status != MemberStatus::kLeft || newer)
        MarkGone(call, entry, accusation);
      return;
  }
}

void ApplyOpaque(CallContext& call, const OpaqueRumour& rumour) {
  auto& known = call.state.opaque_rumours;
  const auto key = std::make_pair(rumour.topic, rumour.key);
  const auto found = known.find(key);
  const bool full = found == known.end() &&
                    known.size() >= call.state.settings.max_opaque_rumours;
  if (full || rumour.expires <= call.now) {
    Count(call.state, MembershipCount::kRumourDropped);
    return;
  }
  if (found != known.end() && found->second.version >= rumour.version)
    return;
  known.insert_or_assign(key, rumour);
  call.actions.rumours.push_back(rumour);
  QueueRumour(call, rumour);
}

void ApplyRumours(CallContext& call, const std::vector<Rumour>& rumours) {
  for (const Rumour& rumour : rumours) {
    if (const auto* member = std::get_if<Member>(&rumour))
      ApplyMember(call, *member, UpdateSource::kRumour);
    else if (const auto* accusation = std::get_if<Accusation>(&rumour))
      ApplyAccusation(call, *accusation);
    else
      ApplyOpaque(call, std::get<OpaqueRumour>(rumour));
  }
}

void TickSuspicions(CallContext& call) {
  Membership& state = call.state;
  if (IsResyncing(state, call.now) || call.now < state.next_sweep)
    return;
  state.next_sweep = call.now + kSweepInterval;
  std::erase_if(state.opaque_rumours, [&call](const auto& row) {
    return row.second.expires <= call.now;
  });
  for (auto row = state.members.begin(); row != state.members.end();) {
    MemberEntry& entry = row->second;
    if (entry.member.status == MemberStatus::kSuspect)
      TickSuspicion(call, entry);
    const bool forget = !IsLive(entry) && call.now - entry.status_since >
                                              state.settings.forget_after;
    row = forget ? state.members.erase(row) : std::next(row);
  }
}

}  // namespace teaselspread::membership
