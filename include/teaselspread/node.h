// Runs one node as a process of its own.
#ifndef TEASELSPREAD_NODE_H_
#define TEASELSPREAD_NODE_H_

#include "teaselspread/error.h"
#include "teaselspread/settings.h"

namespace teaselspread {

// Serves until SIGTERM or SIGINT, then leaves without cutting a request. Prints
// "listening PORT" on standard output once callers are served. Errors:
// kSettings. Precondition: StartLogging was called; one node in a process.
[[nodiscard]] Result<void> RunNode(const NodeSettings& settings);

}  // namespace teaselspread

#endif  // TEASELSPREAD_NODE_H_
