// Decides whether a failed attempt may be retried on another upstream.
#ifndef TEASELSPREAD_RETRY_H_
#define TEASELSPREAD_RETRY_H_

#include <cstdint>
#include <string_view>

#include "teaselspread/counters.h"
#include "teaselspread/error.h"
#include "teaselspread/types.h"

namespace teaselspread {

// Why an attempt was retried, or why it was not. One counter for each.
enum class RetryReason : std::uint8_t {
  kRetriedNotRun,
  kRetriedIdempotent,
  kRefusedMayHaveRun,
  kRefusedNotRetryable,
  kRefusedDeadline,
  kRefusedBudget,
  kRefusedAttempts,
  kRefusedNoOtherUpstream,
  kCount,
};

// Short stable name, used as a counter label. Thread safe.
[[nodiscard]] std::string_view NameOf(RetryReason reason);

struct RetrySettings {
  // Long-term ratio of retries to first attempts.
  double retry_ratio = 0.1;
  // Maximum number of tokens: the retries that a node may send at once after
  // few were needed.
  double burst = 10;
  int max_attempts = 3;
};

// A token bucket that first attempts fill and retries empty. Under a lasting
// fault, the number of requests sent stays below (1 + retry_ratio) times those
// received, so retries cannot sustain an overload.
struct RetryBudget {
  RetrySettings settings;
  double tokens = 10;
  CounterTable<RetryReason> counters;
};

// Facts about a failed attempt.
struct FailedAttempt {
  ErrorKind kind = ErrorKind::kInternal;
  // The upstream or gatekeeper reported, or the connection state shows, that
  // the request did not run.
  bool not_run = false;
  bool idempotent = false;
  int attempts_made = 1;
  // There is an upstream that was not tried yet.
  bool has_other_upstream = true;
  TimePoint deadline;
  // Minimum time that an attempt needs on this route.
  Duration min_attempt_time{};
  // Whether it is a nested call, or a request that makes nested calls. A
  // service that is called gets repeated calls from both: from entries that
  // retry the call, and from runs of requests that were retried.
  bool nests_calls = false;
};

// Adds to the budget for a first attempt. Not thread safe.
void OnFirstAttempt(RetryBudget& budget);

// Decides on a retry, takes a token if it is allowed (two if `nests_calls`; the
// budget may become negative), and counts the reason.
// kRetried... means "send it to another upstream now". Not thread safe.
[[nodiscard]] RetryReason DecideRetry(RetryBudget& budget,
                                      const FailedAttempt& attempt,
                                      TimePoint now);

// True for the reasons that allow the retry. Thread safe.
[[nodiscard]] bool IsRetry(RetryReason reason);

// Retry-After for a refused caller: uniform over [base, 2 base), so that
// callers refused at the same time do not retry at the same time. Thread safe.
[[nodiscard]] Duration JitteredRetryAfter(Duration base, Rng& rng);

}  // namespace teaselspread

#endif  // TEASELSPREAD_RETRY_H_
