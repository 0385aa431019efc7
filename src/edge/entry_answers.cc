// How requests end: the response that the caller gets, and the statistics and
// log lines that follow from it.
#include "edge/entry.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <string>
#include <utility>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include "base/clock.h"
#include "teaselspread/accounts.h"
#include "teaselspread/logging.h"

namespace teaselspread {
namespace {

constexpr std::int64_t kMicrosPerMilli = 1000;
constexpr double kMicrosPerSecond = 1e6;
constexpr double kPercent = 100;
// Time constant with which failure ratios decay, so that an upstream that
// failed is tried again.
constexpr double kFailureDecaySeconds = 3.0;
constexpr double kNewestOutcomeWeight = 0.15;
// Weight of the newest response in the mean bytes of a route's responses.
constexpr double kNewestResponseWeight = 0.1;

std::string FormatSeconds(Duration span) {
  return absl::StrFormat("%.3f",
                         static_cast<double>(span.count()) / kMicrosPerSecond);
}

// The service had no capacity for the request in time.
constexpr std::array<ErrorKind, 3> kCapacityRefusals = {
    ErrorKind::kDeadlineTooShort, ErrorKind::kQueueFull,
    ErrorKind::kQueueTimeout};

bool IsCapacityRefusal(ErrorKind kind) {
  return std::find(kCapacityRefusals.begin(), kCapacityRefusals.end(), kind) !=
         kCapacityRefusals.end();
}

// Left out of the line if the configuration has no accounts.
LogField AccountField(const Snapshot* snapshot, const AccountConfig* account) {
  return FieldIf(snapshot != nullptr && snapshot->has_accounts, "account",
                 account == nullptr ? std::string_view{} : account->name);
}

// The fields of a line about a request over its account's limit; left out of
// other lines.
struct QuotaFields {
  LogField lender = FieldIf(false, "lender", "");
  LogField lender_age = FieldIf(false, "lender_age_ms", "");
  LogField alone = FieldIf(false, "alone", "");
};

QuotaFields QuotaFieldsOf(const QuotaStanding& standing) {
  const std::string age =
      standing.answer_age
          ? absl::StrCat(standing.answer_age->count() / kMicrosPerMilli)
          : "";
  return {{"lender", standing.lender},
          {"lender_age_ms", age},
          {"alone", standing.alone ? 1 : 0}};
}

HttpResponse MakeErrorResponse(ErrorKind kind, Duration retry_after) {
  HttpResponse response = ErrorResponse(Error{kind, std::string(NameOf(kind))});
  if (TraitsOf(kind).retry_after)
    SetHeader(response.headers, kHeaderRetryAfter, FormatSeconds(retry_after));
  if (kind == ErrorKind::kUnauthorized)
    SetHeader(response.headers, kHeaderAuthenticate, "Bearer");
  return response;
}

}  // namespace

std::uint64_t CapacityRefusals(const EntryCounters& counters) {
  std::uint64_t refused = 0;
  for (const ErrorKind kind : kCapacityRefusals)
    refused += counters.refusals.Get(kind);
  return refused;
}

void Entry::ForwardResponse(std::uint64_t id, HttpResponse response) {
  const auto found = this->pending_requests.find(id);
  PendingRequest& pending = found->second;
  ++this->counters.answered;
  const auto bytes = static_cast<double>(response.body.size());
  double& mean =
      this->mean_response_bytes.try_emplace(pending.route->name, bytes)
          .first->second;
  mean += kNewestResponseWeight * (bytes - mean);
  RecordLatency(this->latency_by_route[pending.route->name],
                SteadyNow() - pending.exchange->received_at);
  RemoveHopHeaders(response.headers);
  this->CountDemand(pending, false);
  this->LogDecision(pending, "answered", ErrorKind::kInternal, response.status);
  this->CancelAttempts(id, pending);
  const ExchangePtr exchange = pending.exchange;
  this->pending_requests.erase(found);
  SendResponse(*exchange, std::move(response));
}

// For most refusals `kind` means "not run", which must hold for every attempt.
// Once one may have run, the error is kOutcomeUnknown instead.
void Entry::SendError(std::uint64_t id, ErrorKind kind, Duration retry_after) {
  const auto found = this->pending_requests.find(id);
  PendingRequest& pending = found->second;
  const bool claims_not_run = TraitsOf(kind).execution == Execution::kNotRun;
  if (claims_not_run && pending.may_have_run)
    kind = ErrorKind::kOutcomeUnknown;
  if (kind == ErrorKind::kPeerUnreachable && pending.may_have_run)
    kind = ErrorKind::kOutcomeUnknown;
  const Duration spread = JitteredRetryAfter(retry_after, this->rng);
  HttpResponse response = MakeErrorResponse(kind, spread);
  const HttpRequest& request = pending.exchange->request;
  SetHeader(response.headers, kHeaderRequestId,
            FindHeader(request.headers, kHeaderRequestId));
  this->counters.refusals.Add(kind);
  this->ReleaseToken(id, pending);
  // A request over its account's limit asks nothing of the service.
  if (kind != ErrorKind::kQuotaExceeded)
    this->CountDemand(pending, IsCapacityRefusal(kind));
  this->LogDecision(pending, "refused", kind, response.status);
  this->CancelAttempts(id, pending);
  const ExchangePtr exchange = pending.exchange;
  this->pending_requests.erase(found);
  SendResponse(*exchange, std::move(response));
}

void Entry::EndUnserved(std::uint64_t id,
                        ErrorKind kind,
                        Duration retry_after) {
  PendingRequest& pending = this->pending_requests.at(id);
  if (!pending.silent.empty())
    return;
  if (pending.has_response)
    this->ForwardResponse(id, std::move(pending.response));
  else
    this->SendError(id, kind, retry_after);
}

// Calls of running requests are not counted: they go before all others, so they
// show nothing about the remaining capacity.
void Entry::CountDemand(const PendingRequest& pending, bool refused) {
  if (pending.nested || pending.shed_ratio > 0)
    return;
  RecordDemand(this->shortage, pending.service,
               EffectivePriority(pending.account, *pending.route).priority,
               refused, SteadyNow());
}

void Entry::RefuseImmediately(const ExchangePtr& exchange,
                              ErrorKind kind,
                              std::string_view cause) {
  SendResponse(*exchange, this->RefusalOf(exchange->request, kind, cause));
}

HttpResponse Entry::RefusePartial(const HttpRequest& head, ErrorKind kind) {
  ++this->counters.requests;
  return this->RefusalOf(head, kind, "not-received");
}

HttpResponse Entry::RefusalOf(const HttpRequest& request,
                              ErrorKind kind,
                              std::string_view cause) {
  this->counters.refusals.Add(kind);
  const std::string_view request_id =
      FindHeader(request.headers, kHeaderRequestId);
  const Duration retry_after =
      kind == ErrorKind::kMemoryBudget ? kMemoryRetryAfter : kEntryRetryAfter;
  HttpResponse response =
      MakeErrorResponse(kind, JitteredRetryAfter(retry_after, this->rng));
  if (!request_id.empty())
    SetHeader(response.headers, kHeaderRequestId, request_id);
  Log(LogLevel::kInfo, "requests", "refused",
      {{"id", request_id},
       {"reason", NameOf(kind)},
       FieldIf(!cause.empty(), "cause", cause),
       AccountField(this->snapshot.get(), nullptr),
       {"config", this->snapshot ? this->snapshot->version : 0},
       {"host", FindHeader(request.headers, "Host")},
       {"path", PathOf(request)}});
  return response;
}

void Entry::ReportOutcome(const PendingRequest& pending,
                          const Attempt& attempt,
                          bool failed,
                          Duration run_time) {
  const Peer* peer = this->links.Find(attempt.node);
  const GateStatus own = this->gate.Status();
  const GateStatus& seen = peer == nullptr ? own : peer->status;
  TrialResponse trial_response;
  trial_response.instance = seen.instance;
  trial_response.route = pending.route->name;
  trial_response.bad = failed;
  trial_response.timed = seen.warm_up_ms == 0;
  trial_response.latency = run_time;
  this->versions.OnResponse(pending.service, attempt.version, trial_response);
}

void Entry::RecordOutcome(const std::string& node, bool failed) {
  NodeHealth& record = this->node_health[node];
  const TimePoint now = SteadyNow();
  record.failure_ratio = this->FailureRatio(node, now);
  record.failure_ratio +=
      kNewestOutcomeWeight * ((failed ? 1.0 : 0.0) - record.failure_ratio);
  record.updated_at = now;
}

double Entry::FailureRatio(const std::string& node, TimePoint now) {
  const auto found = this->node_health.find(node);
  if (found == this->node_health.end())
    return 0;
  const Duration age = now - found->second.updated_at;
  const double seconds = static_cast<double>(age.count()) / kMicrosPerSecond;
  return found->second.failure_ratio *
         std::exp(-seconds / kFailureDecaySeconds);
}

void Entry::LogDecision(const PendingRequest& pending,
                        std::string_view outcome,
                        ErrorKind kind,
                        int status) {
  const TimePoint now = SteadyNow();
  const Duration age = now - pending.exchange->received_at;
  const Peer* peer = this->links.Find(pending.attempt.node);
  const GateStatus seen = peer == nullptr ? this->gate.Status() : peer->status;
  const Duration seen_age =
      peer == nullptr ? Duration{0} : now - peer->status_received_at;
  const SpeedFactor speed = peer == nullptr ? this->gate.Speed() : peer->speed;
  std::optional<std::uint32_t> speed_percent;
  std::optional<std::int64_t> speed_age_ms;
  if (speed.reported) {
    speed_percent = PercentAt(speed, now);
    speed_age_ms = (now - speed.reported_at).count() / kMicrosPerMilli;
  }
  std::optional<std::uint32_t> silent;
  if (!pending.silent.empty())
    silent = static_cast<std::uint32_t>(pending.silent.size());
  const QuotaFields quota_fields =
      kind == ErrorKind::kQuotaExceeded
          ? QuotaFieldsOf(this->quota.StandingOf(pending.account->name))
          : QuotaFields{};
  Log(LogLevel::kInfo, "requests", outcome,
      {{"id", FindHeader(pending.exchange->request.headers, kHeaderRequestId)},
       {"reason", kind == ErrorKind::kInternal ? "" : NameOf(kind)},
       {"status", status},
       {"route", pending.route->name},
       AccountField(pending.snapshot.get(), pending.account),
       quota_fields.lender,
       quota_fields.lender_age,
       quota_fields.alone,
       {"config", pending.snapshot->version},
       {"to", pending.service},
       {"version", pending.attempt.version},
       {"node", pending.attempt.node},
       {"instance", seen.instance},
       {"load", seen.running + seen.waiting},
       {"slots", seen.slots},
       {"limit",
        seen.limit_per_second ? absl::StrCat(*seen.limit_per_second) : ""},
       {"load_age_ms", seen_age.count() / kMicrosPerMilli},
       {"speed", speed_percent},
       {"speed_age_ms", speed_age_ms},
       {"spent_ms", pending.time_waited.count() / kMicrosPerMilli},
       {"attempts", pending.attempts},
       {"refusals", pending.refusals},
       {"silent", silent},
       {"retry", pending.retry_reason ? NameOf(*pending.retry_reason) : ""},
       {"other_versions", pending.other_versions},
       {"shed_percent", std::lround(pending.shed_ratio * kPercent)},
       {"ran_ms", pending.run_time.count() / kMicrosPerMilli},
       {"took_ms", age.count() / kMicrosPerMilli}});
}

}  // namespace teaselspread
