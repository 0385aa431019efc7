#include "edge/config_fetch.h"

#include <algorithm>
#include <chrono>
#include <random>
#include <utility>
#include <vector>

namespace teaselspread {
namespace {

// The readers of the own data centre usually have a change sooner, and bytes
// from the store cost less than those between data centres. A configuration has
// to be in force two seconds after its acknowledgement.
constexpr Duration kReadersFirst = std::chrono::milliseconds(800);
// A node with too many copies under way has got rid of some of them by then.
constexpr Duration kBusyPause = std::chrono::milliseconds(150);
// Bytes of copies under way from one node: less than half a second of the
// narrowest lines in use.
constexpr std::size_t kBytesUnderWay = 512U << 10U;
// A copy that its receiver has not told to hold by then was lost with its link.
constexpr Duration kCopyForgotten = std::chrono::seconds(2);

bool Busy(const FetchState& state, std::string_view node, TimePoint now) {
  const auto found = state.busy_until.find(node);
  return found != state.busy_until.end() && now < found->second;
}

}  // namespace

std::optional<std::string> NextToAsk(FetchState& state,
                                     std::span<const ConfigHolder> holders,
                                     ConfigVersion held,
                                     bool reads,
                                     TimePoint now,
                                     Rng& rng) {
  const bool newer = std::any_of(
      holders.begin(), holders.end(),
      [held](const ConfigHolder& holder) { return holder.held > held; });
  if (!newer) {
    state.newer_seen = TimePoint{};
    return std::nullopt;
  }
  if (state.newer_seen == TimePoint{})
    state.newer_seen = now;
  if (!state.asked.empty())
    return std::nullopt;
  const bool patient = now - state.newer_seen < kReadersFirst;
  std::vector<const ConfigHolder*> best;
  for (const ConfigHolder& holder : holders) {
    const bool wait = patient && (reads || !holder.near);
    if (wait || holder.held <= held || Busy(state, holder.node, now))
      continue;
    const auto rank = [](const ConfigHolder& of) {
      return std::pair(of.near, of.held);
    };
    if (!best.empty() && rank(*best.front()) < rank(holder))
      best.clear();
    if (best.empty() || rank(*best.front()) == rank(holder))
      best.push_back(&holder);
  }
  if (best.empty())
    return std::nullopt;
  std::uniform_int_distribution<std::size_t> pick(0, best.size() - 1);
  state.asked = best.at(pick(rng))->node;
  state.asked_at = now;
  return state.asked;
}

void OnFetchAnswer(FetchState& state, const std::string& node) {
  if (state.asked == node)
    state.asked.clear();
  state.busy_until.erase(node);
}

void OnFetchBusy(FetchState& state, const std::string& node, TimePoint now) {
  if (state.asked != node)
    return;
  state.asked.clear();
  state.busy_until[node] = now + kBusyPause;
}

void OnFetchLost(FetchState& state, const std::string& node) {
  if (state.asked == node)
    state.asked.clear();
  state.busy_until.erase(node);
}

bool MayHandOut(const CopiesUnderWay& copies, std::size_t bytes) {
  std::size_t under_way = 0;
  for (const auto& [node, copy] : copies.to)
    under_way += copy.bytes;
  return under_way == 0 || under_way + bytes <= kBytesUnderWay;
}

void OnHeld(CopiesUnderWay& copies,
            const std::string& node,
            ConfigVersion held) {
  const auto found = copies.to.find(node);
  if (found != copies.to.end() && held >= found->second.version)
    copies.to.erase(found);
}

void ForgetOldCopies(CopiesUnderWay& copies, TimePoint now) {
  std::erase_if(copies.to, [now](const auto& entry) {
    return now - entry.second.since > kCopyForgotten;
  });
}

}  // namespace teaselspread
