// What a data centre tells the others of a move, and what it makes of theirs.
#ifndef TEASELSPREAD_MOVES_REPORTS_H_
#define TEASELSPREAD_MOVES_REPORTS_H_

#include "moves/step_input.h"

namespace teaselspread::moves {

// Takes the demand of the own data centre's last report until the node has seen
// enough itself: a restarted node does not start the ramp again.
void RestoreDemand(const MovesState& state, MoveState& move, TimePoint now);

// Notes since when the share is full.
void UpdateFullShare(MovesState& state, MoveState& move, TimePoint now);

void ReportRunning(MovesState& state,
                   MoveState& move,
                   const VersionTotals& own,
                   TimePoint now,
                   Actions& actions);

// The figures stay as they were last: the evidence is dropped with the end.
void ReportEnded(MovesState& state,
                 MoveState& move,
                 TimePoint now,
                 Actions& actions);

// Spreads the verdict again, often while a data centre that is heard does not
// know it.
void RespreadVerdict(const MovesState& state,
                     MoveState& move,
                     const StepInput& in,
                     Actions& actions);

// Every data centre is heard and had full share and a clean watch.
[[nodiscard]] bool EveryDataCenterIsClean(const MovesState& state,
                                          const MoveState& move,
                                          const StepInput& in);

}  // namespace teaselspread::moves

#endif  // TEASELSPREAD_MOVES_REPORTS_H_
