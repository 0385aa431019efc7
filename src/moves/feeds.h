// The evidence as the judge takes it in, by scope and data centre.
#ifndef TEASELSPREAD_MOVES_FEEDS_H_
#define TEASELSPREAD_MOVES_FEEDS_H_

#include "moves/step_input.h"

namespace teaselspread::moves {

// Notes which data centres have just come back after a silence. Their rows
// bring minutes of answers at once, of which only the sums are known.
void UpdateCatchingUp(MoveState& move,
                      const StepInput& in,
                      Duration silence_timeout);

// Answers by route in the own data centre and everywhere. The sums over all
// data centres count only with little traffic, when none of them sees enough by
// itself: the shares of the data centres differ, and a fault of one of them
// that both versions share would look like one of the version that has more of
// its traffic there.
[[nodiscard]] std::vector<ScopeTotals> ScopeTotalsOf(const MovesState& state,
                                                     const MoveState& move,
                                                     const StepInput& in);

}  // namespace teaselspread::moves

#endif  // TEASELSPREAD_MOVES_FEEDS_H_
