// Work that would need a service which is short of room is turned away before
// it begins.
//
// A request holds a slot of its own service while it waits for the calls that
// it makes. Calls of running requests go first, since half of the work is done;
// so when the called service is short, requests that are more urgent, but go
// there directly, find no room behind the calls of less urgent ones. Turning a
// part of those away at the entry, before anything has run, gives each its
// share.
//
// Pure: the caller passes the time in. Nothing here is thread safe.
#ifndef TEASELSPREAD_SHORTAGE_H_
#define TEASELSPREAD_SHORTAGE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "teaselspread/snapshot.h"
#include "teaselspread/types.h"

namespace teaselspread {

// How many requests of one priority a node lately sent to a service, and how
// many of them found no room there.
struct ShortageReport {
  std::string service;
  Priority priority = Priority::kNormal;
  std::uint32_t requests = 0;
  std::uint32_t refused = 0;

  bool operator==(const ShortageReport&) const = default;
};

// Requests of `route` make calls to `service` while they run.
struct CallReport {
  std::string route;
  std::string service;

  bool operator==(const CallReport&) const = default;
  auto operator<=>(const CallReport&) const = default;  // NOLINT: false alarm
};

struct ShortageSettings {
  // Counts fade with this time constant: long enough for some tens of requests
  // of all nodes, short enough that a shortage of seconds is met.
  Duration decay_time = std::chrono::milliseconds(1500);
  // Requests that must have been seen before a share of them means anything.
  double min_requests = 10;
  // Part turned away for each refused part. Above 1, so that the less urgent
  // requests are served a little less than the more urgent ones.
  double gain = 1.5;
  // Some always go on: when the shortage ends, nobody would notice it else.
  double max_shed_fraction = 0.9;
};

// A count that fades.
struct DecayingCount {
  double count = 0;
  TimePoint updated_at;
};

struct ShortageTable {
  struct Row {
    DecayingCount requests;
    DecayingCount refused;
  };

  ShortageSettings settings;
  std::map<std::pair<std::string, Priority>, Row> own_demand;
  // What the other nodes told last.
  std::map<std::string, std::vector<ShortageReport>> peer_reports;
  // Calls that the upstream beside this node made, and those that the others
  // told of.
  std::set<CallReport> own_calls;
  std::map<std::string, std::vector<CallReport>> peer_calls;
};

// A request of `priority` to `service` has ended; `refused` when it found no
// room.
void RecordDemand(ShortageTable& table,
                  const std::string& service,
                  Priority priority,
                  bool refused,
                  TimePoint now);

// A running request of `route` has called `service`.
void RecordCall(ShortageTable& table,
                const std::string& route,
                const std::string& service);

// Forgets the calls of routes that are gone, or the rows would be used up by
// those of earlier configurations.
void RetainRoutes(ShortageTable& table,
                  const std::set<std::string_view>& routes);

// What this node tells the others: nothing while nobody is refused.
[[nodiscard]] std::vector<ShortageReport> ShortageReportsOf(
    const ShortageTable& table,
    TimePoint now);
[[nodiscard]] std::vector<CallReport> CallReportsOf(const ShortageTable& table);

// What another node told; it replaces what that node told before.
void ReplacePeerShortage(ShortageTable& table,
                         const std::string& node,
                         std::vector<ShortageReport> reports,
                         std::vector<CallReport> calls);
void RemovePeerShortage(ShortageTable& table, const std::string& node);

// Part of the requests to `service` that find no room, 0..1, of those that are
// at least as urgent as `priority`, over all nodes.
[[nodiscard]] double RefusedFraction(const ShortageTable& table,
                                     std::string_view service,
                                     Priority priority,
                                     TimePoint now);

// Part of the requests of `route` that should be turned away at once because a
// service that they call is short of room, 0..1.
[[nodiscard]] double FractionToShed(const ShortageTable& table,
                                    std::string_view route,
                                    Priority priority,
                                    TimePoint now);

}  // namespace teaselspread

#endif  // TEASELSPREAD_SHORTAGE_H_
