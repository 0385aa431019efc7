#include "moves/effect.h"

#include <algorithm>
#include <array>
#include <random>
#include <tuple>

namespace teaselspread {
namespace {

using moves::StageOf;

constexpr std::array<std::string_view,
                     static_cast<std::size_t>(ShareLimit::kCount)>
    kLimitNames = {"none",     "not-started", "earlier-move", "schedule",
                   "evidence", "capacity",    "suspicion",    "hold"};

// Moves of one service in the order in which they take effect.
std::vector<const MoveConfig*> MovesOf(const Snapshot& snapshot,
                                       std::string_view service) {
  std::vector<const MoveConfig*> moves;
  for (const auto& [id, move] : snapshot.moves) {
    if (move.service == service)
      moves.push_back(&move);
  }
  std::sort(moves.begin(), moves.end(),
            [](const MoveConfig* a, const MoveConfig* b) {
              return std::tie(a->start, a->id) < std::tie(b->start, b->id);
            });
  return moves;
}

// The version in effect and the running move, if any.
struct EffectiveVersion {
  std::string version;
  const MoveConfig* running = nullptr;
};

EffectiveVersion EffectiveVersionOf(const MovesState& state,
                                    const Snapshot& snapshot,
                                    std::string_view service) {
  EffectiveVersion effective;
  if (const auto found = snapshot.services.find(std::string(service));
      found != snapshot.services.end())
    effective.version = found->second.version;
  for (const MoveConfig* move : MovesOf(snapshot, service)) {
    const auto verdict = state.verdicts.find(move->id);
    if (verdict == state.verdicts.end()) {
      effective.running = move;
      effective.version = move->from;
      break;
    }
    const Verdict& v = verdict->second;
    effective.version = v.stage == MoveStage::kDone ? v.to : v.from;
  }
  return effective;
}

}  // namespace

namespace moves {

MoveStage StageOf(const MovesState& state, const std::string& move) {
  const auto found = state.verdicts.find(move);
  return found == state.verdicts.end() ? MoveStage::kRunning
                                       : found->second.stage;
}

bool WaitsForEarlier(const MovesState& state,
                     const Snapshot& snapshot,
                     const MoveConfig& move) {
  for (const MoveConfig* other : MovesOf(snapshot, move.service)) {
    if (other->id == move.id)
      return false;
    if (StageOf(state, other->id) == MoveStage::kRunning)
      return true;
  }
  return false;
}

}  // namespace moves

std::string_view NameOf(ShareLimit limit) {
  return kLimitNames.at(static_cast<std::size_t>(limit));
}

bool MergeVerdict(MovesState& state, const Verdict& verdict) {
  if (verdict.stage == MoveStage::kRunning)
    return false;
  auto [found, is_new] = state.verdicts.try_emplace(verdict.move, verdict);
  if (is_new)
    return true;
  const Verdict joined = JoinVerdicts(found->second, verdict);
  if (joined == found->second)
    return false;
  // A higher stage has to be appended to the log as well.
  if (joined.stage != found->second.stage) {
    if (const auto move = state.moves.find(verdict.move);
        move != state.moves.end()) {
      move->second.logged_at = TimePoint();
      move->second.appended_at = TimePoint();
    }
  }
  found->second = joined;
  return true;
}

bool OnLoggedVerdict(MovesState& state, const Verdict& verdict, TimePoint now) {
  const bool changed = MergeVerdict(state, verdict);
  const auto move = state.moves.find(verdict.move);
  if (move != state.moves.end() &&
      StageOf(state, verdict.move) == verdict.stage)
    move->second.logged_at = now;
  return changed;
}

bool MergeReport(MovesState& state, const DataCenterReport& report) {
  auto [found, is_new] =
      state.reports.try_emplace({report.move, report.data_center}, report);
  if (is_new)
    return true;
  DataCenterReport joined = JoinReports(found->second, report);
  if (joined == found->second)
    return false;
  found->second = std::move(joined);
  return true;
}

std::set<std::string> LiveMoves(const MovesState& state,
                                const Snapshot& snapshot) {
  std::set<std::string> live;
  for (const auto& [id, move] : snapshot.moves) {
    if (StageOf(state, id) == MoveStage::kRunning)
      live.insert(id);
  }
  return live;
}

const MoveConfig* MoveOf(const MovesState& state,
                         const Snapshot& snapshot,
                         std::string_view service) {
  return EffectiveVersionOf(state, snapshot, service).running;
}

double ShareOf(const MovesState& state,
               const Snapshot& snapshot,
               std::string_view service,
               std::string_view version) {
  const EffectiveVersion effective =
      EffectiveVersionOf(state, snapshot, service);
  double share = 0;
  if (effective.running != nullptr) {
    if (const auto move = state.moves.find(effective.running->id);
        move != state.moves.end())
      share = move->second.share;
    if (effective.running->to == version)
      return share;
  }
  return effective.version == version ? 1 - share : 0;
}

std::string PickVersion(const MovesState& state,
                        const Snapshot& snapshot,
                        std::string_view service,
                        Rng& rng) {
  const EffectiveVersion effective =
      EffectiveVersionOf(state, snapshot, service);
  if (effective.running == nullptr)
    return effective.version;
  const double share = ShareOf(state, snapshot, service, effective.running->to);
  if (share <= 0)
    return effective.version;
  std::uniform_real_distribution<double> uniform(0, 1);
  return uniform(rng) < share ? effective.running->to : effective.version;
}

}  // namespace teaselspread
