#include "teaselspread/retry.h"

#include <algorithm>
#include <array>

namespace teaselspread {
namespace {

constexpr std::array<std::string_view,
                     static_cast<std::size_t>(RetryReason::kCount)>
    kReasonNames = {"retried-not-run",      "retried-idempotent",
                    "refused-may-have-run", "refused-no-use",
                    "refused-deadline",     "refused-budget",
                    "refused-attempts",     "refused-no-other"};

// Tokens of a retry that repeats nested calls, or is one itself: each of the
// two sides takes half of the retries that the called service may get.
constexpr double kNestedRetryCost = 2;

// Whether a retry on another upstream may succeed, if the request is
// idempotent. Errors of the caller and its cancellation would not change.
bool MaySucceedElsewhere(ErrorKind kind) {
  const ErrorTraits& answer = TraitsOf(kind);
  if (answer.retry_elsewhere)
    return true;
  return answer.execution == Execution::kUnknown &&
         kind != ErrorKind::kCancelled && kind != ErrorKind::kInProgress &&
         kind != ErrorKind::kOutcomeUnknown && kind != ErrorKind::kInternal;
}

RetryReason EvaluateRetry(const RetryBudget& budget,
                          const FailedAttempt& attempt,
                          TimePoint now) {
  if (!MaySucceedElsewhere(attempt.kind))
    return RetryReason::kRefusedNotRetryable;
  if (!attempt.not_run && !attempt.idempotent)
    return RetryReason::kRefusedMayHaveRun;
  if (attempt.attempts_made >= budget.settings.max_attempts)
    return RetryReason::kRefusedAttempts;
  if (!attempt.has_other_upstream)
    return RetryReason::kRefusedNoOtherUpstream;
  if (now + attempt.min_attempt_time >= attempt.deadline)
    return RetryReason::kRefusedDeadline;
  if (budget.tokens < 1)
    return RetryReason::kRefusedBudget;
  return attempt.not_run ? RetryReason::kRetriedNotRun
                         : RetryReason::kRetriedIdempotent;
}

}  // namespace

std::string_view NameOf(RetryReason reason) {
  return kReasonNames.at(static_cast<std::size_t>(reason));
}

bool IsRetry(RetryReason reason) {
  return reason == RetryReason::kRetriedNotRun ||
         reason == RetryReason::kRetriedIdempotent;
}

void OnFirstAttempt(RetryBudget& budget) {
  budget.tokens = std::min(budget.settings.burst,
                           budget.tokens + budget.settings.retry_ratio);
}

RetryReason DecideRetry(RetryBudget& budget,
                        const FailedAttempt& attempt,
                        TimePoint now) {
  const RetryReason reason = EvaluateRetry(budget, attempt, now);
  if (IsRetry(reason))
    budget.tokens -= attempt.nests_calls ? kNestedRetryCost : 1;
  budget.counters.Add(reason);
  return reason;
}

Duration JitteredRetryAfter(Duration base, Rng& rng) {
  if (base <= Duration{})
    return base;
  return base + Duration(rng() % static_cast<std::uint64_t>(base.count()));
}

}  // namespace teaselspread
