// Totals of the evidence by scope and data centre, as input of the judge.
#ifndef TEASELSPREAD_MOVES_FEEDS_H_
#define TEASELSPREAD_MOVES_FEEDS_H_

#include "moves/step_input.h"

namespace teaselspread::moves {

// Marks silent data centres until `silence_timeout` after their return. Their
// rows then bring minutes of responses at once, of which only the sums are
// known.
void UpdateCatchingUp(MoveState& move,
                      const StepInput& in,
                      Duration silence_timeout);

// Responses by route in the own data centre and in all. The sums over all data
// centres count only with little traffic, when no data centre has enough by
// itself: as the shares of the data centres differ, a fault of one of them that
// affects both versions would look like a fault of the version that has more of
// its traffic there.
[[nodiscard]] std::vector<ScopeTotals> ScopeTotalsOf(const MovesState& state,
                                                     const MoveState& move,
                                                     const StepInput& in);

}  // namespace teaselspread::moves

#endif  // TEASELSPREAD_MOVES_FEEDS_H_
