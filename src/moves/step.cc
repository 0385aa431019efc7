#include <algorithm>
#include <cmath>

#include "moves/effect.h"
#include "moves/feeds.h"
#include "moves/reports.h"
#include "moves/schedule.h"
#include "teaselspread/moves.h"

namespace teaselspread {
namespace {

using moves::Actions;
using moves::ScopeTotalsOf;
using moves::StageOf;
using moves::StepInput;
using moves::UpdateCatchingUp;
using moves::WaitsForEarlier;

// Number of verdicts above which those of moves that the configuration no
// longer names are dropped.
constexpr std::size_t kMaxVerdicts = 512;
// Requests per second assumed while the demand is unknown; a high rate requires
// the most evidence.
constexpr double kAssumedUnknownRate = 1000;

int SlotsOf(const MoveCapacity& capacity,
            const std::string& service,
            const std::string& version) {
  const auto found = capacity.ready_slots.find({service, version});
  return found == capacity.ready_slots.end() ? 0 : found->second;
}

void UpdateConfig(MoveState& move, const MoveConfig& config) {
  if (move.config.id.empty()) {
    move.config = config;
    return;
  }
  const std::string from = move.config.from;
  const std::string to = move.config.to;
  move.versions_changed = config.from != from || config.to != to;
  move.config = config;
  move.config.from = from;
  move.config.to = to;
}

Verdict MakeVerdict(const MovesState& state,
                    const MoveConfig& move,
                    MoveStage stage,
                    VerdictReason reason,
                    TimePoint now) {
  Verdict verdict;
  verdict.move = move.id;
  verdict.service = move.service;
  verdict.from = move.from;
  verdict.to = move.to;
  verdict.stage = stage;
  verdict.reason = reason;
  verdict.decided_at = now;
  verdict.data_center = state.data_center;
  return verdict;
}

void AdoptVerdict(MovesState& state, Verdict verdict, Actions& actions) {
  if (MergeVerdict(state, verdict))
    actions.push_back({MoveActionKind::kSpreadVerdict, std::move(verdict), {}});
}

void RollBack(MovesState& state,
              const MoveState& move,
              VerdictReason reason,
              TimePoint now,
              Actions& actions) {
  Verdict verdict =
      MakeVerdict(state, move.config, MoveStage::kRolledBack, reason, now);
  const Judgement& judgement = move.judgement;
  verdict.route = judgement.scope;
  const auto ratio = [](const Tally& tally) {
    return tally.total > 0 ? tally.bad / tally.total : 0;
  };
  verdict.new_ratio = ratio(judgement.tallies.new_version);
  verdict.old_ratio = ratio(judgement.tallies.old_version);
  verdict.new_runs =
      static_cast<std::uint64_t>(judgement.tallies.new_version.total);
  verdict.old_runs =
      static_cast<std::uint64_t>(judgement.tallies.old_version.total);
  AdoptVerdict(state, std::move(verdict), actions);
}

struct LimitedShare {
  double share = 1;
  ShareLimit limit = ShareLimit::kNone;
};

void LimitTo(LimitedShare& limited, double share, ShareLimit limit) {
  if (share < limited.share)
    limited = {share, limit};
}

LimitedShare ComputeShare(const MovesSettings& settings,
                          MoveState& move,
                          const StepInput& in,
                          const EvidenceCounters& new_totals) {
  const MoveConfig& config = move.config;
  if (in.now < config.start)
    return {0, ShareLimit::kNotStarted};
  Demand demand = move.demand;
  if (!demand.known)
    demand.rate = std::max(demand.rate, kAssumedUnknownRate);
  const moves::Ramp ramp = moves::RampOf(settings, config, demand.rate);
  const bool no_fault = move.judgement.finding == Finding::kNone;
  const std::uint64_t good =
      new_totals.runs - std::min(new_totals.runs, new_totals.failures);
  if (no_fault) {
    move.evidence_share =
        std::max(move.evidence_share,
                 moves::EvidenceShare(settings, ramp, demand, good));
  }
  const int old_slots = SlotsOf(in.capacity, config.service, config.from);
  const int new_slots = SlotsOf(in.capacity, config.service, config.to);
  LimitedShare limited;
  LimitTo(limited, moves::ScheduleShare(ramp, config.start, in.now),
          ShareLimit::kSchedule);
  LimitTo(limited, move.evidence_share, ShareLimit::kEvidence);
  LimitTo(limited, moves::CapacityShare(settings, demand, new_slots, old_slots),
          ShareLimit::kCapacity);
  // Without responses of the old version a fault of the new one cannot be told
  // from a shared fault, so a suspicion limits the share to one half.
  if (!no_fault && old_slots > 0)
    LimitTo(limited, 0.5, ShareLimit::kSuspicion);
  if (move.judgement.finding == Finding::kHeld && old_slots > 0)
    LimitTo(limited, 0, ShareLimit::kHold);
  return limited;
}

void AppendIfDue(MovesState& state,
                 MoveState& move,
                 TimePoint now,
                 Actions& actions) {
  const auto found = state.verdicts.find(move.config.id);
  if (found == state.verdicts.end())
    return;
  const MovesSettings& settings = state.settings;
  const bool logged = move.logged_at != TimePoint() &&
                      now - move.logged_at < settings.reappend_after;
  if (logged || (move.appended_at != TimePoint() &&
                 now - move.appended_at < settings.append_interval))
    return;
  move.appended_at = now;
  actions.push_back({MoveActionKind::kAppendVerdict, found->second, {}});
}

void StepRunning(MovesState& state,
                 MoveState& move,
                 const StepInput& in,
                 Actions& actions) {
  const MoveConfig& config = move.config;
  VersionTotals own;
  own.new_version =
      TotalOf(in.evidence, config.id, state.data_center, config.to, "");
  own.old_version =
      TotalOf(in.evidence, config.id, state.data_center, config.from, "");
  EvidenceCounters both = own.new_version;
  AddCounters(both, own.old_version);
  moves::UpdateDemand(move.demand, both, in.now);
  moves::RestoreDemand(state, move, in.now);
  const bool old_serves = SlotsOf(in.capacity, config.service, config.from) > 0;
  UpdateCatchingUp(move, in, state.settings.silence_timeout);
  move.judgement =
      StepJudge(move.judge, state.settings.judge, config.bounds,
                ScopeTotalsOf(state, move, in), old_serves, in.now);
  if (move.judgement.finding == Finding::kFault)
    RollBack(state, move, move.judgement.reason, in.now, actions);
  else if (CrashesOnStart(state.settings.judge, own.new_version,
                          own.old_version))
    RollBack(state, move, VerdictReason::kCrashOnStart, in.now, actions);
  LimitedShare limited{0, ShareLimit::kEarlierMove};
  if (!WaitsForEarlier(state, in.snapshot, config))
    limited = ComputeShare(state.settings, move, in, own.new_version);
  move.share = limited.share;
  move.limit = limited.limit;
  moves::UpdateFullShare(state, move, in.now);
  moves::ReportRunning(state, move, own, in.now, actions);
  if (moves::EveryDataCenterIsClean(state, move, in)) {
    AdoptVerdict(state,
                 MakeVerdict(state, config, MoveStage::kDone,
                             VerdictReason::kWatchClean, in.now),
                 actions);
  }
}

void StepMove(MovesState& state,
              MoveState& move,
              const StepInput& in,
              Actions& actions) {
  if (move.config.withdrawn &&
      StageOf(state, move.config.id) != MoveStage::kRolledBack) {
    AdoptVerdict(state,
                 MakeVerdict(state, move.config, MoveStage::kRolledBack,
                             VerdictReason::kWithdrawn, in.now),
                 actions);
  }
  move.stage = StageOf(state, move.config.id);
  if (move.stage == MoveStage::kRunning)
    StepRunning(state, move, in, actions);
  move.stage = StageOf(state, move.config.id);
  if (move.stage != MoveStage::kRunning) {
    move.share = move.stage == MoveStage::kDone ? 1 : 0;
    move.limit = ShareLimit::kNone;
    moves::ReportEnded(state, move, in.now, actions);
    moves::ResendVerdict(state, move, in, actions);
  }
  AppendIfDue(state, move, in.now, actions);
}

// Drops moves that the configuration no longer names. Their verdicts are kept
// while there is room, so that a move whose id returns does not start again.
void ForgetRemovedMoves(MovesState& state, const Snapshot& snapshot) {
  const auto gone = [&snapshot](const std::string& move) {
    return snapshot.moves.count(move) == 0;
  };
  std::erase_if(state.moves, [&](const auto& m) { return gone(m.first); });
  std::erase_if(state.reports,
                [&](const auto& r) { return gone(r.first.first); });
  for (auto v = state.verdicts.begin();
       v != state.verdicts.end() && state.verdicts.size() > kMaxVerdicts;) {
    v = gone(v->first) ? state.verdicts.erase(v) : std::next(v);
  }
}

}  // namespace

std::vector<MoveAction> StepMoves(MovesState& state,
                                  const Snapshot& snapshot,
                                  const EvidenceTable& evidence,
                                  const MoveCapacity& capacity,
                                  TimePoint now) {
  Actions actions;
  ForgetRemovedMoves(state, snapshot);
  const StepInput in{snapshot, evidence, capacity, now};
  for (const auto& [id, config] : snapshot.moves) {
    MoveState& move = state.moves[id];
    UpdateConfig(move, config);
    StepMove(state, move, in, actions);
  }
  return actions;
}

}  // namespace teaselspread
