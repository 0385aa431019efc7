#include "teaselspread/judge.h"

#include <algorithm>

#include "moves/ratio_test.h"
#include "moves/scope_judge.h"

namespace teaselspread {
namespace {

constexpr std::array<VerdictReason, kMetrics> kReasonOf = {
    VerdictReason::kFailures, VerdictReason::kLatency,
    VerdictReason::kShedding};

// Part of the hold that a score without answers of the old version, or with
// hardly any bad ones, reaches.
constexpr double kUnconfirmedCapFraction = 0.9;

// What the score may lead to.
double CappedScore(const moves::ScopeScore& scored,
                   const JudgeSettings& settings) {
  const bool enough = scored.bad_responses >= settings.min_bad_responses;
  if (scored.controlled && enough)
    return scored.score;
  return std::min(scored.score, settings.hold_score * kUnconfirmedCapFraction);
}

// Answers of the old version wherever the judge looks.
std::uint64_t MaxOldRuns(const std::vector<ScopeTotals>& feeds) {
  std::uint64_t runs = 0;
  for (const ScopeTotals& feed : feeds) {
    if (feed.counted)
      runs = std::max(runs, feed.totals.old_version.runs);
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

// A doubt outlives the score that raised it: its purpose is to bring answers
// of both versions side by side.
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

// What a restarted node hears first is the whole past in one piece, of which
// nothing can be said of which answers came at the same time.
void ObserveScopes(JudgeState& state,
                   const JudgeSettings& settings,
                   const std::vector<ScopeTotals>& feeds,
                   TimePoint now) {
  if (state.started_at == TimePoint())
    state.started_at = now;
  const bool settled = now - state.started_at >= settings.settling_time;
  for (const ScopeTotals& feed : feeds) {
    ScopeState& scope = state.scopes[feed.scope];
    if (scope.last_totals.empty())
      scope.current_since = now;
    moves::ObserveTotals(scope, feed, settled && feed.counted);
  }
}

}  // namespace

Judgement StepJudge(JudgeState& state,
                    const JudgeSettings& settings,
                    const MoveBounds& bounds,
                    const std::vector<ScopeTotals>& feeds,
                    bool old_serves,
                    TimePoint now) {
  const bool held = state.held_since != TimePoint();
  UpdateBounds(state, bounds);
  ObserveScopes(state, settings, feeds, now);
  const moves::ScoringContext rules{settings, state.bounds, state.tables};
  Judgement strongest;
  for (auto& [name, scope] : state.scopes) {
    const moves::ScopeScore scored = moves::StepScope(scope, rules, !held, now);
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
                                    MaxOldRuns(feeds), old_serves, now);
  // During the hold only the old version answered, so that its answers no
  // longer belong to the same time.
  if (held && state.held_since == TimePoint()) {
    for (auto& [name, scope] : state.scopes)
      moves::DropUnsummedStrata(scope, now);
  }
  return strongest;
}

bool CrashesOnStart(const JudgeSettings& settings,
                    const EvidenceCounters& fresh,
                    const EvidenceCounters& old) {
  if (fresh.early_exits < settings.min_early_exits)
    return false;
  return fresh.early_exits * 2 >= fresh.starts &&
         fresh.early_exits > 4ULL * old.early_exits;
}

}  // namespace teaselspread
