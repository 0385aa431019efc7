// Which move of a service is in effect, given the verdicts.
#ifndef TEASELSPREAD_MOVES_EFFECT_H_
#define TEASELSPREAD_MOVES_EFFECT_H_

#include <string>

#include "teaselspread/moves.h"

namespace teaselspread::moves {

// The stage according to the known verdicts; kRunning without one.
[[nodiscard]] MoveStage StageOf(const MovesState& state,
                                const std::string& move);

// Whether an earlier move of the same service has not ended. Moves of a service
// run one after the other, as the judge compares two versions only.
[[nodiscard]] bool WaitsForEarlier(const MovesState& state,
                                   const Snapshot& snapshot,
                                   const MoveConfig& move);

}  // namespace teaselspread::moves

#endif  // TEASELSPREAD_MOVES_EFFECT_H_
