// The gate of the upstream beside this node: admission control for every
// request to it, from callers on this VM and from other nodes. It also holds
// the upstream's lease and tracks requests that may crash the upstream.
//
// Everything here belongs to the thread that runs the loop.
#ifndef TEASELSPREAD_SRC_EDGE_GATE_H_
#define TEASELSPREAD_SRC_EDGE_GATE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "edge/crash_evidence.h"
#include "edge/frames.h"
#include "edge/load_report.h"
#include "edge/loop_client.h"
#include "teaselspread/admission.h"
#include "teaselspread/counters.h"
#include "teaselspread/edge.h"
#include "teaselspread/named_limit.h"
#include "teaselspread/upstream_lease.h"

namespace teaselspread {

// Maximum idle time of an upstream connection that is reused. Upstreams close
// idle connections after some seconds, and a request that is sent at the same
// time may or may not have run. Hence the shorter limit for requests that are
// not idempotent.
inline constexpr Duration kMaxIdleForReuse = std::chrono::seconds(8);
inline constexpr Duration kMaxIdleForReuseNonIdempotent =
    std::chrono::seconds(4);

using ResultHandler = std::function<void(ResultFrame)>;

// One request from its arrival at the gate until its result.
struct GateRun {
  RunFrame frame;
  ResultHandler done;
  TimePoint arrived;
  TimePoint deadline;
  // When it was sent to the upstream; the clock's epoch while it waits.
  TimePoint started;
  LoopConnection* call = nullptr;
  std::unique_ptr<boost::asio::steady_timer> timer;
  Fingerprint fingerprint = 0;
};

// Not thread safe.
class Gate {
 public:
  Gate(boost::asio::io_context& io,
       const EdgeHeaderNames& names,
       const LeaseSettings& lease_settings);
  Gate(const Gate&) = delete;
  Gate& operator=(const Gate&) = delete;

  void SetWaitingSettings(const WaitingSettings& waiting) {
    this->gatekeeper.settings.waiting = waiting;
    this->reserves_by_setting = waiting.reserve_slots;
  }
  // The configuration in force has client accounts, so slots are reserved for
  // urgent requests whatever the settings say.
  void SetHasAccounts(bool has_accounts) {
    this->gatekeeper.settings.waiting.reserve_slots =
        has_accounts || this->reserves_by_setting;
  }
  [[nodiscard]] bool ReservesSlots() const {
    return this->gatekeeper.settings.waiting.reserve_slots;
  }
  // Limits the starts while the upstream is slow after its start. To be called
  // again when the service or its configuration changes.
  void SetStartPace(const StartPaceSettings& pace);
  void SetUpstreamAddress(const Address& upstream) {
    this->pool.SetAddress(upstream);
  }

  // Runs the request or refuses it; `done` is called once, possibly before this
  // returns. Precondition: no run with this `id` is in flight.
  void Run(std::uint64_t id, RunFrame frame, ResultHandler done);

  // The caller has left; `done` is not called any more. A request that is not
  // idempotent continues at the upstream.
  void Cancel(std::uint64_t id);

  // Queries the upstream's health check, if NeedsProbe. A node that was
  // restarted beside a working upstream would otherwise refuse requests for up
  // to a whole heartbeat interval, and would not know the upstream's limit.
  void Probe(const std::string& health_path, const std::string& service);

  // Receives a heartbeat; it has taken effect when this returns.
  [[nodiscard]] HeartbeatResult OnHeartbeat(const UpstreamHeartbeat& heartbeat);
  // The node has just started; see upstream_lease.h. Call it before
  // OnHeartbeat.
  void RequireConfirmation();
  // The upstream's service has no health check that could confirm a heartbeat.
  void WaiveConfirmation();
  // Whether a heartbeat waits for a confirmation by a health check.
  [[nodiscard]] bool AwaitsConfirmation() const;
  // False when the process does not hold the lease.
  bool OnUpstreamLeaving(const LeaveCall& call);
  // Another node remembers that the process beside this one leaves. False if
  // this was known.
  bool RecallDeparture(const LeaveCall& call);

  // The operators take the upstream out of service, or put it back. It then
  // counts as slow after its start until a heartbeat says otherwise.
  void SetEvacuated(bool evacuated);

  // Until the operators' orders are known, nothing is run: the upstream may be
  // out of service.
  void SetOrdersKnown();

  // The node itself stops: waiting and new requests are refused, running ones
  // continue.
  void LeaveNode();

  // Applies leases and suspects that have expired, refreshes the reported times
  // and closes idle connections. Call it a few times a second.
  void Tick();

  // Route of the running request that makes the nested call `request_id`; empty
  // when there is none. With hierarchical ids a nested call's id starts with
  // the id of its request and a dot; nested calls with other ids are not
  // recognised.
  [[nodiscard]] std::string_view CallingRoute(
      std::string_view request_id) const;

  // The same, also if the id of the running request itself has dots, as it does
  // if that request is a nested call.
  [[nodiscard]] std::string_view CallingRouteAtAnyDepth(
      std::string_view request_id) const;

  // Drops the measurements of routes that are not in `routes`.
  void KeepRoutes(const std::set<std::string_view>& routes) {
    RetainServiceTimes(this->gatekeeper, routes);
  }

  [[nodiscard]] GateStatus Status() const;
  [[nodiscard]] bool IsEvacuated() const { return this->evacuated; }
  [[nodiscard]] bool OrdersKnown() const { return this->orders_known; }
  [[nodiscard]] std::size_t CountRunning() const {
    return static_cast<std::size_t>(this->gatekeeper.running);
  }
  [[nodiscard]] const Gatekeeper& AdmissionState() const {
    return this->gatekeeper;
  }

  // Called when more than the load may have changed in Status().
  std::function<void()> on_status_change = [] {};
  // The upstream's process has announced that it leaves, for the first time.
  std::function<void(const LeaveCall&)> on_departure = [](const LeaveCall&) {};

  [[nodiscard]] const NamedLimit& Limit() const {
    return this->gatekeeper.limit;
  }

  // Speed of the upstream, as its process last reported it.
  [[nodiscard]] const SpeedFactor& Speed() const {
    return this->gatekeeper.speed;
  }

  // Whether Probe would tell something that is not known: what the upstream
  // says of itself, if this node started beside a running one, or whether its
  // limit has ended, if too few requests start for their responses to tell.
  [[nodiscard]] bool NeedsProbe() const;

  LoopClient pool;
  UpstreamLease lease;
  CrashEvidence crash_evidence;
  CounterTable<LimitEvent> limit_events;
  // Requests sent to the upstream.
  std::uint64_t starts = 0;
  // Responses that said that the upstream leaves.
  std::uint64_t leaving_responses = 0;
  // Responses whose load header held an invalid figure.
  std::uint64_t ignored_loads = 0;

 private:
  // Route of the request at the upstream with this id; empty if there is none.
  [[nodiscard]] std::string_view RunningRoute(
      std::string_view request_id) const;
  void RefreshReportedTimes();
  // Logs that a reservation of slots has begun or ended.
  void LogReservation();
  // Requests that may have reached the upstream and have no result yet.
  [[nodiscard]] std::vector<Fingerprint> RunsAtUpstream() const;
  // Stops waiting for a response; the upstream may go on working.
  void AbandonRun(GateRun& run);
  // The upstream may still be working on a run that is over for this node.
  void KeepAbandoned(const GateRun& run);
  // What the status of its response says about a request that may crash
  // upstreams.
  void RecordEvidence(const GateRun& run, int status);
  // Checks soon whether the upstream still listens. True if the check has
  // begun, so that its outcome is worth waiting for.
  bool CheckUpstreamListening();
  void OnListeningChecked(bool listening);
  [[nodiscard]] std::optional<Duration> WarmUpLeft(
      const HttpResponse& response) const;
  void OnProbeResponse(const std::string& service,
                       const HttpResponse& response);
  // A process that does not hold the lease has responded to a health check.
  // `slots`: from the load header; 0 if not known.
  void OnProbedProcess(const std::string& service,
                       const HttpResponse& response,
                       int slots);
  // Precondition: `slots` is known.
  void RegisterProbed(const std::string& service,
                      const HttpResponse& response,
                      int slots);
  // Parses the load header; a malformed one is counted and logged.
  LoadReport ReadLoad(std::string_view instance,
                      std::string_view request_id,
                      const HttpHeaders& headers);
  // What a response of the process that holds the lease says of its speed.
  void HearWorkPercent(const LoadReport& load);
  // What a response says of the upstream's process `instance`, whatever its
  // status. `sent_at`: when its request was sent.
  void HearUpstream(std::string_view instance,
                    std::string_view request_id,
                    const HttpHeaders& headers,
                    TimePoint sent_at);
  void HearNamedLimit(std::string_view request_id,
                      const HttpHeaders& headers,
                      TimePoint sent_at);
  void OnInvalidLimit(std::string_view request_id, std::string_view text);
  void LogLimit(LimitEvent event,
                const NamedLimit& before,
                std::string_view request_id);
  void HearLeaving(std::string_view instance,
                   std::string_view request_id,
                   const HttpHeaders& headers);
  // Slots in use: fewer than the upstream has until it has responded.
  [[nodiscard]] int UsableSlots() const;
  // A health check named no limit; see AllowTrial.
  void AllowTrialRequests();
  // Another process holds the lease than `before`.
  void OnAnotherProcess(const UpstreamHeartbeat& before, bool announced);
  void ForgetLimit();
  // Refuses all requests that wait.
  void RefuseWaiting(ErrorKind kind);
  // The limit has changed: reports it, and applies it to what waits.
  void OnLimitSet();
  void MarkHeard();
  // Refuses the request if it has crashed too many upstreams.
  bool RefuseSuspect(std::uint64_t id, const GateRun& run);
  void Start(std::uint64_t id);
  // Starts a request that has waited, unless it has become known meanwhile that
  // it crashes upstreams.
  void StartQueued(std::uint64_t id);
  // Frees the slot of a request that was not sent.
  void ReleaseSlot(std::uint64_t id);
  void Finish(std::uint64_t id, bool counts, const ResultFrame& result);
  void OnCallEnd(std::uint64_t id, CallResult result);
  void OnDeadline(std::uint64_t id);
  void Refuse(std::uint64_t id, const Refusal& refusal);
  void Apply(const GateActions& actions);
  // State of the upstream, also considering the operators' orders.
  [[nodiscard]] LeaseState ServiceState(TimePoint now) const;
  void MarkUpstreamLost(CrashSign sign);
  void ApplyLease();
  void ScheduleExpiry();

  boost::asio::io_context& loop;
  EdgeHeaderNames names;
  Gatekeeper gatekeeper;
  // The last value that was no rate, so that it is logged once.
  std::string ignored_limit;
  // Process whose load header was last logged as malformed.
  std::string ignored_load_instance;
  // When a change of the limit was last logged.
  TimePoint limit_logged_at;
  // The limit as reported to other nodes.
  std::optional<double> reported_limit;
  // The upstream has responded since this node started, so what it says of
  // itself is known.
  bool heard = false;
  TimePoint probed_at;
  // When the process that holds the lease replaced another one.
  TimePoint process_since;
  std::unordered_map<std::uint64_t, GateRun> runs;
  boost::asio::steady_timer expiry_timer;
  TimePoint expiry_at;
  LeaseState applied_state = LeaseState::kNone;
  std::string applied_version;
  bool applied_slow = false;
  // Routes of the requests at the upstream, by X-Request-Id.
  std::map<std::string, std::string, std::less<>> running_routes;
  TimePoint checked_at;
  bool checking = false;
  // Runs whose connection broke; their results wait for the check.
  std::vector<std::pair<std::uint64_t, ResultFrame>> awaiting_check;
  boost::asio::steady_timer check_timer;
  boost::asio::steady_timer probe_timer;
  // Times as last reported to other nodes, by route and over all routes.
  std::vector<RouteTime> reported_times;
  std::uint32_t reported_mean_ms = 0;
  // Level of the figures of the process that holds the lease.
  WorkLevel work_level;
  bool reserves_by_setting = false;
  // What was last logged of the reservation.
  bool logged_reservation = false;
  TimePoint reserved_since;
  bool node_leaving = false;
  bool evacuated = false;
  bool orders_known = false;
  // The health check in progress; null if there is none.
  LoopConnection* probe_call = nullptr;
  Rng rng;
};

}  // namespace teaselspread

#endif  // TEASELSPREAD_SRC_EDGE_GATE_H_
