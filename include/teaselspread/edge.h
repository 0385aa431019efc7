// A node on a platform that has its own record store. The node is the entry for
// the callers on its VM and the gate of the upstream beside it; both run on one
// event loop. An EdgeAdapter supplies everything specific to the platform.
#ifndef TEASELSPREAD_EDGE_H_
#define TEASELSPREAD_EDGE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "teaselspread/error.h"
#include "teaselspread/evacuation.h"
#include "teaselspread/http.h"
#include "teaselspread/placement.h"
#include "teaselspread/quota.h"
#include "teaselspread/record_store.h"
#include "teaselspread/settings.h"
#include "teaselspread/snapshot.h"
#include "teaselspread/types.h"
#include "teaselspread/upstream_lease.h"
#include "teaselspread/waiting_settings.h"

namespace boost::asio {
class io_context;
}

namespace teaselspread {

// Settings of one node process, read at its start and again on a reload.
struct EdgeSettings {
  // The VM's name, unique in the deployment.
  std::string vm;
  std::string data_center;
  // Service of the upstream on this VM; sent with every request from this VM.
  std::string service;
  // Listens for callers on this VM and for the upstream's own calls.
  Address outbound;
  // Serves the readiness check: whether callers may be sent to this node.
  Address readiness;
  // Listens for heartbeats of the upstream on this VM.
  Address admin;
  // Serves counters and histograms as text.
  Address metrics;
  // Listens for links from other nodes.
  Address link;
  // The upstream on this VM.
  Address upstream;
  // The platform's store.
  Address store;
  // Bandwidth of the VM's network line in Mbit/s; 0 when unknown. In each data
  // centre the nodes with the most bandwidth read the store for the others.
  double line_mbit = 0;
  // Memory of the VM for this process in MB, and the descriptors that it may
  // open; 0 for what the kernel reports.
  double memory_mb = 0;
  double max_fds = 0;
  // Interval of the upstream's heartbeats.
  Duration heartbeat = std::chrono::milliseconds(1500);
  // Time from the stop signal until the process is killed.
  Duration stop_grace = std::chrono::seconds(6);
  // Upper bound on retries to upstreams, over all nodes: a fraction of the
  // service's requests, plus a number that is always allowed.
  double retry_ratio = 0.2;
  double retry_slack = 50;
  // Bound on the requests that an upstream may get in one second while it is
  // slow after its start: a factor on the rate that the configuration gives for
  // its service, and a number that is always allowed.
  double slow_start_excess = 1.5;
  double slow_start_slack = 4;
  // Bounds on what a client account gets beyond its rate limit.
  QuotaBounds quota;
  // How an upstream is chosen for a request. `crossing_cost` should reflect the
  // network: near 0 where traffic between data centres is free.
  PlacementSettings placement;
  WaitingSettings waiting;
  // Bounds agreed with the platform, in the platform's syntax; parsed by
  // EdgeAdapter::apply_agreed.
  std::string agreed;
  LogLevel log_level = LogLevel::kInfo;
};

// Reads the file. Every field is checked; an error is one line "file: field:
// what was expected" of kind kSettings. Blocks on the file. Thread safe.
[[nodiscard]] Result<EdgeSettings> LoadEdgeSettings(const std::string& path);

// Like LoadEdgeSettings, for text that was read from `file`. Thread safe.
[[nodiscard]] Result<EdgeSettings> ParseEdgeSettings(const std::string& file,
                                                     const std::string& text);

// An operator's order to move a service to the version `to` within `duration`.
struct MoveOrder {
  std::string service;
  std::string to;
  Duration duration{};
};

// A decoded record of the operators' stream; `monostate` for a record on which
// nodes do not act.
using Order =
    std::variant<std::monostate, SnapshotPtr, MoveOrder, EvacuationOrder>;

enum class MoveProgress : std::uint8_t { kRunning, kDone, kRolledBack };

// Stable name for logs and metrics. Thread safe.
[[nodiscard]] std::string_view NameOf(MoveProgress progress);

// State of a move, as reported to operators.
struct MoveReport {
  std::string service;
  std::string to;
  MoveProgress progress = MoveProgress::kRunning;

  bool operator==(const MoveReport&) const = default;
};

// An upstream announces that it is leaving, in a call other than a heartbeat.
struct LeaveCall {
  std::string instance;
  std::int64_t born_ms = 0;
};

using UpstreamCall = std::variant<UpstreamHeartbeat, LeaveCall>;

// Names of the HTTP headers that the node reads and sets.
struct EdgeHeaderNames {
  // Milliseconds for which the caller will wait.
  std::string deadline;
  // Service that runs on the VM where the request originated.
  std::string caller_service;
  // Client account whose API key the request bears.
  std::string account;
  // The only process that may run the request.
  std::string expected_instance;
  // On a response: the upstream did not run the request.
  std::string not_run;
  // On a response: the upstream's signature over the body.
  std::string signature;
  // On the response to a health check: the process that sent it.
  std::string instance;
  // On responses: running requests, waiting requests and slots, separated by
  // commas.
  std::string load;
  // On the response to a health check: milliseconds for which the process stays
  // slow after its start.
  std::string warm_up_left;
  // On responses of an overloaded upstream: the requests a second that it takes
  // from all nodes together, as a decimal number.
  std::string named_limit;
  // On responses: "1" from an upstream that leaves.
  std::string leaving;
};

// Value of EdgeHeaderNames::leaving in responses of an upstream that leaves.
inline constexpr std::string_view kLeavingValue = "1";

// Everything that depends on the platform. The functions are called on the
// loop's thread only.
struct EdgeAdapter {
  RecordStore store;
  EdgeHeaderNames headers;
  // Errors: kConfigInvalid for a record that holds no usable order.
  std::function<Result<Order>(const StoredRecord&)> decode_order;
  // Errors: kNoRoute for an unknown call, kBadRequest for a body that does not
  // identify an upstream.
  std::function<Result<UpstreamCall>(const HttpRequest&)> decode_upstream_call;
  std::function<HttpResponse()> acknowledge;
  std::function<StoredRecord(const MoveReport&)> encode_report;
  // Returns nullopt for a record that does not describe a move.
  std::function<std::optional<MoveReport>(const StoredRecord&)> decode_report;
  // Parses `settings.agreed` and overwrites the fields that it sets.
  std::function<void(EdgeSettings& settings)> apply_agreed;
  // Path of the readiness check.
  std::string readiness_path;
};

// Creates the adapter for a loop that does not run yet.
using AdapterFactory = std::function<EdgeAdapter(boost::asio::io_context& loop,
                                                 const EdgeSettings& settings)>;

// Runs a node until it receives SIGTERM or SIGINT. `settings_file` is read
// again when it changes and on SIGHUP. Errors: kSettings. Call once per
// process, from its main thread.
[[nodiscard]] Result<void> RunEdge(const std::string& settings_file,
                                   const AdapterFactory& make_adapter);

}  // namespace teaselspread

#endif  // TEASELSPREAD_EDGE_H_
