#include "edge/config_fetch.h"

#include <algorithm>
#include <chrono>
#include <random>
#include <utility>
#include <vector>

namespace teaselspread {
namespace {

// During this time nodes query only their own data centre, and readers wait for
// the store: readers usually have a change sooner, and bytes from the store
// cost less than those between data centres. Bounded, since a configuration has
// to be in force two seconds after its acknowledgement.
constexpr Duration kReaderHeadStart = std::chrono::milliseconds(800);
// By then a node with too many copies in flight has completed some of them.
constexpr Duration kBusyBackoff = std::chrono::milliseconds(150);
// Maximum bytes of copies in flight from one node: less than half a second on
// the slowest lines in use.
constexpr std::size_t kMaxBytesInFlight = 512U << 10U;
// A copy whose receiver has not reported to hold it by then was lost with its
// link.
constexpr Duration kCopyTimeout = std::chrono::seconds(2);

bool IsBusy(const FetchState& state, std::string_view node, TimePoint now) {
  const auto found = state.busy_until.find(node);
  return found != state.busy_until.end() && now < found->second;
}

}  // namespace

std::optional<std::string> NextToQuery(FetchState& state,
                                       std::span<const ConfigHolder> holders,
                                       ConfigVersion held,
                                       bool is_reader,
                                       TimePoint now,
                                       Rng& rng) {
  const bool newer = std::any_of(
      holders.begin(), holders.end(),
      [held](const ConfigHolder& holder) { return holder.held > held; });
  if (!newer) {
    state.newer_seen_at = TimePoint{};
    return std::nullopt;
  }
  if (state.newer_seen_at == TimePoint{})
    state.newer_seen_at = now;
  if (!state.queried.empty())
    return std::nullopt;
  const bool prefer_readers = now - state.newer_seen_at < kReaderHeadStart;
  std::vector<const ConfigHolder*> best;
  for (const ConfigHolder& holder : holders) {
    const bool wait =
        prefer_readers && (is_reader || !holder.in_own_data_center);
    if (wait || holder.held <= held || IsBusy(state, holder.node, now))
      continue;
    const auto rank = [](const ConfigHolder& candidate) {
      return std::pair(candidate.in_own_data_center, candidate.held);
    };
    if (!best.empty() && rank(*best.front()) < rank(holder))
      best.clear();
    if (best.empty() || rank(*best.front()) == rank(holder))
      best.push_back(&holder);
  }
  if (best.empty())
    return std::nullopt;
  std::uniform_int_distribution<std::size_t> pick(0, best.size() - 1);
  state.queried = best.at(pick(rng))->node;
  state.queried_at = now;
  return state.queried;
}

void OnFetchResponse(FetchState& state, const std::string& node) {
  if (state.queried == node)
    state.queried.clear();
  state.busy_until.erase(node);
}

void OnFetchBusy(FetchState& state, const std::string& node, TimePoint now) {
  if (state.queried != node)
    return;
  state.queried.clear();
  state.busy_until[node] = now + kBusyBackoff;
}

void OnFetchLost(FetchState& state, const std::string& node) {
  if (state.queried == node)
    state.queried.clear();
  state.busy_until.erase(node);
}

bool MaySendCopy(const CopiesInFlight& copies, std::size_t bytes) {
  std::size_t bytes_in_flight = 0;
  for (const auto& [node, copy] : copies.by_node)
    bytes_in_flight += copy.bytes;
  return bytes_in_flight == 0 || bytes_in_flight + bytes <= kMaxBytesInFlight;
}

void OnVersionHeld(CopiesInFlight& copies,
                   const std::string& node,
                   ConfigVersion held) {
  const auto found = copies.by_node.find(node);
  if (found != copies.by_node.end() && held >= found->second.version)
    copies.by_node.erase(found);
}

void ExpireCopies(CopiesInFlight& copies, TimePoint now) {
  std::erase_if(copies.by_node, [now](const auto& entry) {
    return now - entry.second.sent_at > kCopyTimeout;
  });
}

}  // namespace teaselspread
