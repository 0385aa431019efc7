// Figures of a status that travel as rows of its response times.
//
// A node of an earlier release closes a link on bytes that it cannot parse, so
// the frames cannot get new fields while a fleet is upgraded. Such a node keeps
// these rows as times of routes that no request has.
#ifndef TEASELSPREAD_SRC_EDGE_STATUS_NOTES_H_
#define TEASELSPREAD_SRC_EDGE_STATUS_NOTES_H_

#include <vector>

#include "edge/frames.h"

namespace teaselspread {

// The status's response times, with a row for each note. Thread safe.
[[nodiscard]] std::vector<RouteTime> TimesWithNotes(const GateStatus& status);

// Moves the notes from the rows of `status.route_times` to their fields. Thread
// safe.
void TakeNotes(GateStatus& status);

}  // namespace teaselspread

#endif  // TEASELSPREAD_SRC_EDGE_STATUS_NOTES_H_
