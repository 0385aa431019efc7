#include "moves/scope_judge.h"

#include <algorithm>
#include <cmath>

#include "moves/ratio_test.h"

namespace teaselspread::moves {
namespace {

// Minimum number of old responses for a meaningful median.
constexpr std::uint64_t kMinMedianResponses = 8;
// Number of good responses assumed as a prior for the old version's history.
constexpr double kPriorResponses = 50;
// Minimum number of old responses in a stratum for a comparison.
constexpr std::uint64_t kMinControlResponses = 2;

std::uint64_t LatencyCount(const EvidenceCounters& counters) {
  std::uint64_t count = 0;
  for (std::uint32_t in_bucket : counters.latency)
    count += in_bucket;
  return count;
}

// Growth of the counters from `before` to `now`.
EvidenceCounters Growth(const EvidenceCounters& now,
                        const EvidenceCounters& before) {
  EvidenceCounters grown;
  const auto more = [](auto a, auto b) { return a > b ? a - b : 0; };
  grown.runs = more(now.runs, before.runs);
  grown.failures = more(now.failures, before.failures);
  grown.shed = more(now.shed, before.shed);
  for (std::size_t i = 0; i < kLatencyBuckets; ++i)
    grown.latency[i] = more(now.latency[i], before.latency[i]);
  return grown;
}

Tally TallySlow(const EvidenceCounters& counters, std::size_t bucket) {
  Tally tally;
  for (std::size_t i = 0; i < kLatencyBuckets; ++i) {
    tally.total += counters.latency[i];
    if (i > bucket)
      tally.bad += counters.latency[i];
  }
  return tally;
}

Tally TallyOf(const EvidenceCounters& counters,
              Metric metric,
              std::size_t slow) {
  switch (metric) {
    case Metric::kFailures:
      return {static_cast<double>(counters.runs),
              static_cast<double>(counters.failures)};
    case Metric::kLatency:
      return TallySlow(counters, slow);
    default:
      return {static_cast<double>(counters.runs + counters.shed),
              static_cast<double>(counters.shed)};
  }
}

// Responses in later buckets are slow. Without a known median of the old
// version no response counts as slow.
std::size_t SlowBucket(const ScopeState& scope, double slowdown) {
  if (LatencyCount(scope.history) < kMinMedianResponses)
    return kLatencyBuckets;
  const Duration median = LatencyQuantile(scope.history, 0.5);
  const double bound = static_cast<double>(median.count()) * slowdown;
  return LatencyBucketIndex(Duration(std::llround(bound)));
}

struct StratumScore {
  std::array<double, kAlternatives> scores{};
  VersionTallies tallies;
};

StratumScore ScoreStratum(const ScopeState& scope,
                          const VersionTotals& stratum,
                          Metric metric,
                          std::size_t slow,
                          const ScoringContext& context) {
  const Tally past = TallyOf(scope.history, metric, slow);
  const double history = (past.bad + 0.5) / (past.total + kPriorResponses);
  StratumScore score;
  score.tallies = {TallyOf(stratum.new_version, metric, slow),
                   TallyOf(stratum.old_version, metric, slow)};
  score.scores = LogLikelihoodRatios(
      score.tallies, history, context.settings.shared_weight,
      context.tables.at(static_cast<std::size_t>(metric)));
  return score;
}

bool AnyAbove(const std::array<double, kAlternatives>& scores, double bound) {
  return *std::max_element(scores.begin(), scores.end()) > bound;
}

VersionTotals SumOf(const VersionTotals& a, const VersionTotals& b) {
  VersionTotals sum = a;
  AddCounters(sum.new_version, b.new_version);
  AddCounters(sum.old_version, b.old_version);
  return sum;
}

bool IsStratumDue(const ScopeState& scope,
                  const JudgeSettings& settings,
                  TimePoint now) {
  const Duration age = now - scope.current_since;
  if (age >= settings.max_stratum_age)
    return true;
  if (age < settings.min_stratum_age)
    return false;
  const std::uint64_t old_runs = scope.current_totals.old_version.runs;
  if (old_runs >= settings.stratum_old_responses)
    return true;
  return scope.current_totals.new_version.runs >= settings.stratum_responses &&
         (old_runs >= settings.stratum_responses ||
          age >= settings.max_control_wait);
}

// Whether the old version has enough responses for a comparison.
bool IsControlled(const VersionTotals& stratum, const JudgeSettings& settings) {
  const std::uint64_t min_runs =
      std::max(kMinControlResponses, stratum.new_version.runs / 4);
  return stratum.old_version.runs + stratum.old_version.shed >=
         std::min(settings.stratum_responses, min_runs);
}

// The part of the previous stratum's score that holds when it is joined with
// the stratum after it.
double ConfirmedScore(double previous, double combined) {
  return previous <= 0 ? previous : std::max(0.0, std::min(previous, combined));
}

void CloseStratum(ScopeState& scope,
                  const ScoreTable& current_scores,
                  const ScoreTable& combined_scores,
                  const std::array<double, kMetrics>& current_bad,
                  TimePoint now) {
  for (std::size_t m = 0; m < kMetrics; ++m) {
    for (std::size_t i = 0; i < kAlternatives; ++i) {
      double& sum = scope.score_sums.at(m).at(i);
      sum += ConfirmedScore(scope.previous_scores.at(m).at(i),
                            combined_scores.at(m).at(i));
      sum = std::max(0.0, sum);
    }
    const bool has_positive_score = AnyAbove(scope.score_sums.at(m), 0);
    scope.summed_bad.at(m) =
        has_positive_score ? scope.summed_bad.at(m) + scope.previous_bad.at(m)
                           : 0;
  }
  scope.previous_bad = current_bad;
  scope.previous_scores = current_scores;
  AddCounters(scope.history, scope.previous.old_version);
  scope.previous = scope.current_totals;
  scope.current_totals = {};
  scope.current_since = now;
}

// A stratum without responses of the old version can raise a suspicion, but its
// evidence is not kept: by the time the old version responds again, the fault
// may be over for both.
void DropPositiveScores(ScopeState& scope) {
  for (auto& metric : scope.previous_scores) {
    for (double& score : metric)
      score = std::min(score, 0.0);
  }
}

double CombinedScore(double sum,
                     double previous,
                     double current,
                     double combined) {
  if (previous <= 0)
    return std::max(0.0, sum + previous) + current;
  return sum + std::min(previous + current, combined);
}

}  // namespace

void ObserveTotals(ScopeState& scope, const ScopeTotals& totals, bool counted) {
  VersionTotals& last_totals = scope.last_totals[totals.data_center];
  const VersionTotals growth = {
      Growth(totals.totals.new_version, last_totals.new_version),
      Growth(totals.totals.old_version, last_totals.old_version)};
  last_totals = totals.totals;
  if (counted)
    scope.current_totals = SumOf(scope.current_totals, growth);
  else
    AddCounters(scope.history, growth.old_version);
}

void DropUnsummedStrata(ScopeState& scope, TimePoint now) {
  AddCounters(scope.history, scope.previous.old_version);
  AddCounters(scope.history, scope.current_totals.old_version);
  scope.previous = {};
  scope.current_totals = {};
  scope.previous_scores = {};
  scope.previous_bad = {};
  scope.current_since = now;
}

ScopeScore StepScope(ScopeState& scope,
                     const ScoringContext& context,
                     bool may_close,
                     TimePoint now) {
  const std::size_t slow = SlowBucket(scope, context.bounds.slowdown);
  const VersionTotals combined = SumOf(scope.previous, scope.current_totals);
  ScoreTable current_scores{};
  ScoreTable combined_scores{};
  std::array<double, kMetrics> current_bad{};
  ScopeScore strongest;
  for (std::size_t m = 0; m < kMetrics; ++m) {
    const auto metric = static_cast<Metric>(m);
    const StratumScore current_stratum =
        ScoreStratum(scope, scope.current_totals, metric, slow, context);
    current_scores.at(m) = current_stratum.scores;
    current_bad.at(m) = current_stratum.tallies.new_version.bad;
    // Only evidence against the new version needs to be confirmed.
    StratumScore combined_stratum = current_stratum;
    if (AnyAbove(scope.previous_scores.at(m), 0) ||
        AnyAbove(current_stratum.scores, context.settings.suspect_score))
      combined_stratum = ScoreStratum(scope, combined, metric, slow, context);
    combined_scores.at(m) = combined_stratum.scores;
    for (std::size_t i = 0; i < kAlternatives; ++i) {
      const double score = CombinedScore(
          scope.score_sums.at(m).at(i), scope.previous_scores.at(m).at(i),
          current_scores.at(m).at(i), combined_scores.at(m).at(i));
      if (score <= strongest.score)
        continue;
      const double confirmed = scope.score_sums.at(m).at(i) +
                               std::min(score, combined_scores.at(m).at(i));
      const double bad =
          scope.summed_bad.at(m) + scope.previous_bad.at(m) + current_bad.at(m);
      strongest = {score, confirmed, metric, combined_stratum.tallies,
                   true,  bad};
    }
  }
  strongest.controlled = IsControlled(scope.current_totals, context.settings);
  const bool suspected = strongest.score >= context.settings.suspect_score;
  const bool close_early = suspected && !strongest.controlled;
  if (!may_close ||
      !(close_early || IsStratumDue(scope, context.settings, now)))
    return strongest;
  CloseStratum(scope, current_scores, combined_scores, current_bad, now);
  if (!strongest.controlled)
    DropPositiveScores(scope);
  return strongest;
}

}  // namespace teaselspread::moves
