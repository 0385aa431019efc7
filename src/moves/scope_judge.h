// The time strata of one scope and the sums of their scores.
#ifndef TEASELSPREAD_MOVES_SCOPE_JUDGE_H_
#define TEASELSPREAD_MOVES_SCOPE_JUDGE_H_

#include "teaselspread/judge.h"

namespace teaselspread::moves {

// Parameters for computing scores.
struct ScoringContext {
  const JudgeSettings& settings;
  const MoveBounds& bounds;
  const std::array<LikelihoodTable, kMetrics>& tables;
};

// The test of a scope with the highest score.
struct ScopeScore {
  double score = 0;
  // The score when joined with the previous stratum.
  double confirmed_score = 0;
  Metric metric = Metric::kFailures;
  VersionTallies tallies;
  // The old version gave enough responses in the same stratum to compare.
  bool controlled = true;
  // Bad responses of the new version behind the score.
  double bad_responses = 0;
};

// Adds the growth since the last totals of this data centre to the current
// stratum if `counted`, otherwise only to the history.
void ObserveTotals(ScopeState& scope, const ScopeTotals& totals, bool counted);

// Drops the strata that are not in the sums yet; the old version's counters of
// them go to the history.
void DropUnsummedStrata(ScopeState& scope, TimePoint now);

// Scores the scope. If `may_close`, closes its stratum when that is due or when
// a suspicion lacks responses of the old version.
[[nodiscard]] ScopeScore StepScope(ScopeState& scope,
                                   const ScoringContext& rules,
                                   bool may_close,
                                   TimePoint now);

}  // namespace teaselspread::moves

#endif  // TEASELSPREAD_MOVES_SCOPE_JUDGE_H_
