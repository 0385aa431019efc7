// A planned stop of a node: other nodes are notified first, callers get time to
// go elsewhere, and running requests complete.
//
// Everything here must be used on the thread that runs the loop.
#ifndef TEASELSPREAD_SRC_EDGE_NODE_STOP_H_
#define TEASELSPREAD_SRC_EDGE_NODE_STOP_H_

#include "edge/edge_node.h"
#include "teaselspread/types.h"

namespace teaselspread {

// Does nothing if the stop has begun. Not thread safe.
void BeginStop(EdgeNode& node);

// Takes the steps of the stop that are due. Returns whether the process may
// end. Precondition: BeginStop was called. Not thread safe.
[[nodiscard]] bool AdvanceStop(EdgeNode& node, TimePoint now);

}  // namespace teaselspread

#endif  // TEASELSPREAD_SRC_EDGE_NODE_STOP_H_
