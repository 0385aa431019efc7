// The likelihood ratio of one stratum, with precomputed logarithms.
#ifndef TEASELSPREAD_MOVES_RATIO_TEST_H_
#define TEASELSPREAD_MOVES_RATIO_TEST_H_

#include "teaselspread/judge.h"

namespace teaselspread::moves {

// The table of one metric for these bounds.
[[nodiscard]] LikelihoodTable MakeLikelihoodTable(Metric metric,
                                                  const MoveBounds& bounds);

// Logarithm of the likelihood ratio of each alternative; zeros without a
// response of the new version. `history` is the old version's ratio before the
// stratum, `shared_weight` the prior weight of all other ratios, 0..1.
[[nodiscard]] std::array<double, kAlternatives> LogLikelihoodRatios(
    const VersionTallies& pair,
    double history,
    double shared_weight,
    const LikelihoodTable& table);

}  // namespace teaselspread::moves

#endif  // TEASELSPREAD_MOVES_RATIO_TEST_H_
