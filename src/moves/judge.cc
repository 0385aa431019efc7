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
constexpr double kDoubtOnly = 0.9;

// What the score may lead to.
double ScoreOf(const moves::ScopeScore& found, const JudgeSettings& settings) {
  const bool enough = found.bad >= settings.least_bad;
  if (found.controlled && enough)
    return found.score;
  return std::min(found.score, settings.hold * kDoubtOnly);
}

// Answers of the old version wherever the judge looks.
std::uint64_t OldRuns(const std::vector<Feed>& feeds) {
  std::uint64_t runs = 0;
  for (const Feed& feed : feeds) {
    if (feed.counted)
      runs = std::max(runs, feed.totals.old.runs);
  }
  return runs;
}

bool HoldIsOver(const JudgeState& state,
                const JudgeSettings& settings,
                std::uint64_t old_runs,
                bool old_serves,
                TimePoint now) {
  const Duration held = now - state.held_since;
  if (held >= settings.hold_most)
    return true;
  const bool confirmed =
      old_runs >= state.old_runs_at_hold + settings.hold_answers;
  return held >= settings.hold_least && (confirmed || !old_serves);
}

// A doubt outlives the score that raised it: its purpose is to bring answers
// of both versions side by side.
bool InDoubt(JudgeState& state,
             const JudgeSettings& settings,
             double score,
             std::uint64_t old_runs,
             TimePoint now) {
  if (score >= settings.suspect) {
    if (state.doubted_since == TimePoint())
      state.old_runs_at_doubt = old_runs;
    state.doubted_since = now;
    return true;
  }
  if (state.doubted_since == TimePoint())
    return false;
  const Duration age = now - state.doubted_since;
  const bool answered =
      old_runs >= state.old_runs_at_doubt + settings.doubt_answers;
  if (age >= settings.doubt_most || (age >= settings.doubt_least && answered))
    state.doubted_since = TimePoint();
  return state.doubted_since != TimePoint();
}

Finding FindingOf(JudgeState& state,
                  const JudgeSettings& settings,
                  const Judgement& now_seen,
                  std::uint64_t old_runs,
                  bool old_serves,
                  TimePoint now) {
  const double score = now_seen.score;
  const bool doubt = InDoubt(state, settings, score, old_runs, now);
  const bool held = state.held_since != TimePoint();
  if (!held && score >= settings.hold) {
    state.held_since = now;
    state.old_runs_at_hold = old_runs;
    state.confirmed_at_hold = now_seen.confirmed;
    return Finding::kHeld;
  }
  if (held && !HoldIsOver(state, settings, old_runs, old_serves, now))
    return Finding::kHeld;
  if (held)
    state.held_since = TimePoint();
  const double confirmed =
      std::min(state.confirmed_at_hold, now_seen.confirmed);
  if (held && score >= settings.hold &&
      confirmed >= settings.hold * settings.confirm)
    return Finding::kBad;
  return doubt ? Finding::kSuspect : Finding::kCalm;
}

void TakeBounds(JudgeState& state, const MoveBounds& bounds) {
  if (state.started != TimePoint() &&
      state.bounds.extra_failures == bounds.extra_failures &&
      state.bounds.slowdown == bounds.slowdown)
    return;
  state.bounds = bounds;
  for (std::size_t m = 0; m < kMetrics; ++m)
    state.tables.at(m) = moves::MakeFaultTable(static_cast<Metric>(m), bounds);
}

// What a restarted node hears first is the whole past in one piece, of which
// nothing can be said of which answers came at the same time.
void Observe(JudgeState& state,
             const JudgeSettings& settings,
             const std::vector<Feed>& feeds,
             TimePoint now) {
  if (state.started == TimePoint())
    state.started = now;
  const bool settled = now - state.started >= settings.settle;
  for (const Feed& feed : feeds) {
    ScopeJudge& scope = state.scopes[feed.scope];
    if (scope.seen.empty())
      scope.opened = now;
    moves::ObserveFeed(scope, feed, settled && feed.counted);
  }
}

}  // namespace

Judgement StepJudge(JudgeState& state,
                    const JudgeSettings& settings,
                    const MoveBounds& bounds,
                    const std::vector<Feed>& feeds,
                    bool old_serves,
                    TimePoint now) {
  const bool held = state.held_since != TimePoint();
  TakeBounds(state, bounds);
  Observe(state, settings, feeds, now);
  const moves::Rules rules{settings, state.bounds, state.tables};
  Judgement strongest;
  for (auto& [name, scope] : state.scopes) {
    const moves::ScopeScore found = moves::StepScope(scope, rules, !held, now);
    const double score = ScoreOf(found, settings);
    if (score <= strongest.score)
      continue;
    strongest.score = score;
    strongest.confirmed = found.confirmed;
    strongest.reason = kReasonOf.at(static_cast<std::size_t>(found.metric));
    strongest.scope = name;
    strongest.pair = found.pair;
  }
  strongest.finding =
      FindingOf(state, settings, strongest, OldRuns(feeds), old_serves, now);
  // During the hold only the old version answered, so that its answers no
  // longer belong to the same time.
  if (held && state.held_since == TimePoint()) {
    for (auto& [name, scope] : state.scopes)
      moves::DropOpenStrata(scope, now);
  }
  return strongest;
}

bool CrashesOnStart(const JudgeSettings& settings,
                    const EvidenceCells& fresh,
                    const EvidenceCells& old) {
  if (fresh.early_exits < settings.early_exits)
    return false;
  return fresh.early_exits * 2 >= fresh.starts &&
         fresh.early_exits > 4ULL * old.early_exits;
}

}  // namespace teaselspread
