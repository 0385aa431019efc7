// Orders other than configurations, as nodes pass them on to each other.
//
// They travel as a ConfigFrame of version 0. A node of the release before takes
// that for a configuration that it does not need; on a kind of frame that it
// does not know it would close the link, and with it the requests in flight.
#ifndef TEASELSPREAD_SRC_EDGE_ORDER_COPY_H_
#define TEASELSPREAD_SRC_EDGE_ORDER_COPY_H_

#include <optional>

#include "edge/frames.h"
#include "teaselspread/evacuation.h"

namespace teaselspread {

// Thread safe.
[[nodiscard]] ConfigFrame PackEvacuation(const EvacuationOrder& order);

// None for a frame that holds no evacuation. Thread safe.
[[nodiscard]] std::optional<EvacuationOrder> UnpackEvacuation(
    const ConfigFrame& frame);

}  // namespace teaselspread

#endif  // TEASELSPREAD_SRC_EDGE_ORDER_COPY_H_
