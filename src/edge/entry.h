// The entry: receives requests from callers on this VM, chooses an upstream for
// each, retries failed attempts within the retry budget and returns the
// response.
//
// Everything here belongs to the thread that runs the loop.
#ifndef TEASELSPREAD_SRC_EDGE_ENTRY_H_
#define TEASELSPREAD_SRC_EDGE_ENTRY_H_

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "edge/departures.h"
#include "edge/gate.h"
#include "edge/http_listener.h"
#include "edge/latency_histogram.h"
#include "edge/links.h"
#include "edge/quota_service.h"
#include "edge/version_choice.h"
#include "teaselspread/counters.h"
#include "teaselspread/edge.h"
#include "teaselspread/placement.h"
#include "teaselspread/retry.h"
#include "teaselspread/shortage.h"
#include "teaselspread/snapshot.h"
#include "teaselspread/time_spent.h"
#include "teaselspread/weighted_turns.h"

namespace teaselspread {

// Retry-After of refusals by this node itself. Callers wait for at most a third
// of their remaining time.
inline constexpr Duration kEntryRetryAfter = std::chrono::milliseconds(100);

// What a request has of the tokens of its account's limit.
enum class TokenState : std::uint8_t { kNone, kWaiting, kHeld };

// One attempt to have a request run.
struct Attempt {
  // Empty before the first attempt.
  std::string node;
  // Version of that node's upstream, as known when the request was sent.
  std::string version;
  // Its process; empty if it is the one on this VM.
  std::string instance;
  std::uint32_t process_stamp = 0;
  bool at_own_gate = false;
  TimePoint sent_at;
};

// One request of a caller until its final response.
struct PendingRequest {
  ExchangePtr exchange;
  // Body of the request; the exchange no longer has it.
  RequestBodyPtr body;
  SnapshotPtr snapshot;
  const RouteConfig* route = nullptr;
  std::string service;
  PickedVersion picked;
  bool has_picked = false;
  // A call that the upstream on this VM makes while it runs another request.
  bool nested = false;
  // Points into `snapshot`; null without an account.
  const AccountConfig* account = nullptr;
  TokenState token = TokenState::kNone;
  TimePoint deadline;
  // Estimate of how long the caller waited before it sent this request.
  Duration time_waited{};
  std::unique_ptr<boost::asio::steady_timer> timer;
  // The current or last attempt.
  Attempt attempt;
  // The current attempt has no result yet.
  bool in_flight = false;
  // Earlier attempts whose links fell silent; their results may still arrive.
  std::vector<Attempt> silent;
  // Time at the upstream of the last result, as its gate measured it.
  Duration run_time{};
  // Nodes that refused the request or failed to run it.
  std::vector<std::string> tried;
  // Attempts that reached an upstream, or may have, and have ended.
  int attempts = 0;
  int refusals = 0;
  // Identifies the request among suspects; none before it is needed.
  std::optional<Fingerprint> fingerprint;
  // Why it was or was not retried; none before the first failure.
  std::optional<RetryReason> retry_reason;
  // Ready upstreams of its service that were excluded for their version at the
  // last placement.
  int other_versions = 0;
  // For a request shed because a service that it would call lacks capacity: the
  // fraction of such requests that is shed. Otherwise 0.
  double shed_ratio = 0;
  // An upstream may have run it.
  bool may_have_run = false;
  ErrorKind last_error = ErrorKind::kNoUpstream;
  Duration retry_after{};
  // A failed response of an upstream, returned if no later attempt succeeds.
  bool has_response = false;
  HttpResponse response;
};

// Whether an upstream failed to serve the request. Thread safe.
[[nodiscard]] bool IsFailure(const HttpResponse& response);

// Recent failures of one node's upstream, for this node's requests.
struct NodeHealth {
  double failure_ratio = 0;
  TimePoint updated_at;
};

struct EntryCounters {
  CounterTable<ErrorKind> refusals;
  CounterTable<RetryReason> retries;
  std::uint64_t requests = 0;
  std::uint64_t answered = 0;
  std::uint64_t callers_left = 0;
};

// Requests that were refused since their service had no capacity for them in
// time. Thread safe.
[[nodiscard]] std::uint64_t CapacityRefusals(const EntryCounters& counters);

struct EntrySettings {
  std::string vm;
  std::string data_center;
  std::string service;
  double retry_ratio = 0.2;
  double retry_slack = 50;
  PlacementSettings placement;
};

// Which requests a process that stops still runs.
enum class LateAdmission : std::uint8_t {
  kAll,
  // Those whose route's aim, or whose deadline without one, is met before the
  // end.
  kWithinAim,
  // Those whose deadline is met before the end: none is broken off.
  kWithinDeadline,
};

// Not thread safe.
class Entry {
 public:
  Entry(boost::asio::io_context& io,
        EntrySettings entry_settings,
        EdgeHeaderNames header_names,
        Gate& own_gate,
        Links& node_links,
        QuotaService& quota_service,
        VersionChoice& version_choice);
  Entry(const Entry&) = delete;
  Entry& operator=(const Entry&) = delete;

  // Applies to every request that is received from now on.
  void SetSnapshot(SnapshotPtr new_snapshot);
  [[nodiscard]] const SnapshotPtr& CurrentSnapshot() const {
    return this->snapshot;
  }

  void SetService(std::string service) {
    this->settings.service = std::move(service);
  }

  // The process stops, and closes all connections at `process_end`: no request
  // waits or runs until then, whatever its deadline.
  void BeginStop(TimePoint process_end);
  // Which requests are still run. Precondition: BeginStop was called.
  void SetLateAdmission(LateAdmission admission) {
    this->late_admission = admission;
  }

  void HandleRequest(const ExchangePtr& exchange);

  // Why a request with this head would be refused whatever its body, as far as
  // the configuration and a stop of the process decide that.
  [[nodiscard]] std::optional<ErrorKind> CheckHead(const HttpRequest& head) {
    const auto route = this->FindRoute(head);
    return route ? std::nullopt : std::optional(route.error().kind);
  }

  // The response to a request that will not be received whole, for `kind`.
  [[nodiscard]] HttpResponse RefusePartial(const HttpRequest& head,
                                           ErrorKind kind);

  // The result of a request that was sent to `node`, which may be this one.
  void OnResult(const std::string& node, ResultFrame result);
  // These calls to `node` get no result.
  void OnCallsLost(const std::string& node, const CallIds& calls);
  // The link of these calls to `node` is silent. Sends the idempotent ones
  // elsewhere as well, within the retry budget; the first response counts.
  void OnCallsSilent(const std::string& node, const CallIds& calls);

  [[nodiscard]] std::size_t CountPending() const {
    return this->pending_requests.size();
  }

  EntryCounters counters;
  std::map<std::string, LatencyHistogram> latency_by_route;
  ShortageTable shortage;
  // Processes that get no requests, whatever their gate reports.
  DepartureTable departures;

 private:
  // The route of the request. Errors: kNotReady, kNoRoute, kLeaving; with the
  // cause, if it is logged.
  [[nodiscard]] Result<const RouteConfig*> FindRoute(
      const HttpRequest& request) const;
  // Adds a request that IdentifyCaller has accepted to the pending ones.
  // `calling_route`: route of the request that made it; empty if it is no
  // nested call. Returns its id.
  std::uint64_t AddPending(const ExchangePtr& exchange,
                           const RouteConfig& route,
                           const AccountConfig* account,
                           std::string_view calling_route);
  // Begins the attempts of the request, or refuses it, once it is decided
  // whether its account is over its limit.
  void AcquireToken(std::uint64_t id);
  // A request ends. Its token goes back unless it may have reached an upstream.
  void ReleaseToken(std::uint64_t id, const PendingRequest& pending);
  // Sends an identified request for the first time, unless it is shed.
  void BeginAttempts(std::uint64_t id);
  [[nodiscard]] bool MayRunBeforeEnd(const HttpRequest& request,
                                     const RouteConfig& route) const;
  void SetTimes(PendingRequest& pending);
  // Ends the request at its deadline, or shortly before the process ends.
  void StartTimer(std::uint64_t id, PendingRequest& pending);
  // When the response starts to lose value; none for routes without an aim.
  [[nodiscard]] static std::optional<TimePoint> AimOf(
      const PendingRequest& pending);
  void TryNext(std::uint64_t id);
  // Refuses part of the requests whose route calls a service that lacks
  // capacity. True when this request was refused.
  bool ShedForDependency(std::uint64_t id, PendingRequest& pending);
  // Whether the request has crashed too many upstreams to be sent to another.
  [[nodiscard]] bool IsRefusedAsSuspect(PendingRequest& pending);
  [[nodiscard]] Fingerprint FingerprintOfPending(PendingRequest& pending) const;
  void SendTo(std::uint64_t id,
              PendingRequest& pending,
              const Candidate& chosen);
  // Makes the earlier attempt at `node` the current one. False if there is
  // none, or if the current one goes on: the earlier one has not served the
  // request.
  bool ResumeSilent(std::uint64_t id,
                    PendingRequest& pending,
                    const std::string& node,
                    const ResultFrame& result);
  void RecordUnserved(PendingRequest& pending,
                      const Attempt& attempt,
                      const ResultFrame& result);
  void RetryBesideSilent(std::uint64_t id, const std::string& node);
  void CancelAttempt(std::uint64_t id, const Attempt& attempt);
  void CancelAttempts(std::uint64_t id, const PendingRequest& pending);
  void HandleResponse(std::uint64_t id,
                      PendingRequest& pending,
                      ResultFrame result);
  void HandleRefusal(std::uint64_t id,
                     PendingRequest& pending,
                     ResultFrame& result);
  void HandleFailure(std::uint64_t id,
                     PendingRequest& pending,
                     ResultFrame& result);
  bool MayRetry(PendingRequest& pending, ErrorKind kind, bool not_run);
  void OnDeadline(std::uint64_t id);
  void OnCallerDisconnected(std::uint64_t id);
  void ForwardResponse(std::uint64_t id, HttpResponse response);
  void SendError(std::uint64_t id, ErrorKind kind, Duration retry_after);
  // No further attempt is made: waits for earlier ones whose links are silent;
  // if there are none, forwards a failed response or sends the error.
  void EndUnserved(std::uint64_t id, ErrorKind kind, Duration retry_after);
  // `cause` is only logged.
  void RefuseImmediately(const ExchangePtr& exchange,
                         ErrorKind kind,
                         std::string_view cause = "");
  // The response of RefuseImmediately; also logs the refusal.
  [[nodiscard]] HttpResponse RefusalOf(const HttpRequest& request,
                                       ErrorKind kind,
                                       std::string_view cause);
  [[nodiscard]] std::vector<Candidate> CandidatesFor(PendingRequest& pending);
  [[nodiscard]] RunFrame FrameOf(std::uint64_t id,
                                 const PendingRequest& pending);
  [[nodiscard]] const std::string& InstanceOf(const std::string& node) const;
  [[nodiscard]] std::uint32_t ProcessStampOf(const std::string& node) const;
  [[nodiscard]] const std::string& VersionOf(const Candidate& chosen) const;
  // Records the outcome of an attempt as evidence about the upstream's version.
  void ReportOutcome(const PendingRequest& pending,
                     const Attempt& attempt,
                     bool failed,
                     Duration run_time);
  void RecordOutcome(const std::string& node, bool failed);
  [[nodiscard]] PlacedRequest PlacedRequestOf(const PendingRequest& pending);
  // Estimated bytes of the request and its response on a link to another gate.
  [[nodiscard]] std::size_t TransferBytes(const PendingRequest& pending) const;
  [[nodiscard]] double FailureRatio(const std::string& node, TimePoint now);
  [[nodiscard]] RetryBudget& BudgetOf(const std::string& service);
  void CountDemand(const PendingRequest& pending, bool refused);
  void LogDecision(const PendingRequest& pending,
                   std::string_view outcome,
                   ErrorKind kind,
                   int status);

  boost::asio::io_context& loop;
  EntrySettings settings;
  EdgeHeaderNames names;
  Gate& gate;
  Links& links;
  QuotaService& quota;
  VersionChoice& versions;
  SnapshotPtr snapshot;
  std::unordered_map<std::uint64_t, PendingRequest> pending_requests;
  std::uint64_t next_id = 1;
  std::map<std::string, WeightedRoundRobin> turns;
  std::map<std::string, DeadlineHistory> deadline_histories;
  // Moving average of the response body's bytes, by route.
  std::map<std::string, double> mean_response_bytes;
  // Moving average of TransferBytes over the requests that were placed.
  double mean_transfer_bytes = 0;
  std::map<std::string, NodeHealth> node_health;
  std::map<std::string, RetryBudget> retry_budgets;
  // When the process ends; none before it has begun to stop.
  std::optional<TimePoint> end;
  LateAdmission late_admission = LateAdmission::kAll;
  Rng rng;
};

}  // namespace teaselspread

#endif  // TEASELSPREAD_SRC_EDGE_ENTRY_H_
