// What the gate learns of its upstream: from heartbeats, leave calls and health
// checks, and from connections that break.
#include <algorithm>
#include <cmath>
#include <string>
#include <utility>
#include <vector>

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include "base/clock.h"
#include "edge/gate.h"
#include "teaselspread/logging.h"

namespace teaselspread {
namespace {

// After a broken connection the node checks whether the upstream still listens,
// at most once in this interval: each check costs the upstream a connection.
constexpr Duration kMinCheckInterval = std::chrono::milliseconds(250);
// Changes of a limit are logged at most once in this time; an upstream may name
// another rate in each response.
constexpr Duration kMinLimitLogInterval = std::chrono::seconds(1);
// In logs, for the rate of an upstream that names no limit.
constexpr double kNoLimit = -1;
// Without it, an answer that never ends would be the last health check.
constexpr std::chrono::milliseconds kProbeTimeout{1000};
constexpr std::string_view kHealthCheckId = "health-check";
// Interval of the health checks that ask whether a low limit has ended.
constexpr Duration kLimitCheckInterval = std::chrono::seconds(2);
// Relative change of a limit that is reported to other nodes.
constexpr double kReportedLimitStep = 0.1;
// Slots in use until the upstream has responded for the first time.
constexpr int kSlotsUnheard = 4;

// An upstream that leaves closes its connections, even if its health check says
// that all is well; another one does so now and then.
bool ConfirmsReady(const HttpResponse& response) {
  constexpr int kOk = 200;
  const std::string connection(FindHeader(response.headers, "Connection"));
  return response.status == kOk && !absl::EqualsIgnoreCase(connection, "close");
}

}  // namespace

bool Gate::NeedsProbe() const {
  if (this->probe_call != nullptr)
    return false;
  if (!this->lease.current || !this->heard || this->AwaitsConfirmation())
    return true;
  return NeedsHealthChecks(this->gatekeeper.limit) &&
         SteadyNow() - this->probed_at >= kLimitCheckInterval;
}

void Gate::Probe(const std::string& health_path, const std::string& service) {
  if (!this->NeedsProbe() || health_path.empty())
    return;
  this->probed_at = SteadyNow();
  HttpRequest request;
  request.target = health_path;
  this->probe_call = this->pool.Call(
      request, "", kMaxIdleForReuse, [this, service](const CallResult& result) {
        this->probe_call = nullptr;
        this->probe_timer.cancel();
        if (result.has_response)
          this->OnProbeResponse(service, result.response);
      });
  this->probe_timer.expires_after(kProbeTimeout);
  this->probe_timer.async_wait([this](boost::system::error_code error) {
    if (!error && this->probe_call != nullptr)
      this->pool.Cancel(std::exchange(this->probe_call, nullptr));
  });
}

std::optional<Duration> Gate::WarmUpLeft(const HttpResponse& response) const {
  std::int64_t millis = 0;
  const std::string text(
      FindHeader(response.headers, this->names.warm_up_left));
  if (!absl::SimpleAtoi(text, &millis) || millis < 0)
    return std::nullopt;
  return std::chrono::milliseconds(millis);
}

void Gate::OnProbeResponse(const std::string& service,
                           const HttpResponse& response) {
  const std::string_view instance =
      FindHeader(response.headers, this->names.instance);
  const LoadReport load =
      this->ReadLoad(instance, kHealthCheckId, response.headers);
  if (!this->lease.current || this->AwaitsConfirmation())
    this->OnProbedProcess(service, response, load.slots.value_or(0));
  this->HearLeaving(instance, kHealthCheckId, response.headers);
  if (!this->lease.current || this->lease.current->instance != instance)
    return;
  const std::string_view named =
      FindHeader(response.headers, this->names.named_limit);
  if (named.empty())
    this->AllowTrialRequests();
  else
    this->HearNamedLimit(kHealthCheckId, response.headers, this->probed_at);
  this->HearWorkPercent(load);
  this->MarkHeard();
}

void Gate::AllowTrialRequests() {
  AllowTrial(this->gatekeeper.limit, SteadyNow());
  this->OnLimitSet();
}

// An upstream may name another rate in each response, and each one reported
// costs other nodes a frame.
void Gate::OnLimitSet() {
  const std::optional<double>& set = this->gatekeeper.limit.per_second;
  std::optional<double>& reported = this->reported_limit;
  if (!set || !reported ||
      std::abs(*set - *reported) > kReportedLimitStep * *reported)
    reported = set;
  this->Apply(OnLimitChanged(this->gatekeeper, SteadyNow(), this->rng));
}

void Gate::MarkHeard() {
  if (!std::exchange(this->heard, true))
    this->ApplyLease();
}

void Gate::RequireConfirmation() {
  teaselspread::RequireConfirmation(this->lease, SteadyNow());
}

void Gate::WaiveConfirmation() {
  this->lease.confirm_until = TimePoint{};
}

bool Gate::AwaitsConfirmation() const {
  return this->lease.unconfirmed && SteadyNow() < this->lease.confirm_until;
}

void Gate::OnProbedProcess(const std::string& service,
                           const HttpResponse& response,
                           int slots) {
  const std::string_view instance =
      FindHeader(response.headers, this->names.instance);
  Log(LogLevel::kInfo, "gate", "upstream-probed",
      {{"status", response.status},
       {"instance", instance},
       {"slots", slots},
       {"warm_up_ms", FindHeader(response.headers, this->names.warm_up_left)}});
  if (!ConfirmsReady(response) || instance.empty())
    return;
  if (const auto waiting = ConfirmReady(this->lease, instance))
    (void)this->OnHeartbeat(*waiting);
  else if (!this->lease.current && slots >= 1)
    this->RegisterProbed(service, response, slots);
}

// The version and start time of the process stay unknown until its heartbeat,
// which replaces this one whatever its sequence number.
void Gate::RegisterProbed(const std::string& service,
                          const HttpResponse& response,
                          int slots) {
  UpstreamHeartbeat heartbeat;
  heartbeat.instance =
      std::string(FindHeader(response.headers, this->names.instance));
  heartbeat.service = service;
  heartbeat.slots = slots;
  heartbeat.warm_up_remaining = this->WarmUpLeft(response);
  (void)this->OnHeartbeat(heartbeat);
}

LoadReport Gate::ReadLoad(std::string_view instance,
                          std::string_view request_id,
                          const HttpHeaders& headers) {
  const std::string_view text = FindHeader(headers, this->names.load);
  const LoadReport report = ParseLoad(text);
  if (!report.malformed)
    return report;
  ++this->ignored_loads;
  // The header changes with the load, so each process is logged once.
  if (std::exchange(this->ignored_load_instance, std::string(instance)) !=
      instance) {
    Log(LogLevel::kWarning, "gate", "load-ignored",
        {{"instance", instance}, {"value", text}, {"id", request_id}});
  }
  return report;
}

void Gate::HearWorkPercent(const LoadReport& load) {
  if (!load.work_percent)
    return;
  const TimePoint now = SteadyNow();
  HearSpeed(this->gatekeeper.speed,
            RelativeToLevel(this->work_level, *load.work_percent, now), now);
}

HeartbeatResult Gate::OnHeartbeat(const UpstreamHeartbeat& heartbeat) {
  const std::optional<UpstreamHeartbeat> before = this->lease.current;
  const bool announced =
      before && HasAnnouncedLeave(this->lease, before->instance);
  const HeartbeatResult result =
      ApplyHeartbeat(this->lease, heartbeat, SteadyNow());
  if (before && IsAnotherProcess(*before, *this->lease.current))
    this->OnAnotherProcess(*before, announced);
  this->ApplyLease();
  if (result == HeartbeatResult::kAccepted && heartbeat.leaving && !announced)
    this->on_departure({heartbeat.instance, heartbeat.born_ms});
  this->on_status_change();
  return result;
}

// What waits was placed at the process before. The new one may belong to
// another service, and would run it as the instance that it is told to be.
void Gate::OnAnotherProcess(const UpstreamHeartbeat& before, bool announced) {
  this->RefuseWaiting(ErrorKind::kNotReady);
  this->crash_evidence.OnUpstreamGone(
      {CrashSign::kReplaced, before.instance, announced}, {});
  this->process_since = SteadyNow();
  this->gatekeeper.speed = {};
  this->work_level = {};
  this->ForgetLimit();
}

void Gate::ForgetLimit() {
  const NamedLimit before = std::exchange(this->gatekeeper.limit, {});
  if (!before.per_second)
    return;
  this->limit_events.Add(LimitEvent::kForgotten);
  this->OnLimitSet();
  this->LogLimit(LimitEvent::kForgotten, before, "");
}

bool Gate::OnUpstreamLeaving(const LeaveCall& call) {
  LeaveCall named = call;
  const auto& held = this->lease.current;
  if (named.born_ms == 0 && held && held->instance == named.instance)
    named.born_ms = held->born_ms;
  const bool known =
      OnLeave(this->lease, call.instance, call.born_ms, SteadyNow());
  this->ApplyLease();
  this->on_departure(named);
  this->on_status_change();
  return known;
}

bool Gate::RecallDeparture(const LeaveCall& call) {
  if (KnowsLeave(this->lease, call.instance, call.born_ms))
    return false;
  (void)OnLeave(this->lease, call.instance, call.born_ms, SteadyNow());
  this->ApplyLease();
  this->on_status_change();
  return true;
}

// Responses of a process that no longer holds the lease say nothing of the one
// that does, which may have the same name.
void Gate::HearUpstream(std::string_view instance,
                        std::string_view request_id,
                        const HttpHeaders& headers,
                        TimePoint sent_at) {
  if (!this->lease.current || this->lease.current->instance != instance ||
      sent_at < this->process_since)
    return;
  this->HearWorkPercent(this->ReadLoad(instance, request_id, headers));
  this->HearNamedLimit(request_id, headers, sent_at);
  this->HearLeaving(instance, request_id, headers);
  this->MarkHeard();
}

// Until the upstream has responded, its limit is not known. Few requests start
// until then, so that a node that was restarted beside an overloaded upstream
// does not fill all its slots at once.
int Gate::UsableSlots() const {
  if (!this->lease.current)
    return 1;
  const int slots = this->lease.current->slots;
  return this->heard ? slots : std::min(slots, kSlotsUnheard);
}

void Gate::HearNamedLimit(std::string_view request_id,
                          const HttpHeaders& headers,
                          TimePoint sent_at) {
  const std::string_view text = FindHeader(headers, this->names.named_limit);
  // A response without a signature may be forged, and is no proof that the
  // limit has ended.
  if (text.empty() && FindHeader(headers, this->names.signature).empty())
    return;
  const std::optional<double> named = ParseLimit(text);
  if (!text.empty() && !named) {
    this->OnInvalidLimit(request_id, text);
    return;
  }
  const NamedLimit before = this->gatekeeper.limit;
  const auto event =
      HearLimit(this->gatekeeper.limit, named, sent_at, SteadyNow());
  if (!event)
    return;
  this->limit_events.Add(*event);
  this->OnLimitSet();
  if (*event != LimitEvent::kChanged)
    this->on_status_change();
  this->LogLimit(*event, before, request_id);
}

void Gate::OnInvalidLimit(std::string_view request_id, std::string_view text) {
  this->limit_events.Add(LimitEvent::kIgnored);
  if (std::exchange(this->ignored_limit, std::string(text)) == text)
    return;
  Log(LogLevel::kWarning, "gate", "limit-ignored",
      {{"instance", this->lease.current->instance},
       {"value", text},
       {"id", request_id}});
}

void Gate::LogLimit(LimitEvent event,
                    const NamedLimit& before,
                    std::string_view request_id) {
  const TimePoint now = SteadyNow();
  if (event == LimitEvent::kChanged &&
      now - this->limit_logged_at < kMinLimitLogInterval)
    return;
  this->limit_logged_at = now;
  const Duration held =
      before.per_second ? now - before.first_named_at : Duration{0};
  const std::optional<double>& per_second = this->gatekeeper.limit.per_second;
  Log(LogLevel::kInfo, "gate", "limit",
      {{"change", NameOf(event)},
       {"instance", this->lease.current->instance},
       {"per_second", absl::StrCat(per_second.value_or(kNoLimit))},
       {"before", absl::StrCat(before.per_second.value_or(kNoLimit))},
       {"for_ms", held / std::chrono::milliseconds(1)},
       {"starts", this->starts},
       {"id", request_id}});
}

// Final, like a leave call, whatever heartbeats that are late say afterwards.
void Gate::HearLeaving(std::string_view instance,
                       std::string_view request_id,
                       const HttpHeaders& headers) {
  if (instance.empty() ||
      FindHeader(headers, this->names.leaving) != kLeavingValue)
    return;
  ++this->leaving_responses;
  if (HasAnnouncedLeave(this->lease, instance))
    return;
  Log(LogLevel::kInfo, "gate", "upstream-says-leaving",
      {{"instance", instance}, {"id", request_id}});
  (void)this->OnUpstreamLeaving({std::string(instance), 0});
}

void Gate::MarkUpstreamLost(CrashSign sign) {
  const std::string instance =
      this->lease.current ? this->lease.current->instance : "";
  // Connections to another process at the same address may be sound.
  const std::vector<Fingerprint> in_flight = sign == CrashSign::kAnotherProcess
                                                 ? std::vector<Fingerprint>{}
                                                 : this->RunsAtUpstream();
  const UpstreamEnd end{sign, instance,
                        HasAnnouncedLeave(this->lease, instance)};
  if (this->crash_evidence.OnUpstreamGone(end, in_flight))
    this->on_status_change();
  OnUpstreamUnreachable(this->lease);
  Log(LogLevel::kWarning, "gate", "upstream-unreachable",
      {{"why", NameOf(sign)}, {"instance", instance}});
  this->ApplyLease();
}

std::vector<Fingerprint> Gate::RunsAtUpstream() const {
  std::vector<Fingerprint> fingerprints;
  for (const auto& [id, run] : this->runs) {
    if (run.call != nullptr && LoopClient::MayHaveSent(run.call))
      fingerprints.push_back(run.fingerprint);
  }
  return fingerprints;
}

// Without this check a crash under light traffic would go unnoticed until the
// next request fails to connect.
bool Gate::CheckUpstreamListening() {
  if (this->checking)
    return true;
  const TimePoint now = SteadyNow();
  if (const TimePoint allowed_at = this->checked_at + kMinCheckInterval;
      now < allowed_at) {
    this->check_timer.expires_after(allowed_at - now);
    this->check_timer.async_wait([this](boost::system::error_code error) {
      if (!error)
        this->CheckUpstreamListening();
    });
    return false;
  }
  this->checked_at = now;
  this->checking = true;
  this->pool.CheckListening(
      [this](bool listening) { this->OnListeningChecked(listening); });
  return true;
}

// The crash is reported before the results, on the same links: an entry that
// retries the request at once then knows of it.
void Gate::OnListeningChecked(bool listening) {
  this->checking = false;
  if (!listening)
    this->MarkUpstreamLost(CrashSign::kNotListening);
  for (auto& [id, result] : std::exchange(this->awaiting_check, {})) {
    if (this->runs.contains(id))
      this->Finish(id, false, result);
  }
}

}  // namespace teaselspread
