#include <algorithm>

#include "spread/internal.h"

namespace teaselspread::spread {
namespace {

// Two of three witnesses, so that any two that confirmed a version and any two
// that vouch have one in common.
constexpr std::size_t kMinVouches = 2;
constexpr std::size_t kMaxFloorQueries = 8;

void SettleFloor(Call& call, ConfigVersion floor) {
  SpreadState& state = call.state;
  state.floor = std::max(state.floor, floor);
  state.floor_settled = true;
  state.floor_queries.clear();
  if (state.floor > TipOf(state))
    PullIfBehind(call, state.floor);
  Advance(call);
}

// The minority side of a network partition cannot know what the other members
// have recorded with their witnesses since.
bool SeesMajority(const SpreadState& state) {
  std::size_t live = 1;
  std::size_t known = 1;
  for (const auto& [id, peer] : state.peers) {
    if (IsLive(peer))
      ++live;
    if (peer.status != MemberStatus::kLeft)
      ++known;
  }
  return 2 * live > known;
}

Vouch VouchFor(const SpreadState& state,
               const Sender& requester,
               const SpreadPeer* peer,
               TimePoint now) {
  if (!state.floor_settled || now < state.vouch_suspended_until ||
      !SeesMajority(state))
    return Vouch::kNone;
  const bool is_first_start =
      peer == nullptr || (peer->settled_when_first_seen &&
                          peer->first_start == StartOf(requester.incarnation));
  if (is_first_start)
    return Vouch::kNewVm;
  return peer->recorded ? Vouch::kRecorded : Vouch::kNone;
}

void SendFloorQuery(Call& call, const SpreadPeer& peer) {
  Send(call, peer.control,
       FloorQuery{SenderOf(call.state, call.now), call.state.next_sequence});
}

}  // namespace

void UpdateFreshness(Call& call, ConfigVersion version, TimePoint as_of) {
  SpreadState& state = call.state;
  if (state.held >= version)
    state.fresh_as_of = std::max(state.fresh_as_of, as_of);
  else if (as_of > state.pending_freshness.as_of)
    state.pending_freshness = {version, as_of};
  // Every version that this VM held before its restart was in the log by then.
  if (!state.floor_settled && as_of >= state.started)
    SettleFloor(call, version);
}

void TickFloor(Call& call) {
  SpreadState& state = call.state;
  if (state.floor_settled || call.now < state.next_floor_query)
    return;
  state.next_floor_query = call.now + state.settings.floor_retry / 2 +
                           RandomUpTo(state.settings.floor_retry, call.rng);
  state.floor_queries[state.next_sequence] = call.now;
  while (state.floor_queries.size() > kMaxFloorQueries)
    state.floor_queries.erase(state.floor_queries.begin());
  // Dead peers keep their rank: if the two that confirmed a version are dead,
  // others must not count as witnesses in their place.
  std::set<std::string> queried;
  for (const SpreadPeer* peer :
       RankedWitnesses(state, state.settings.witnesses, true)) {
    if (IsLive(*peer) && queried.insert(peer->id).second)
      SendFloorQuery(call, *peer);
  }
  for (const std::string& reader : ReadersOf(state)) {
    const auto peer = state.peers.find(reader);
    if (peer != state.peers.end() && queried.insert(reader).second)
      SendFloorQuery(call, peer->second);
  }
  ++state.next_sequence;
}

void ReceiveFloorQuery(Call& call, const FloorQuery& query) {
  SpreadState& state = call.state;
  const auto found = state.peers.find(query.from.id);
  const SpreadPeer* peer =
      found == state.peers.end() ? nullptr : &found->second;
  FloorReply reply;
  reply.from = SenderOf(state, call.now);
  reply.sequence = query.sequence;
  reply.vouch = VouchFor(state, query.from, peer, call.now);
  reply.floor = std::max(state.held, peer == nullptr ? 0 : peer->highest_held);
  if (reply.vouch == Vouch::kNone)
    Count(state, SpreadCount::kVouchRefused);
  Send(call, query.from.control, reply);
}

void ReceiveFloorReply(Call& call, const FloorReply& reply) {
  SpreadState& state = call.state;
  const auto query_sent = state.floor_queries.find(reply.sequence);
  if (state.floor_settled || query_sent == state.floor_queries.end())
    return;
  // A reply without a vouch may still raise the floor.
  state.floor = std::max(state.floor, reply.floor);
  if (reply.from.log_age_ms != kAgeUnknown) {
    UpdateFreshness(
        call, reply.from.held,
        query_sent->second - std::chrono::milliseconds(reply.from.log_age_ms));
    if (state.floor_settled)
      return;
  }
  if (reply.vouch == Vouch::kNone)
    return;
  const auto witnesses = RankedWitnesses(state, state.settings.witnesses, true);
  const bool is_witness = std::any_of(
      witnesses.begin(), witnesses.end(),
      [&reply](const SpreadPeer* peer) { return peer->id == reply.from.id; });
  if (!is_witness)
    return;
  state.vouches[reply.from.id] = reply.floor;
  std::size_t vouched = 0;
  for (const SpreadPeer* peer : witnesses)
    vouched += state.vouches.contains(peer->id) ? 1 : 0;
  if (vouched >= kMinVouches)
    SettleFloor(call, state.floor);
}

}  // namespace teaselspread::spread
