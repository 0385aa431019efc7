// One node on a platform: its components and the event loop that drives them.
#ifndef TEASELSPREAD_SRC_EDGE_EDGE_NODE_H_
#define TEASELSPREAD_SRC_EDGE_EDGE_NODE_H_

#include <cstdint>
#include <map>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "edge/config_exchange.h"
#include "edge/entry.h"
#include "edge/gate.h"
#include "edge/http_listener.h"
#include "edge/links.h"
#include "edge/log_writer.h"
#include "edge/memory_account.h"
#include "edge/move_reporter.h"
#include "edge/quota_service.h"
#include "edge/store_calls.h"
#include "edge/stream_watch.h"
#include "edge/version_choice.h"
#include "teaselspread/counters.h"
#include "teaselspread/edge.h"
#include "teaselspread/evacuation.h"

namespace teaselspread {

// A run for another node: the socket of the request and its call id there.
struct RemoteRun {
  FrameSocket* from = nullptr;
  std::uint64_t call = 0;
};

// Belongs to the thread in RunEdge.
struct EdgeNode {
  EdgeNode(const EdgeSettings& edge_settings,
           const AdapterFactory& make_adapter);

  EdgeSettings settings;
  std::string settings_file;
  // Outlives the handlers of the loop, whose requests are counted in it.
  MemoryAccount memory;
  boost::asio::io_context loop;
  CounterTable<StoreCall> store_calls;
  EdgeAdapter adapter;
  LogWriter log;
  Gate gate;
  Links links;
  QuotaService quota;
  VersionChoice versions;
  Entry entry;
  StreamWatch orders;
  MoveReporter reporter;
  HttpListener outbound;
  HttpListener readiness;
  HttpListener admin;
  HttpListener metrics;
  boost::asio::signal_set signals;
  boost::asio::steady_timer tick_timer;
  boost::asio::steady_timer roster_timer;
  boost::asio::steady_timer quota_timer;
  // Runs that other nodes requested, by their id at the gate.
  std::map<std::uint64_t, RemoteRun> remote_runs;
  std::uint64_t last_remote_run = 0;
  ConfigExchange config_exchange;
  EvacuationTable evacuations;
  // When the first configuration was applied; the epoch before.
  TimePoint first_config_at;
  // Sent to the other nodes with the status; refreshed at each tick.
  std::vector<TrialStatus> trial_statuses;
  std::vector<TrialStatus> trial_summaries;
  // Since when this node has been one of those that evaluate moves; the epoch
  // while it is not.
  TimePoint evaluates_since;
  // At the last tick; see CapacityRefusals.
  std::uint64_t capacity_refusals = 0;
  bool intake_closed = false;
  bool stopping = false;
  TimePoint stop_began;
  TimePoint started;
  TimePoint traffic_logged_at;
  std::int64_t settings_modified_ns = 0;
  CounterTable<HeartbeatResult> heartbeats;
  Rng rng;
};

// All counters and histograms as text for the metrics address.
[[nodiscard]] std::string MetricsText(EdgeNode& node);

// Applies an order of the operators, from the store or from a peer. A
// configuration that is not newer than the one in force is ignored.
void ApplyOrder(EdgeNode& node, const StoredRecord& record);

// Where an order was read.
enum class OrderSource : std::uint8_t { kStore, kPeer };

// Applies an order to evacuate a data centre or to take that back. If it comes
// from the store, it is passed on to the other nodes.
void ApplyEvacuationOrder(EdgeNode& node,
                          const EvacuationOrder& order,
                          OrderSource source);

// Passes on what is known of evacuations to a node that has opened a link.
void SendEvacuations(EdgeNode& node, const std::string& to);

// Keeps a link to a node that the roster or its Hello names.
void AddNode(EdgeNode& node, const Hello& hello, NodeSource source);

// Sends the current status to every node, if it changed.
void SendStatus(EdgeNode& node);

// Registers this node in the store and finds the other nodes there.
void StartRoster(EdgeNode& node);
// Asks a node for the list of nodes, if this one has not learned it. To be
// called with each tick.
void RequestNodeListIfMissing(EdgeNode& node);
// Does nothing if this node has not learned the list itself.
void SendNodeList(EdgeNode& node, const std::string& to);
void OnNodeList(EdgeNode& node,
                const std::string& from,
                const std::vector<Hello>& nodes);

}  // namespace teaselspread

#endif  // TEASELSPREAD_SRC_EDGE_EDGE_NODE_H_
