#include <algorithm>
#include <cmath>
#include <cstdint>
#include <utility>

#include "membership/internal.h"

namespace teaselspread::membership {
namespace {

// Reserves 400 bytes for the frame header, the sender, a probe's target, the
// notice to an accused receiver and this node's own entry.
constexpr std::size_t kMaxRumourBytes = kMaxDatagramBytes - 400;

// No more rumours than this fit into kMaxRumourBytes. It bounds the sorting, as
// the queue is much longer when many nodes return at once.
constexpr std::size_t kMaxRumours = 24;
constexpr double kMinRumourBytes = 30;

std::string SubjectOf(const Member& member) {
  return "m/" + member.id;
}
std::string SubjectOf(const Accusation& accusation) {
  return "m/" + accusation.id;
}
std::string SubjectOf(const OpaqueRumour& rumour) {
  return std::string(NameOf(rumour.topic)) + '/' + rumour.key;
}

std::size_t TransmitLimit(const Membership& state) {
  const auto members = static_cast<double>(CountLive(state) + 1);
  const auto rounds =
      static_cast<std::size_t>(std::ceil(std::log10(members + 1)));
  return state.settings.retransmit_factor * std::max<std::size_t>(1, rounds);
}

void RefillTokens(Membership& state, TimePoint now) {
  const double seconds =
      std::chrono::duration<double>(now - state.tokens_refilled_at).count();
  state.tokens_refilled_at = now;
  const auto burst = static_cast<double>(state.settings.rumour_burst_bytes);
  const auto rate = static_cast<double>(state.settings.rumour_bytes_per_second);
  state.rumour_tokens = std::min(burst, state.rumour_tokens + seconds * rate);
}

// Urgent rumours are sent before those that may wait. Without priorities, the
// announcement of a leaving upstream was queued behind the evidence of moves,
// and it received requests for seven seconds more (40 rows a second, 100
// nodes).
enum class RumourPriority : std::uint8_t { kMembers, kVerdicts, kEvidence };

RumourPriority RumourPriorityOf(const Rumour& rumour) {
  const auto* opaque = std::get_if<OpaqueRumour>(&rumour);
  if (opaque == nullptr)
    return RumourPriority::kMembers;
  const bool is_final =
      opaque->topic == Topic::kVerdict || opaque->topic == Topic::kCrashSuspect;
  return is_final ? RumourPriority::kVerdicts : RumourPriority::kEvidence;
}

// The queue's rows to send next: by priority, then the least often sent first.
std::vector<std::map<std::string, QueuedRumour>::iterator> RowsInSendOrder(
    Membership& state) {
  std::vector<std::map<std::string, QueuedRumour>::iterator> rows;
  for (auto row = state.rumour_queue.begin(); row != state.rumour_queue.end();
       ++row)
    rows.push_back(row);
  const std::size_t count = std::min(rows.size(), kMaxRumours);
  const auto middle = rows.begin() + static_cast<std::ptrdiff_t>(count);
  std::partial_sort(
      rows.begin(), middle, rows.end(), [](auto left, auto right) {
        return std::pair(left->second.priority, left->second.transmits) <
               std::pair(right->second.priority, right->second.transmits);
      });
  rows.resize(count);
  return rows;
}

// Notifies a member that it is accused (Lifeguard's buddy system), ahead of all
// rumours, so that it can refute with its next message. An ordinary rumour
// might reach it too late.
void AddBuddyNotice(const Membership& state,
                    const std::string& to,
                    std::vector<Rumour>& taken) {
  const auto found = state.members.find(to);
  if (found == state.members.end())
    return;
  const Member& member = found->second.member;
  if (member.status == MemberStatus::kSuspect ||
      member.status == MemberStatus::kDead)
    taken.emplace_back(Accusation{member.id, member.incarnation, member.status,
                                  state.self.id});
}

}  // namespace

void QueueRumour(CallContext& call, Rumour rumour) {
  std::string subject =
      std::visit([](const auto& typed) { return SubjectOf(typed); }, rumour);
  QueuedRumour queued{std::move(rumour), 0, 0, 0};
  queued.priority = static_cast<std::uint8_t>(RumourPriorityOf(queued.rumour));
  queued.bytes = EncodedSize(queued.rumour);
  call.state.rumour_queue.insert_or_assign(std::move(subject),
                                           std::move(queued));
  const TimePoint gossip_at =
      call.now + RandomUpTo(call.state.settings.gossip_interval, call.rng);
  call.state.next_gossip = std::min(call.state.next_gossip, gossip_at);
}

void QueueSelf(CallContext& call) {
  QueueRumour(call, call.state.self);
}

std::vector<Rumour> TakeRumours(CallContext& call, const std::string& to) {
  Membership& state = call.state;
  std::vector<Rumour> taken;
  AddBuddyNotice(state, to, taken);
  if (state.rumour_queue.empty())
    return taken;
  RefillTokens(state, call.now);
  const std::size_t limit = TransmitLimit(state);
  const std::string self_subject = SubjectOf(state.self);
  if (state.rumour_tokens < kMinRumourBytes &&
      !state.rumour_queue.contains(self_subject)) {
    Count(state, MembershipCount::kBudgetDeferred);
    return taken;
  }
  std::size_t remaining_bytes = kMaxRumourBytes;
  for (const auto& row : RowsInSendOrder(state)) {
    QueuedRumour& queued = row->second;
    if (queued.bytes > remaining_bytes)
      continue;
    const auto cost = static_cast<double>(queued.bytes);
    if (state.rumour_tokens < cost && row->first != self_subject) {
      Count(state, MembershipCount::kBudgetDeferred);
      break;
    }
    state.rumour_tokens -= cost;
    remaining_bytes -= queued.bytes;
    taken.push_back(queued.rumour);
    if (++queued.transmits >= limit)
      state.rumour_queue.erase(row);
  }
  return taken;
}

void GossipNow(CallContext& call, std::size_t fan_out) {
  for (const MemberEntry* entry :
       PickLiveMembers(call.state, fan_out, call.state.self.id, call.rng)) {
    std::vector<Rumour> rumours = TakeRumours(call, entry->member.id);
    if (rumours.empty())
      return;
    Send(call, entry->member.control,
         Gossip{SenderOf(call.state, call.now), std::move(rumours)});
  }
}

void TickGossip(CallContext& call) {
  Membership& state = call.state;
  if (call.now < state.next_gossip)
    return;
  GossipNow(call, state.settings.gossip_fan_out);
  state.next_gossip = state.rumour_queue.empty()
                          ? TimePoint::max()
                          : call.now + state.settings.gossip_interval;
}

}  // namespace teaselspread::membership
