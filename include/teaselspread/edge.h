// A node on a platform with a store of its own: entry for the callers of its
// VM and gate of the upstream beside it, on one event loop.
#ifndef TEASELSPREAD_EDGE_H_
#define TEASELSPREAD_EDGE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "teaselspread/error.h"
#include "teaselspread/http.h"
#include "teaselspread/placement.h"
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

// What one process on one VM is told at its start, and again on a reload.
struct EdgeSettings {
  // The VM's name, unique in the deployment.
  std::string vm;
  std::string data_center;
  // Service of the upstream on this VM; requests that begin here carry it.
  std::string service;
  // Callers of this VM and the upstream's own calls.
  Address outbound;
  // Answers whether callers may be sent here.
  Address readiness;
  // Heartbeats of the upstream on this VM.
  Address admin;
  // Counters and histograms as text.
  Address metrics;
  // Links of other nodes.
  Address link;
  // The upstream on this VM.
  Address upstream;
  // The platform's store.
  Address store;
  // What the VM's line carries, in Mbit/s; 0 when that is not known. Nodes with
  // wide lines read the store for the others of their data centre.
  double line_mbit = 0;
  // Interval of the upstream's heartbeats.
  Duration heartbeat = std::chrono::milliseconds(1500);
  // Time from the request to stop until the process is ended by force.
  Duration stop_grace = std::chrono::seconds(6);
  // Most repeats to upstreams, over all nodes: a share of the requests of the
  // service, and a number that is always allowed.
  double retry_share = 0.2;
  double retry_slack = 50;
  // Which upstream a request goes to. `crossing_cost` is for those who know
  // their lines: near 0 where traffic between data centres is free.
  PlacementSettings placement;
  WaitingSettings waiting;
  // Bounds agreed with the platform, in its own words; the adapter reads them.
  std::string agreed;
  LogLevel log_level = LogLevel::kInfo;
};

// Reads the file. Every field is checked; an error is one line "file: field:
// what was expected" of kind kSettings. Blocks on the file. Thread safe.
[[nodiscard]] Result<EdgeSettings> LoadEdgeSettings(const std::string& path);

// The same from text that was read from `file`. Thread safe.
[[nodiscard]] Result<EdgeSettings> ParseEdgeSettings(const std::string& file,
                                                     const std::string& text);

// An operator's order to move a service to a version by a time.
struct MoveOrder {
  std::string service;
  std::string to;
  Duration duration{};
};

// What one record of the operators' stream says. `monostate`: nothing that a
// node acts on.
using Order = std::variant<std::monostate, SnapshotPtr, MoveOrder>;

enum class MoveProgress : std::uint8_t { kRunning, kDone, kTakenBack };

// Stable name for logs and metrics. Thread safe.
[[nodiscard]] std::string_view NameOf(MoveProgress progress);

// What operators read of a move.
struct MoveReport {
  std::string service;
  std::string to;
  MoveProgress progress = MoveProgress::kRunning;

  bool operator==(const MoveReport&) const = default;
};

// An upstream says that it leaves, without a heartbeat.
struct LeaveCall {
  std::string instance;
  std::int64_t born_ms = 0;
};

using UpstreamCall = std::variant<UpstreamHeartbeat, LeaveCall>;

// Names of the headers that carry what the node needs to know or to tell.
struct EdgeHeaderNames {
  // Milliseconds that the caller will wait.
  std::string deadline;
  // Service that runs on the VM where the request began.
  std::string caller_service;
  // Process that alone may run the request.
  std::string expected_instance;
  // On an answer: the upstream did not run the request.
  std::string not_run;
  // On an answer: signature of the upstream over its body.
  std::string signature;
  // On the answer to a health check: the process that gave it.
  std::string instance;
  // On answers: requests that run, that wait, and slots, with commas between.
  std::string load;
};

// All that depends on the platform. Functions belong to the loop's thread.
struct EdgeAdapter {
  RecordStore store;
  EdgeHeaderNames headers;
  // Errors: kConfigInvalid for a record that names nothing to use.
  std::function<Result<Order>(const StoredRecord&)> decode_order;
  // Errors: kNoRoute for another call, kBadRequest for a body that names no
  // upstream.
  std::function<Result<UpstreamCall>(const HttpRequest&)> decode_upstream_call;
  std::function<HttpResponse()> acknowledge;
  std::function<StoredRecord(const MoveReport&)> encode_report;
  // None for a record that names no move.
  std::function<std::optional<MoveReport>(const StoredRecord&)> decode_report;
  // Puts what `settings.agreed` says into the other fields.
  std::function<void(EdgeSettings& settings)> apply_agreed;
  // Path that asks whether callers may be sent here.
  std::string readiness_path;
};

// Makes the adapter for a loop that is about to run.
using AdapterMaker = std::function<EdgeAdapter(boost::asio::io_context& loop,
                                               const EdgeSettings& settings)>;

// Runs a node until it is told to stop by SIGTERM. `settings_file` is read
// again when it changes or on SIGHUP. Errors: kSettings. Call it once in a
// process, from its main thread.
[[nodiscard]] Result<void> RunEdge(const std::string& settings_file,
                                   const AdapterMaker& make_adapter);

}  // namespace teaselspread

#endif  // TEASELSPREAD_EDGE_H_
