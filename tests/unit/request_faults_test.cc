#include <criterion/criterion.h>

#include <set>
#include <string>
#include <vector>

#include "teaselspread/connections.h"
#include "teaselspread/retry.h"
#include "teaselspread/suspects.h"

namespace teaselspread {
namespace {

using Ms = std::chrono::milliseconds;
using Seconds = std::chrono::seconds;

const TimePoint kStart{std::chrono::hours(1)};

FailedAttempt MakeFailed(ErrorKind kind, bool not_run, bool idempotent) {
  FailedAttempt attempt;
  attempt.kind = kind;
  attempt.not_run = not_run;
  attempt.idempotent = idempotent;
  attempt.deadline = kStart + Seconds(2);
  attempt.min_attempt_time = Ms(10);
  return attempt;
}

RetryReason Decide(const FailedAttempt& attempt) {
  RetryBudget budget;
  return DecideRetry(budget, attempt, kStart);
}

// A retried request makes its calls again, and each of these may be retried. If
// both took all retries that are agreed, the service that is called would get
// twice as many as agreed.
Test(retry, repeated_calls_and_retries_of_calls_share_what_is_agreed) {
  constexpr int kRequests = 10'000;
  constexpr int kCallsPerRequest = 2;
  RetryBudget of_requests;
  RetryBudget of_calls;
  FailedAttempt request = MakeFailed(ErrorKind::kUpstreamFailed, false, true);
  request.nests_calls = true;
  FailedAttempt call = MakeFailed(ErrorKind::kUpstreamShed, true, true);
  call.nests_calls = true;
  int repeats = 0;
  for (int i = 0; i < kRequests; ++i) {
    OnFirstAttempt(of_requests);
    if (IsRetry(DecideRetry(of_requests, request, kStart)))
      repeats += kCallsPerRequest;
    for (int n = 0; n < kCallsPerRequest; ++n) {
      OnFirstAttempt(of_calls);
      repeats += IsRetry(DecideRetry(of_calls, call, kStart)) ? 1 : 0;
    }
  }
  const int calls = kRequests * kCallsPerRequest;
  const double agreed = of_calls.settings.retry_ratio * calls;
  const double burst = of_calls.settings.burst * kCallsPerRequest;
  cr_assert_leq(repeats, agreed + burst, "%d", repeats);
  cr_assert_geq(repeats, agreed - burst, "%d", repeats);
}

// Guards against a node at which few calls enter: retries of the requests that
// make calls must not depend on what it has seen of the calls themselves.
Test(retry, a_request_that_makes_calls_is_retried_again_later) {
  RetryBudget budget;
  FailedAttempt failed = MakeFailed(ErrorKind::kUpstreamFailed, false, true);
  failed.nests_calls = true;
  while (IsRetry(DecideRetry(budget, failed, kStart))) {
  }
  for (int i = 0; i < 20; ++i)
    OnFirstAttempt(budget);
  cr_assert(IsRetry(DecideRetry(budget, failed, kStart)));
}

// Retrying an attempt that may have run could execute it twice; not retrying
// one that did not run fails it without need.
Test(retry, only_unexecuted_or_idempotent_requests_are_retried) {
  struct Case {
    ErrorKind kind;
    bool not_run;
    bool idempotent;
    RetryReason expected;
  };
  const std::vector<Case> cases = {
      {ErrorKind::kQueueFull, true, false, RetryReason::kRetriedNotRun},
      {ErrorKind::kConnectFailed, true, false, RetryReason::kRetriedNotRun},
      {ErrorKind::kTimeout, false, false, RetryReason::kRefusedMayHaveRun},
      {ErrorKind::kTruncated, false, false, RetryReason::kRefusedMayHaveRun},
      {ErrorKind::kTimeout, false, true, RetryReason::kRetriedIdempotent},
      {ErrorKind::kTruncated, false, true, RetryReason::kRetriedIdempotent},
      {ErrorKind::kBadRequest, true, true, RetryReason::kRefusedNotRetryable},
      {ErrorKind::kCancelled, false, true, RetryReason::kRefusedNotRetryable},
      {ErrorKind::kCrashSuspect, true, true, RetryReason::kRefusedNotRetryable},
      {ErrorKind::kOutcomeUnknown, false, true,
       RetryReason::kRefusedNotRetryable},
  };
  for (const Case& c : cases) {
    const auto reason = Decide(MakeFailed(c.kind, c.not_run, c.idempotent));
    cr_assert(reason == c.expected, "%s: %s",
              std::string(NameOf(c.kind)).c_str(),
              std::string(NameOf(reason)).c_str());
  }
}

// The remaining time is shorter than an attempt takes, or no upstream or
// attempt is left.
Test(retry, a_retry_needs_time_and_another_upstream) {
  FailedAttempt attempt = MakeFailed(ErrorKind::kQueueFull, true, false);
  attempt.deadline = kStart + Ms(5);
  cr_assert(Decide(attempt) == RetryReason::kRefusedDeadline);
  attempt = MakeFailed(ErrorKind::kQueueFull, true, false);
  attempt.has_other_upstream = false;
  cr_assert(Decide(attempt) == RetryReason::kRefusedNoOtherUpstream);
  attempt.has_other_upstream = true;
  attempt.attempts_made = 3;
  cr_assert(Decide(attempt) == RetryReason::kRefusedAttempts);
}

// Every attempt fails for minutes. Three attempts for each request would
// triple the load on upstreams that fail from overload already.
Test(retry, a_lasting_fault_adds_no_more_than_the_budget) {
  RetryBudget budget;
  const auto failed = MakeFailed(ErrorKind::kUpstreamShed, true, true);
  int sent = 0;
  for (int i = 0; i < 10000; ++i) {
    OnFirstAttempt(budget);
    ++sent;
    sent += IsRetry(DecideRetry(budget, failed, kStart));
  }
  cr_assert(sent <= 11010, "%d sent for 10,000 requests", sent);
  cr_assert(budget.counters.Get(RetryReason::kRefusedBudget) > 8000);
}

// One request crashes each upstream that runs it, and its caller retries it.
// The others that were in flight are harmless and are retried, too.
Test(suspects, two_crashes_refuse_a_request_and_clean_runs_clear_others) {
  SuspectTable table;
  table.origin = 1;
  const std::vector<Fingerprint> in_flight = {10, 11, 12, 99};
  OnCrash(table, in_flight, kStart);
  cr_assert(StateOf(table, 99, kStart) == SuspectState::kAlone);
  for (const Fingerprint other : {10, 11, 12}) {
    OnCleanRun(table, other, kStart);
    cr_assert(StateOf(table, other, kStart) == SuspectState::kClear);
  }
  const std::vector<Fingerprint> alone = {99};
  OnCrash(table, alone, kStart);
  cr_assert(StateOf(table, 99, kStart) == SuspectState::kRefused);
  cr_assert(StateOf(table, 99, kStart + std::chrono::minutes(11)) ==
            SuspectState::kClear);
}

// A run that ended at its deadline, or since a call that it made failed, ended
// before it could crash the upstream.
Test(suspects, a_run_cut_short_proves_nothing) {
  for (const int status : {500, 502, 503, 504})
    cr_assert_not(IsCleanRun(status), "%d", status);
  for (const int status : {200, 204, 304, 404, 409})
    cr_assert(IsCleanRun(status), "%d", status);
}

// Guards against a harmless request that ran beside the cause of three crashes
// and is refused for as long as the cause itself, and against one that is run
// by all nodes at once when its refusal ends.
Test(suspects, a_refusal_ends_and_the_next_one_lasts_longer) {
  constexpr int kNodes = 13;
  const std::vector<Fingerprint> in_flight = {99};
  std::set<TimePoint> ends;
  for (std::uint64_t node = 0; node < kNodes; ++node) {
    SuspectTable table;
    table.origin = node * 97;
    table.settings.crash_limit = 3;
    table.settings.first_refusal = Seconds(60);
    for (int i = 0; i < 3; ++i)
      OnCrash(table, in_flight, kStart);
    const Duration first = RefusedFor(table, 99, kStart);
    cr_assert(first >= Seconds(60) && first <= Seconds(75));
    cr_assert(StateOf(table, 99, kStart + first) == SuspectState::kAlone);
    cr_assert(IsNearLimit(table, 99, kStart + first));
    ends.insert(kStart + first);
    OnCrash(table, in_flight, kStart + first);
    cr_assert(RefusedFor(table, 99, kStart + first) >= Seconds(120));
    OnCleanRun(table, 99, kStart + first);
    cr_assert(StateOf(table, 99, kStart + first) == SuspectState::kClear);
  }
  cr_assert_eq(ends.size(), kNodes);
}

// Two upstreams crash at the same time, and their nodes exchange rows in any
// order and more than once. If they counted as one crash, a third would follow.
Test(suspects, crashes_seen_by_different_nodes_add_up_once) {
  const std::vector<Fingerprint> in_flight = {99};
  SuspectTable a;
  SuspectTable b;
  a.origin = 1;
  b.origin = 2;
  const auto from_a = OnCrash(a, in_flight, kStart);
  const auto from_b = OnCrash(b, in_flight, kStart);
  cr_assert(MergeSuspects(a, from_b, kStart).size() == 1);
  cr_assert(MergeSuspects(a, from_b, kStart).empty(), "changed only once");
  MergeSuspects(b, from_a, kStart);
  cr_assert(StateOf(a, 99, kStart) == SuspectState::kRefused);
  cr_assert(StateOf(b, 99, kStart) == SuspectState::kRefused);
  const auto cleared = OnCleanRun(a, 99, kStart);
  MergeSuspects(b, cleared, kStart);
  MergeSuspects(b, from_a, kStart);
  cr_assert(StateOf(b, 99, kStart) == SuspectState::kClear, "late rumour");
  ExpireSuspects(b, kStart + std::chrono::minutes(11));
  cr_assert(b.requests.empty());
}

std::vector<std::uint64_t> OpenIdle(ConnectionPool& pool, int count) {
  std::vector<std::uint64_t> ids;
  ids.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i)
    ids.push_back(Acquire(pool, kStart).id);
  for (const std::uint64_t id : ids)
    cr_assert(Release(pool, id, ConnectionEnd::kComplete, kStart).empty());
  return ids;
}

// A firewall between two nodes restarts and drops the state of all connections.
// They stay open but deliver no byte. If each were tried in turn, each would
// cost one request its whole time-out.
Test(connections, one_silent_connection_replaces_the_others_of_its_age) {
  ConnectionPool pool;
  (void)OpenIdle(pool, 20);
  const TimePoint used = kStart + Seconds(1);
  const AcquireResult first = Acquire(pool, used);
  cr_assert(first.kind == AcquireKind::kReuse);
  const TimePoint noticed = used + Ms(5001);
  cr_assert(SilentConnections(pool, used + Seconds(5)).empty());
  cr_assert(SilentConnections(pool, noticed).front() == first.id);
  const auto closed = Release(pool, first.id, ConnectionEnd::kSilent, noticed);
  cr_assert(closed.size() == 20);
  cr_assert(Acquire(pool, noticed).kind == AcquireKind::kOpen);
}

// The same, while a younger connection delivers bytes. It works and is kept.
Test(connections, a_connection_with_later_bytes_is_kept) {
  ConnectionPool pool;
  (void)OpenIdle(pool, 2);
  const std::uint64_t silent = Acquire(pool, kStart + Seconds(1)).id;
  const std::uint64_t responding = Acquire(pool, kStart + Seconds(1)).id;
  OnByte(pool, responding, kStart + Seconds(2));
  cr_assert(
      Release(pool, responding, ConnectionEnd::kComplete, kStart + Seconds(2))
          .empty());
  const auto closed =
      Release(pool, silent, ConnectionEnd::kSilent, kStart + Seconds(7));
  cr_assert(closed.size() == 1);
  const AcquireResult next = Acquire(pool, kStart + Seconds(7));
  cr_assert(next.kind == AcquireKind::kReuse);
  cr_assert(next.id == responding);
}

// A response was truncated, timed out or cancelled. The rest of it may still
// arrive and would be taken for the response to the next request on that
// connection.
Test(connections, no_connection_is_reused_after_a_broken_response) {
  for (const ConnectionEnd end :
       {ConnectionEnd::kTimeout, ConnectionEnd::kCancelled,
        ConnectionEnd::kShortBody, ConnectionEnd::kSilent,
        ConnectionEnd::kError}) {
    ConnectionPool pool;
    const std::uint64_t id = Acquire(pool, kStart).id;
    cr_assert(Release(pool, id, end, kStart).front() == id);
    cr_assert(Acquire(pool, kStart).id != id);
  }
}

// Requests pile up on a slow target.
Test(connections, no_more_than_the_limit_and_none_that_idled_too_long) {
  ConnectionPool pool;
  pool.settings.max_connections = 3;
  const auto ids = OpenIdle(pool, 3);
  const TimePoint later = kStart + Seconds(31);
  const AcquireResult acquired = Acquire(pool, later);
  cr_assert(acquired.close.size() == 3);
  (void)Acquire(pool, later);
  (void)Acquire(pool, later);
  cr_assert(Acquire(pool, later).kind == AcquireKind::kLimit);
}

}  // namespace
}  // namespace teaselspread
