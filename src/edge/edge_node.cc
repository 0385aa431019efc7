#include "edge/edge_node.h"

#include <sys/stat.h>

#include <algorithm>
#include <csignal>
#include <exception>
#include <memory>
#include <random>
#include <utility>

#include <xxhash.h>

#include "base/clock.h"
#include "base/machine_limits.h"
#include "edge/departure_exchange.h"
#include "edge/frame_socket.h"
#include "edge/node_list.h"
#include "edge/node_stop.h"
#include "edge/order_copy.h"
#include "edge/traffic_log.h"
#include "http/caller_limits.h"
#include "teaselspread/logging.h"
#include "teaselspread/move_evaluators.h"

namespace teaselspread {
namespace {

// Interval at which leases, settings and a pending stop are checked.
constexpr std::chrono::milliseconds kTickInterval{250};
// An upstream that sent no heartbeat is probed for this long after the node's
// start; one that starts later sends heartbeats by itself.
constexpr Duration kProbeWindow = std::chrono::milliseconds(1000);
// Time until a new evaluator of moves has the counters of all nodes.
constexpr Duration kEvaluatorSettling = std::chrono::seconds(1);
// A node that holds a configuration serves after this time although it has not
// read all other orders: the store may fail between two pages and stay away.
// Other nodes have told it of evacuations by then, on links that they opened.
constexpr Duration kOrdersGrace = std::chrono::seconds(2);
// Interval at which a node of a data centre that is no reader of the operators'
// stream checks whether the readers have missed something.
constexpr Duration kOrderCheckInterval = std::chrono::seconds(30);
// Fraction of the slack on requests to a slow upstream that its gate uses. The
// rest is for requests that take unequally long from the gate to the upstream.
constexpr double kUsedSlack = 0.5;
// Bodies of requests to the readiness and the metrics address, which need none,
// and of the upstream's calls, which have some hundred bytes.
constexpr std::size_t kMaxCheckBody = std::size_t{4} << 10U;
constexpr std::size_t kMaxAdminBody = std::size_t{64} << 10U;
// Marks ids of remote runs at the gate, apart from those of the entry.
constexpr std::uint64_t kRemoteRunBit = std::uint64_t{1} << 63U;

EntrySettings EntrySettingsOf(const EdgeSettings& settings) {
  return {settings.vm,          settings.data_center, settings.service,
          settings.retry_ratio, settings.retry_slack, settings.placement};
}

LeaseSettings LeaseSettingsOf(const EdgeSettings& settings) {
  LeaseSettings lease;
  lease.heartbeat_interval = settings.heartbeat;
  return lease;
}

HttpResponse StatusOnly(int status) {
  HttpResponse response;
  response.status = status;
  return response;
}

// Also applies the agreed bounds to `settings`, before other members read them.
EdgeAdapter MakeAdapter(const AdapterFactory& make_adapter,
                        boost::asio::io_context& loop,
                        EdgeSettings& settings,
                        CounterTable<StoreCall>& counters) {
  EdgeAdapter adapter = make_adapter(loop, settings);
  adapter.apply_agreed(settings);
  adapter.store = CountCalls(std::move(adapter.store), counters);
  return adapter;
}

void AddReady(const GateStatus& status, std::vector<ReadyUpstream>& ready) {
  if (status.state != LeaseState::kReady)
    return;
  ready.push_back({status.service, status.version, status.instance,
                   status.slots, status.running + status.waiting});
}

void RefreshVersions(EdgeNode& node) {
  std::vector<ReadyUpstream> ready;
  AddReady(node.gate.Status(), ready);
  for (const auto& [name, peer] : node.links.Peers()) {
    if (peer.connected)
      AddReady(peer.status, ready);
  }
  node.versions.SetReady(ready);
}

std::vector<std::string> ConnectedNodes(const EdgeNode& node) {
  std::vector<std::string> nodes;
  for (const auto& [name, peer] : node.links.Peers()) {
    if (peer.connected)
      nodes.push_back(name);
  }
  return nodes;
}

// `parts`: bits of StatusPart that were received. The others were applied when
// they came; the ages that they hold are out of date by now.
void ApplyPeerNotes(EdgeNode& node, const Peer& peer, std::uint8_t parts) {
  const Status received{parts, {}};
  if (Has(received, StatusPart::kMoves))
    node.versions.OnPeerStatuses(peer.node, peer.status.trial_statuses);
  if (Has(received, StatusPart::kSuspects))
    node.gate.crash_evidence.Merge(peer.node, peer.status.suspects);
  if (Has(received, StatusPart::kDemand)) {
    ReplacePeerShortage(node.entry.shortage, peer.node, peer.status.shortages,
                        peer.status.calls);
  }
}

// Whether this node judges moves. Not at once when it becomes an evaluator: the
// few counters that it has by then would make a single bad upstream look like
// all of its version.
bool UpdateEvaluators(EdgeNode& node, const std::vector<std::string>& others) {
  std::vector<std::string> nodes = others;
  nodes.push_back(node.settings.vm);
  auto evaluators = SelectEvaluators(nodes);
  const bool evaluates = evaluators.contains(node.settings.vm);
  const TimePoint now = SteadyNow();
  if (!evaluates)
    node.evaluates_since = TimePoint{};
  else if (node.evaluates_since == TimePoint{})
    node.evaluates_since = now;
  node.links.SetMoveEvaluators(std::move(evaluators), evaluates);
  return evaluates && now - node.evaluates_since >= kEvaluatorSettling;
}

void StepMoves(EdgeNode& node) {
  const std::vector<std::string> nodes = ConnectedNodes(node);
  const bool evaluates = UpdateEvaluators(node, nodes);
  node.versions.Step(nodes, evaluates);
  node.reporter.Step(EvaluatorRank(node.settings.vm, nodes));
  node.trial_statuses = node.versions.Statuses();
  node.trial_summaries = node.versions.Summaries(evaluates);
  SendStatus(node);
}

void OnRemoteRun(EdgeNode& node, FrameSocket* from, RunFrame frame) {
  const std::uint64_t id = kRemoteRunBit | ++node.last_remote_run;
  const std::uint64_t call = frame.call_id;
  node.remote_runs[id] = {from, call};
  node.gate.Run(id, std::move(frame), [&node, id, from](ResultFrame result) {
    const auto found = node.remote_runs.find(id);
    if (found == node.remote_runs.end())
      return;
    result.call_id = found->second.call;
    node.remote_runs.erase(found);
    const GateStatus now = node.gate.Status();
    result.load = {now.running, now.waiting, now.queued_ms};
    node.links.SendResult(from, result);
  });
  SendStatus(node);
}

void OnRemoteCancel(EdgeNode& node, FrameSocket* from, std::uint64_t call) {
  for (auto run = node.remote_runs.begin(); run != node.remote_runs.end();
       ++run) {
    if (run->second.from != from || run->second.call != call)
      continue;
    const std::uint64_t id = run->first;
    node.remote_runs.erase(run);
    node.gate.Cancel(id);
    return;
  }
}

void OnRemoteCallerGone(EdgeNode& node, FrameSocket* from) {
  std::vector<std::uint64_t> run_ids;
  for (const auto& [id, run] : node.remote_runs) {
    if (run.from == from)
      run_ids.push_back(id);
  }
  for (const std::uint64_t id : run_ids) {
    node.remote_runs.erase(id);
    node.gate.Cancel(id);
  }
}

void ChooseReaderRole(EdgeNode& node) {
  std::vector<ReaderPeer> near;
  for (const auto& [name, peer] : node.links.Peers()) {
    if (peer.connected && peer.data_center == node.settings.data_center)
      near.push_back({name, peer.status.store_unavailable, peer.line_mbit});
  }
  const ReaderPeer self{node.settings.vm, false, node.links.self.line_mbit};
  // However many nodes a data centre has, one of them checks in this time.
  node.orders.SetCheckInterval(kOrderCheckInterval * (near.size() + 1));
  node.orders.SetRole(RoleOf(self, near));
  node.links.SetReadsOrders(node.orders.Role() != ReaderRole::kNonReader);
}

QuotaIo QuotaIoOf(EdgeNode& node) {
  QuotaIo io;
  io.send_request = [&node](const std::string& to,
                            const TokenRequest& request) {
    return node.links.RequestTokens(to, request);
  };
  io.announce_leave = [&node] { node.links.SendToCallers(LeavingFrame{}); };
  io.tick_after = [&node](Duration delay) {
    node.quota_timer.expires_after(delay);
    node.quota_timer.async_wait([&node](boost::system::error_code error) {
      if (!error)
        node.quota.Tick();
    });
  };
  return io;
}

QuotaService::Limits LimitsOf(const Snapshot& snapshot) {
  QuotaService::Limits limits;
  for (const auto& [name, account] : snapshot.accounts) {
    if (account.limit.per_second > 0)
      limits[name] = account.limit;
  }
  return limits;
}

void UpdateQuotaPeer(EdgeNode& node, const std::string& name) {
  const Peer* peer = node.links.Find(name);
  if (peer != nullptr && peer->connected)
    node.quota.OnLinkUp(name, peer->line_mbit);
}

LinkHandlers LinkHandlersOf(EdgeNode& node) {
  LinkHandlers on;
  on.on_run = [&node](FrameSocket* from, RunFrame frame) {
    OnRemoteRun(node, from, std::move(frame));
  };
  on.on_cancel = [&node](FrameSocket* from, std::uint64_t call) {
    OnRemoteCancel(node, from, call);
  };
  on.on_caller_disconnected = [&node](FrameSocket* from) {
    OnRemoteCallerGone(node, from);
  };
  on.on_result = [&node](const std::string& name, ResultFrame result) {
    node.entry.OnResult(name, std::move(result));
  };
  on.on_calls_lost = [&node](const std::string& name, const CallIds& calls) {
    node.entry.OnCallsLost(name, calls);
  };
  on.on_calls_silent = [&node](const std::string& name, const CallIds& calls) {
    node.entry.OnCallsSilent(name, calls);
  };
  on.on_link_lost = [&node](const std::string& name) {
    RefreshVersions(node);
    node.versions.ForgetNode(name);
    RemovePeerShortage(node.entry.shortage, name);
    node.quota.OnLinkLost(name);
    ChooseReaderRole(node);
    OnPeerLost(node, name);
  };
  on.on_status = [&node](const std::string& name, bool upstream_changed,
                         std::uint8_t parts) {
    if (upstream_changed) {
      RefreshVersions(node);
      UpdateQuotaPeer(node, name);
    }
    if (const Peer* peer = node.links.Find(name)) {
      ApplyPeerNotes(node, *peer, parts);
      OnPeerVersion(node, name, peer->status.held_version);
    }
  };
  on.on_node_replaced = [&node](const std::string& name, const Hello& by) {
    node.quota.OnNodeReplaced(name);
    AddNode(node, by, NodeSource::kHello);
  };
  on.on_hello = [&node](const Hello& hello) {
    AddNode(node, hello, NodeSource::kHello);
    UpdateQuotaPeer(node, hello.node);
    SendEvacuations(node, hello.node);
    SendDepartures(node, hello.node);
  };
  on.on_config_request = [&node](const std::string& peer,
                                 std::uint64_t digest) {
    return RespondToConfigRequest(node, peer, digest);
  };
  on.own_speed = [&node] { return node.gate.Speed(); };
  on.on_config_busy = [&node](const std::string& peer) {
    OnConfigBusy(node, peer);
  };
  on.on_config = [&node](const std::string& peer, const ConfigFrame& copy) {
    if (const auto order = UnpackEvacuation(copy))
      ApplyEvacuationOrder(node, *order, OrderSource::kPeer);
    else if (const auto departure = UnpackDeparture(copy))
      OnDepartureNotice(node, *departure);
    else if (const auto nodes = UnpackNodeList(copy))
      OnNodeList(node, peer, *nodes);
    else
      OnConfigCopy(node, peer, copy);
  };
  on.on_token_request = [&node](const std::string& peer,
                                const TokenRequest& request) {
    if (IsNodeListRequest(request))
      SendNodeList(node, peer);
    return node.quota.OnTokenRequest(request);
  };
  on.on_token_grant = [&node](const std::string& peer,
                              const TokenGrantFrame& grant) {
    node.quota.OnTokenGrant(peer, grant);
  };
  on.on_node_leaving = [&node](const std::string& peer) {
    node.quota.OnNodeLeaving(peer);
  };
  return on;
}

void OnReadiness(EdgeNode& node, const ExchangePtr& exchange) {
  const bool path_matches =
      PathOf(exchange->request) == node.adapter.readiness_path;
  const bool ready = node.entry.CurrentSnapshot() != nullptr && !node.stopping;
  constexpr int kOk = 200;
  constexpr int kNotFound = 404;
  constexpr int kUnavailable = 503;
  const int status = ready ? kOk : kUnavailable;
  SendResponse(*exchange, StatusOnly(path_matches ? status : kNotFound));
}

void ProbeUpstream(EdgeNode& node) {
  const SnapshotPtr& held = node.entry.CurrentSnapshot();
  if (!held || node.stopping)
    return;
  const auto service = held->services.find(node.settings.service);
  if (service == held->services.end())
    return;
  const std::string& health_path = service->second.health_path;
  if (health_path.empty())
    node.gate.WaiveConfirmation();
  else
    node.gate.Probe(health_path, node.settings.service);
}

void OnAdmin(EdgeNode& node, const ExchangePtr& exchange) {
  const auto call = node.adapter.decode_upstream_call(exchange->request);
  if (!call) {
    Log(LogLevel::kWarning, "admin", "call-refused",
        {{"path", PathOf(exchange->request)},
         {"reason", NameOf(call.error().kind)},
         {"message", call.error().message}});
    SendResponse(*exchange, ErrorResponse(call.error()));
    return;
  }
  if (const auto* leave = std::get_if<LeaveCall>(&*call)) {
    const bool known = node.gate.OnUpstreamLeaving(*leave);
    Log(LogLevel::kInfo, "admin", "upstream-leaves",
        {{"instance", leave->instance}, {"known", known ? 1 : 0}});
    SendResponse(*exchange, node.adapter.acknowledge());
    return;
  }
  const auto& heartbeat = std::get<UpstreamHeartbeat>(*call);
  const HeartbeatResult result = node.gate.OnHeartbeat(heartbeat);
  node.heartbeats.Add(result);
  if (result == HeartbeatResult::kUnconfirmed)
    ProbeUpstream(node);
  if (result != HeartbeatResult::kAccepted) {
    Log(LogLevel::kWarning, "admin", "heartbeat-not-taken",
        {{"instance", heartbeat.instance},
         {"verdict", NameOf(result)},
         {"sequence", heartbeat.sequence},
         {"born_ms", heartbeat.born_ms}});
  }
  if (result == HeartbeatResult::kStale) {
    SendResponse(*exchange,
                 ErrorResponse(Error{ErrorKind::kStaleVersion,
                                     "a later heartbeat was taken"}));
    return;
  }
  SendResponse(*exchange, node.adapter.acknowledge());
}

void OnMetrics(EdgeNode& node, const ExchangePtr& exchange) {
  HttpResponse response;
  SetHeader(response.headers, "Content-Type", "text/plain; version=0.0.4");
  response.body = MetricsText(node);
  SendResponse(*exchange, response);
}

std::int64_t ModifiedAtNanos(const std::string& file) {
  struct stat entry {};
  if (::stat(file.c_str(), &entry) != 0)
    return 0;
  constexpr std::int64_t kNanosPerSecond = 1'000'000'000;
  return entry.st_mtim.tv_sec * kNanosPerSecond + entry.st_mtim.tv_nsec;
}

// The upstream's service, as the configuration names it, says how many requests
// it bears while it is slow after its start.
void UpdateStartPace(EdgeNode& node) {
  const SnapshotPtr& held = node.entry.CurrentSnapshot();
  if (!held)
    return;
  const auto service = held->services.find(node.settings.service);
  if (service == held->services.end())
    return;
  node.gate.SetStartPace({service->second.slow_start_per_second *
                              std::max(node.settings.slow_start_excess, 1.0),
                          node.settings.slow_start_slack * kUsedSlack});
}

void ReloadSettings(EdgeNode& node, const char* why) {
  node.settings_modified_ns = ModifiedAtNanos(node.settings_file);
  auto settings = LoadEdgeSettings(node.settings_file);
  if (!settings) {
    Log(LogLevel::kError, "node", "reload-refused",
        {{"why", why}, {"message", settings.error().message}});
    return;
  }
  node.adapter.apply_agreed(*settings);
  // Listening addresses do not change: callers hold connections to them.
  node.settings.service = settings->service;
  node.settings.upstream = settings->upstream;
  node.entry.SetService(settings->service);
  node.gate.SetUpstreamAddress(settings->upstream);
  UpdateStartPace(node);
  Log(LogLevel::kInfo, "node", "reloaded",
      {{"why", why}, {"service", settings->service}});
}

void WaitForSignals(EdgeNode& node) {
  node.signals.async_wait([&node](boost::system::error_code error, int signal) {
    if (error)
      return;
    if (signal == SIGHUP)
      ReloadSettings(node, "signal");
    else
      BeginStop(node);
    WaitForSignals(node);
  });
}

void AdjustPipelining(EdgeNode& node) {
  const std::uint64_t refusals = CapacityRefusals(node.entry.counters);
  AdjustDepth(node.outbound.depth, refusals - node.capacity_refusals);
  node.capacity_refusals = refusals;
}

void ServeWithoutOrdersIfDue(EdgeNode& node) {
  if (node.gate.OrdersKnown() || node.first_config_at == TimePoint{} ||
      SteadyNow() - node.first_config_at < kOrdersGrace)
    return;
  Log(LogLevel::kWarning, "orders", "serving-without-all-orders",
      {{"evacuations_known", node.evacuations.by_data_center.size()}});
  node.gate.SetOrdersKnown();
}

void Tick(EdgeNode& node) {
  node.tick_timer.expires_after(kTickInterval);
  node.tick_timer.async_wait([&node](boost::system::error_code error) {
    if (error)
      return;
    node.gate.Tick();
    node.quota.Tick();
    if (node.memory.HasDropped())
      ReturnFreeMemory();
    RequestNodeListIfMissing(node);
    if (SteadyNow() - node.started < kProbeWindow ||
        node.gate.Limit().per_second || node.gate.AwaitsConfirmation())
      ProbeUpstream(node);
    RefreshVersions(node);
    ChooseReaderRole(node);
    StepMoves(node);
    FetchNewerConfig(node);
    ServeWithoutOrdersIfDue(node);
    AdjustPipelining(node);
    LogTrafficIfDue(node, SteadyNow());
    if (ModifiedAtNanos(node.settings_file) != node.settings_modified_ns)
      ReloadSettings(node, "file");
    if (node.stopping && AdvanceStop(node, SteadyNow())) {
      node.loop.stop();
      return;
    }
    Tick(node);
  });
}

void OnOrdersRead(EdgeNode& node,
                  const std::set<std::string, std::less<>>& keys,
                  std::uint64_t revision) {
  std::set<std::string, std::less<>> evacuated;
  for (const std::string& key : keys) {
    const auto order = node.adapter.decode_order({key, "", revision});
    if (!order)
      continue;
    if (const auto* evacuation = std::get_if<EvacuationOrder>(&*order))
      evacuated.insert(evacuation->data_center);
  }
  for (const EvacuationOrder& order :
       MissingEvacuations(node.evacuations, evacuated, revision))
    ApplyEvacuationOrder(node, order, OrderSource::kStore);
  node.gate.SetOrdersKnown();
}

Result<void> Listen(HttpListener& listener, const Address& address) {
  const auto bound = listener.Listen(address);
  if (!bound)
    return tl::make_unexpected(bound.error());
  return {};
}

Result<void> ListenAll(EdgeNode& node) {
  const auto link = node.links.Listen(node.settings.link);
  if (!link)
    return tl::make_unexpected(link.error());
  for (auto [listener, address] :
       {std::pair{&node.outbound, &node.settings.outbound},
        std::pair{&node.readiness, &node.settings.readiness},
        std::pair{&node.admin, &node.settings.admin},
        std::pair{&node.metrics, &node.settings.metrics}}) {
    if (auto bound = Listen(*listener, *address); !bound)
      return bound;
  }
  return {};
}

// Handlers of a connection catch what concerns it alone. After any other
// exception a timer may not be set again, so the process ends, and the log says
// why.
void RunLoop(EdgeNode& node) {
  try {
    node.loop.run();
  } catch (const std::exception& thrown) {
    Log(LogLevel::kError, "node", "handler-threw",
        {{"message", thrown.what()}});
    node.log.Flush();
    throw;
  }
}

Result<void> Run(EdgeNode& node) {
  if (auto listening = ListenAll(node); !listening)
    return listening;
  node.gate.SetUpstreamAddress(node.settings.upstream);
  node.gate.RequireConfirmation();
  const std::string& vm = node.settings.vm;
  const auto incarnation =
      static_cast<std::uint64_t>(SystemNow().time_since_epoch().count());
  node.versions.SetIncarnation(incarnation);
  node.gate.crash_evidence.SetOrigin(
      XXH3_64bits_withSeed(vm.data(), vm.size(), incarnation));
  // The change may have revealed the upstream's version. Until VersionChoice
  // knows it too, the upstream fits no request.
  node.gate.on_status_change = [&node] {
    RefreshVersions(node);
    SendStatus(node);
  };
  node.gate.on_departure = [&node](const LeaveCall& call) {
    AnnounceDeparture(node, call);
  };
  node.started = SteadyNow();
  node.traffic_logged_at = node.started;
  node.settings_modified_ns = ModifiedAtNanos(node.settings_file);
  WaitForSignals(node);
  Log(LogLevel::kInfo, "node", "started",
      {{"outbound", ToString(node.settings.outbound)},
       {"link", ToString(node.settings.link)},
       {"service", node.settings.service}});
  node.orders.Start();
  StartRoster(node);
  Tick(node);
  RunLoop(node);
  Log(LogLevel::kInfo, "node", "stopped",
      {{"open", node.outbound.CountPending()},
       {"partial", node.outbound.CountPartial()},
       {"callers", node.links.CountCallers()},
       {"runs", node.remote_runs.size()},
       {"log_lines_dropped", node.log.Dropped()}});
  node.log.Flush();
  return {};
}

}  // namespace

EdgeNode::EdgeNode(const EdgeSettings& edge_settings,
                   const AdapterFactory& make_adapter)
    : settings(edge_settings),
      memory(BoundsFor(MachineMemory(this->settings.memory_mb))),
      loop(1),
      adapter(MakeAdapter(make_adapter,
                          this->loop,
                          this->settings,
                          this->store_calls)),
      log(this->loop),
      gate(this->loop, this->adapter.headers, LeaseSettingsOf(this->settings)),
      links(this->loop, LinkHandlersOf(*this)),
      quota({this->settings.vm,
             static_cast<std::uint32_t>(this->settings.line_mbit)},
            this->settings.quota,
            QuotaIoOf(*this)),
      entry(this->loop,
            EntrySettingsOf(this->settings),
            this->adapter.headers,
            this->gate,
            this->links,
            this->quota,
            this->versions),
      orders(this->loop,
             this->adapter.store,
             RecordStream::kOrders,
             [this](const StoredRecord& record) { ApplyOrder(*this, record); }),
      reporter(this->adapter, this->versions),
      outbound(this->loop,
               [this](const ExchangePtr& exchange) {
                 this->entry.HandleRequest(exchange);
               }),
      readiness(this->loop,
                [this](const ExchangePtr& exchange) {
                  OnReadiness(*this, exchange);
                }),
      admin(this->loop,
            [this](const ExchangePtr& exchange) { OnAdmin(*this, exchange); }),
      metrics(
          this->loop,
          [this](const ExchangePtr& exchange) { OnMetrics(*this, exchange); }),
      signals(this->loop, SIGTERM, SIGINT, SIGHUP),
      tick_timer(this->loop),
      roster_timer(this->loop),
      quota_timer(this->loop),
      rng(std::random_device{}()) {
  this->orders.OnNewestRead(
      [this](const std::set<std::string, std::less<>>& keys,
             std::uint64_t revision) { OnOrdersRead(*this, keys, revision); });
  this->gate.SetWaitingSettings(edge_settings.waiting);
  this->memory.make_room = [this] { return this->outbound.EndLargestSlow(); };
  this->outbound.memory = &this->memory;
  this->links.memory = &this->memory;
  const ConnectionShares shares =
      SharesOf(MachineDescriptors(this->settings.max_fds));
  this->outbound.max_connections = shares.outbound;
  for (HttpListener* listener :
       {&this->readiness, &this->admin, &this->metrics})
    listener->max_connections = shares.check;
  this->outbound.check_head = [this](const HttpRequest& head) {
    return this->entry.CheckHead(head);
  };
  this->readiness.limits.max_body_bytes = kMaxCheckBody;
  this->metrics.limits.max_body_bytes = kMaxCheckBody;
  this->admin.limits.max_body_bytes = kMaxAdminBody;
  this->outbound.refuse = [this](const HttpRequest& head, ErrorKind kind) {
    return this->entry.RefusePartial(head, kind);
  };
  this->links.self.node = edge_settings.vm;
  this->links.self.data_center = edge_settings.data_center;
  this->links.self.line_mbit =
      static_cast<std::uint32_t>(edge_settings.line_mbit);
}

void AddNode(EdgeNode& node, const Hello& hello, NodeSource source) {
  node.links.Add(hello, source);
  // One with an unusable address cannot be reached and has no share of limits.
  if (node.links.Find(hello.node) != nullptr)
    node.quota.OnNodeKnown(hello.node);
}

void SendStatus(EdgeNode& node) {
  const TimePoint now = SteadyNow();
  GateStatus status = node.gate.Status();
  const SnapshotPtr& held = node.entry.CurrentSnapshot();
  status.held_version = held ? held->version : 0;
  status.store_unavailable = node.stopping || !node.orders.StoreReachable();
  status.trial_statuses = node.trial_statuses;
  status.trial_summaries = node.trial_summaries;
  status.suspects = node.gate.crash_evidence.Reported(now);
  status.relayed_suspects = node.gate.crash_evidence.Relayed(now);
  status.shortages = ShortageReportsOf(node.entry.shortage, now);
  status.calls = CallReportsOf(node.entry.shortage);
  node.links.SetStatus(status);
}

void ApplyOrder(EdgeNode& node, const StoredRecord& record) {
  const auto order = node.adapter.decode_order(record);
  if (!order) {
    Log(LogLevel::kWarning, "orders", "record-refused",
        {{"key", record.key},
         {"reason", NameOf(order.error().kind)},
         {"message", order.error().message}});
    return;
  }
  if (const auto* move = std::get_if<MoveOrder>(&*order)) {
    node.versions.OnOrder(*move);
    StepMoves(node);
  }
  if (const auto* evacuation = std::get_if<EvacuationOrder>(&*order))
    ApplyEvacuationOrder(node, *evacuation, OrderSource::kStore);
  const auto* snapshot = std::get_if<SnapshotPtr>(&*order);
  if (snapshot == nullptr)
    return;
  const SnapshotPtr& held = node.entry.CurrentSnapshot();
  const ConfigVersion own = held ? held->version : 0;
  if ((*snapshot)->version <= own)
    return;
  const LimitsConfig& limits = (*snapshot)->limits;
  node.outbound.limits = {limits.max_header_bytes, limits.max_body_bytes,
                          limits.header_timeout, limits.idle_timeout};
  if (node.first_config_at == TimePoint{})
    node.first_config_at = SteadyNow();
  node.config_exchange.archive.Add((*snapshot)->version, record);
  node.config_exchange.fetch.newer_seen_at = TimePoint{};
  node.entry.SetSnapshot(*snapshot);
  node.quota.SetLimits(LimitsOf(**snapshot));
  UpdateStartPace(node);
  node.gate.SetHasAccounts((*snapshot)->has_accounts);
  Log(LogLevel::kInfo, "config", "in-force",
      {{"version", (*snapshot)->version},
       {"before", own},
       {"routes", (*snapshot)->routes.size()},
       {"bytes", record.value.size()}});
  ProbeUpstream(node);
  SendStatus(node);
}

void ApplyEvacuationOrder(EdgeNode& node,
                          const EvacuationOrder& order,
                          OrderSource source) {
  if (!ApplyEvacuation(node.evacuations, order))
    return;
  Log(LogLevel::kInfo, "orders", "evacuation",
      {{"data_center", order.data_center},
       {"active", order.active ? 1 : 0},
       {"revision", order.revision},
       {"source", source == OrderSource::kStore ? "store" : "peer"}});
  node.gate.SetEvacuated(
      IsEvacuated(node.evacuations, node.settings.data_center));
  if (source == OrderSource::kStore)
    node.links.SendToCallers(PackEvacuation(order));
}

void SendEvacuations(EdgeNode& node, const std::string& to) {
  for (const EvacuationOrder& order : OrdersOf(node.evacuations))
    node.links.SendToCaller(to, PackEvacuation(order));
}

Result<void> RunEdge(const std::string& settings_file,
                     const AdapterFactory& make_adapter) {
  const auto settings = LoadEdgeSettings(settings_file);
  if (!settings)
    return tl::make_unexpected(settings.error());
  std::signal(SIGPIPE, SIG_IGN);
  ReturnLargeBlocks();
  const auto node = std::make_unique<EdgeNode>(*settings, make_adapter);
  node->settings_file = settings_file;
  StartLogging({settings->vm, settings->data_center}, settings->log_level,
               [&log = node->log](std::string_view line) { log.Add(line); });
  auto ran = Run(*node);
  StartLogging({}, settings->log_level, LogSink{});
  return ran;
}

}  // namespace teaselspread
