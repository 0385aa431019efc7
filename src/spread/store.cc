#include <algorithm>
#include <utility>

#include "spread/internal.h"

namespace teaselspread::spread {
namespace {

void Erase(SpreadState& state,
           std::map<ConfigVersion, ConfigUpdate>::iterator row) {
  state.update_bytes -= row->second.body.size();
  state.updates.erase(row);
}

void Prune(SpreadState& state) {
  while (!state.updates.empty() &&
         (state.updates.size() > state.settings.max_kept_deltas ||
          state.update_bytes > state.settings.max_kept_delta_bytes)) {
    // The oldest update above the held version is needed next: never drop it.
    if (state.updates.begin()->first > state.held)
      return;
    Erase(state, state.updates.begin());
  }
}

// The update that applies directly to `version`; nullptr when there is a gap.
const ConfigUpdate* NextUpdate(const SpreadState& state,
                               ConfigVersion version) {
  for (auto row = state.updates.upper_bound(version);
       row != state.updates.end(); ++row) {
    if (row->second.full || row->second.parent == version)
      return &row->second;
  }
  return nullptr;
}

}  // namespace

ConfigVersion TipOf(const SpreadState& state) {
  ConfigVersion tip = state.held;
  while (const ConfigUpdate* next = NextUpdate(state, tip))
    tip = next->version;
  return tip;
}

bool Store(Call& call, const ConfigUpdate& update) {
  SpreadState& state = call.state;
  if (update.version <= state.held) {
    Count(state, SpreadCount::kBelowHeldRefused);
    return false;
  }
  const auto [row, added] = state.updates.emplace(update.version, update);
  if (!added) {
    if (!update.full || row->second.full)
      return false;
    // A snapshot needs no parent, so it closes a gap that its delta cannot.
    state.update_bytes -= row->second.body.size();
    row->second = update;
  }
  state.update_bytes += update.body.size();
  Prune(state);
  return added;
}

std::vector<ConfigUpdate> CollectUpdatesSince(const SpreadState& state,
                                              ConfigVersion have) {
  std::vector<ConfigUpdate> chain;
  std::size_t bytes = 0;
  ConfigVersion reached = have;
  while (reached < state.held && reached > 0) {
    const auto next = state.updates.upper_bound(reached);
    if (next == state.updates.end() || next->second.full ||
        next->second.parent != reached)
      break;
    reached = next->first;
    bytes += next->second.body.size();
    chain.push_back(next->second);
  }
  if (reached == state.held && bytes <= state.snapshot.body.size())
    return chain;
  if (have >= state.held)
    return {};
  return {state.snapshot};
}

std::vector<ConfigUpdate> CollectToApply(const SpreadState& state,
                                         ConfigVersion up_to) {
  std::vector<ConfigUpdate> chain;
  ConfigVersion reached = state.held;
  while (reached < up_to) {
    const ConfigUpdate* next = NextUpdate(state, reached);
    if (next == nullptr)
      break;
    // Updates before a snapshot need not be applied.
    if (next->full)
      chain.clear();
    chain.push_back(*next);
    reached = next->version;
  }
  return chain;
}

void Advance(Call& call) {
  SpreadState& state = call.state;
  if (!state.floor_settled || state.applying != 0 || state.recording)
    return;
  const ConfigVersion tip = TipOf(state);
  if (tip > state.held && tip >= state.floor)
    StartRecording(call, tip);
}

void HandleUpdate(Call& call, const ConfigUpdate& update, UpdateSource source) {
  SpreadState& state = call.state;
  state.highest_known = std::max(state.highest_known, update.version);
  if (!Store(call, update)) {
    if (source == UpdateSource::kTree)
      Count(state, SpreadCount::kPushDuplicate);
    return;
  }
  if (source == UpdateSource::kLog)
    state.versions_from_log.insert(update.version);
  if (source == UpdateSource::kLog || source == UpdateSource::kRemote)
    StartPush(call, update.version);
  if (source != UpdateSource::kPull)
    ForwardToChildren(call, update.version);
}

}  // namespace teaselspread::spread
