#include <algorithm>
#include <cmath>
#include <utility>

#include "membership/internal.h"

namespace teaselspread::membership {
namespace {

// Without suspects there is only the rare entry to forget.
constexpr Duration kSweepInterval = std::chrono::seconds(5);

void SweepBy(Membership& state, TimePoint deadline) {
  state.next_sweep = std::min(state.next_sweep, deadline);
}

// Between a suspicion's longest and shortest time, by how many agree: one
// accuser may itself be the faulty one.
Duration SuspicionTime(const Membership& state, std::size_t accusers) {
  const MembershipSettings& settings = state.settings;
  const std::size_t live = CountLive(state);
  const auto members = static_cast<double>(live + 1);
  const double shortest =
      settings.suspicion_factor * std::max(1.0, std::log10(members));
  const double longest = shortest * settings.suspicion_max_factor;
  // Others that could confirm: neither the accuser nor the accused.
  const std::size_t able = live > 1 ? live - 1 : 0;
  const auto wanted =
      static_cast<double>(std::min(settings.confirmations, able));
  double periods = shortest;
  if (wanted >= 1) {
    const auto confirmed = static_cast<double>(accusers - 1);
    const double share = std::log(confirmed + 1) / std::log(wanted + 1);
    periods = std::max(shortest, longest - share * (longest - shortest));
  }
  return std::chrono::duration_cast<Duration>(settings.period * periods);
}

void SetStatus(Call& call, MemberEntry& entry, MemberStatus status) {
  if (entry.member.status == status)
    return;
  if (IsLive(entry) &&
      (status == MemberStatus::kDead || status == MemberStatus::kLeft))
    --call.state.live;
  entry.member.status = status;
  entry.since = call.now;
  entry.accusers.clear();
  call.actions.changes.push_back(entry.member);
}

void MarkGone(Call& call, MemberEntry& entry, const Accusation& news) {
  entry.member.incarnation = news.incarnation;
  SetStatus(call, entry, news.status);
  QueueRumour(call, news);
}

// An exchange may bring a death that is long refuted elsewhere. Taken as a
// suspicion it can still be refuted; taken as a death it would bounce between
// nodes. This node repeats the suspicion as its own.
void ApplyExchangedStatus(Call& call, const Member& news) {
  MemberStatus status = news.status;
  if (status == MemberStatus::kDead)
    status = MemberStatus::kSuspect;
  ApplyAccusation(
      call, Accusation{news.id, news.incarnation, status, call.state.self.id});
}

void AddMember(Call& call, const Member& news) {
  MemberEntry entry;
  entry.member = news;
  entry.since = call.now;
  if (news.status == MemberStatus::kSuspect) {
    entry.accusers.insert(call.state.self.id);
    entry.suspect_deadline = call.now + SuspicionTime(call.state, 1);
    SweepBy(call.state, entry.suspect_deadline);
  }
  MemberEntry& added =
      call.state.members.emplace(news.id, std::move(entry)).first->second;
  if (IsLive(added)) {
    ++call.state.live;
    AddToOrder(call, added);
  }
  call.actions.changes.push_back(news);
}

void ReplaceMember(Call& call, MemberEntry& entry, const Member& news) {
  const bool was_live = IsLive(entry);
  const bool same_start =
      StartOf(entry.member.incarnation) == StartOf(news.incarnation);
  const ConfigVersion held = entry.member.held;
  if (entry.member.status != MemberStatus::kAlive)
    entry.since = call.now;
  entry.accusers.clear();
  entry.member = news;
  entry.member.status = MemberStatus::kAlive;
  if (same_start)
    entry.member.held = std::max(held, news.held);
  if (!was_live) {
    ++call.state.live;
    AddToOrder(call, entry);
    // A cut may have healed: much else may have been missed.
    CompareSoon(call.state, call.now);
  }
  call.actions.changes.push_back(entry.member);
}

// Declares the suspect dead when its time is over.
void TickSuspicion(Call& call, MemberEntry& entry) {
  if (entry.suspect_deadline > call.now) {
    SweepBy(call.state, entry.suspect_deadline);
    return;
  }
  Count(call.state, MembershipCount::kDeclaredDead);
  MarkGone(call, entry,
           Accusation{entry.member.id, entry.member.incarnation,
                      MemberStatus::kDead, call.state.self.id});
}

void ApplyToSelf(Call& call, std::uint64_t incarnation, MemberStatus status) {
  const Member& self = call.state.self;
  if (status == MemberStatus::kLeft || call.state.leaving)
    return;
  if (status == MemberStatus::kAlive ? incarnation > self.incarnation
                                     : incarnation >= self.incarnation)
    Refute(call, incarnation);
}

}  // namespace

void Refute(Call& call, std::uint64_t accused) {
  Member& self = call.state.self;
  if (StartOf(accused) > StartOf(self.incarnation)) {
    // The clock went back over a restart. A mere revision of the known start
    // would let others believe that this node still holds what it held then.
    self.incarnation = (StartOf(accused) + 1) << kRevisionBits;
  } else {
    self.incarnation = std::max(self.incarnation, accused) + 1;
  }
  Count(call.state, MembershipCount::kRefuted);
  QueueSelf(call);
  GossipNow(call, call.state.settings.gossip_fan_out);
}

void ApplyMember(Call& call, const Member& news, Source source) {
  Membership& state = call.state;
  if (news.data_center != state.self.data_center) {
    Count(state, MembershipCount::kWrongDataCenter);
    return;
  }
  if (news.id == state.self.id)
    return ApplyToSelf(call, news.incarnation, news.status);
  const auto found = state.members.find(news.id);
  if (found == state.members.end()) {
    AddMember(call, news);
  } else if (news.status != MemberStatus::kAlive) {
    ApplyExchangedStatus(call, news);
    return;
  } else if (news.incarnation > found->second.member.incarnation) {
    ReplaceMember(call, found->second, news);
  } else {
    return;
  }
  if (source != Source::kExchange)
    QueueRumour(call, news);
}

void Suspect(Call& call, MemberEntry& entry, const std::string& accuser) {
  const bool first = entry.member.status == MemberStatus::kAlive;
  if (first)
    SetStatus(call, entry, MemberStatus::kSuspect);
  if (!first && entry.accusers.size() > call.state.settings.confirmations)
    return;
  if (!entry.accusers.insert(accuser).second)
    return;
  entry.suspect_deadline =
      entry.since + SuspicionTime(call.state, entry.accusers.size());
  SweepBy(call.state, entry.suspect_deadline);
  QueueRumour(call, Accusation{entry.member.id, entry.member.incarnation,
                               MemberStatus::kSuspect, accuser});
}

void ApplyAccusation(Call& call, const Accusation& news) {
  Membership& state = call.state;
  if (news.id == state.self.id) {
    if (news.incarnation >= state.self.incarnation &&
        news.status != MemberStatus::kLeft && !state.leaving)
      Degrade(state);
    return ApplyToSelf(call, news.incarnation, news.status);
  }
  const auto found = state.members.find(news.id);
  if (found == state.members.end())
    return;
  MemberEntry& entry = found->second;
  const std::uint64_t known = entry.member.incarnation;
  const bool newer = news.incarnation > known;
  if (news.incarnation < known)
    return;
  switch (news.status) {
    case MemberStatus::kAlive:
      return;
    case MemberStatus::kSuspect:
      if (!IsLive(entry))
        return;
      entry.member.incarnation = news.incarnation;
      Suspect(call, entry, news.accuser);
      return;
    case MemberStatus::kDead:
      if (IsLive(entry) || newer)
        MarkGone(call, entry, news);
      return;
    case MemberStatus::kLeft:
      if (entry.member.status != MemberStatus::kLeft || newer)
        MarkGone(call, entry, news);
      return;
  }
}

void ApplyOpaque(Call& call, const OpaqueRumour& news) {
  auto& known = call.state.opaque;
  const auto key = std::make_pair(news.topic, news.key);
  const auto found = known.find(key);
  const bool full =
      found == known.end() && known.size() >= call.state.settings.max_opaque;
  if (full || news.expires <= call.now) {
    Count(call.state, MembershipCount::kRumourDropped);
    return;
  }
  if (found != known.end() && found->second.version >= news.version)
    return;
  known.insert_or_assign(key, news);
  call.actions.rumours.push_back(news);
  QueueRumour(call, news);
}

void ApplyRumours(Call& call, const std::vector<Rumour>& rumours) {
  for (const Rumour& rumour : rumours) {
    if (const auto* member = std::get_if<Member>(&rumour))
      ApplyMember(call, *member, Source::kRumour);
    else if (const auto* accusation = std::get_if<Accusation>(&rumour))
      ApplyAccusation(call, *accusation);
    else
      ApplyOpaque(call, std::get<OpaqueRumour>(rumour));
  }
}

void TickSuspicions(Call& call) {
  Membership& state = call.state;
  if (InDoubt(state, call.now) || call.now < state.next_sweep)
    return;
  state.next_sweep = call.now + kSweepInterval;
  std::erase_if(state.opaque, [&call](const auto& row) {
    return row.second.expires <= call.now;
  });
  for (auto row = state.members.begin(); row != state.members.end();) {
    MemberEntry& entry = row->second;
    if (entry.member.status == MemberStatus::kSuspect)
      TickSuspicion(call, entry);
    const bool forget =
        !IsLive(entry) && call.now - entry.since > state.settings.forget_after;
    row = forget ? state.members.erase(row) : std::next(row);
  }
}

}  // namespace teaselspread::membership
