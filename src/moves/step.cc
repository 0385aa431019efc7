#include <algorithm>
#include <cmath>

#include "moves/effect.h"
#include "moves/schedule.h"
#include "teaselspread/moves.h"

namespace teaselspread {
namespace {

using moves::StageOf;
using moves::WaitsForEarlier;

constexpr double kFull = 0.999;
// Verdicts kept for moves that the configuration no longer names.
constexpr std::size_t kMaxVerdicts = 512;
// A report is sent early when the share has changed by this much.
constexpr double kShareStep = 0.05;
// Below this rate a data centre cannot judge by its own answers alone.
constexpr double kLittleTraffic = 5;
// Demand that is taken before any was seen: asks for the most evidence.
constexpr double kUnknownRate = 1000;

// Everything that one step of one move looks at.
struct StepInput {
  const Snapshot& snapshot;
  const EvidenceTable& evidence;
  const MoveCapacity& capacity;
  TimePoint now;
};

using Actions = std::vector<MoveAction>;

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

// Notes which data centres have just come back after a silence. Their rows
// bring minutes of answers at once, of which only the sums are known.
void NoteSilences(MoveState& move, const StepInput& in, Duration unheard) {
  for (const std::string& name : in.snapshot.data_centers) {
    const auto heard = in.capacity.heard.find(name);
    const bool silent =
        heard != in.capacity.heard.end() && in.now - heard->second > unheard;
    if (silent)
      move.doubted_until[name] = in.now + unheard;
  }
}

bool IsDoubted(const MoveState& move,
               const std::string& data_center,
               TimePoint now) {
  const auto found = move.doubted_until.find(data_center);
  return found != move.doubted_until.end() && now < found->second;
}

struct FeedTable {
  // By scope and data centre.
  std::map<std::pair<std::string, std::string>, Feed> feeds;
};

void AddRow(FeedTable& table,
            const std::string& scope,
            const EvidenceKey& key,
            const EvidenceCells& cells,
            bool fresh,
            bool counted) {
  Feed& feed = table.feeds[{scope, key.data_center}];
  feed.scope = scope;
  feed.data_center = key.data_center;
  feed.counted = counted;
  AddCells(fresh ? feed.totals.fresh : feed.totals.old, cells);
}

// Answers by route in the own data centre and everywhere. The sums over all
// data centres count only with little traffic, when none of them sees enough by
// itself: the shares of the data centres differ, and a fault of one of them
// that both versions share would look like one of the version that has more of
// its traffic there.
std::vector<Feed> FeedsOf(const MovesState& state,
                          const MoveState& move,
                          const StepInput& in) {
  const bool pooled = move.demand.known && move.demand.rate < kLittleTraffic;
  FeedTable table;
  EvidenceKey first;
  first.move = move.config.id;
  const auto& rows = in.evidence.rows;
  for (auto row = rows.lower_bound(first);
       row != rows.end() && row->first.move == move.config.id; ++row) {
    const EvidenceKey& key = row->first;
    const EvidenceCells& cells = row->second.cells;
    const bool fresh = key.version == move.config.to;
    if (key.route.empty() || (!fresh && key.version != move.config.from))
      continue;
    const bool counted = pooled && !IsDoubted(move, key.data_center, in.now);
    AddRow(table, "everywhere", key, cells, fresh, counted);
    AddRow(table, "everywhere/" + key.route, key, cells, fresh, counted);
    if (key.data_center != state.data_center)
      continue;
    AddRow(table, "*", key, cells, fresh, true);
    AddRow(table, key.route, key, cells, fresh, true);
  }
  std::vector<Feed> feeds;
  for (auto& [key, feed] : table.feeds)
    feeds.push_back(std::move(feed));
  return feeds;
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

// The last report of the own data centre, if it is recent: what a restarted
// node goes on from.
const DataCenterReport* OwnReport(const MovesState& state,
                                  const MoveState& move,
                                  TimePoint now) {
  const auto own = state.reports.find({move.config.id, state.data_center});
  if (own == state.reports.end() ||
      now - own->second.at > state.settings.unheard_after)
    return nullptr;
  return &own->second;
}

void TakeDemand(const MovesState& state, MoveState& move, TimePoint now) {
  const DataCenterReport* own = OwnReport(state, move, now);
  if (move.demand.known || own == nullptr || own->rate <= 0)
    return;
  move.demand.rate = own->rate;
  move.demand.known = true;
}

void NoteFullShare(MovesState& state, MoveState& move, TimePoint now) {
  if (move.share < kFull) {
    move.full_since = TimePoint();
    return;
  }
  if (move.full_since != TimePoint())
    return;
  move.full_since = now;
  const DataCenterReport* own = OwnReport(state, move, now);
  if (own != nullptr && own->full_since != TimePoint())
    move.full_since = std::min(move.full_since, own->full_since);
}

bool WatchIsClean(const MoveState& move, TimePoint now) {
  return move.stage == MoveStage::kRunning && move.full_since != TimePoint() &&
         now - move.full_since >= move.config.watch &&
         move.judgement.finding == Finding::kCalm;
}

// Sends the report when it says something new or is due again.
void SendReport(MovesState& state,
                MoveState& move,
                DataCenterReport report,
                Duration every,
                Actions& actions) {
  DataCenterReport& kept = state.reports[{report.move, report.data_center}];
  report.clean |= kept.clean;
  const bool changed = kept.clean != report.clean ||
                       kept.stage != report.stage ||
                       std::abs(kept.share - report.share) >= kShareStep ||
                       kept.full_since != report.full_since;
  if (!changed && report.at - move.reported_at < every)
    return;
  kept = JoinReports(kept, report);
  move.reported_at = report.at;
  actions.push_back({MoveActionKind::kSpreadReport, {}, kept});
}

void ReportRunning(MovesState& state,
                   MoveState& move,
                   const RouteTotals& own,
                   TimePoint now,
                   Actions& actions) {
  DataCenterReport report;
  report.move = move.config.id;
  report.data_center = state.data_center;
  report.at = now;
  report.share = move.share;
  report.rate = move.demand.known ? move.demand.rate : 0;
  report.full_since = move.full_since;
  report.clean = WatchIsClean(move, now);
  report.new_runs = own.fresh.runs;
  report.new_failures = own.fresh.failures;
  report.old_runs = own.old.runs;
  report.old_failures = own.old.failures;
  SendReport(state, move, report, state.settings.report_every, actions);
}

// The figures stay as they were last: the evidence is dropped with the end.
void ReportEnded(MovesState& state,
                 MoveState& move,
                 TimePoint now,
                 Actions& actions) {
  DataCenterReport report = state.reports[{move.config.id, state.data_center}];
  report.move = move.config.id;
  report.data_center = state.data_center;
  report.at = now;
  report.share = move.share;
  report.stage = move.stage;
  SendReport(state, move, report, state.settings.report_ended_every, actions);
}

// A data centre that is heard does not know the verdict yet: the rumour was
// lost, or it was cut off when the verdict fell.
bool SomeoneLags(const MovesState& state,
                 const MoveState& move,
                 const StepInput& in) {
  for (const std::string& name : in.snapshot.data_centers) {
    const auto report = state.reports.find({move.config.id, name});
    if (report == state.reports.end() || report->second.stage >= move.stage)
      continue;
    if (in.now - report->second.at <= state.settings.unheard_after)
      return true;
  }
  return false;
}

void SpreadAgain(const MovesState& state,
                 MoveState& move,
                 const StepInput& in,
                 Actions& actions) {
  const MovesSettings& settings = state.settings;
  const Duration every = SomeoneLags(state, move, in)
                             ? settings.report_every
                             : settings.report_ended_every;
  if (in.now - move.spread_at < every)
    return;
  move.spread_at = in.now;
  actions.push_back(
      {MoveActionKind::kSpreadVerdict, state.verdicts.at(move.config.id), {}});
}

bool EveryDataCenterIsClean(const MovesState& state,
                            const MoveState& move,
                            const StepInput& in) {
  for (const std::string& data_center : in.snapshot.data_centers) {
    const auto report = state.reports.find({move.config.id, data_center});
    if (report == state.reports.end() || !report->second.clean)
      return false;
    if (in.now - report->second.at > state.settings.unheard_after)
      return false;
  }
  return true;
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
  TakeDemand(state, move, in.now);
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
  NoteFullShare(state, move, in.now);
  ReportRunning(state, move, own, in.now, actions);
  if (EveryDataCenterIsClean(state, move, in)) {
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
    ReportEnded(state, move, in.now, actions);
    SpreadAgain(state, move, in, actions);
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
