// When a connection is too slow, on a virtual clock.
#include "http/caller_limits.h"

#include <criterion/criterion.h>

namespace teaselspread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(1000)};
constexpr Duration kTimeout = seconds(15);

struct Outcome {
  bool was_slow = false;
  bool stalled = false;
};

// Sends `bytes` each `interval` until `total` are sent or `until` has passed.
Outcome Send(std::size_t bytes,
             Duration interval,
             std::size_t total,
             Duration until) {
  Transfer transfer{kStart, kStart, 0};
  Outcome outcome;
  for (TimePoint now = kStart; now <= kStart + until; now += milliseconds(10)) {
    outcome.was_slow = outcome.was_slow || IsSlow(transfer, now);
    outcome.stalled = outcome.stalled || HasStalled(transfer, kTimeout, now);
    if (transfer.bytes < total && now - transfer.last_moved >= interval)
      OnMoved(transfer, bytes, now);
    if (transfer.bytes >= total)
      break;
  }
  return outcome;
}

// Guards against a bound that ends the largest body on the slowest line, which
// takes 54 s at 10 Mbit/s.
Test(caller_limits, a_body_on_the_slowest_line_is_not_slow) {
  constexpr std::size_t kBytesPerStep = 12'500;
  const Outcome outcome = Send(kBytesPerStep, milliseconds(10),
                               std::size_t{64} << 20U, seconds(60));
  cr_expect(!outcome.was_slow);
  cr_expect(!outcome.stalled);
}

Test(caller_limits, a_body_that_stops_is_slow_and_then_ended) {
  const Outcome soon = Send(900'000, milliseconds(10), SIZE_MAX, seconds(0));
  cr_expect(!soon.was_slow);
  Transfer stopped{kStart, kStart + milliseconds(20), 900'000};
  cr_expect(!IsSlow(stopped, kStart + milliseconds(400)));
  cr_expect(IsSlow(stopped, kStart + milliseconds(600)));
  cr_expect(!HasStalled(stopped, kTimeout, kStart + seconds(15)));
  cr_expect(HasStalled(stopped, kTimeout, kStart + seconds(16)));
}

// Guards against a body that never pauses and never ends.
Test(caller_limits, a_body_of_single_bytes_is_ended) {
  const Outcome outcome = Send(1, milliseconds(400), SIZE_MAX, seconds(17));
  cr_expect(outcome.was_slow);
  cr_expect(outcome.stalled);
}

Test(caller_limits, short_fields_count_more_than_their_bytes) {
  cr_expect_geq(HeadMemory(3900, 16'384), 780'000U);
  cr_expect_leq(HeadMemory(12, 600), 8192U);
}

// Guards against a crowd that takes the places of callers with requests.
Test(caller_limits, callers_with_requests_keep_their_connections) {
  const TimePoint now = kStart + seconds(2);
  ConnectionState busy;
  busy.busy = true;
  busy.since = kStart;
  ConnectionState head;
  head.used = true;
  head.receives_head = true;
  head.since = now - milliseconds(20);
  cr_expect(DispensableAs(busy, now) == Dispensable::kNo);
  cr_expect(DispensableAs(head, now) == Dispensable::kNo);
  ConnectionState fresh;
  fresh.since = now - milliseconds(5);
  ConnectionState idle;
  idle.used = true;
  idle.since = kStart;
  ConnectionState silent;
  silent.since = kStart;
  ConnectionState slow_head = silent;
  slow_head.receives_head = true;
  cr_expect(DispensableAs(silent, now) == DispensableAs(slow_head, now));
  cr_expect(DispensableAs(silent, now) < DispensableAs(idle, now));
  cr_expect(DispensableAs(idle, now) < DispensableAs(fresh, now));
  cr_expect(DispensableAs(fresh, now) < Dispensable::kNo);
}

// Guards against a crowd that keeps its places by one request and a part of the
// head of the next.
Test(caller_limits, a_head_that_stops_keeps_no_connection) {
  const TimePoint now = kStart + seconds(2);
  ConnectionState stopped;
  stopped.used = true;
  stopped.receives_head = true;
  stopped.since = kStart;
  ConnectionState idle;
  idle.used = true;
  idle.since = kStart;
  cr_expect(DispensableAs(stopped, now) < DispensableAs(idle, now));
}

// Guards against a crowd that keeps its places by bodies that stop, or by
// responses after which it does not close.
Test(caller_limits, bodies_that_stop_keep_no_connection) {
  const TimePoint now = kStart + seconds(2);
  ConnectionState stopped;
  stopped.used = true;
  stopped.receives_body = true;
  stopped.body = {kStart, kStart, 100};
  cr_expect(DispensableAs(stopped, now) == Dispensable::kSlow);
  ConnectionState upload = stopped;
  // 10 Mbit/s, shared by five.
  upload.body = {kStart, now, 500'000};
  cr_expect(DispensableAs(upload, now) == Dispensable::kNo);
  ConnectionState begun = stopped;
  begun.body = {now - milliseconds(80), now - milliseconds(80), 0};
  cr_expect(DispensableAs(begun, now) == Dispensable::kNo);
  ConnectionState lingering;
  lingering.lingers = true;
  lingering.since = kStart;
  cr_expect(DispensableAs(lingering, now) == Dispensable::kSlow);
}

// Guards against shares that together exceed the descriptors, or that leave the
// links of a large fleet, the store and the upstream none.
Test(caller_limits, connections_leave_descriptors_for_the_node) {
  for (const std::size_t descriptors : {1024, 4100, 20'000}) {
    const ConnectionShares shares = SharesOf(descriptors);
    cr_expect_geq(shares.outbound, descriptors / 4);
    cr_expect_leq(shares.outbound + 3 * shares.check + descriptors / 4,
                  descriptors);
  }
}

Test(caller_limits, pipelining_shrinks_while_capacity_is_short_and_comes_back) {
  PipelineDepth depth;
  AdjustDepth(depth, 0);
  cr_expect_eq(depth.requests, kMaxPipelined);
  for (int i = 0; i < 10; ++i)
    AdjustDepth(depth, 3);
  cr_expect_eq(depth.requests, 4U);
  for (int i = 0; i < 40; ++i)
    AdjustDepth(depth, 0);
  cr_expect_eq(depth.requests, kMaxPipelined);
}

}  // namespace
}  // namespace teaselspread
