// Which move of a service governs, and what the verdicts make of it.
#ifndef TEASELSPREAD_MOVES_EFFECT_H_
#define TEASELSPREAD_MOVES_EFFECT_H_

#include <string>

#include "teaselspread/moves.h"

namespace teaselspread::moves {

// The stage by the verdicts known here; kRunning without one.
[[nodiscard]] MoveStage StageOf(const MovesState& state,
                                const std::string& move);

// An earlier move of the same service has not ended. Two moves of one service
// at once would compare three versions, of which the judge knows two.
[[nodiscard]] bool WaitsForEarlier(const MovesState& state,
                                   const Snapshot& snapshot,
                                   const MoveConfig& move);

}  // namespace teaselspread::moves

#endif  // TEASELSPREAD_MOVES_EFFECT_H_
