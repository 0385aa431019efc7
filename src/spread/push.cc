#include <algorithm>
#include <utility>

#include "spread/internal.h"

namespace teaselspread::spread {
namespace {

// Room for the frame header, the sender and the update's fixed fields.
constexpr std::size_t kPushOverhead = 200;

void AddDelivery(Call& call,
                 ConfigVersion version,
                 const std::vector<std::string>& order,
                 std::size_t index,
                 TimePoint due,
                 bool origin) {
  SpreadState& state = call.state;
  if (index >= order.size() || order[index] == state.id)
    return;
  const std::string& target = order[index];
  const bool queued = std::any_of(
      state.deliveries.begin(), state.deliveries.end(),
      [&](const Delivery& delivery) {
        return delivery.version == version && delivery.target == target;
      });
  if (!queued)
    state.deliveries.push_back({version, index, target, 0, due, origin});
}

void AddChildren(Call& call,
                 ConfigVersion version,
                 const std::vector<std::string>& order,
                 std::size_t index) {
  const std::size_t fan_out = call.state.settings.fan_out;
  for (std::size_t i = 0; i < fan_out; ++i)
    AddDelivery(call, version, order, fan_out * (index + 1) + i, call.now,
                false);
}

const ConfigUpdate* FindUpdate(const SpreadState& state,
                               ConfigVersion version) {
  const auto found = state.updates.find(version);
  return found == state.updates.end() ? nullptr : &found->second;
}

// Returns false when the delivery is done or abandoned.
bool AttemptDelivery(Call& call, Delivery& delivery) {
  SpreadState& state = call.state;
  const ConfigUpdate* update = FindUpdate(state, delivery.version);
  const auto peer = state.peers.find(delivery.target);
  if (update == nullptr || peer == state.peers.end() ||
      peer->second.held >= delivery.version)
    return false;
  if (delivery.attempts >= state.settings.push_attempts ||
      !IsLive(peer->second)) {
    // Below a dead child the whole branch would lack the update until the next
    // pull: push to the child's children instead.
    Count(state, SpreadCount::kPushAdopted);
    const std::vector<std::string> order = TreeOrder(state, delivery.version);
    AddChildren(call, delivery.version, order, delivery.index);
    return false;
  }
  Count(state, delivery.attempts == 0 ? SpreadCount::kPushSent
                                      : SpreadCount::kPushRetried);
  ++delivery.attempts;
  delivery.origin = false;
  const bool fits_datagram =
      update->body.size() + kPushOverhead <= kMaxDatagramBytes;
  // A stream recovers lost packets itself; a large update only takes longer.
  delivery.due = call.now + state.settings.push_retry +
                 (fits_datagram ? Duration::zero()
                                : 2 * TransferTime(state, update->body.size()));
  call.actions.sends.push_back(
      {peer->second.control,
       fits_datagram ? Transport::kDatagram : Transport::kStream,
       Push{SenderOf(state, call.now), *update}});
  return true;
}

}  // namespace

void StartPush(Call& call, ConfigVersion version) {
  SpreadState& state = call.state;
  const std::vector<std::string> readers = ReadersOf(state);
  const auto own = std::find(readers.begin(), readers.end(), state.id);
  const Duration wait = state.settings.reader_stagger * (own - readers.begin());
  const std::vector<std::string> order = TreeOrder(state, version);
  for (std::size_t i = 0; i < state.settings.fan_out; ++i)
    AddDelivery(call, version, order, i, call.now + wait, true);
}

void ForwardToChildren(Call& call, ConfigVersion version) {
  const std::vector<std::string> order = TreeOrder(call.state, version);
  const auto own = std::find(order.begin(), order.end(), call.state.id);
  AddChildren(call, version, order,
              static_cast<std::size_t>(own - order.begin()));
  TickDeliveries(call);
}

void ReceivePush(Call& call, const Push& push) {
  Send(call, push.from.control,
       PushAck{SenderOf(call.state, call.now), push.update.version});
  std::erase_if(call.state.deliveries, [&push](const Delivery& delivery) {
    return delivery.version == push.update.version && delivery.origin;
  });
  HandleUpdate(call, push.update, UpdateSource::kTree);
  if (TipOf(call.state) < push.update.version)
    SchedulePull(call, Duration::zero());
  Advance(call);
}

void ReceivePushAck(Call& call, const PushAck& ack) {
  std::erase_if(call.state.deliveries, [&ack](const Delivery& delivery) {
    return delivery.target == ack.from.id && delivery.version == ack.version;
  });
}

void TickDeliveries(Call& call) {
  SpreadState& state = call.state;
  // Adopting a branch appends deliveries, so indices instead of iterators.
  for (std::size_t i = 0; i < state.deliveries.size();) {
    if (state.deliveries[i].due > call.now) {
      ++i;
      continue;
    }
    Delivery delivery = state.deliveries[i];
    state.deliveries.erase(state.deliveries.begin() +
                           static_cast<std::ptrdiff_t>(i));
    if (AttemptDelivery(call, delivery))
      state.deliveries.push_back(std::move(delivery));
  }
}

}  // namespace teaselspread::spread
