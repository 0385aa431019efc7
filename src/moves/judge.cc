#include "teaselspread/judge.h"

#include <algorithm>
#include <cmath>

#include "moves/ratio_test.h"

namespace teaselspread {
namespace {

// Answers of the old version without which its median says nothing.
constexpr std::uint64_t kMedianAnswers = 8;
// Answers by which a version without history is taken to be good.
constexpr double kPriorAnswers = 50;

std::uint64_t CountOf(const EvidenceCells& cells) {
  std::uint64_t count = 0;
  for (std::uint32_t in_bucket : cells.latency)
    count += in_bucket;
  return count;
}

// What `now` has more than `before`.
EvidenceCells Growth(const EvidenceCells& now, const EvidenceCells& before) {
  EvidenceCells grown;
  const auto more = [](auto a, auto b) { return a > b ? a - b : 0; };
  grown.runs = more(now.runs, before.runs);
  grown.failures = more(now.failures, before.failures);
  grown.shed = more(now.shed, before.shed);
  for (std::size_t i = 0; i < kLatencyBuckets; ++i)
    grown.latency[i] = more(now.latency[i], before.latency[i]);
  return grown;
}

Tally SlowerThan(const EvidenceCells& cells, std::size_t bucket) {
  Tally tally;
  for (std::size_t i = 0; i < kLatencyBuckets; ++i) {
    tally.total += cells.latency[i];
    if (i > bucket)
      tally.bad += cells.latency[i];
  }
  return tally;
}

Tally TallyOf(const EvidenceCells& cells, Metric metric, std::size_t slow) {
  switch (metric) {
    case Metric::kFailures:
      return {static_cast<double>(cells.runs),
              static_cast<double>(cells.failures)};
    case Metric::kLatency:
      return SlowerThan(cells, slow);
    default:
      return {static_cast<double>(cells.runs + cells.shed),
              static_cast<double>(cells.shed)};
  }
}

constexpr std::array<VerdictReason, kMetrics> kReasonOf = {
    VerdictReason::kFailures, VerdictReason::kLatency,
    VerdictReason::kShedding};

// What one route's scores are worked out with.
struct Rules {
  const JudgeSettings& settings;
  const MoveBounds& bounds;
  const std::array<FaultTable, kMetrics>& tables;
};

// One metric of one route: what the open stratum adds to each alternative.
struct Scores {
  std::array<double, kAlternatives> added{};
  Pair pair;
};
using RouteScores = std::array<Scores, kMetrics>;

std::size_t SlowBucket(const RouteJudge& route, double slowdown) {
  if (CountOf(route.history) < kMedianAnswers)
    return kLatencyBuckets;
  const Duration median = LatencyQuantile(route.history, 0.5);
  return LatencyBucketOf(
      Duration(std::llround(static_cast<double>(median.count()) * slowdown)));
}

RouteScores ScoresOf(const RouteJudge& route, const Rules& rules) {
  const std::size_t slow = SlowBucket(route, rules.bounds.slowdown);
  RouteScores scores;
  for (std::size_t m = 0; m < kMetrics; ++m) {
    const auto metric = static_cast<Metric>(m);
    const Tally past = TallyOf(route.history, metric, slow);
    const double history = (past.bad + 0.5) / (past.total + kPriorAnswers);
    Scores& score = scores.at(m);
    score.pair = {TallyOf(route.open_new, metric, slow),
                  TallyOf(route.open_old, metric, slow)};
    score.added = moves::LogRatios(
        score.pair, history, rules.settings.shared_weight, rules.tables.at(m));
  }
  return scores;
}

void Observe(RouteJudge& route, const RouteTotals& totals) {
  AddCells(route.open_new, Growth(totals.fresh, route.seen_new));
  AddCells(route.open_old, Growth(totals.old, route.seen_old));
  route.seen_new = totals.fresh;
  route.seen_old = totals.old;
}

bool SpeaksAgainst(const RouteScores& scores, double bound) {
  return std::any_of(scores.begin(), scores.end(), [&](const Scores& score) {
    return *std::max_element(score.added.begin(), score.added.end()) > bound;
  });
}

bool MayClose(const RouteJudge& route,
              const RouteScores& scores,
              const JudgeSettings& settings,
              TimePoint now) {
  const Duration age = now - route.opened;
  if (age >= settings.stratum_most)
    return true;
  return age >= settings.stratum_least &&
         route.open_new.runs >= settings.stratum_answers &&
         route.open_old.runs >= settings.stratum_answers &&
         !SpeaksAgainst(scores, settings.keep_open);
}

void Close(RouteJudge& route, const RouteScores& scores, TimePoint now) {
  for (std::size_t m = 0; m < kMetrics; ++m) {
    for (std::size_t i = 0; i < kAlternatives; ++i) {
      double& sum = route.sums.at(m).at(i);
      sum = std::max(0.0, sum + scores.at(m).added.at(i));
    }
  }
  AddCells(route.history, route.open_old);
  route.open_new = {};
  route.open_old = {};
  route.opened = now;
}

void Weigh(Judgement& strongest,
           const std::string& name,
           const RouteJudge& route,
           const RouteScores& scores) {
  for (std::size_t m = 0; m < kMetrics; ++m) {
    for (std::size_t i = 0; i < kAlternatives; ++i) {
      const double score = route.sums.at(m).at(i) + scores.at(m).added.at(i);
      if (score <= strongest.score)
        continue;
      strongest.score = score;
      strongest.reason = kReasonOf.at(m);
      strongest.route = name;
      strongest.pair = scores.at(m).pair;
    }
  }
}

std::uint64_t OldRuns(const std::map<std::string, RouteTotals>& totals) {
  std::uint64_t runs = 0;
  for (const auto& [name, route] : totals)
    runs = std::max(runs, route.old.runs);
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

Finding FindingOf(JudgeState& state,
                  const JudgeSettings& settings,
                  double score,
                  std::uint64_t old_runs,
                  bool old_serves,
                  TimePoint now) {
  const bool held = state.held_since != TimePoint();
  if (!held && score >= settings.hold) {
    state.held_since = now;
    state.old_runs_at_hold = old_runs;
    return Finding::kHeld;
  }
  if (held && !HoldIsOver(state, settings, old_runs, old_serves, now))
    return Finding::kHeld;
  if (held)
    state.held_since = TimePoint();
  if (held && score >= settings.hold)
    return Finding::kBad;
  return score >= settings.suspect ? Finding::kSuspect : Finding::kCalm;
}

void TakeBounds(JudgeState& state, const MoveBounds& bounds) {
  if (state.started && state.bounds.extra_failures == bounds.extra_failures &&
      state.bounds.slowdown == bounds.slowdown)
    return;
  state.bounds = bounds;
  for (std::size_t m = 0; m < kMetrics; ++m)
    state.tables.at(m) = moves::MakeFaultTable(static_cast<Metric>(m), bounds);
}

// The first totals only set the mark to count from.
RouteJudge& RouteOf(JudgeState& state,
                    const std::string& name,
                    const RouteTotals& totals,
                    TimePoint now) {
  auto [found, is_new] = state.routes.try_emplace(name);
  RouteJudge& route = found->second;
  if (!is_new)
    return route;
  route.opened = now;
  if (!state.started) {
    route.seen_new = totals.fresh;
    route.seen_old = totals.old;
    route.history = totals.old;
  }
  return route;
}

}  // namespace

Judgement StepJudge(JudgeState& state,
                    const JudgeSettings& settings,
                    const MoveBounds& bounds,
                    const std::map<std::string, RouteTotals>& totals,
                    bool old_serves,
                    TimePoint now) {
  const bool held = state.held_since != TimePoint();
  TakeBounds(state, bounds);
  const Rules rules{settings, state.bounds, state.tables};
  Judgement strongest;
  for (const auto& [name, route_totals] : totals) {
    RouteJudge& route = RouteOf(state, name, route_totals, now);
    Observe(route, route_totals);
    RouteScores scores = ScoresOf(route, rules);
    if (!held && MayClose(route, scores, settings, now)) {
      Close(route, scores, now);
      scores = {};
    }
    Weigh(strongest, name, route, scores);
  }
  state.started = true;
  strongest.finding = FindingOf(state, settings, strongest.score,
                                OldRuns(totals), old_serves, now);
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
