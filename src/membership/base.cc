#include <algorithm>
#include <array>
#include <unordered_set>

#include <xxhash.h>

#include "membership/internal.h"

namespace teaselspread {
namespace {

constexpr auto kCounterCount =
    static_cast<std::size_t>(MembershipCount::kCount);
constexpr std::array<std::string_view, kCounterCount> kCounterNames = {
    "probe-failed",      "suspected",     "refuted",
    "declared-dead",     "pause-noticed", "rumour-dropped",
    "wrong-data-center", "wrong-target",  "budget-deferred"};

}  // namespace

std::string_view NameOf(MembershipCount reason) {
  return kCounterNames.at(static_cast<std::size_t>(reason));
}

Sender SenderOf(const Membership& state, TimePoint now) {
  std::uint32_t age = kAgeUnknown;
  if (state.fresh_as_of != TimePoint{} && state.fresh_as_of <= now) {
    const auto exact =
        std::chrono::ceil<std::chrono::milliseconds>(now - state.fresh_as_of);
    if (exact.count() < kAgeUnknown)
      age = static_cast<std::uint32_t>(exact.count());
  }
  return Sender{state.self.id, state.self.incarnation, state.self.control,
                state.self.held, age};
}

std::size_t CountLive(const Membership& state) {
  return state.live_count;
}

std::vector<Member> LiveMembers(const Membership& state) {
  std::vector<Member> live;
  for (const auto& [id, entry] : state.members) {
    if (membership::IsLive(entry))
      live.push_back(entry.member);
  }
  return live;
}

const Member* FindMember(const Membership& state, const std::string& id) {
  if (id == state.self.id)
    return &state.self;
  const auto found = state.members.find(id);
  return found == state.members.end() ? nullptr : &found->second.member;
}

namespace membership {

void Count(Membership& state, MembershipCount reason) {
  ++state.counts.at(static_cast<std::size_t>(reason));
}

bool IsLive(const MemberEntry& entry) {
  return entry.member.status == MemberStatus::kAlive ||
         entry.member.status == MemberStatus::kSuspect;
}

Duration RandomUpTo(Duration limit, Rng& rng) {
  if (limit <= Duration::zero())
    return Duration::zero();
  return Duration{
      std::uniform_int_distribution<Duration::rep>(0, limit.count())(rng)};
}

std::vector<const MemberEntry*> PickLiveMembers(const Membership& state,
                                                std::size_t count,
                                                const std::string& excluded,
                                                Rng& rng) {
  std::vector<const MemberEntry*> picked;
  if (state.probe_order.empty())
    return picked;
  std::uniform_int_distribution<std::size_t> random_index(
      0, state.probe_order.size() - 1);
  // Dead members stay in the order until the next round, so make extra tries.
  const std::size_t tries = 4 * count + state.probe_order.size() % 16;
  for (std::size_t i = 0; i < tries && picked.size() < count; ++i) {
    const auto found = state.members.find(state.probe_order[random_index(rng)]);
    if (found == state.members.end() || !IsLive(found->second) ||
        found->first == excluded)
      continue;
    const MemberEntry* entry = &found->second;
    if (std::find(picked.begin(), picked.end(), entry) == picked.end())
      picked.push_back(entry);
  }
  return picked;
}

void Send(CallContext& call, const Address& to, Message message) {
  call.actions.sends.push_back({to, Transport::kDatagram, std::move(message)});
}

namespace {

std::uint64_t HashOf(const std::string& text, std::uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::size_t BucketOf(const std::string& name) {
  return HashOf(name, 0) % kStateBuckets;
}

bool InBuckets(std::uint64_t buckets, const std::string& name) {
  return (buckets >> BucketOf(name) & 1U) != 0;
}

}  // namespace

void SendExchange(CallContext& call,
                  const Address& to,
                  bool reply_wanted,
                  std::uint64_t buckets) {
  StateExchange exchange;
  exchange.from = SenderOf(call.state, call.now);
  exchange.reply_wanted = reply_wanted;
  exchange.buckets = buckets;
  exchange.members.push_back(call.state.self);
  for (const auto& [id, entry] : call.state.members) {
    if (InBuckets(buckets, id))
      exchange.members.push_back(entry.member);
  }
  for (const auto& [key, rumour] : call.state.opaque_rumours) {
    if (InBuckets(buckets, rumour.key))
      exchange.rumours.push_back(rumour);
  }
  call.actions.sends.push_back({to, Transport::kStream, std::move(exchange)});
}

std::vector<std::uint32_t> DigestsOf(const Membership& state) {
  std::vector<std::uint32_t> digests(kStateBuckets, 0);
  const auto add = [&digests](const std::string& name, std::uint64_t version) {
    digests[BucketOf(name)] ^=
        static_cast<std::uint32_t>(HashOf(name, version));
  };
  if (state.self.status == MemberStatus::kAlive)
    add(state.self.id, state.self.incarnation);
  for (const auto& [id, entry] : state.members) {
    if (IsLive(entry))
      add(id, entry.member.incarnation);
  }
  for (const auto& [key, rumour] : state.opaque_rumours)
    add(rumour.key, rumour.version);
  return digests;
}

void ScheduleEarlyComparison(Membership& state, TimePoint now) {
  state.current_exchange_interval = state.settings.first_exchange_interval;
  state.next_exchange = now + state.current_exchange_interval;
}

void SendDigest(CallContext& call, const Address& to, bool reply_wanted) {
  Send(call, to,
       StateDigest{SenderOf(call.state, call.now), reply_wanted,
                   DigestsOf(call.state)});
}

}  // namespace membership
}  // namespace teaselspread
