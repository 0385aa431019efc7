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
using moves::FeedsOf;
using moves::NoteSilences;
using moves::StageOf;
using moves::StepInput;
using moves::WaitsForEarlier;

// Verdicts kept for moves that the configuration no longer names.
constexpr std::size_t kMaxVerdicts = 512;
// Demand that is taken before any was seen: asks for the most evidence.
constexpr double kUnknownRate = 1000;

int SlotsOf(const MoveCapacity& capacity,
            const std::string& service,
            const std::string& version) {
  const auto found = capacity.ready_slots.find({service, version});
  return found == capacity.ready_slots.end() ? 0 : found->second;
}

void TakeConfig(MoveState& move, const MoveConfig& config) {
  if (move.config.id.empty()) {
    move.config = config;
    return;
  }
  const std::string from = move.config.from;
  const std::string to = move.config.to;
  move.renamed = config.from != from || config.to != to;
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
  verdict.at = now;
  verdict.data_center = state.data_center;
  return verdict;
}

void Give(MovesState& state, Verdict verdict, Actions& actions) {
  if (MergeVerdict(state, verdict))
    actions.push_back({MoveActionKind::kSpreadVerdict, std::move(verdict), {}});
}

void TakeBack(MovesState& state,
              const MoveState& move,
              VerdictReason reason,
              TimePoint now,
              Actions& actions) {
  Verdict verdict =
      MakeVerdict(state, move.config, MoveStage::kTakenBack, reason, now);
  const Judgement& seen = move.judgement;
  verdict.route = seen.scope;
  const auto ratio = [](const Tally& tally) {
    return tally.total > 0 ? tally.bad / tally.total : 0;
  };
  verdict.new_ratio = ratio(seen.pair.fresh);
  verdict.old_ratio = ratio(seen.pair.old);
  verdict.new_runs = static_cast<std::uint64_t>(seen.pair.fresh.total);
  verdict.old_runs = static_cast<std::uint64_t>(seen.pair.old.total);
  Give(state, std::move(verdict), actions);
}

struct Limited {
  double share = 1;
  ShareLimit limit = ShareLimit::kNone;
};

void LimitTo(Limited& limited, double share, ShareLimit limit) {
  if (share < limited.share)
    limited = {share, limit};
}

Limited ShareNow(const MovesSettings& settings,
                 MoveState& move,
                 const StepInput& in,
                 const EvidenceCells& fresh) {
  const MoveConfig& config = move.config;
  if (in.now < config.start)
    return {0, ShareLimit::kNotStarted};
  Demand demand = move.demand;
  if (!demand.known)
    demand.rate = std::max(demand.rate, kUnknownRate);
  const moves::Ramp ramp = moves::RampOf(settings, config, demand.rate);
  const bool calm = move.judgement.finding == Finding::kCalm;
  const std::uint64_t good = fresh.runs - std::min(fresh.runs, fresh.failures);
  if (calm) {
    move.evidence_share =
        std::max(move.evidence_share,
                 moves::EvidenceShare(settings, ramp, demand, good));
  }
  const int old_slots = SlotsOf(in.capacity, config.service, config.from);
  const int new_slots = SlotsOf(in.capacity, config.service, config.to);
  Limited limited;
  LimitTo(limited, moves::ScheduleShare(ramp, config.start, in.now),
          ShareLimit::kSchedule);
  LimitTo(limited, move.evidence_share, ShareLimit::kEvidence);
  LimitTo(limited, moves::CapacityShare(settings, demand, new_slots, old_slots),
          ShareLimit::kCapacity);
  // Without the old version beside it nothing tells a fault of the new one
  // from a shared fault, so a doubt at full share asks for answers of both.
  if (!calm && old_slots > 0)
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
                      now - move.logged_at < settings.append_again;
  if (logged || (move.appended_at != TimePoint() &&
                 now - move.appended_at < settings.append_every))
    return;
  move.appended_at = now;
  actions.push_back({MoveActionKind::kAppendVerdict, found->second, {}});
}

void StepRunning(MovesState& state,
                 MoveState& move,
                 const StepInput& in,
                 Actions& actions) {
  const MoveConfig& config = move.config;
  RouteTotals own;
  own.fresh = TotalOf(in.evidence, config.id, state.data_center, config.to, "");
  own.old = TotalOf(in.evidence, config.id, state.data_center, config.from, "");
  EvidenceCells both = own.fresh;
  AddCells(both, own.old);
  moves::ObserveDemand(move.demand, both, in.now);
  moves::TakeDemand(state, move, in.now);
  const bool old_serves = SlotsOf(in.capacity, config.service, config.from) > 0;
  NoteSilences(move, in, state.settings.unheard_after);
  move.judgement = StepJudge(move.judge, state.settings.judge, config.bounds,
                             FeedsOf(state, move, in), old_serves, in.now);
  if (move.judgement.finding == Finding::kBad)
    TakeBack(state, move, move.judgement.reason, in.now, actions);
  else if (CrashesOnStart(state.settings.judge, own.fresh, own.old))
    TakeBack(state, move, VerdictReason::kCrashOnStart, in.now, actions);
  Limited limited{0, ShareLimit::kEarlierMove};
  if (!WaitsForEarlier(state, in.snapshot, config))
    limited = ShareNow(state.settings, move, in, own.fresh);
  move.share = limited.share;
  move.limit = limited.limit;
  moves::NoteFullShare(state, move, in.now);
  moves::ReportRunning(state, move, own, in.now, actions);
  if (moves::EveryDataCenterIsClean(state, move, in)) {
    Give(state,
         MakeVerdict(state, config, MoveStage::kDone,
                     VerdictReason::kWatchClean, in.now),
         actions);
  }
}

void StepOne(MovesState& state,
             MoveState& move,
             const StepInput& in,
             Actions& actions) {
  if (move.config.withdrawn &&
      StageOf(state, move.config.id) != MoveStage::kTakenBack) {
    Give(state,
         MakeVerdict(state, move.config, MoveStage::kTakenBack,
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
    moves::SpreadAgain(state, move, in, actions);
  }
  AppendIfDue(state, move, in.now, actions);
}

// Forgets moves that the configuration no longer names. Their verdicts stay as
// long as there is room, so that an id that comes back does not start again.
void Forget(MovesState& state, const Snapshot& snapshot) {
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
  Forget(state, snapshot);
  const StepInput in{snapshot, evidence, capacity, now};
  for (const auto& [id, config] : snapshot.moves) {
    MoveState& move = state.moves[id];
    TakeConfig(move, config);
    StepOne(state, move, in, actions);
  }
  return actions;
}

}  // namespace teaselspread
