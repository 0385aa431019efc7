// The strata of one scope and what they add up to.
#ifndef TEASELSPREAD_MOVES_SCOPE_JUDGE_H_
#define TEASELSPREAD_MOVES_SCOPE_JUDGE_H_

#include "teaselspread/judge.h"

namespace teaselspread::moves {

// What scores are worked out with.
struct ScoringContext {
  const JudgeSettings& settings;
  const MoveBounds& bounds;
  const std::array<LikelihoodTable, kMetrics>& tables;
};

// The strongest test of a scope.
struct ScopeScore {
  double score = 0;
  // The same together with the stratum before.
  double confirmed_score = 0;
  Metric metric = Metric::kFailures;
  VersionTallies tallies;
  // The old version answered beside the new one.
  bool controlled = true;
  // Bad answers of the new version behind the score.
  double bad_responses = 0;
};

// Takes in the growth since the last feed of this data centre; as history only
// unless `counted`.
void ObserveTotals(ScopeState& scope, const ScopeTotals& feed, bool counted);

// Forgets the strata that are not summed up yet.
void DropUnsummedStrata(ScopeState& scope, TimePoint now);

// Scores the scope, and closes its stratum when that is due and `may_close`.
[[nodiscard]] ScopeScore StepScope(ScopeState& scope,
                                   const ScoringContext& rules,
                                   bool may_close,
                                   TimePoint now);

}  // namespace teaselspread::moves

#endif  // TEASELSPREAD_MOVES_SCOPE_JUDGE_H_
