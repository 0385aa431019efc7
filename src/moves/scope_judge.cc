#include "moves/scope_judge.h"

#include <algorithm>
#include <cmath>

#include "moves/ratio_test.h"

namespace teaselspread::moves {
namespace {

// Answers of the old version without which its median says nothing.
constexpr std::uint64_t kMedianAnswers = 8;
// Answers by which a version without history is taken to be good.
constexpr double kPriorAnswers = 50;
// Fewest answers of the old version beside those of the new one.
constexpr std::uint64_t kLeastControl = 2;

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

// Answers in later buckets are slow; none is while the old version's median is
// unknown.
std::size_t SlowBucket(const ScopeJudge& scope, double slowdown) {
  if (CountOf(scope.history) < kMedianAnswers)
    return kLatencyBuckets;
  const Duration median = LatencyQuantile(scope.history, 0.5);
  const double bound = static_cast<double>(median.count()) * slowdown;
  return LatencyBucketOf(Duration(std::llround(bound)));
}

struct StratumScore {
  std::array<double, kAlternatives> added{};
  Pair pair;
};

StratumScore ScoreStratum(const ScopeJudge& scope,
                          const RouteTotals& stratum,
                          Metric metric,
                          std::size_t slow,
                          const Rules& rules) {
  const Tally past = TallyOf(scope.history, metric, slow);
  const double history = (past.bad + 0.5) / (past.total + kPriorAnswers);
  StratumScore score;
  score.pair = {TallyOf(stratum.fresh, metric, slow),
                TallyOf(stratum.old, metric, slow)};
  score.added = LogRatios(score.pair, history, rules.settings.shared_weight,
                          rules.tables.at(static_cast<std::size_t>(metric)));
  return score;
}

bool AnyAbove(const std::array<double, kAlternatives>& scores, double bound) {
  return *std::max_element(scores.begin(), scores.end()) > bound;
}

RouteTotals Joined(const RouteTotals& a, const RouteTotals& b) {
  RouteTotals joined = a;
  AddCells(joined.fresh, b.fresh);
  AddCells(joined.old, b.old);
  return joined;
}

bool IsDue(const ScopeJudge& scope,
           const JudgeSettings& settings,
           TimePoint now) {
  const Duration age = now - scope.opened;
  if (age >= settings.stratum_most)
    return true;
  if (age < settings.stratum_least)
    return false;
  const std::uint64_t old = scope.open.old.runs;
  if (old >= settings.stratum_old_answers)
    return true;
  return scope.open.fresh.runs >= settings.stratum_answers &&
         (old >= settings.stratum_answers || age >= settings.control_wait);
}

// The old version answered enough beside the new one for a comparison.
bool IsControlled(const RouteTotals& stratum, const JudgeSettings& settings) {
  const std::uint64_t wanted = std::max(kLeastControl, stratum.fresh.runs / 4);
  return stratum.old.runs + stratum.old.shed >=
         std::min(settings.stratum_answers, wanted);
}

// What `last` adds for good, now that the stratum after it is known.
double Confirmed(double last, double joined) {
  return last <= 0 ? last : std::max(0.0, std::min(last, joined));
}

void Close(ScopeJudge& scope,
           const ScoreTable& open,
           const ScoreTable& joined,
           const std::array<double, kMetrics>& open_bad,
           TimePoint now) {
  for (std::size_t m = 0; m < kMetrics; ++m) {
    for (std::size_t i = 0; i < kAlternatives; ++i) {
      double& sum = scope.sums.at(m).at(i);
      sum += Confirmed(scope.last_added.at(m).at(i), joined.at(m).at(i));
      sum = std::max(0.0, sum);
    }
    const bool carries = AnyAbove(scope.sums.at(m), 0);
    scope.bad.at(m) = carries ? scope.bad.at(m) + scope.last_bad.at(m) : 0;
  }
  scope.last_bad = open_bad;
  scope.last_added = open;
  AddCells(scope.history, scope.last.old);
  scope.last = scope.open;
  scope.open = {};
  scope.opened = now;
}

// Without answers of the old version a stratum can raise a doubt, but not be
// carried on: once the old one answers again, the fault may be over for both.
void ForgetFaults(ScopeJudge& scope) {
  for (auto& metric : scope.last_added) {
    for (double& added : metric)
      added = std::min(added, 0.0);
  }
}

double ScoreOf(double sum, double last, double open, double joined) {
  if (last <= 0)
    return std::max(0.0, sum + last) + open;
  return sum + std::min(last + open, joined);
}

}  // namespace

void ObserveFeed(ScopeJudge& scope, const Feed& feed, bool counted) {
  RouteTotals& seen = scope.seen[feed.data_center];
  const RouteTotals grown = {Growth(feed.totals.fresh, seen.fresh),
                             Growth(feed.totals.old, seen.old)};
  seen = feed.totals;
  if (counted)
    scope.open = Joined(scope.open, grown);
  else
    AddCells(scope.history, grown.old);
}

void DropOpenStrata(ScopeJudge& scope, TimePoint now) {
  AddCells(scope.history, scope.last.old);
  AddCells(scope.history, scope.open.old);
  scope.last = {};
  scope.open = {};
  scope.last_added = {};
  scope.last_bad = {};
  scope.opened = now;
}

ScopeScore StepScope(ScopeJudge& scope,
                     const Rules& rules,
                     bool may_close,
                     TimePoint now) {
  const std::size_t slow = SlowBucket(scope, rules.bounds.slowdown);
  const RouteTotals both = Joined(scope.last, scope.open);
  ScoreTable open{};
  ScoreTable joined{};
  std::array<double, kMetrics> open_bad{};
  ScopeScore strongest;
  for (std::size_t m = 0; m < kMetrics; ++m) {
    const auto metric = static_cast<Metric>(m);
    const StratumScore now_open =
        ScoreStratum(scope, scope.open, metric, slow, rules);
    open.at(m) = now_open.added;
    open_bad.at(m) = now_open.pair.fresh.bad;
    // Only what speaks against the new version needs to be confirmed.
    StratumScore now_joined = now_open;
    if (AnyAbove(scope.last_added.at(m), 0) ||
        AnyAbove(now_open.added, rules.settings.suspect))
      now_joined = ScoreStratum(scope, both, metric, slow, rules);
    joined.at(m) = now_joined.added;
    for (std::size_t i = 0; i < kAlternatives; ++i) {
      const double score =
          ScoreOf(scope.sums.at(m).at(i), scope.last_added.at(m).at(i),
                  open.at(m).at(i), joined.at(m).at(i));
      if (score <= strongest.score)
        continue;
      const double confirmed =
          scope.sums.at(m).at(i) + std::min(score, joined.at(m).at(i));
      const double bad =
          scope.bad.at(m) + scope.last_bad.at(m) + open_bad.at(m);
      strongest = {score, confirmed, metric, now_joined.pair, true, bad};
    }
  }
  strongest.controlled = IsControlled(scope.open, rules.settings);
  const bool doubt = strongest.score >= rules.settings.suspect;
  const bool drop = doubt && !strongest.controlled;
  if (!may_close || !(drop || IsDue(scope, rules.settings, now)))
    return strongest;
  Close(scope, open, joined, open_bad, now);
  if (!strongest.controlled)
    ForgetFaults(scope);
  return strongest;
}

}  // namespace teaselspread::moves
