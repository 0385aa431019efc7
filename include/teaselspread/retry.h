// Whether a failed attempt may be repeated on another upstream.
#ifndef TEASELSPREAD_RETRY_H_
#define TEASELSPREAD_RETRY_H_

#include <cstdint>
#include <string_view>

#include "teaselspread/counters.h"
#include "teaselspread/error.h"
#include "teaselspread/types.h"

namespace teaselspread {

// Why an attempt was repeated, or why it was not. One counter for each.
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
  // Retries for each first attempt, over the long run.
  double retry_ratio = 0.1;
  // Most retries that can be saved up: what a quiet node may send at once.
  double burst = 10;
  int max_attempts = 3;
};

// A token bucket that first attempts fill and retries empty. Under a lasting
// fault the requests sent stay below (1 + share) of those asked, so retries
// cannot feed an overload.
struct RetryBudget {
  RetrySettings settings;
  double tokens = 10;
  CounterTable<RetryReason> counters;
};

// What is known of a failed attempt.
struct FailedAttempt {
  ErrorKind kind = ErrorKind::kInternal;
  // The upstream or gatekeeper said, or the connection shows, that nothing ran.
  bool not_run = false;
  bool idempotent = false;
  int attempts_made = 1;
  // An upstream that was not tried yet exists.
  bool has_other_upstream = true;
  TimePoint deadline;
  // Least time that an attempt needs on this route.
  Duration min_attempt_time{};
};

// A first attempt was made: adds to the budget. Not thread safe.
void OnFirstAttempt(RetryBudget& budget);

// Decides on a repeat, takes a token if there is one, and counts the reason.
// kRetried... means "send it again elsewhere now". Not thread safe.
[[nodiscard]] RetryReason DecideRetry(RetryBudget& budget,
                                      const FailedAttempt& attempt,
                                      TimePoint now);

// True for the reasons that mean "send it again". Thread safe.
[[nodiscard]] bool IsRetry(RetryReason reason);

// Retry-After for a refused caller: `base` spread evenly over [base, 2 base),
// so that those refused together do not return together. Thread safe.
[[nodiscard]] Duration JitteredRetryAfter(Duration base, Rng& rng);

}  // namespace teaselspread

#endif  // TEASELSPREAD_RETRY_H_
