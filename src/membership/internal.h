// Parts of the membership module that its files share.
#ifndef TEASELSPREAD_SRC_MEMBERSHIP_INTERNAL_H_
#define TEASELSPREAD_SRC_MEMBERSHIP_INTERNAL_H_

#include <cstddef>
#include <string>
#include <vector>

#include "teaselspread/membership.h"

namespace teaselspread::membership {

// One call into the module: what its steps share.
struct Call {
  Membership& state;
  TimePoint now;
  Rng& rng;
  MembershipActions actions;
};

// Where a piece of news came from decides whether it is passed on.
enum class Source : std::uint8_t { kRumour, kExchange, kOwnEntry };

// base: time, random choice, sending.
void Count(Membership& state, MembershipCount reason);
[[nodiscard]] bool IsLive(const MemberEntry& entry);
[[nodiscard]] Duration RandomUpTo(Duration limit, Rng& rng);
// Up to `count` live members other than `except`, in random order.
[[nodiscard]] std::vector<const MemberEntry*> PickLive(
    const Membership& state,
    std::size_t count,
    const std::string& except,
    Rng& rng);
void Send(Call& call, const Address& to, Message message);
// All entries of the given buckets.
void SendExchange(Call& call,
                  const Address& to,
                  bool reply_wanted,
                  std::uint64_t buckets);
void SendDigest(Call& call, const Address& to, bool reply_wanted);
// What was missed lately is found by comparing often for a while.
void CompareSoon(Membership& state, TimePoint now);
[[nodiscard]] std::vector<std::uint32_t> DigestsOf(const Membership& state);

// rumours: the queue of news.
void QueueRumour(Call& call, Rumour rumour);
void QueueSelf(Call& call);
// Rumours for one datagram to `to`; an accusation of `to` itself comes first.
[[nodiscard]] std::vector<Rumour> TakeRumours(Call& call,
                                              const std::string& to);
// Sends queued rumours to `fan_out` random members now.
void GossipNow(Call& call, std::size_t fan_out);
void TickGossip(Call& call);

// merge: what news changes.
void ApplyRumours(Call& call, const std::vector<Rumour>& rumours);
void ApplyMember(Call& call, const Member& news, Source source);
void ApplyAccusation(Call& call, const Accusation& news);
void ApplyOpaque(Call& call, const OpaqueRumour& news);
// Raises the own incarnation above `accused` and spreads the own entry.
void Refute(Call& call, std::uint64_t accused);
void TickSuspicions(Call& call);
// This node's own accusation.
void Suspect(Call& call, MemberEntry& entry, const std::string& accuser);

// probe: the failure detector.
void TickProbe(Call& call);
void ReceivePing(Call& call, const Ping& ping);
void ReceivePingRequest(Call& call, const PingRequest& request);
void ReceiveAck(Call& call, const Ack& ack);
void ReceiveNack(Call& call, const Nack& nack);
// Gives a live member a random place in the probing order.
void AddToOrder(Call& call, MemberEntry& entry);
void Degrade(Membership& state);

}  // namespace teaselspread::membership

#endif  // TEASELSPREAD_SRC_MEMBERSHIP_INTERNAL_H_
