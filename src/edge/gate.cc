#include "edge/gate.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <utility>
#include <vector>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>
#include <xxhash.h>

#include "base/clock.h"
#include "teaselspread/accounts.h"
#include "teaselspread/logging.h"
#include "teaselspread/wire.h"

namespace teaselspread {
namespace {

// The upstream responds at the deadline that it was given at the latest; its
// connection is closed this long after that.
constexpr Duration kDeadlineGrace = std::chrono::milliseconds(60);
// Minimum Retry-After of a refusal. Callers wait for at most a third of their
// remaining time, so after half a second many would not retry at all.
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(80);
constexpr std::uint32_t kWarmUpStepMs = 500;
constexpr int kFirstSuccess = 200;
constexpr int kFirstRedirect = 300;
constexpr int kHttpMisdirected = 421;
constexpr int kHttpBadRequest = 400;
constexpr int kHttpGatewayTimeout = 504;
constexpr std::int64_t kMicrosPerMilli = 1000;

std::uint32_t MillisOf(Duration span) {
  return static_cast<std::uint32_t>(std::max<std::int64_t>(span.count(), 0) /
                                    kMicrosPerMilli);
}

ErrorKind RefusalOf(LeaseState state) {
  return state == LeaseState::kLeaving ? ErrorKind::kLeaving
                                       : ErrorKind::kNotReady;
}

// How long the upstream asks callers to wait; kMinRetryAfter if it does not
// say.
Duration RetryAfterOf(const HttpHeaders& headers) {
  constexpr double kMaxSeconds = 3600;
  constexpr double kMicrosPerSecond = 1e6;
  double seconds = 0;
  const std::string text(FindHeader(headers, kHeaderRetryAfter));
  if (!absl::SimpleAtod(text, &seconds) || !std::isfinite(seconds))
    return kMinRetryAfter;
  const double micros =
      std::clamp(seconds, 0.0, kMaxSeconds) * kMicrosPerSecond;
  return std::max(Duration(static_cast<std::int64_t>(micros)), kMinRetryAfter);
}

ResultFrame RefusedFrame(std::uint64_t call, const Refusal& refusal) {
  ResultFrame result;
  result.call_id = call;
  result.error = refusal.kind;
  result.execution = Execution::kNotRun;
  result.retry_after_ms = MillisOf(refusal.retry_after);
  return result;
}

}  // namespace

Gate::Gate(boost::asio::io_context& io,
           const EdgeHeaderNames& header_names,
           const LeaseSettings& lease_settings)
    : pool(io),
      loop(io),
      names(header_names),
      expiry_timer(io),
      check_timer(io),
      probe_timer(io),
      rng(std::random_device{}()) {
  this->lease.settings = lease_settings;
  this->gatekeeper.settings.retry_after = kMinRetryAfter;
  this->gatekeeper.ready = false;
}

void Gate::Run(std::uint64_t id, RunFrame frame, ResultHandler done) {
  const TimePoint now = SteadyNow();
  GateRun run;
  run.arrived = now;
  run.deadline = now + std::chrono::milliseconds(frame.deadline_ms);
  run.done = std::move(done);
  Arrival arrival;
  arrival.id = id;
  arrival.route = frame.route;
  const RequestPriority order = DecodePriority(frame.priority);
  arrival.priority = order.priority;
  arrival.tie_break = order.tie_break;
  arrival.deadline = run.deadline;
  arrival.aim = now + std::chrono::milliseconds(frame.aim_ms);
  arrival.body_bytes = BodyOf(frame).size();
  run.frame = std::move(frame);
  HttpRequest& request = run.frame.request;
  if (!run.frame.body)
    run.frame.body = MakeRequestBody(std::exchange(request.body, {}));
  run.fingerprint =
      FingerprintOf(request, BodyOf(run.frame),
                    FindHeader(request.headers, this->names.caller_service));
  const bool wrong_instance =
      !run.frame.instance.empty() && this->lease.current &&
      run.frame.instance != this->lease.current->instance;
  const LeaseState state = this->ServiceState(now);
  GateRun& held = this->runs.emplace(id, std::move(run)).first->second;
  if (wrong_instance || state != LeaseState::kReady) {
    const ErrorKind kind =
        wrong_instance ? ErrorKind::kNotReady : RefusalOf(state);
    this->Refuse(id, {id, kind, kMinRetryAfter});
    return;
  }
  if (this->RefuseSuspect(id, held))
    return;
  const ArrivalResult arrived =
      Arrive(this->gatekeeper, arrival, now, this->rng);
  if (arrived.evicted)
    this->Refuse(arrived.evicted->id, *arrived.evicted);
  for (const Refusal& refusal : arrived.overtaken)
    this->Refuse(refusal.id, refusal);
  if (arrived.refusal) {
    this->Refuse(id, *arrived.refusal);
    return;
  }
  if (arrived.admission == Admission::kRun)
    this->Start(id);
  else
    this->ScheduleExpiry();
}

bool Gate::RefuseSuspect(std::uint64_t id, const GateRun& run) {
  const HttpHeaders& headers = run.frame.request.headers;
  if (!this->crash_evidence.Refuses(run.fingerprint,
                                    FindHeader(headers, kHeaderRequestId)))
    return false;
  this->gatekeeper.refusals.Add(ErrorKind::kCrashSuspect);
  this->Refuse(id, {id, ErrorKind::kCrashSuspect,
                    this->crash_evidence.RefusedFor(run.fingerprint)});
  return true;
}

void Gate::Start(std::uint64_t id) {
  const auto found = this->runs.find(id);
  const TimePoint now = SteadyNow();
  if (found == this->runs.end()) {
    // Cancelled between the decision and now.
    this->ReleaseSlot(id);
    return;
  }
  GateRun& run = found->second;
  run.started = now;
  ++this->starts;
  HttpRequest& request = run.frame.request;
  const Duration left = run.deadline - now;
  SetHeader(request.headers, this->names.deadline,
            std::to_string(std::max<std::uint32_t>(MillisOf(left), 1)));
  SetHeader(request.headers, this->names.expected_instance,
            this->lease.current->instance);
  const std::string request_id(FindHeader(request.headers, kHeaderRequestId));
  const Duration max_idle =
      run.frame.idempotent ? kMaxIdleForReuse : kMaxIdleForReuseNonIdempotent;
  this->running_routes.insert_or_assign(request_id, run.frame.route);
  run.timer = std::make_unique<boost::asio::steady_timer>(this->loop);
  run.timer->expires_after(left + kDeadlineGrace);
  run.timer->async_wait([this, id](boost::system::error_code error) {
    if (!error)
      this->OnDeadline(id);
  });
  run.call = this->pool.CallWithBody(request, run.frame.body, request_id,
                                     max_idle, [this, id](CallResult result) {
                                       this->OnCallEnd(id, std::move(result));
                                     });
}

void Gate::OnCallEnd(std::uint64_t id, CallResult result) {
  const auto found = this->runs.find(id);
  if (found == this->runs.end())
    return;
  GateRun& run = found->second;
  run.call = nullptr;
  const TimePoint now = SteadyNow();
  ResultFrame frame;
  frame.call_id = id;
  frame.has_response = result.has_response;
  frame.error = result.error;
  frame.execution = result.execution;
  frame.upstream_time_us =
      static_cast<std::uint32_t>((now - run.started).count());
  bool counts = false;
  if (result.has_response) {
    const int status = result.response.status;
    const bool says_not_run =
        !FindHeader(result.response.headers, this->names.not_run).empty();
    const bool wrong_process = status == kHttpMisdirected;
    // An unsigned success may have been forged between the upstream and here.
    // One with an encoding has another body than the upstream's: requests ask
    // for none.
    const bool success = status >= kFirstSuccess && status < kFirstRedirect;
    const HttpHeaders& headers = result.response.headers;
    const bool foreign_success =
        success && (FindHeader(headers, this->names.signature).empty() ||
                    !FindHeader(headers, "Content-Encoding").empty());
    frame.response = std::move(result.response);
    if (wrong_process) {
      this->MarkUpstreamLost(CrashSign::kAnotherProcess);
    } else {
      OnUpstreamResponse(this->lease, now);
      this->crash_evidence.OnUpstreamAlive();
      const HttpHeaders& sent = run.frame.request.headers;
      this->HearUpstream(FindHeader(sent, this->names.expected_instance),
                         FindHeader(sent, kHeaderRequestId),
                         frame.response.headers, run.started);
    }
    if (wrong_process || (says_not_run && status != kHttpBadRequest)) {
      frame.has_response = false;
      frame.error = ErrorKind::kUpstreamShed;
      frame.execution = Execution::kNotRun;
      frame.retry_after_ms = MillisOf(RetryAfterOf(frame.response.headers));
      frame.response = {};
    } else if (foreign_success) {
      frame.has_response = false;
      frame.error = ErrorKind::kWrongResponse;
      frame.execution = Execution::kUnknown;
      frame.response = {};
    } else {
      counts = true;
      if (!says_not_run)
        this->RecordEvidence(run, status);
    }
  } else if (result.error == ErrorKind::kConnectFailed) {
    this->MarkUpstreamLost(CrashSign::kNoConnection);
  } else {
    this->crash_evidence.OnBrokenRun(run.fingerprint, run.started);
    if (this->CheckUpstreamListening()) {
      this->awaiting_check.emplace_back(id, std::move(frame));
      return;
    }
  }
  this->Finish(id, counts, frame);
}

void Gate::OnDeadline(std::uint64_t id) {
  const auto found = this->runs.find(id);
  if (found == this->runs.end() || found->second.call == nullptr)
    return;
  this->AbandonRun(found->second);
  ResultFrame frame;
  frame.call_id = id;
  frame.error = ErrorKind::kTimeout;
  frame.execution = Execution::kUnknown;
  frame.upstream_time_us =
      static_cast<std::uint32_t>((SteadyNow() - found->second.started).count());
  this->Finish(id, true, frame);
}

void Gate::Finish(std::uint64_t id, bool counts, const ResultFrame& result) {
  const auto found = this->runs.find(id);
  const TimePoint now = SteadyNow();
  const Duration run_time = now - found->second.started;
  const ResultHandler done = std::move(found->second.done);
  const HttpHeaders& headers = found->second.frame.request.headers;
  this->running_routes.erase(
      std::string(FindHeader(headers, kHeaderRequestId)));
  this->runs.erase(found);
  const GateActions actions = teaselspread::Finish(
      this->gatekeeper, id, run_time, counts, now, this->rng);
  if (done)
    done(result);
  this->Apply(actions);
}

void Gate::Refuse(std::uint64_t id, const Refusal& refusal) {
  const auto found = this->runs.find(id);
  if (found == this->runs.end())
    return;
  const ResultHandler done = std::move(found->second.done);
  this->runs.erase(found);
  if (done)
    done(RefusedFrame(id, refusal));
}

void Gate::RefuseWaiting(ErrorKind kind) {
  std::vector<std::uint64_t> waiting;
  for (const auto& [id, run] : this->runs) {
    if (run.started == TimePoint{})
      waiting.push_back(id);
  }
  for (const std::uint64_t id : waiting) {
    CancelWaiting(this->gatekeeper, id);
    this->Refuse(id, {id, kind, kMinRetryAfter});
  }
}

void Gate::StartQueued(std::uint64_t id) {
  const auto found = this->runs.find(id);
  if (found != this->runs.end() && this->RefuseSuspect(id, found->second)) {
    this->ReleaseSlot(id);
    return;
  }
  this->Start(id);
}

void Gate::ReleaseSlot(std::uint64_t id) {
  this->Apply(teaselspread::Finish(this->gatekeeper, id, Duration{0}, false,
                                   SteadyNow(), this->rng));
}

void Gate::Apply(const GateActions& actions) {
  for (const std::uint64_t id : actions.run)
    this->StartQueued(id);
  for (const Refusal& refusal : actions.refused)
    this->Refuse(refusal.id, refusal);
  this->ScheduleExpiry();
}

void Gate::Cancel(std::uint64_t id) {
  const auto found = this->runs.find(id);
  if (found == this->runs.end())
    return;
  GateRun& run = found->second;
  if (run.started == TimePoint{}) {
    CancelWaiting(this->gatekeeper, id);
    this->runs.erase(found);
    return;
  }
  run.done = nullptr;
  if (run.call == nullptr)
    return;
  // A connection that is still being established has sent nothing yet. Left
  // open, it would run the request although nobody waits for the response.
  if (!run.frame.idempotent && LoopClient::MayHaveSent(run.call))
    return;
  this->AbandonRun(run);
  this->Finish(id, false, {});
}

void Gate::AbandonRun(GateRun& run) {
  if (LoopClient::MayHaveSent(run.call))
    this->KeepAbandoned(run);
  this->pool.Cancel(std::exchange(run.call, nullptr));
}

void Gate::KeepAbandoned(const GateRun& run) {
  const HttpHeaders& headers = run.frame.request.headers;
  this->crash_evidence.OnAbandonedRun(
      {run.fingerprint, std::string(FindHeader(headers, kHeaderRequestId)),
       SteadyNow(), run.deadline});
}

// An upstream that responds at the deadline may go on working.
void Gate::RecordEvidence(const GateRun& run, int status) {
  const HttpHeaders& headers = run.frame.request.headers;
  this->crash_evidence.OnResponse(
      run.fingerprint, FindHeader(headers, kHeaderRequestId), status);
  if (status == kHttpGatewayTimeout)
    this->KeepAbandoned(run);
}

LeaseState Gate::ServiceState(TimePoint now) const {
  const LeaseState state = StateOf(this->lease, now);
  if (state != LeaseState::kReady)
    return state;
  if (!this->orders_known)
    return LeaseState::kNone;
  return this->evacuated ? LeaseState::kLeaving : LeaseState::kReady;
}

// Requests that wait are refused at once, so that their entries send them
// elsewhere while there is time; running ones complete.
void Gate::SetEvacuated(bool now_evacuated) {
  if (now_evacuated == this->evacuated)
    return;
  this->evacuated = now_evacuated;
  ForgetWarmUp(this->lease);
  this->ApplyLease();
  this->on_status_change();
}

void Gate::SetOrdersKnown() {
  if (std::exchange(this->orders_known, true))
    return;
  this->ApplyLease();
  this->on_status_change();
}

void Gate::LeaveNode() {
  this->node_leaving = true;
  this->Apply(Leave(this->gatekeeper, SteadyNow(), this->rng));
  this->on_status_change();
}

void Gate::RefreshReportedTimes() {
  UpdateReportedTimes(this->reported_times,
                      TimesForPlacement(this->gatekeeper));
  std::vector<RouteTime> all;
  if (this->reported_mean_ms > 0)
    all.push_back({"", this->reported_mean_ms});
  UpdateReportedTimes(all, {{"", this->gatekeeper.overall_service_time}});
  this->reported_mean_ms = all.front().mean_ms;
}

void Gate::LogReservation() {
  const TimePoint now = SteadyNow();
  const int slots = this->gatekeeper.settings.slots;
  const int cap = LongSlots(this->gatekeeper);
  const bool reserving = cap < slots;
  if (std::exchange(this->logged_reservation, reserving) == reserving)
    return;
  if (reserving)
    this->reserved_since = now;
  Log(LogLevel::kInfo, "gate", "slots-reserved",
      {{"change", reserving ? "begun" : "ended"},
       {"routes", absl::StrJoin(LongRoutes(this->gatekeeper.reserve), ",")},
       {"cap", cap},
       {"slots", slots},
       {"urgent_load", absl::StrCat(this->gatekeeper.reserve.urgent_load)},
       {"for_ms", MillisOf(now - this->reserved_since)},
       {"held_back", this->gatekeeper.held_back}});
}

void Gate::SetStartPace(const StartPaceSettings& pace) {
  this->gatekeeper.pace.settings = pace;
  this->ScheduleExpiry();
}

void Gate::Tick() {
  if (this->gatekeeper.overall_service_time.mean_us > 0)
    this->RefreshReportedTimes();
  this->LogReservation();
  this->crash_evidence.Tick(SteadyNow());
  this->ApplyLease();
  this->pool.Prune(kMaxIdleForReuse);
}

// The lease's state has taken effect when this returns: a leave call that was
// acknowledged can be relied on.
void Gate::ApplyLease() {
  const TimePoint now = SteadyNow();
  this->gatekeeper.pace.slow_until = SlowUntil(this->lease, now);
  const LeaseState state = this->ServiceState(now);
  const bool ready = state == LeaseState::kReady;
  const int slots = this->UsableSlots();
  const std::string version =
      this->lease.current ? this->lease.current->version : "";
  const bool slow = IsPaced(this->gatekeeper.pace, now);
  if (state == this->applied_state && slow == this->applied_slow &&
      slots == this->gatekeeper.settings.slots &&
      version == this->applied_version)
    return;
  Log(LogLevel::kInfo, "gate", "upstream-state",
      {{"from", NameOf(this->applied_state)},
       {"to", NameOf(state)},
       {"slots", slots},
       {"instance", this->lease.current ? this->lease.current->instance : ""},
       {"version", version},
       {"slow_ms", slow ? MillisOf(this->gatekeeper.pace.slow_until - now) : 0},
       {"sequence", this->lease.current ? this->lease.current->sequence : 0},
       {"age_ms", MillisOf(now - this->lease.renewed_at)}});
  this->applied_state = state;
  this->applied_version = version;
  this->applied_slow = slow;
  this->Apply(SetUpstream(this->gatekeeper, slots, ready, now, this->rng));
  this->on_status_change();
}

// A waiting request starts as soon as the pace admits it, and is refused as
// soon as it can no longer meet its deadline, not when the deadline has passed:
// its caller can still use the time.
void Gate::ScheduleExpiry() {
  const auto next = NextAdvance(this->gatekeeper, SteadyNow());
  if (!next || *next == this->expiry_at)
    return;
  this->expiry_at = *next;
  this->expiry_timer.expires_after(*next - SteadyNow() +
                                   std::chrono::milliseconds(1));
  this->expiry_timer.async_wait([this](boost::system::error_code error) {
    if (error)
      return;
    this->expiry_at = TimePoint{};
    this->Apply(Advance(this->gatekeeper, SteadyNow(), this->rng));
  });
}

std::string_view Gate::CallingRoute(std::string_view request_id) const {
  const std::size_t dot = request_id.find('.');
  return dot == std::string_view::npos
             ? std::string_view{}
             : this->RunningRoute(request_id.substr(0, dot));
}

std::string_view Gate::CallingRouteAtAnyDepth(
    std::string_view request_id) const {
  std::size_t dot = request_id.rfind('.');
  while (dot != std::string_view::npos) {
    request_id = request_id.substr(0, dot);
    if (const std::string_view route = this->RunningRoute(request_id);
        !route.empty())
      return route;
    dot = request_id.rfind('.');
  }
  return {};
}

std::string_view Gate::RunningRoute(std::string_view request_id) const {
  const auto found = this->running_routes.find(request_id);
  return found == this->running_routes.end() ? std::string_view{}
                                             : found->second;
}

GateStatus Gate::Status() const {
  GateStatus status;
  const TimePoint now = SteadyNow();
  if (this->lease.current) {
    status.instance = this->lease.current->instance;
    status.service = this->lease.current->service;
    status.version = this->lease.current->version;
    status.slots = static_cast<std::uint32_t>(this->lease.current->slots);
    status.process_stamp =
        static_cast<std::uint32_t>(this->lease.current->born_ms);
    status.limit_per_second = this->reported_limit;
    // Rounded to steps, since each change is sent to every node.
    const std::uint32_t left = MillisOf(SlowUntil(this->lease, now) - now);
    status.warm_up_ms =
        (left + kWarmUpStepMs - 1) / kWarmUpStepMs * kWarmUpStepMs;
  }
  status.state = this->ServiceState(now);
  if (this->node_leaving && status.state == LeaseState::kReady)
    status.state = LeaseState::kLeaving;
  status.running = static_cast<std::uint32_t>(this->gatekeeper.running);
  status.waiting = static_cast<std::uint32_t>(CountWaiting(this->gatekeeper));
  status.queued_ms = MillisOf(QueuedTime(this->gatekeeper, now));
  status.route_times = this->reported_times;
  status.mean_ms = this->reported_mean_ms;
  return status;
}

}  // namespace teaselspread
