// Reports that data centres exchange about a move, and their evaluation.
#ifndef TEASELSPREAD_MOVES_REPORTS_H_
#define TEASELSPREAD_MOVES_REPORTS_H_

#include "moves/step_input.h"

namespace teaselspread::moves {

// Takes the demand from the own data centre's last report until the node has
// measured its own, so that a restarted node does not start the ramp again.
void RestoreDemand(const MovesState& state, MoveState& move, TimePoint now);

// Updates the time since which the share is full.
void UpdateFullShare(MovesState& state, MoveState& move, TimePoint now);

void ReportRunning(MovesState& state,
                   MoveState& move,
                   const VersionTotals& own,
                   TimePoint now,
                   Actions& actions);

// Keeps the last counters, as the evidence is dropped when the move ends.
void ReportEnded(MovesState& state,
                 MoveState& move,
                 TimePoint now,
                 Actions& actions);

// Sends the verdict again, at a short interval while a data centre that is
// reachable does not know it.
void ResendVerdict(const MovesState& state,
                   MoveState& move,
                   const StepInput& in,
                   Actions& actions);

// Every data centre has reported recently and had a clean watch period at full
// share.
[[nodiscard]] bool EveryDataCenterIsClean(const MovesState& state,
                                          const MoveState& move,
                                          const StepInput& in);

}  // namespace teaselspread::moves

#endif  // TEASELSPREAD_MOVES_REPORTS_H_
