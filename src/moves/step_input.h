// Input and output of one step of one move.
#ifndef TEASELSPREAD_MOVES_STEP_INPUT_H_
#define TEASELSPREAD_MOVES_STEP_INPUT_H_

#include <vector>

#include "teaselspread/moves.h"

namespace teaselspread::moves {

struct StepInput {
  const Snapshot& snapshot;
  const EvidenceTable& evidence;
  const MoveCapacity& capacity;
  TimePoint now;
};

using Actions = std::vector<MoveAction>;

}  // namespace teaselspread::moves

#endif  // TEASELSPREAD_MOVES_STEP_INPUT_H_
