// When the final response to a request is due, and how long its upstream may
// take.
//
// Pure. Thread safe.
#ifndef TEASELSPREAD_SRC_EDGE_RESPONSE_TIMES_H_
#define TEASELSPREAD_SRC_EDGE_RESPONSE_TIMES_H_

#include <optional>

#include "teaselspread/types.h"

namespace teaselspread {

// Time from the arrival of a request until its final response goes out. A
// caller that said how long it waits gets it before that: at that moment it
// closes the connection, and every request that it has sent behind this one on
// the connection is lost with it.
[[nodiscard]] Duration TimeToRespond(Duration route_timeout,
                                     std::optional<Duration> caller_waits);

// Time that the upstream may take if the final response is due in `left`: less,
// since its own response at its deadline says more than an error from this node
// and has to arrive first.
[[nodiscard]] Duration TimeForUpstream(Duration left);

}  // namespace teaselspread

#endif  // TEASELSPREAD_SRC_EDGE_RESPONSE_TIMES_H_
