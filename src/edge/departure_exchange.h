// Upstream processes that leave, as nodes remember them for each other.
//
// A node that acknowledges a leave tells the others, which pass over the
// process from then on, and remind the node if it is restarted: a heartbeat
// that was sent before the leave may arrive after it.
//
// A notice travels as a ConfigFrame of version 0, like other orders
// (order_copy.h), which a node of the release before ignores.
#ifndef TEASELSPREAD_SRC_EDGE_DEPARTURE_EXCHANGE_H_
#define TEASELSPREAD_SRC_EDGE_DEPARTURE_EXCHANGE_H_

#include <optional>
#include <string>

#include "edge/departures.h"
#include "edge/edge_node.h"
#include "edge/frames.h"
#include "teaselspread/edge.h"

namespace teaselspread {

// Process `call` of the upstream beside `node` leaves.
struct DepartureNotice {
  std::string node;
  LeaveCall call;
};

// Thread safe.
[[nodiscard]] ConfigFrame PackDeparture(const DepartureNotice& notice);

// None for a frame that holds no notice, or a malformed one. Thread safe.
[[nodiscard]] std::optional<DepartureNotice> UnpackDeparture(
    const ConfigFrame& frame);

// The upstream beside this node leaves: records it and tells the others.
void AnnounceDeparture(EdgeNode& node, const LeaveCall& call);

// Another node told of a departure, beside itself or beside this node.
void OnDepartureNotice(EdgeNode& node, const DepartureNotice& notice);

// Sends `to`, which has opened a link, the departures beside it and beside this
// node.
void SendDepartures(EdgeNode& node, const std::string& to);

}  // namespace teaselspread

#endif  // TEASELSPREAD_SRC_EDGE_DEPARTURE_EXCHANGE_H_
