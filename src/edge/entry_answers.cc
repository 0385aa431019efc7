// How requests end: the answer that the caller gets, and what it teaches.
#include "edge/entry.h"

#include <cmath>
#include <string>
#include <utility>

#include <absl/strings/str_format.h>

#include "base/clock.h"
#include "teaselspread/logging.h"

namespace teaselspread {
namespace {

constexpr std::int64_t kMicrosPerMilli = 1000;
constexpr double kMicrosPerSecond = 1e6;
constexpr double kPercent = 100;
// Failures fade with this time constant, so that an upstream which was bad is
// tried again.
constexpr double kFailureFadeSeconds = 3.0;
constexpr double kNewestShare = 0.15;
// Weight of the newest answer in the mean bytes of a route's answers.
constexpr double kNewestAnswer = 0.1;

std::string SecondsText(Duration span) {
  return absl::StrFormat("%.3f",
                         static_cast<double>(span.count()) / kMicrosPerSecond);
}

// The service had no room for the request in time.
bool IsWantOfRoom(ErrorKind kind) {
  return kind == ErrorKind::kDeadlineTooShort ||
         kind == ErrorKind::kQueueFull || kind == ErrorKind::kQueueTimeout;
}

HttpResponse ErrorWith(ErrorKind kind, Duration retry_after) {
  HttpResponse response = ErrorResponse(Error{kind, std::string(NameOf(kind))});
  if (AnswerOf(kind).retry_after)
    SetHeader(response.headers, kHeaderRetryAfter, SecondsText(retry_after));
  return response;
}

}  // namespace

void Entry::GiveAnswer(std::uint64_t id, HttpResponse response) {
  const auto found = this->open.find(id);
  Pending& pending = found->second;
  ++this->counters.answered;
  const auto bytes = static_cast<double>(response.body.size());
  double& mean =
      this->answer_bytes.try_emplace(pending.route->name, bytes).first->second;
  mean += kNewestAnswer * (bytes - mean);
  RecordLatency(this->latency_by_route[pending.route->name],
                SteadyNow() - pending.exchange->received_at);
  RemoveHopHeaders(response.headers);
  this->NoteDemand(pending, false);
  this->LogDecision(pending, "answered", ErrorKind::kInternal, response.status);
  const ExchangePtr exchange = pending.exchange;
  this->open.erase(found);
  SendResponse(*exchange, response);
}

// `kind` says "not run" for most refusals, which must be true of every attempt:
// once one may have run, the answer promises nothing.
void Entry::GiveError(std::uint64_t id, ErrorKind kind, Duration retry_after) {
  const auto found = this->open.find(id);
  Pending& pending = found->second;
  const bool promises = AnswerOf(kind).execution == Execution::kNotRun;
  if (promises && pending.may_have_run)
    kind = ErrorKind::kOutcomeUnknown;
  if (kind == ErrorKind::kPeerUnreachable && pending.may_have_run)
    kind = ErrorKind::kOutcomeUnknown;
  const Duration spread = SpreadRetryAfter(retry_after, this->rng);
  HttpResponse response = ErrorWith(kind, spread);
  const HttpRequest& request = pending.exchange->request;
  SetHeader(response.headers, kHeaderRequestId,
            FindHeader(request.headers, kHeaderRequestId));
  this->counters.refusals.Add(kind);
  this->NoteDemand(pending, IsWantOfRoom(kind));
  this->LogDecision(pending, "refused", kind, response.status);
  const ExchangePtr exchange = pending.exchange;
  this->open.erase(found);
  SendResponse(*exchange, response);
}

// Calls of running requests are left out: they go before all others, so they
// tell nothing of the room that is left.
void Entry::NoteDemand(const Pending& pending, bool refused) {
  if (pending.nested || pending.short_of_room > 0)
    return;
  RecordDemand(this->shortage, pending.service, pending.route->priority,
               refused, SteadyNow());
}

void Entry::RefuseAtOnce(const ExchangePtr& exchange, ErrorKind kind) {
  this->counters.refusals.Add(kind);
  const HttpRequest& request = exchange->request;
  const std::string_view request_id =
      FindHeader(request.headers, kHeaderRequestId);
  HttpResponse response =
      ErrorWith(kind, SpreadRetryAfter(kEntryRetryAfter, this->rng));
  if (!request_id.empty())
    SetHeader(response.headers, kHeaderRequestId, request_id);
  Log(LogLevel::kInfo, "requests", "refused",
      {{"id", request_id},
       {"reason", NameOf(kind)},
       {"config", this->snapshot ? this->snapshot->version : 0},
       {"host", FindHeader(request.headers, "Host")},
       {"path", PathOf(request)}});
  SendResponse(*exchange, response);
}

void Entry::Tell(const Pending& pending, bool bad, Duration took) {
  const Peer* peer = this->links.Find(pending.node);
  const GateStatus own = this->gate.Status();
  const GateStatus& seen = peer == nullptr ? own : peer->status;
  TrialAnswer answer;
  answer.instance = seen.instance;
  answer.route = pending.route->name;
  answer.bad = bad;
  answer.timed = seen.warm_up_ms == 0;
  answer.took = took;
  this->versions.OnAnswer(pending.service, pending.version, answer);
}

void Entry::Learn(const std::string& node, bool failed) {
  NodeRecord& record = this->records[node];
  const TimePoint now = SteadyNow();
  record.failure_share = this->FailureShare(node, now);
  record.failure_share +=
      kNewestShare * ((failed ? 1.0 : 0.0) - record.failure_share);
  record.failed_at = now;
}

double Entry::FailureShare(const std::string& node, TimePoint now) {
  const auto found = this->records.find(node);
  if (found == this->records.end())
    return 0;
  const Duration age = now - found->second.failed_at;
  const double seconds = static_cast<double>(age.count()) / kMicrosPerSecond;
  return found->second.failure_share * std::exp(-seconds / kFailureFadeSeconds);
}

void Entry::LogDecision(const Pending& pending,
                        std::string_view outcome,
                        ErrorKind kind,
                        int status) {
  const TimePoint now = SteadyNow();
  const Duration age = now - pending.exchange->received_at;
  const Peer* peer = this->links.Find(pending.node);
  const GateStatus seen = peer == nullptr ? this->gate.Status() : peer->status;
  const Duration seen_age =
      peer == nullptr ? Duration{0} : now - peer->status_received_at;
  Log(LogLevel::kInfo, "requests", outcome,
      {{"id", FindHeader(pending.exchange->request.headers, kHeaderRequestId)},
       {"reason", kind == ErrorKind::kInternal ? "" : NameOf(kind)},
       {"status", status},
       {"route", pending.route->name},
       {"config", pending.snapshot->version},
       {"to", pending.service},
       {"version", pending.version},
       {"node", pending.node},
       {"instance", seen.instance},
       {"load", seen.running + seen.waiting},
       {"slots", seen.slots},
       {"load_age_ms", seen_age.count() / kMicrosPerMilli},
       {"spent_ms", pending.spent.count() / kMicrosPerMilli},
       {"attempts", pending.attempts},
       {"refusals", pending.refusals},
       {"retry", pending.retry ? NameOf(*pending.retry) : ""},
       {"other_versions", pending.other_versions},
       {"shed_percent", std::lround(pending.short_of_room * kPercent)},
       {"ran_ms", pending.ran.count() / kMicrosPerMilli},
       {"took_ms", age.count() / kMicrosPerMilli}});
}

}  // namespace teaselspread
