#include "teaselspread/judge.h"

#include <algorithm>
#include <cmath>

namespace teaselspread {
namespace {

// Ratios that a shared fault may have, evenly spaced in their logarithm.
constexpr std::array<double, 12> kGrid = {0.001, 0.003, 0.01, 0.03, 0.06, 0.12,
                                          0.2,   0.35,  0.5,  0.65, 0.8,  0.95};
constexpr double kHistoryWeight = 0.5;
constexpr double kMostRatio = 0.98;
constexpr double kLeastRatio = 1e-4;
// Answers of the old version without which its median says nothing.
constexpr std::uint64_t kMedianAnswers = 8;
// Answers by which a version without history is taken to be good.
constexpr double kPriorAnswers = 50;

double LogOf(const Tally& tally, double ratio) {
  const double p = std::clamp(ratio, kLeastRatio, kMostRatio);
  return tally.bad * std::log(p) + (tally.total - tally.bad) * std::log1p(-p);
}

double LogSum(double a, double b) {
  const double high = std::max(a, b);
  return high + std::log1p(std::exp(std::min(a, b) - high));
}

struct Hypotheses {
  double same = -1e300;
  double worse = -1e300;
};

void AddPoint(Hypotheses& sum,
              const Pair& pair,
              double ratio,
              double weight,
              FaultSize size) {
  const double old = std::log(weight) + LogOf(pair.old, ratio);
  sum.same = LogSum(sum.same, old + LogOf(pair.fresh, ratio + size.tolerated));
  sum.worse = LogSum(sum.worse, old + LogOf(pair.fresh, ratio + size.fault));
}

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

// The bounds are where the test is indifferent: a fault of twice and a half the
// added ratio against a quarter of it balance near the bound itself.
FaultSize SizeOf(Metric metric, std::size_t index, const MoveBounds& bounds) {
  constexpr std::array<double, kAlternatives> kShed = {0.4, 0.6, 0.9};
  constexpr std::array<double, kAlternatives> kSlow = {0.4, 0.6, 0.8};
  const std::array<double, kAlternatives> failed = {
      2.5 * bounds.extra_failures, std::max(0.3, 4 * bounds.extra_failures),
      0.9};
  if (metric == Metric::kFailures)
    return {bounds.extra_failures / 4, failed.at(index)};
  if (metric == Metric::kLatency)
    return {0.12, kSlow.at(index)};
  return {0.25, kShed.at(index)};
}

constexpr std::array<VerdictReason, kMetrics> kReasonOf = {
    VerdictReason::kFailures, VerdictReason::kLatency,
    VerdictReason::kShedding};

// One metric of one route: the score of each alternative with the open stratum.
struct Scores {
  std::array<double, kAlternatives> values{};
  Pair pair;
};

std::size_t SlowBucket(const RouteJudge& route, double slowdown) {
  if (CountOf(route.history) < kMedianAnswers)
    return kLatencyBuckets;
  const Duration median = LatencyQuantile(route.history, 0.5);
  return LatencyBucketOf(
      Duration(std::llround(static_cast<double>(median.count()) * slowdown)));
}

Scores ScoresOf(const RouteJudge& route,
                Metric metric,
                const MoveBounds& bounds) {
  const std::size_t slow = SlowBucket(route, bounds.slowdown);
  const Tally past = TallyOf(route.history, metric, slow);
  const double history = (past.bad + 0.5) / (past.total + kPriorAnswers);
  Scores scores;
  scores.pair = {TallyOf(route.open_new, metric, slow),
                 TallyOf(route.open_old, metric, slow)};
  for (std::size_t i = 0; i < kAlternatives; ++i) {
    const double before = route.sums.at(static_cast<std::size_t>(metric)).at(i);
    scores.values.at(i) =
        before + LogRatio(scores.pair, history, SizeOf(metric, i, bounds));
  }
  return scores;
}

void Observe(RouteJudge& route, const RouteTotals& totals) {
  AddCells(route.open_new, Growth(totals.fresh, route.seen_new));
  AddCells(route.open_old, Growth(totals.old, route.seen_old));
  route.seen_new = totals.fresh;
  route.seen_old = totals.old;
}

bool MayClose(const RouteJudge& route,
              const JudgeSettings& settings,
              TimePoint now) {
  const Duration age = now - route.opened;
  if (age >= settings.stratum_most)
    return true;
  return age >= settings.stratum_least &&
         route.open_new.runs >= settings.stratum_answers &&
         route.open_old.runs >= settings.stratum_answers;
}

void Close(RouteJudge& route, const MoveBounds& bounds, TimePoint now) {
  for (std::size_t m = 0; m < kMetrics; ++m) {
    const Scores scores = ScoresOf(route, static_cast<Metric>(m), bounds);
    for (std::size_t i = 0; i < kAlternatives; ++i)
      route.sums.at(m).at(i) = std::max(0.0, scores.values.at(i));
  }
  AddCells(route.history, route.open_old);
  route.open_new = {};
  route.open_old = {};
  route.opened = now;
}

void Weigh(Judgement& strongest,
           const std::string& name,
           const RouteJudge& route,
           const MoveBounds& bounds) {
  for (std::size_t m = 0; m < kMetrics; ++m) {
    const Scores scores = ScoresOf(route, static_cast<Metric>(m), bounds);
    for (double score : scores.values) {
      if (score <= strongest.score)
        continue;
      strongest.score = score;
      strongest.reason = kReasonOf.at(m);
      strongest.route = name;
      strongest.pair = scores.pair;
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

}  // namespace

double LogRatio(const Pair& pair, double history, FaultSize size) {
  if (pair.fresh.total <= 0)
    return 0;
  Hypotheses sum;
  AddPoint(sum, pair, history, kHistoryWeight, size);
  const double rest = (1 - kHistoryWeight) / static_cast<double>(kGrid.size());
  for (double ratio : kGrid)
    AddPoint(sum, pair, ratio, rest, size);
  return sum.worse - sum.same;
}

Judgement StepJudge(JudgeState& state,
                    const JudgeSettings& settings,
                    const MoveBounds& bounds,
                    const std::map<std::string, RouteTotals>& totals,
                    bool old_serves,
                    TimePoint now) {
  const bool held = state.held_since != TimePoint();
  Judgement strongest;
  for (const auto& [name, route_totals] : totals) {
    auto [found, is_new] = state.routes.try_emplace(name);
    RouteJudge& route = found->second;
    if (is_new) {
      route.opened = now;
      if (!state.started) {
        route.seen_new = route_totals.fresh;
        route.seen_old = route_totals.old;
        route.history = route_totals.old;
      }
    }
    Observe(route, route_totals);
    if (!held && MayClose(route, settings, now))
      Close(route, bounds, now);
    Weigh(strongest, name, route, bounds);
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
