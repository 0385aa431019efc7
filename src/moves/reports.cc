#include "moves/reports.h"

#include <algorithm>
#include <cmath>

namespace teaselspread::moves {
namespace {

constexpr double kFullShare = 0.999;
// A report is sent at once when the share has changed by this much.
constexpr double kMinReportedShareChange = 0.05;
// The last report of the own data centre if it is recent, from which a
// restarted node resumes.
const DataCenterReport* RecentOwnReport(const MovesState& state,
                                        const MoveState& move,
                                        TimePoint now) {
  const auto own = state.reports.find({move.config.id, state.data_center});
  if (own == state.reports.end() ||
      now - own->second.reported_at > state.settings.silence_timeout)
    return nullptr;
  return &own->second;
}

bool WatchIsClean(const MoveState& move, TimePoint now) {
  return move.stage == MoveStage::kRunning && move.full_since != TimePoint() &&
         now - move.full_since >= move.config.watch &&
         move.judgement.finding == Finding::kNone;
}

// Sends the report if it has changed or the interval has passed.
void SendReport(MovesState& state,
                MoveState& move,
                DataCenterReport report,
                Duration interval,
                Actions& actions) {
  DataCenterReport& stored = state.reports[{report.move, report.data_center}];
  report.clean |= stored.clean;
  const bool changed =
      stored.clean != report.clean || stored.stage != report.stage ||
      std::abs(stored.share - report.share) >= kMinReportedShareChange ||
      stored.full_since != report.full_since;
  if (!changed && report.reported_at - move.reported_at < interval)
    return;
  stored = JoinReports(stored, report);
  move.reported_at = report.reported_at;
  actions.push_back({MoveActionKind::kSpreadReport, {}, stored});
}

// Whether a reachable data centre does not know the verdict yet, because the
// rumour was lost or the data centre was cut off at the time.
bool AnyDataCenterLags(const MovesState& state,
                       const MoveState& move,
                       const StepInput& in) {
  for (const std::string& name : in.snapshot.data_centers) {
    const auto report = state.reports.find({move.config.id, name});
    if (report == state.reports.end() || report->second.stage >= move.stage)
      continue;
    if (in.now - report->second.reported_at <= state.settings.silence_timeout)
      return true;
  }
  return false;
}

}  // namespace

void RestoreDemand(const MovesState& state, MoveState& move, TimePoint now) {
  const DataCenterReport* own = RecentOwnReport(state, move, now);
  if (move.demand.known || own == nullptr || own->rate <= 0)
    return;
  move.demand.rate = own->rate;
  move.demand.known = true;
  move.demand.from_report = true;
}

void UpdateFullShare(MovesState& state, MoveState& move, TimePoint now) {
  if (move.share < kFullShare) {
    move.full_since = TimePoint();
    return;
  }
  if (move.full_since != TimePoint())
    return;
  move.full_since = now;
  const DataCenterReport* own = RecentOwnReport(state, move, now);
  if (own != nullptr && own->full_since != TimePoint())
    move.full_since = std::min(move.full_since, own->full_since);
}

void ReportRunning(MovesState& state,
                   MoveState& move,
                   const VersionTotals& own,
                   TimePoint now,
                   Actions& actions) {
  DataCenterReport report;
  report.move = move.config.id;
  report.data_center = state.data_center;
  report.reported_at = now;
  report.share = move.share;
  report.rate = move.demand.known ? move.demand.rate : 0;
  report.full_since = move.full_since;
  report.clean = WatchIsClean(move, now);
  report.new_runs = own.new_version.runs;
  report.new_failures = own.new_version.failures;
  report.old_runs = own.old_version.runs;
  report.old_failures = own.old_version.failures;
  SendReport(state, move, report, state.settings.report_interval, actions);
}

void ReportEnded(MovesState& state,
                 MoveState& move,
                 TimePoint now,
                 Actions& actions) {
  DataCenterReport report = state.reports[{move.config.id, state.data_center}];
  report.move = move.config.id;
  report.data_center = state.data_center;
  report.reported_at = now;
  report.share = move.share;
  report.stage = move.stage;
  SendReport(state, move, report, state.settings.ended_report_interval,
             actions);
}

void ResendVerdict(const MovesState& state,
                   MoveState& move,
                   const StepInput& in,
                   Actions& actions) {
  const MovesSettings& settings = state.settings;
  const Duration interval = AnyDataCenterLags(state, move, in)
                                ? settings.report_interval
                                : settings.ended_report_interval;
  if (in.now - move.verdict_spread_at < interval)
    return;
  move.verdict_spread_at = in.now;
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
    if (in.now - report->second.reported_at > state.settings.silence_timeout)
      return false;
  }
  return true;
}

}  // namespace teaselspread::moves
