// Upstream processes of which this node knows that they leave: they said so in
// a response that it has passed on, or the node beside them was told.
//
// The gate beside such a process refuses requests for it. But a node that is
// restarted forgets that, and takes the process for ready again if a late
// heartbeat says so; those who were told must not send it anything then.
//
// Pure: the caller passes the time in. Nothing here is thread safe.
#ifndef TEASELSPREAD_SRC_EDGE_DEPARTURES_H_
#define TEASELSPREAD_SRC_EDGE_DEPARTURES_H_

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

#include "teaselspread/types.h"

namespace teaselspread {

struct Departure {
  // The node beside it; empty if not known.
  std::string node;
  std::string instance;
  // Distinguishes processes of the same name: the low bits of `born_ms`; 0 if
  // not known.
  std::uint32_t process_stamp = 0;
  // When the process started; 0 if only the stamp is known.
  std::int64_t born_ms = 0;
  TimePoint heard_at{};
};

struct DepartureTable {
  // In the order of `heard_at`.
  std::deque<Departure> departures;
};

// Sets `heard_at`, which is the first time that the process was named. Ignores
// an empty `instance`.
void RecordDeparture(DepartureTable& table, Departure departure, TimePoint now);

// Departures that have not been forgotten.
[[nodiscard]] std::vector<Departure> DeparturesInForce(
    const DepartureTable& table,
    TimePoint now);

// Whether a departure of the process is in force. One of that name that started
// at another time has not left; where a start time is not known, the names
// decide.
[[nodiscard]] bool HasLeft(const DepartureTable& table,
                           std::string_view instance,
                           std::uint32_t process_stamp,
                           TimePoint now);

}  // namespace teaselspread

#endif  // TEASELSPREAD_SRC_EDGE_DEPARTURES_H_
