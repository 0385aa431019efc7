#include "teaselspread/judge.h"

#include <algorithm>

#include "moves/ratio_test.h"
#include "moves/scope_judge.h"

namespace teaselspread {
namespace {

constexpr std::array<VerdictReason, kMetrics> kReasonOf = {
    VerdictReason::kFailures, VerdictReason::kLatency,
    VerdictReason::kShedding};

// Cap, as a fraction of the hold score, on scores without responses of the old
// version or with too few bad responses.
constexpr double kUnconfirmedCapFraction = 0.9;

// The score, capped below a hold unless it is controlled and has enough bad
// responses.
double CappedScore(const moves::ScopeScore& scored,
                   const JudgeSettings& settings) {
  const bool enough = scored.bad_responses >= settings.min_bad_responses;
  if (scored.controlled && enough)
    return scored.score;
  return std::min(scored.score, settings.hold_score * kUnconfirmedCapFraction);
}

// Responses of the old version in the counted scope that has the most.
std::uint64_t MaxOldRuns(const std::vector<ScopeTotals>& scope_totals) {
  std::uint64_t runs = 0;
  for (const ScopeTotals& scope : scope_totals) {
    if (scope.counted)
      runs = std::max(runs, scope.totals.old_version.runs);
  }
  return runs;
}

bool HoldIsOver(const JudgeState& state,
                const JudgeSettings& settings,
                std::uint64_t old_runs,
                bool old_serves,
                TimePoint now) {
  const Duration held = now - state.held_since;
  if (held >= settings.max_hold)
    return true;
  const bool confirmed =
      old_runs >= state.old_runs_at_hold + settings.hold_old_responses;
  return held >= settings.min_hold && (confirmed || !old_serves);
}

// Returns whether the new version is suspected. A suspicion outlasts the score
// that raised it, so that responses of both versions can be compared.
bool UpdateSuspicion(JudgeState& state,
                     const JudgeSettings& settings,
                     double score,
                     std::uint64_t old_runs,
                     TimePoint now) {
  if (score >= settings.suspect_score) {
    if (state.suspected_since == TimePoint())
      state.old_runs_at_suspicion = old_runs;
    state.suspected_since = now;
    return true;
  }
  if (state.suspected_since == TimePoint())
    return false;
  const Duration age = now - state.suspected_since;
  const bool answered = old_runs >= state.old_runs_at_suspicion +
                                        settings.suspicion_old_responses;
  if (age >= settings.max_suspicion ||
      (age >= settings.min_suspicion && answered))
    state.suspected_since = TimePoint();
  return state.suspected_since != TimePoint();
}

Finding UpdateFinding(JudgeState& state,
                      const JudgeSettings& settings,
                      const Judgement& judgement,
                      std::uint64_t old_runs,
                      bool old_serves,
                      TimePoint now) {
  const double score = judgement.score;
  const bool suspected = UpdateSuspicion(state, settings, score, old_runs, now);
  const bool held = state.held_since != TimePoint();
  if (!held && score >= settings.hold_score) {
    state.held_since = now;
    state.old_runs_at_hold = old_runs;
    state.confirmed_score_at_hold = judgement.confirmed_score;
    return Finding::kHeld;
  }
  if (held && !HoldIsOver(state, settings, old_runs, old_serves, now))
    return Finding::kHeld;
  if (held)
    state.held_since = TimePoint();
  const double confirmed =
      std::min(state.confirmed_score_at_hold, judgement.confirmed_score);
  if (held && score >= settings.hold_score &&
      confirmed >= settings.hold_score * settings.confirm_fraction)
    return Finding::kFault;
  return suspected ? Finding::kSuspect : Finding::kNone;
}

void UpdateBounds(JudgeState& state, const MoveBounds& bounds) {
  if (state.started_at != TimePoint() &&
      state.bounds.extra_failures == bounds.extra_failures &&
      state.bounds.slowdown == bounds.slowdown)
    return;
  state.bounds = bounds;
  for (std::size_t m = 0; m < kMetrics; ++m)
    state.tables.at(m) =
        moves::MakeLikelihoodTable(static_cast<Metric>(m), bounds);
}

// A restarted node first receives all past responses at once, without knowing
// which of them are from the same time. Until settled they only go to history.
void ObserveScopes(JudgeState& state,
                   const JudgeSettings& settings,
                   const std::vector<ScopeTotals>& scope_totals,
                   TimePoint now) {
  if (state.started_at == TimePoint())
    state.started_at = now;
  const bool settled = now - state.started_at >= settings.settling_time;
  for (const ScopeTotals& totals : scope_totals) {
    ScopeState& scope = state.scopes[totals.scope];
    if (scope.last_totals.empty())
      scope.current_since = now;
    moves::ObserveTotals(scope, totals, settled && totals.counted);
  }
}

}  // namespace

Judgement StepJudge(JudgeState& state,
                    const JudgeSettings& settings,
                    const MoveBounds& bounds,
                    const std::vector<ScopeTotals>& scope_totals,
                    bool old_serves,
                    TimePoint now) {
  const bool held = state.held_since != TimePoint();
  UpdateBounds(state, bounds);
  ObserveScopes(state, settings, scope_totals, now);
  const moves::ScoringContext context{settings, state.bounds, state.tables};
  Judgement strongest;
  for (auto& [name, scope] : state.scopes) {
    const moves::ScopeScore scored =
        moves::StepScope(scope, context, !held, now);
    const double score = CappedScore(scored, settings);
    if (score <= strongest.score)
      continue;
    strongest.score = score;
    strongest.confirmed_score = scored.confirmed_score;
    strongest.reason = kReasonOf.at(static_cast<std::size_t>(scored.metric));
    strongest.scope = name;
    strongest.tallies = scored.tallies;
  }
  strongest.finding = UpdateFinding(state, settings, strongest,
                                    MaxOldRuns(scope_totals), old_serves, now);
  // Only the old version was used during the hold, so its responses are not
  // from the same time as those of the new version.
  if (held && state.held_since == TimePoint()) {
    for (auto& [name, scope] : state.scopes)
      moves::DropUnsummedStrata(scope, now);
  }
  return strongest;
}

bool CrashesOnStart(const JudgeSettings& settings,
                    const EvidenceCounters& new_version,
                    const EvidenceCounters& old_version) {
  if (new_version.early_exits < settings.min_early_exits)
    return false;
  return new_version.early_exits * 2 >= new_version.starts &&
         new_version.early_exits > 4ULL * old_version.early_exits;
}

}  // namespace teaselspread
