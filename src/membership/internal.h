// Parts of the membership module that its files share.
#ifndef TEASELSPREAD_SRC_MEMBERSHIP_INTERNAL_H_
#define TEASELSPREAD_SRC_MEMBERSHIP_INTERNAL_H_

#include <cstddef>
#include <string>
#include <vector>

#include "teaselspread/membership.h"

namespace teaselspread::membership {

// One call into the module: what its steps share.
struct CallContext {
  Membership& state;
  TimePoint now;
  Rng& rng;
  MembershipActions actions;
};

// Where a piece of news came from decides whether it is passed on.
enum class UpdateSource : std::uint8_t { kRumour, kExchange, kOwnEntry };

// base: time, random choice, sending.
void Count(Membership& state, MembershipCount reason);
[[nodiscard]] bool IsLive(const MemberEntry& entry);
[[nodiscard]] Duration RandomUpTo(Duration limit, Rng& rng);
// Up to `count` live members other than `except`, in random order.
[[nodiscard]] std::vector<const MemberEntry*> PickLiveMembers(
    const Membership& state,
    std::size_t count,
    const std::string& excluded,
    Rng& rng);
void Send(CallContext& call, const Address& to, Message message);
// All entries of the given buckets.
void SendExchange(CallContext& call,
                  const Address& to,
                  bool reply_wanted,
                  std::uint64_t buckets);
void SendDigest(CallContext& call, const Address& to, bool reply_wanted);
// What was missed lately is found by comparing often for a while.
void ScheduleEarlyComparison(Membership& state, TimePoint now);
[[nodiscard]] std::vector<std::uint32_t> DigestsOf(const Membership& state);

// rumours: the queue of news.
void QueueRumour(CallContext& call, Rumour rumour);
void QueueSelf(CallContext& call);
// Rumours for one datagram to `to`; an accusation of `to` itself comes first.
[[nodiscard]] std::vector<Rumour> TakeRumours(CallContext& call,
                                              const std::string& to);
// Sends queued rumours to `fan_out` random members now.
void GossipNow(CallContext& call, std::size_t fan_out);
void TickGossip(CallContext& call);

// merge: what news changes.
void ApplyRumours(CallContext& call, const std::vector<Rumour>& rumours);
void ApplyMember(CallContext& call, const Member& update, UpdateSource source);
void ApplyAccusation(CallContext& call, const Accusation& accusation);
void ApplyOpaque(CallContext& call, const OpaqueRumour& rumour);
// Raises the own incarnation above `accused` and spreads the own entry.
void Refute(CallContext& call, std::uint64_t accused_incarnation);
void TickSuspicions(CallContext& call);
// This node's own accusation.
void Suspect(CallContext& call, MemberEntry& entry, const std::string& accuser);

// probe: the failure detector.
void TickProbe(CallContext& call);
void ReceivePing(CallContext& call, const Ping& ping);
void ReceivePingRequest(CallContext& call, const PingRequest& request);
void ReceiveAck(CallContext& call, const Ack& ack);
void ReceiveNack(CallContext& call, const Nack& nack);
// Gives a live member a random place in the probing order.
void AddToOrder(CallContext& call, MemberEntry& entry);
void WorsenHealthScore(Membership& state);

}  // namespace teaselspread::membership

#endif  // TEASELSPREAD_SRC_MEMBERSHIP_INTERNAL_H_
