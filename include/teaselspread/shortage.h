// Load shedding at the entry for requests that call an overloaded service.
//
// A request holds a slot of its own service while it waits for its calls to
// other services. Calls of running requests have priority, since half of their
// work is done. When the called service is short of slots, the calls of less
// urgent requests thus leave none for more urgent requests sent to it directly.
// Shedding a fraction of the less urgent requests at the entry, before they
// run, gives each its share.
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

// Recent requests of one priority from one node to a service, and how many of
// them were refused there for lack of capacity.
struct ShortageReport {
  std::string service;
  Priority priority = Priority::kNormal;
  std::uint32_t requests = 0;
  std::uint32_t refused = 0;

  bool operator==(const ShortageReport&) const = default;
};

// Requests of `route` call `service` while they run.
struct CallReport {
  std::string route;
  std::string service;

  bool operator==(const CallReport&) const = default;
  auto operator<=>(const CallReport&) const = default;  // NOLINT: false alarm
};

struct ShortageSettings {
  // Time constant of the counts' exponential decay: long enough for some tens
  // of requests of all nodes. After a shortage requests are shed for about as
  // long, though there is room for them.
  Duration decay_time = std::chrono::milliseconds(600);
  // Minimum number of requests for their refused fraction to be used.
  double min_requests = 10;
  // Ratio of the fraction to shed to the refused fraction. Above 1, so that the
  // less urgent requests are served a little less than the more urgent ones.
  double gain = 1.5;
  // Some requests always pass, as otherwise the end of a shortage would not be
  // noticed.
  double max_shed_fraction = 0.9;
};

// A count that decays exponentially.
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
  // Latest reports of the other nodes, by node.
  std::map<std::string, std::vector<ShortageReport>> peer_reports;
  // Calls that the upstream beside this node made, and those that the other
  // nodes reported.
  std::set<CallReport> own_calls;
  std::map<std::string, std::vector<CallReport>> peer_calls;
};

// Records that a request of `priority` to `service` has ended; `refused` if the
// service had no capacity for it.
void RecordDemand(ShortageTable& table,
                  const std::string& service,
                  Priority priority,
                  bool refused,
                  TimePoint now);

// Records that a running request of `route` has called `service`.
void RecordCall(ShortageTable& table,
                const std::string& route,
                const std::string& service);

// The services that requests of `route` call while they run, as this node and
// the others have seen. Valid until the table changes.
[[nodiscard]] std::set<std::string_view> ServicesCalledBy(
    const ShortageTable& table,
    std::string_view route);

// Drops the calls of all routes not in `routes`; otherwise those of earlier
// configurations would use up the limited number of rows.
void RetainRoutes(ShortageTable& table,
                  const std::set<std::string_view>& routes);

// Reports of this node for the other nodes. Services that refuse nothing are
// left out.
[[nodiscard]] std::vector<ShortageReport> ShortageReportsOf(
    const ShortageTable& table,
    TimePoint now);
[[nodiscard]] std::vector<CallReport> CallReportsOf(const ShortageTable& table);

// Replaces the reports of another node by its latest ones.
void ReplacePeerShortage(ShortageTable& table,
                         const std::string& node,
                         std::vector<ShortageReport> reports,
                         std::vector<CallReport> calls);
void RemovePeerShortage(ShortageTable& table, const std::string& node);

// Fraction, 0..1, of the requests to `service` that are refused for lack of
// capacity, among those at least as urgent as `priority`, over all nodes.
[[nodiscard]] double RefusedFraction(const ShortageTable& table,
                                     std::string_view service,
                                     Priority priority,
                                     TimePoint now);

// Fraction, 0..1, of the requests of `route` to shed at once because a service
// that they call is short of capacity.
[[nodiscard]] double FractionToShed(const ShortageTable& table,
                                    std::string_view route,
                                    Priority priority,
                                    TimePoint now);

}  // namespace teaselspread

#endif  // TEASELSPREAD_SHORTAGE_H_
