#include <algorithm>
#include <utility>

#include "spread/internal.h"

namespace teaselspread::spread {
namespace {

constexpr Duration kMinTransferTime = std::chrono::milliseconds(5);

struct Target {
  Address address;
  bool remote = false;
};

// A random live peer that holds a version above the tip, or else a node of
// another data centre that does.
std::optional<Target> PickTarget(Call& call, ConfigVersion tip) {
  const SpreadState& state = call.state;
  std::vector<const SpreadPeer*> ahead;
  for (const auto& [id, peer] : state.peers) {
    if (IsLive(peer) && peer.held > tip)
      ahead.push_back(&peer);
  }
  if (!ahead.empty()) {
    std::uniform_int_distribution<std::size_t> any(0, ahead.size() - 1);
    return Target{ahead[any(call.rng)]->control, false};
  }
  if (state.remote_source && state.remote_source->second > tip)
    return Target{state.remote_source->first, true};
  return std::nullopt;
}

std::size_t BytesOf(const std::vector<ConfigUpdate>& updates) {
  std::size_t bytes = 0;
  for (const ConfigUpdate& update : updates)
    bytes += update.body.size();
  return bytes;
}

}  // namespace

Duration TransferTime(const SpreadState& state, std::size_t bytes) {
  constexpr std::size_t kMicrosPerSecond = 1000000;
  const Duration exact{static_cast<Duration::rep>(
      bytes * kMicrosPerSecond / state.settings.transfer_bytes_per_second)};
  return std::max(kMinTransferTime, exact);
}

void PullIfBehind(Call& call, ConfigVersion version) {
  SpreadState& state = call.state;
  state.highest_known = std::max(state.highest_known, version);
  if (version <= TipOf(state) || state.pull)
    return;
  // A node that holds nothing does not wait for the tree.
  SchedulePull(call,
               state.held == 0 ? Duration::zero() : state.settings.pull_delay);
}

void SchedulePull(Call& call, Duration delay) {
  SpreadState& state = call.state;
  if (state.pull && state.pull->sent)
    return;
  const TimePoint due =
      call.now + delay + RandomUpTo(state.settings.pull_jitter, call.rng);
  if (!state.pull || due < state.pull->due)
    state.pull = Pull{due, false, {}, false};
}

void TickPull(Call& call) {
  SpreadState& state = call.state;
  if (!state.pull || state.pull->due > call.now)
    return;
  if (state.pull->sent)
    Count(state, SpreadCount::kPullTimeout);
  state.pull.reset();
  const ConfigVersion tip = TipOf(state);
  const std::optional<Target> target = PickTarget(call, tip);
  if (!target)
    return;
  Count(state, SpreadCount::kPullSent);
  state.pull = Pull{call.now + state.settings.pull_timeout, true,
                    target->address, target->remote};
  const ConfigVersion have = state.snapshot_wanted ? 0 : tip;
  Send(call, target->address, PullRequest{SenderOf(state, call.now), have});
}

void ReceivePullRequest(Call& call, const PullRequest& request) {
  SpreadState& state = call.state;
  std::erase_if(state.transfer_ends,
                [&call](TimePoint end) { return end <= call.now; });
  if (state.transfer_ends.size() >= state.settings.transfer_slots) {
    Count(state, SpreadCount::kPullBusySent);
    const TimePoint next = *std::min_element(state.transfer_ends.begin(),
                                             state.transfer_ends.end());
    // Spreads the retries over the time that the other waiting nodes will need.
    const Duration wait =
        (next - call.now) + RandomUpTo(4 * (next - call.now), call.rng);
    const auto millis =
        std::chrono::ceil<std::chrono::milliseconds>(wait).count();
    Send(call, request.from.control,
         PullBusy{SenderOf(state, call.now),
                  static_cast<std::uint32_t>(millis)});
    return;
  }
  std::vector<ConfigUpdate> updates = CollectUpdatesSince(state, request.have);
  if (!updates.empty()) {
    Count(state, updates.front().full ? SpreadCount::kSnapshotServed
                                      : SpreadCount::kChainServed);
    state.transfer_ends.push_back(call.now +
                                  TransferTime(state, BytesOf(updates)));
  }
  SendStream(call, request.from.control,
             PullReply{SenderOf(state, call.now), std::move(updates)});
}

void ReceivePullReply(Call& call, const PullReply& reply) {
  SpreadState& state = call.state;
  const bool expected = state.pull && state.pull->sent &&
                        state.pull->target == reply.from.control;
  const bool remote = expected && state.pull->remote;
  if (expected)
    state.pull.reset();
  for (const ConfigUpdate& update : reply.updates)
    HandleUpdate(call, update,
                 remote ? UpdateSource::kRemote : UpdateSource::kPull);
  Advance(call);
  if (TipOf(state) < state.highest_known)
    SchedulePull(call, Duration::zero());
}

void ReceivePullBusy(Call& call, const PullBusy& busy) {
  SpreadState& state = call.state;
  if (!state.pull || !state.pull->sent ||
      state.pull->target != busy.from.control)
    return;
  Count(state, SpreadCount::kPullBusyReceived);
  // Limits the delay that a hostile or faulty peer can cause.
  constexpr Duration kMaxBusyWait = std::chrono::seconds(5);
  const Duration wait = std::chrono::milliseconds(busy.retry_after_ms);
  state.pull = Pull{call.now + std::min(wait, kMaxBusyWait), false, {}, false};
}

}  // namespace teaselspread::spread

namespace teaselspread {

void ObserveStreamBytes(SpreadState& state,
                        std::string_view host,
                        TimePoint now) {
  if (state.pull && state.pull->sent && state.pull->target.host == host)
    state.pull->due = now + state.settings.pull_timeout;
}

}  // namespace teaselspread
