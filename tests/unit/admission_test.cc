#include "teaselspread/admission.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <set>
#include <string>

namespace teaselspread {
namespace {

using Ms = std::chrono::milliseconds;

const TimePoint kStart{std::chrono::hours(1)};

Arrival MakeArrival(std::uint64_t id,
                    Priority priority = Priority::kNormal,
                    Duration deadline = Ms(2000)) {
  Arrival arrival;
  arrival.id = id;
  arrival.route = "filings";
  arrival.priority = priority;
  arrival.deadline = kStart + deadline;
  return arrival;
}

void SetUp(Gatekeeper& gate, int slots, Duration service_time) {
  gate.settings.slots = slots;
  const auto mean = static_cast<double>(service_time.count());
  gate.overall_service_time.mean_us = mean;
  gate.service_times["filings"].mean_us = mean;
}

GateActions FinishOne(Gatekeeper& gate, std::uint64_t id, TimePoint now) {
  Rng rng(7);
  return Finish(gate, id, Ms(10), true, now, rng);
}

// More requests arrive than the upstream has slots. One too many would be shed
// by the upstream or would slow down all of them.
Test(admission, slots_are_never_exceeded) {
  Gatekeeper gate;
  SetUp(gate, 3, Ms(10));
  Rng rng(1);
  int run = 0;
  for (std::uint64_t id = 1; id <= 10; ++id) {
    const ArrivalResult arrived = Arrive(gate, MakeArrival(id), kStart, rng);
    run += arrived.admission == Admission::kRun;
  }
  cr_assert(run == 3);
  const GateActions actions = FinishOne(gate, 1, kStart);
  cr_assert(actions.run.size() == 1);
  cr_assert(gate.running == 3);
  cr_assert(FinishOne(gate, 1, kStart).run.empty(),
            "a second Finish is ignored");
}

// Lookups of 10 ms are queued ahead of a request that has 60 ms left, while
// reads of a second run. With the mean of all runs as the estimate, the queue
// would seem to take a second, and a request that could be served is refused.
Test(admission, expected_wait_sums_the_times_of_queued_requests) {
  Gatekeeper gate;
  SetUp(gate, 4, Ms(100));
  gate.service_times["read"].mean_us = 1'000'000;
  gate.service_times["lookup"].mean_us = 10'000;
  Rng rng(1);
  std::uint64_t id = 0;
  const auto arrive = [&](const char* route, Duration aim) {
    Arrival arrival = MakeArrival(++id);
    arrival.route = route;
    arrival.aim = kStart + aim;
    return Arrive(gate, arrival, kStart, rng).admission;
  };
  for (int i = 0; i < 4; ++i)
    cr_assert(arrive("read", Ms(2000)) == Admission::kRun);
  for (int i = 0; i < 4; ++i)
    cr_assert(arrive("lookup", Ms(200)) == Admission::kQueued);
  cr_assert(QueuedTime(gate, kStart) == Ms(40));
  // 10 ms for those ahead and 25 ms until a slot is free, of 90 / 2 ms.
  cr_assert(arrive("lookup", Ms(200)) == Admission::kQueued);
  // Behind a queued read it would start too late.
  (void)arrive("read", Ms(150));
  cr_assert(QueuedTime(gate, kStart) > Ms(40));
}

// Callers that retry after a refusal have little time left. Ordered by deadline
// they would overtake first attempts, whose responses would then be late as
// well: under overload no response would be in time.
Test(admission, retries_do_not_overtake_first_attempts) {
  Gatekeeper gate;
  SetUp(gate, 1, Ms(10));
  Rng rng(1);
  cr_assert(Arrive(gate, MakeArrival(1), kStart, rng).admission ==
            Admission::kRun);
  Arrival first = MakeArrival(2, Priority::kNormal, Ms(800));
  first.aim = kStart + Ms(300);
  Arrival retry = MakeArrival(3, Priority::kNormal, Ms(500));
  retry.aim = kStart + Ms(310);
  (void)Arrive(gate, first, kStart, rng);
  (void)Arrive(gate, retry, kStart, rng);
  const std::vector<std::uint64_t> next = FinishOne(gate, 1, kStart).run;
  cr_assert(next == std::vector<std::uint64_t>(1, 2));
}

// If rate lookups of other services waited behind founders' reports, every
// report that needs a rate would be late.
Test(admission, internal_lookups_run_first_then_the_earliest_deadline) {
  Gatekeeper gate;
  SetUp(gate, 1, Ms(1));
  Rng rng(1);
  (void)Arrive(gate, MakeArrival(1), kStart, rng);
  (void)Arrive(gate, MakeArrival(2, Priority::kNormal, Ms(1900)), kStart, rng);
  (void)Arrive(gate, MakeArrival(3, Priority::kNormal, Ms(900)), kStart, rng);
  (void)Arrive(gate, MakeArrival(4, Priority::kInternal), kStart, rng);
  cr_assert(FinishOne(gate, 1, kStart).run.front() == 4);
  cr_assert(FinishOne(gate, 4, kStart).run.front() == 3);
  cr_assert(FinishOne(gate, 3, kStart).run.front() == 2);
}

// The queue is full of reports when a lookup arrives. Refusing the lookup would
// delay more than one report.
Test(admission, a_lookup_takes_the_place_of_a_report_in_a_full_queue) {
  Gatekeeper gate;
  SetUp(gate, 1, Ms(1));
  gate.settings.queue_limit = 2;
  Rng rng(1);
  for (std::uint64_t id = 1; id <= 3; ++id)
    (void)Arrive(gate, MakeArrival(id), kStart, rng);
  const ArrivalResult report = Arrive(gate, MakeArrival(4), kStart, rng);
  cr_assert(report.refusal->kind == ErrorKind::kQueueFull);
  const ArrivalResult lookup =
      Arrive(gate, MakeArrival(5, Priority::kInternal), kStart, rng);
  cr_assert(lookup.admission == Admission::kQueued);
  cr_assert(lookup.evicted->id == 3);
  cr_assert(gate.refusals.Get(ErrorKind::kQueueFull) == 2);
}

// Ten requests of 100 ms each are queued for one slot. One with 300 ms left
// cannot meet its deadline; if it were queued, its caller would be refused too
// late to try another node.
Test(admission, a_request_that_cannot_meet_its_deadline_is_refused_at_once) {
  Gatekeeper gate;
  SetUp(gate, 1, Ms(100));
  Rng rng(1);
  for (std::uint64_t id = 1; id <= 10; ++id)
    (void)Arrive(gate, MakeArrival(id), kStart, rng);
  const ArrivalResult late = Arrive(
      gate, MakeArrival(20, Priority::kBackground, Ms(300)), kStart, rng);
  cr_assert(late.admission == Admission::kRefused);
  cr_assert(late.refusal->kind == ErrorKind::kDeadlineTooShort);
  cr_assert(late.refusal->retry_after >= gate.settings.retry_after);
}

// The running request takes longer than expected. The queued one is refused as
// soon as it can no longer be served in time, not when its deadline has passed.
Test(admission, a_waiting_request_is_refused_before_its_deadline) {
  Gatekeeper gate;
  SetUp(gate, 1, Ms(100));
  Rng rng(1);
  (void)Arrive(gate, MakeArrival(1), kStart, rng);
  (void)Arrive(gate, MakeArrival(2, Priority::kNormal, Ms(500)), kStart, rng);
  const TimePoint expiry = *NextAdvance(gate, kStart);
  cr_assert(expiry == kStart + Ms(400));
  cr_assert(Advance(gate, expiry, rng).refused.empty());
  const GateActions actions = Advance(gate, expiry + Ms(1), rng);
  cr_assert(actions.refused.size() == 1);
  cr_assert(actions.refused.front().kind == ErrorKind::kQueueTimeout);
  cr_assert(!NextAdvance(gate, kStart).has_value());
}

// Hundreds of callers are refused at the same time. With the same Retry-After
// they would all retry at the same time, too.
Test(admission, refused_callers_get_different_retry_after_times) {
  Gatekeeper gate;
  SetUp(gate, 1, Ms(10));
  gate.settings.queue_limit = 0;
  Rng rng(1);
  (void)Arrive(gate, MakeArrival(1), kStart, rng);
  std::set<Duration> times;
  for (std::uint64_t id = 2; id < 202; ++id)
    times.insert(
        Arrive(gate, MakeArrival(id), kStart, rng).refusal->retry_after);
  cr_assert(times.size() > 190);
  cr_assert(*times.rbegin() - *times.begin() > Ms(400));
}

// A request may crash the upstream. It waits until no other request runs, and
// none starts beside it, so that a crash fails no other request.
Test(admission, a_suspect_runs_alone_and_is_not_starved) {
  Gatekeeper gate;
  SetUp(gate, 2, Ms(10));
  Rng rng(1);
  (void)Arrive(gate, MakeArrival(1), kStart, rng);
  (void)Arrive(gate, MakeArrival(2), kStart, rng);
  Arrival suspect = MakeArrival(3);
  suspect.suspect = true;
  cr_assert(Arrive(gate, suspect, kStart, rng).admission == Admission::kQueued);
  (void)Arrive(gate, MakeArrival(4), kStart, rng);
  cr_assert(FinishOne(gate, 1, kStart).run.empty());
  cr_assert(FinishOne(gate, 2, kStart).run.front() == 3);
  cr_assert(Arrive(gate, MakeArrival(5), kStart, rng).admission ==
            Admission::kQueued);
  cr_assert(FinishOne(gate, 3, kStart).run.size() == 2);
}

// The node has to stop while requests run and wait. Queued requests are refused
// at once and can be retried elsewhere; running ones are not interrupted.
Test(admission, leaving_refuses_queued_requests_and_keeps_running_ones) {
  Gatekeeper gate;
  SetUp(gate, 1, Ms(10));
  Rng rng(1);
  for (std::uint64_t id = 1; id <= 3; ++id)
    (void)Arrive(gate, MakeArrival(id), kStart, rng);
  const GateActions actions = Leave(gate, kStart, rng);
  cr_assert(actions.refused.size() == 2);
  cr_assert(TraitsOf(actions.refused.front().kind).retry_elsewhere);
  cr_assert(gate.running == 1);
  const ArrivalResult arrived = Arrive(gate, MakeArrival(4), kStart, rng);
  cr_assert(arrived.refusal->kind == ErrorKind::kLeaving);
}

// Without a budget, the bodies of many concurrent uploads would fill the VM's
// memory, and the process would be killed.
Test(admission, bodies_stay_within_the_memory_budget) {
  Gatekeeper gate;
  SetUp(gate, 4, Ms(10));
  gate.settings.body_memory_bytes = 100;
  Rng rng(1);
  Arrival upload = MakeArrival(1);
  upload.body_bytes = 60;
  cr_assert(Arrive(gate, upload, kStart, rng).admission == Admission::kRun);
  upload.id = 2;
  cr_assert(Arrive(gate, upload, kStart, rng).refusal->kind ==
            ErrorKind::kMemoryBudget);
  (void)FinishOne(gate, 1, kStart);
  cr_assert(Arrive(gate, upload, kStart, rng).admission == Admission::kRun);
}

// Callers open more connections than the target accepts.
Test(admission, connections_stay_within_the_limit) {
  Gatekeeper gate;
  gate.settings.max_connections = 2;
  cr_assert(OpenConnection(gate));
  cr_assert(OpenConnection(gate));
  cr_assert(!OpenConnection(gate));
  CloseConnection(gate);
  cr_assert(OpenConnection(gate));
}

// The estimate dates from a time when the upstream was slow. If it alone caused
// all requests to be refused, no run could ever correct it.
Test(admission, a_free_slot_is_used_whatever_the_estimate_says) {
  Gatekeeper gate;
  SetUp(gate, 1, Ms(60000));
  Rng rng(1);
  cr_assert(Arrive(gate, MakeArrival(1), kStart, rng).admission ==
            Admission::kRun);
}

// The upstream's announcement expires while requests wait for it.
Test(admission, a_lost_upstream_refuses_queued_requests) {
  Gatekeeper gate;
  SetUp(gate, 1, Ms(10));
  Rng rng(1);
  (void)Arrive(gate, MakeArrival(1), kStart, rng);
  (void)Arrive(gate, MakeArrival(2), kStart, rng);
  const GateActions actions = SetUpstream(gate, 1, false, kStart, rng);
  cr_assert(actions.refused.front().kind == ErrorKind::kNotReady);
  (void)FinishOne(gate, 1, kStart);
  cr_assert(SetUpstream(gate, 1, true, kStart, rng).run.empty());
  cr_assert(LoadOf(gate) == 0);
}

// Requests of one account priority on routes of several priorities. Ordered by
// the aim alone, those of a background route would run before others.
Test(admission, the_tie_break_decides_before_the_aim) {
  Gatekeeper gate;
  SetUp(gate, 1, Ms(10));
  Rng rng(1);
  const auto arrive = [&](std::uint64_t id, Priority priority,
                          std::uint8_t tie_break, Duration aim) {
    Arrival arrival = MakeArrival(id, priority);
    arrival.tie_break = tie_break;
    arrival.aim = kStart + aim;
    return Arrive(gate, arrival, kStart, rng).admission;
  };
  cr_assert(arrive(1, Priority::kNormal, 0, Ms(900)) == Admission::kRun);
  (void)arrive(2, Priority::kNormal, 3, Ms(500));
  (void)arrive(3, Priority::kNormal, 2, Ms(800));
  (void)arrive(4, Priority::kNormal, 2, Ms(700));
  (void)arrive(5, Priority::kInternal, 3, Ms(900));
  for (const std::uint64_t next : {5U, 4U, 3U, 2U}) {
    const std::uint64_t running = next == 5 ? 1 : next + 1;
    const GateActions actions = FinishOne(gate, running, kStart);
    cr_assert(actions.run == std::vector<std::uint64_t>{next}, "%d",
              static_cast<int>(next));
  }
}

// Guards against a full queue of less urgent routes that refuses an urgent one
// because all accounts have the same priority, and against evictions among
// equals, of which each costs another request its place.
Test(admission, a_full_queue_evicts_by_tie_break) {
  Gatekeeper gate;
  SetUp(gate, 1, Ms(10));
  gate.settings.queue_limit = 1;
  Rng rng(1);
  const auto arrive = [&](std::uint64_t id, std::uint8_t tie_break,
                          Duration aim) {
    Arrival arrival = MakeArrival(id);
    arrival.tie_break = tie_break;
    arrival.aim = kStart + aim;
    return Arrive(gate, arrival, kStart, rng);
  };
  (void)arrive(1, 2, Ms(900));
  (void)arrive(2, 3, Ms(900));
  const ArrivalResult equal = arrive(3, 3, Ms(800));
  cr_assert(equal.refusal && equal.refusal->kind == ErrorKind::kQueueFull);
  const ArrivalResult urgent = arrive(4, 2, Ms(900));
  cr_assert(urgent.admission == Admission::kQueued);
  cr_assert(urgent.evicted && urgent.evicted->id == 2);
}

}  // namespace
}  // namespace teaselspread
