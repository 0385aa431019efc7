// Functions that the source files of the membership module share.
#ifndef TEASELSPREAD_SRC_MEMBERSHIP_INTERNAL_H_
#define TEASELSPREAD_SRC_MEMBERSHIP_INTERNAL_H_

#include <cstddef>
#include <string>
#include <vector>

#include "teaselspread/membership.h"

namespace teaselspread::membership {

// State of one call into the module, shared by its steps.
struct CallContext {
  Membership& state;
  TimePoint now;
  Rng& rng;
  MembershipActions actions;
};

// Source of a member update: updates from an exchange are not gossiped further.
enum class UpdateSource : std::uint8_t { kRumour, kExchange, kOwnEntry };

// base.cc: counters, random choice, sending, digests.
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
// Sends all entries of the given buckets.
void SendExchange(CallContext& call,
                  const Address& to,
                  bool reply_wanted,
                  std::uint64_t buckets);
void SendDigest(CallContext& call, const Address& to, bool reply_wanted);
// Resets the comparison interval to `first_exchange_interval`, so that missed
// updates are found soon.
void ScheduleEarlyComparison(Membership& state, TimePoint now);
[[nodiscard]] std::vector<std::uint32_t> DigestsOf(const Membership& state);

// rumours.cc: the queue of rumours and its sending.
void QueueRumour(CallContext& call, Rumour rumour);
void QueueSelf(CallContext& call);
// Takes rumours for one datagram to `to`; an accusation of `to` itself comes
// first.
[[nodiscard]] std::vector<Rumour> TakeRumours(CallContext& call,
                                              const std::string& to);
// Sends queued rumours to `fan_out` random members now.
void GossipNow(CallContext& call, std::size_t fan_out);
void TickGossip(CallContext& call);

// merge.cc: merging received updates into the state.
void ApplyRumours(CallContext& call, const std::vector<Rumour>& rumours);
void ApplyMember(CallContext& call, const Member& update, UpdateSource source);
void ApplyAccusation(CallContext& call, const Accusation& accusation);
void ApplyOpaque(CallContext& call, const OpaqueRumour& rumour);
// Raises this node's incarnation above `accused_incarnation` and gossips its
// own entry.
void Refute(CallContext& call, std::uint64_t accused_incarnation);
void TickSuspicions(CallContext& call);
// Marks the member suspect, or adds `accuser` to an existing suspicion.
void Suspect(CallContext& call, MemberEntry& entry, const std::string& accuser);

// probe.cc: the failure detector.
void TickProbe(CallContext& call);
void ReceivePing(CallContext& call, const Ping& ping);
void ReceivePingRequest(CallContext& call, const PingRequest& request);
void ReceiveAck(CallContext& call, const Ack& ack);
void ReceiveNack(CallContext& call, const Nack& nack);
// Inserts a live member at a random position of the probing order.
void AddToOrder(CallContext& call, MemberEntry& entry);
void WorsenHealthScore(Membership& state);

}  // namespace teaselspread::membership

#endif  // TEASELSPREAD_SRC_MEMBERSHIP_INTERNAL_H_
