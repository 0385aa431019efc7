// What a silent or lost link means for the requests that were sent over it.
//
// A silent link may be sound: on a full line, what is sent and received only
// comes late. So no request is given up for it. One that may run twice gets a
// second attempt elsewhere, and the first response counts.
#include "edge/entry.h"

#include <algorithm>
#include <utility>

#include "base/clock.h"

namespace teaselspread {
namespace {

constexpr int kFirstServerError = 500;

}  // namespace

bool IsFailure(const HttpResponse& response) {
  return response.status >= kFirstServerError;
}

void Entry::OnCallsLost(const std::string& node, const CallIds& calls) {
  for (const std::uint64_t id : calls) {
    ResultFrame result;
    result.call_id = id;
    result.error = ErrorKind::kPeerUnreachable;
    result.execution = Execution::kUnknown;
    this->OnResult(node, std::move(result));
  }
}

void Entry::OnCallsSilent(const std::string& node, const CallIds& calls) {
  for (const std::uint64_t id : calls)
    this->RetryBesideSilent(id, node);
}

void Entry::RetryBesideSilent(std::uint64_t id, const std::string& node) {
  const auto found = this->pending_requests.find(id);
  if (found == this->pending_requests.end())
    return;
  PendingRequest& pending = found->second;
  if (!pending.route->idempotent || !pending.in_flight ||
      pending.attempt.node != node)
    return;
  // Asked again while the link stays silent, as the budget grows meanwhile. No
  // other reason to refuse a retry passes.
  const bool refused = pending.retry_reason && !IsRetry(*pending.retry_reason);
  if (refused && (pending.retry_reason != RetryReason::kRefusedBudget ||
                  this->BudgetOf(pending.service).tokens < 1))
    return;
  pending.silent.push_back(pending.attempt);
  if (!this->MayRetry(pending, ErrorKind::kPeerUnreachable, false)) {
    pending.silent.pop_back();
    return;
  }
  pending.in_flight = false;
  this->TryNext(id);
}

bool Entry::ResumeSilent(std::uint64_t id,
                         PendingRequest& pending,
                         const std::string& node,
                         const ResultFrame& result) {
  const auto earlier =
      std::find_if(pending.silent.begin(), pending.silent.end(),
                   [&](const Attempt& sent) { return sent.node == node; });
  if (earlier == pending.silent.end())
    return false;
  Attempt attempt = std::move(*earlier);
  pending.silent.erase(earlier);
  const bool served = result.has_response && !IsFailure(result.response);
  if (pending.in_flight && !served) {
    this->RecordUnserved(pending, attempt, result);
    return false;
  }
  if (pending.in_flight)
    this->CancelAttempt(id, pending.attempt);
  pending.attempt = std::move(attempt);
  return true;
}

// The later attempt decides how the request ends.
void Entry::RecordUnserved(PendingRequest& pending,
                           const Attempt& attempt,
                           const ResultFrame& result) {
  const bool not_run =
      !result.has_response && result.execution == Execution::kNotRun;
  if (not_run && result.error != ErrorKind::kUpstreamShed)
    return;
  ++pending.attempts;
  this->RecordOutcome(attempt.node, true);
  if (not_run)
    return;
  pending.may_have_run = true;
  this->ReportOutcome(pending, attempt, true,
                      Duration(result.upstream_time_us));
}

void Entry::CancelAttempt(std::uint64_t id, const Attempt& attempt) {
  if (attempt.at_own_gate)
    this->gate.Cancel(id);
  else
    this->links.Cancel(attempt.node, id);
}

void Entry::CancelAttempts(std::uint64_t id, const PendingRequest& pending) {
  if (pending.in_flight)
    this->CancelAttempt(id, pending.attempt);
  for (const Attempt& attempt : pending.silent)
    this->CancelAttempt(id, attempt);
}

}  // namespace teaselspread
