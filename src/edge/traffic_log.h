// Log lines with a node's totals of traffic to other nodes and to the store,
// so that the traffic of a whole deployment can be added up from its logs.
#ifndef TEASELSPREAD_SRC_EDGE_TRAFFIC_LOG_H_
#define TEASELSPREAD_SRC_EDGE_TRAFFIC_LOG_H_

#include "teaselspread/types.h"

namespace teaselspread {

struct EdgeNode;

// Logs the totals since the node's start if kTrafficLogInterval has passed
// since the last time. Must be called on the node's thread.
void LogTrafficIfDue(EdgeNode& node, TimePoint now);

}  // namespace teaselspread

#endif  // TEASELSPREAD_SRC_EDGE_TRAFFIC_LOG_H_
