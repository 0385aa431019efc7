// Slots reserved for urgent requests: what is observed and decided, and what
// the gatekeeper does with it.
#include "teaselspread/admission.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <absl/strings/str_cat.h>
#include <xxhash.h>

#include "teaselspread/slot_reserve.h"

namespace teaselspread {
namespace {

using Ms = std::chrono::milliseconds;
using Ids = std::vector<std::uint64_t>;

const TimePoint kStart{std::chrono::hours(1)};
constexpr int kSlots = 6;

// One route with evenly spaced arrivals.
struct Source {
  std::string route;
  Duration gap;
  ArrivalTimes times;
  Priority priority = Priority::kNormal;
  TimePoint next = kStart;
};

const ArrivalTimes kUrgentTimes{Ms(1500), Ms(250)};
const ArrivalTimes kLongTimes{Ms(6000), Ms(3000)};
// Calls tell the gate no soft deadline.
const ArrivalTimes kCallTimes{Ms(400), Ms(400)};

Source Urgent(Duration gap = Ms(40)) {
  return {"quote", gap, kUrgentTimes};
}

Source Long(Duration gap = Ms(250)) {
  return {"report", gap, kLongTimes};
}

ServiceTimes MeasuredTimes(double urgent_ms = 87, double long_ms = 500) {
  ServiceTimes times;
  times["quote"].mean_us = urgent_ms * 1000;
  times["report"].mean_us = long_ms * 1000;
  times["lookup"].mean_us = 31'000;
  return times;
}

// Feeds the arrivals of [from, until) and updates the reserve as often as a
// gate would.
void Feed(SlotReserve& reserve,
          std::vector<Source>& sources,
          const ServiceTimes& measured,
          Duration from,
          Duration until) {
  for (TimePoint now = kStart + from; now < kStart + until; now += Ms(1)) {
    for (Source& source : sources) {
      source.next = std::max(source.next, kStart + from);
      if (source.next > now)
        continue;
      source.next += source.gap;
      ObserveArrival(reserve, source.route, source.priority, source.times, now);
    }
    UpdateReserve(reserve, measured, now);
  }
}

SlotReserve AfterThreeSeconds(std::vector<Source> sources,
                              const ServiceTimes& measured = MeasuredTimes()) {
  SlotReserve reserve;
  Feed(reserve, sources, measured, Ms(0), Ms(3000));
  return reserve;
}

bool IsLongRoute(const SlotReserve& reserve, std::string_view route) {
  return IsLong(reserve, route, Priority::kNormal);
}

// Long requests would take all slots, and an urgent one that comes then is late
// whatever its place in the queue.
Test(slot_reserve, long_requests_leave_the_slots_that_urgent_ones_use) {
  const SlotReserve reserve = AfterThreeSeconds({Urgent(), Long()});
  cr_assert(IsLongRoute(reserve, "report"));
  cr_assert_not(IsLongRoute(reserve, "quote"));
  // 25 requests a second of 87 ms hold 2.2 slots on average.
  cr_assert_float_eq(reserve.urgent_load, 2.2, 0.1);
  cr_assert_eq(LongCap(reserve, kSlots), 3);
  cr_assert(LongRoutes(reserve) == std::vector<std::string>{"report"});
}

Test(slot_reserve, without_urgent_or_long_arrivals_nothing_is_reserved) {
  cr_assert_eq(LongCap(AfterThreeSeconds({Long()}), kSlots), kSlots);
  cr_assert_eq(LongCap(AfterThreeSeconds({Urgent()}), kSlots), kSlots);
}

// A gate that has just started knows neither loads nor run times. A reservation
// from a few arrivals would hold back requests for nothing.
Test(slot_reserve, a_gate_that_has_just_started_reserves_nothing) {
  SlotReserve reserve;
  std::vector<Source> sources{Urgent(), Long()};
  Feed(reserve, sources, MeasuredTimes(), Ms(0), Ms(990));
  cr_assert_eq(reserve.reserved, 0);
  Feed(reserve, sources, MeasuredTimes(), Ms(990), Ms(1300));
  cr_assert_gt(reserve.reserved, 0);
}

Test(slot_reserve, a_route_without_a_measurement_is_neither_long_nor_urgent) {
  ServiceTimes measured = MeasuredTimes();
  measured.erase("report");
  cr_assert_eq(AfterThreeSeconds({Urgent(), Long()}, measured).reserved, 0);
  measured = MeasuredTimes();
  measured.erase("quote");
  cr_assert_eq(AfterThreeSeconds({Urgent(), Long()}, measured).reserved, 0);
}

// Slots that stay free while nobody urgent comes are lost to long requests.
Test(slot_reserve, a_reservation_ends_soon_after_the_last_urgent_arrival) {
  SlotReserve reserve;
  std::vector<Source> sources{Urgent(), Long()};
  Feed(reserve, sources, MeasuredTimes(), Ms(0), Ms(3000));
  cr_assert_gt(reserve.reserved, 0);
  sources.erase(sources.begin());
  Feed(reserve, sources, MeasuredTimes(), Ms(3000), Ms(4200));
  cr_assert_eq(LongCap(reserve, kSlots), kSlots);
  // It returns with the urgent requests.
  sources.push_back(Urgent());
  Feed(reserve, sources, MeasuredTimes(), Ms(4200), Ms(5400));
  cr_assert_eq(LongCap(reserve, kSlots), 3);
}

// Nobody may have called for a minute when the next request comes.
Test(slot_reserve, what_was_observed_long_ago_reserves_nothing) {
  SlotReserve reserve = AfterThreeSeconds({Urgent(), Long()});
  UpdateReserve(reserve, MeasuredTimes(), kStart + std::chrono::minutes(1));
  cr_assert_eq(reserve.reserved, 0);
  cr_assert(reserve.routes.empty());
}

// Run times vary by a tenth from one moment to the next. A route near the
// boundary that was long now and then would start in all slots each time.
Test(slot_reserve, run_times_near_the_boundary_do_not_flap) {
  SlotReserve reserve;
  std::vector<Source> sources{Urgent(), Long()};
  int changes = 0;
  Rng rng(3);
  // Twice the slack time of the urgent route is 326 ms.
  std::uniform_real_distribution<double> run_ms(326 * 0.8, 326 * 1.25);
  for (Ms at{0}; at < Ms(60000); at += Ms(100)) {
    const bool before = IsLongRoute(reserve, "report");
    Feed(reserve, sources, MeasuredTimes(87, run_ms(rng)), at, at + Ms(100));
    changes += IsLongRoute(reserve, "report") != before ? 1 : 0;
  }
  cr_assert_leq(changes, 1, "%d", changes);
}

// A load between two numbers of slots would change the cap several times a
// second, and each change reaches all nodes.
Test(slot_reserve, a_load_between_two_numbers_of_slots_does_not_flap) {
  SlotReserve reserve;
  std::vector<Source> sources{Urgent(), Long()};
  int changes = 0;
  Rng rng(3);
  // 1.55 slots and a margin of 0.9, so 2.45 are needed on average.
  std::uniform_real_distribution<double> run_ms(62 * 0.85, 62 * 1.15);
  for (Ms at{0}; at < Ms(60000); at += Ms(100)) {
    const int before = reserve.reserved;
    Feed(reserve, sources, MeasuredTimes(run_ms(rng)), at, at + Ms(100));
    changes += reserve.reserved != before && at > Ms(3000) ? 1 : 0;
  }
  cr_assert_leq(changes, 1, "%d", changes);
}

Test(slot_reserve, a_long_route_of_higher_priority_is_not_held_back) {
  Source urgent = Urgent();
  urgent.priority = Priority::kBackground;
  const SlotReserve reserve = AfterThreeSeconds({urgent, Long()});
  cr_assert_not(IsLongRoute(reserve, "report"));
  cr_assert_eq(reserve.reserved, 0);
}

// On a slow upstream urgent requests take longer than twice what calls may
// wait. Held back for calls, they would be late themselves.
Test(slot_reserve, urgent_requests_are_not_held_back_for_calls) {
  const Source calls{"lookup", Ms(25), kCallTimes, Priority::kInternal};
  const SlotReserve reserve =
      AfterThreeSeconds({Urgent(), Long(), calls}, MeasuredTimes(230, 714));
  cr_assert_not(IsLongRoute(reserve, "quote"));
  cr_assert(IsLongRoute(reserve, "report"));
}

// Calls tell no soft deadline, but those behind a long request are late: the
// request that made them holds a slot meanwhile.
Test(slot_reserve, calls_count_as_urgent) {
  const Source calls{"lookup", Ms(15), kCallTimes, Priority::kInternal};
  const SlotReserve reserve = AfterThreeSeconds({Long(), calls});
  cr_assert(IsLongRoute(reserve, "report"));
  cr_assert_float_eq(reserve.urgent_load, 31.0 / 15, 0.2);
}

// Most of a route's requests may come late, as retries. Their short rest of
// time would make every other route long.
Test(slot_reserve, late_arrivals_do_not_make_other_routes_long) {
  Source late = Urgent();
  late.times = {Ms(500), Ms(5)};
  const Source medium{"quote2", Ms(100), kUrgentTimes};
  ServiceTimes measured = MeasuredTimes();
  measured["quote2"].mean_us = 120'000;
  const SlotReserve reserve = AfterThreeSeconds({late, medium}, measured);
  cr_assert_not(IsLongRoute(reserve, "quote2"));
}

Test(slot_reserve, long_requests_keep_at_least_one_slot) {
  const SlotReserve reserve = AfterThreeSeconds({Urgent(Ms(5)), Long()});
  cr_assert_gt(reserve.reserved, kSlots);
  cr_assert_eq(LongCap(reserve, kSlots), 1);
  cr_assert_eq(LongCap(reserve, 2), 1);
  cr_assert_eq(LongCap(reserve, 1), 1);
  cr_assert_eq(LongCap(reserve, 0), 0);
}

// Few urgent requests do not take half of an upstream with two slots.
Test(slot_reserve, rare_urgent_requests_reserve_no_slot) {
  const SlotReserve reserve = AfterThreeSeconds({Urgent(Ms(1000)), Long()});
  cr_assert_eq(LongCap(reserve, 2), 2);
}

Test(slot_reserve, removed_routes_are_dropped) {
  SlotReserve reserve = AfterThreeSeconds({Urgent(), Long()});
  RetainRoutes(reserve, {"quote"});
  cr_assert_eq(reserve.routes.size(), 1);
}

// A gate with kSlots slots, three of them reserved.
void SetUp(Gatekeeper& gate) {
  gate.settings.slots = kSlots;
  gate.settings.waiting.reserve_slots = true;
  gate.service_times = MeasuredTimes();
  gate.overall_service_time.mean_us = 200'000;
  std::vector<Source> sources{Urgent(), Long()};
  Feed(gate.reserve, sources, gate.service_times, Ms(0), Ms(3000));
}

const TimePoint kLater = kStart + Ms(3000);

Arrival MakeArrival(std::uint64_t id, const Source& source, TimePoint now) {
  Arrival arrival;
  arrival.id = id;
  arrival.route = source.route;
  arrival.priority = source.priority;
  arrival.deadline = now + source.times.to_deadline;
  arrival.aim = now + source.times.to_aim;
  return arrival;
}

Admission ArriveAt(Gatekeeper& gate,
                   std::uint64_t id,
                   const Source& source,
                   TimePoint now) {
  Rng rng(1);
  return Arrive(gate, MakeArrival(id, source, now), now, rng).admission;
}

// Three long requests run and two wait.
void FillWithLong(Gatekeeper& gate) {
  for (std::uint64_t id = 1; id <= 5; ++id)
    (void)ArriveAt(gate, id, Long(), kLater);
  cr_assert_eq(gate.running, 3);
  cr_assert_eq(gate.queue.size(), 2);
}

Test(slot_reserve, an_urgent_request_runs_at_once_beside_waiting_long_ones) {
  Gatekeeper gate;
  SetUp(gate);
  FillWithLong(gate);
  for (std::uint64_t id = 11; id <= 13; ++id)
    cr_assert(ArriveAt(gate, id, Urgent(), kLater) == Admission::kRun);
  cr_assert(ArriveAt(gate, 14, Urgent(), kLater) == Admission::kQueued);
  Rng rng(1);
  // The slot of an urgent one goes to the urgent one that waits, although the
  // long ones came first, and that of a long one to a long one.
  cr_assert(Finish(gate, 11, Ms(87), true, kLater, rng).run == Ids{14});
  cr_assert(Finish(gate, 14, Ms(87), true, kLater, rng).run.empty());
  cr_assert(Finish(gate, 1, Ms(500), true, kLater, rng).run == Ids{4});
  cr_assert_eq(gate.held_back, 2);
}

// Long requests that wait for their own slots delay no urgent one. If they
// counted, urgent requests would be refused, and other nodes would send them
// elsewhere.
Test(slot_reserve, what_urgent_requests_expect_leaves_out_those_held_back) {
  Gatekeeper gate;
  SetUp(gate);
  FillWithLong(gate);
  cr_assert_eq(CountWaiting(gate), 0);
  cr_assert_eq(LoadOf(gate), 3);
  cr_assert(QueuedTime(gate, kLater) == Ms(0));
  for (std::uint64_t id = 11; id <= 13; ++id)
    (void)ArriveAt(gate, id, Urgent(), kLater);
  (void)ArriveAt(gate, 14, Urgent(), kLater);
  cr_assert_eq(CountWaiting(gate), 1);
  cr_assert(QueuedTime(gate, kLater) == Ms(87));
}

// Other nodes would see a gate with free slots and send it all long requests.
Test(slot_reserve, other_nodes_see_the_wait_of_long_requests_in_their_time) {
  Gatekeeper gate;
  SetUp(gate);
  cr_assert_float_eq(TimesForPlacement(gate)["report"].mean_us, 500'000, 1);
  FillWithLong(gate);
  // Two wait before it, for three slots.
  cr_assert_float_eq(TimesForPlacement(gate)["report"].mean_us, 1'000'000, 1);
  cr_assert_float_eq(TimesForPlacement(gate)["quote"].mean_us, 87'000, 1);
}

// One that cannot start in time is refused at once, so that its caller can go
// elsewhere, and is told when it may come again.
Test(slot_reserve, a_long_request_is_refused_by_its_own_wait) {
  Gatekeeper gate;
  SetUp(gate);
  Rng rng(1);
  std::uint64_t id = 0;
  ArrivalResult arrived;
  do {
    arrived = Arrive(gate, MakeArrival(++id, Long(), kLater), kLater, rng);
  } while (!arrived.refusal);
  // At most half of 2,500 ms may be expected, for three slots.
  cr_assert_eq(gate.queue.size(), 7);
  cr_assert(arrived.refusal->kind == ErrorKind::kDeadlineTooShort);
  cr_assert_eq(gate.refused_by_reserve, 1);
  cr_assert(arrived.refusal->retry_after > Ms(1000));
  cr_assert(ArriveAt(gate, 100, Urgent(), kLater) == Admission::kRun);
  // The refusal of an urgent one follows the urgent ones that wait.
  Arrival short_of_time = MakeArrival(101, Urgent(), kLater);
  short_of_time.deadline = kLater;
  const ArrivalResult urgent = Arrive(gate, short_of_time, kLater, rng);
  cr_assert(urgent.refusal->retry_after < Ms(1000));
}

// No request comes or ends any more, and the long ones must not wait on.
Test(slot_reserve, long_requests_start_when_the_reservation_has_ended) {
  Gatekeeper gate;
  SetUp(gate);
  FillWithLong(gate);
  Rng rng(1);
  Ids started;
  for (TimePoint now = kLater; now < kLater + Ms(1200); now += Ms(1)) {
    const auto due = NextAdvance(gate, now);
    if (!due)
      break;
    cr_assert(*due <= now + kReserveInterval);
    if (*due > now)
      continue;
    const Ids run = Advance(gate, now, rng).run;
    started.insert(started.end(), run.begin(), run.end());
  }
  cr_assert(started == (Ids{4, 5}));
}

// The urgent load grows while long requests wait.
Test(slot_reserve, those_that_a_lower_cap_makes_too_late_are_refused) {
  Gatekeeper gate;
  SetUp(gate);
  Rng rng(1);
  for (std::uint64_t id = 1; id <= 10; ++id) {
    Arrival arrival = MakeArrival(id, Long(), kLater);
    arrival.deadline = kLater + Ms(3000);
    (void)Arrive(gate, arrival, kLater, rng);
  }
  cr_assert_eq(gate.queue.size(), 7);
  std::vector<Source> sources{Urgent(Ms(15)), Long()};
  Feed(gate.reserve, sources, gate.service_times, Ms(3000), Ms(4500));
  cr_assert_eq(LongSlots(gate), 1);
  const GateActions actions = Advance(gate, kStart + Ms(4500), rng);
  cr_assert(actions.run.empty());
  // One slot serves two of them before 4,000 ms, when the last may start.
  cr_assert_eq(gate.queue.size(), 2);
  cr_assert_eq(actions.refused.size(), 5);
  cr_assert(actions.refused.front().kind == ErrorKind::kQueueTimeout);
}

Test(slot_reserve, a_queue_full_of_long_requests_has_room_for_an_urgent_one) {
  Gatekeeper gate;
  SetUp(gate);
  gate.settings.queue_limit = 2;
  FillWithLong(gate);
  for (std::uint64_t id = 11; id <= 13; ++id)
    (void)ArriveAt(gate, id, Urgent(), kLater);
  Rng rng(1);
  const ArrivalResult arrived =
      Arrive(gate, MakeArrival(14, Urgent(), kLater), kLater, rng);
  cr_assert(arrived.admission == Admission::kQueued);
  cr_assert_eq(arrived.evicted->id, 5);
}

// Guards against a short request of low priority that takes the place of a long
// one of higher priority.
Test(slot_reserve, a_less_important_request_evicts_no_long_one) {
  Gatekeeper gate;
  SetUp(gate);
  gate.settings.queue_limit = 2;
  FillWithLong(gate);
  for (std::uint64_t id = 11; id <= 13; ++id)
    (void)ArriveAt(gate, id, Urgent(), kLater);
  Rng rng(1);
  Arrival arrival = MakeArrival(14, Urgent(), kLater);
  arrival.priority = Priority::kBackground;
  const ArrivalResult arrived = Arrive(gate, arrival, kLater, rng);
  cr_assert(arrived.admission == Admission::kRefused);
  cr_assert_not(arrived.evicted.has_value());
}

// With a named limit both hold: the limit's starts are not kept for requests
// that are held back, and they are not exceeded.
Test(slot_reserve, a_named_limit_holds_beside_the_reservation) {
  Gatekeeper gate;
  SetUp(gate);
  FillWithLong(gate);
  Rng rng(1);
  (void)HearLimit(gate.limit, 20, kLater, kLater);
  (void)OnLimitChanged(gate, kLater, rng);
  cr_assert_eq(gate.queue.size(), 2);
  cr_assert(ArriveAt(gate, 11, Urgent(), kLater) == Admission::kQueued);
  // One in 50 ms: not behind the two long ones.
  cr_assert(*NextAdvance(gate, kLater) == kLater + Ms(50));
  cr_assert(Advance(gate, kLater + Ms(50), rng).run == Ids{11});
  cr_assert(ArriveAt(gate, 12, Urgent(), kLater + Ms(51)) ==
            Admission::kQueued);
}

// A route that becomes long while its requests run counts them at once.
Test(slot_reserve, running_requests_count_when_their_route_becomes_long) {
  Gatekeeper gate;
  gate.settings.slots = kSlots;
  gate.settings.waiting.reserve_slots = true;
  gate.service_times = MeasuredTimes();
  Rng rng(1);
  for (std::uint64_t id = 1; id <= 5; ++id)
    cr_assert(ArriveAt(gate, id, Long(), kStart) == Admission::kRun);
  cr_assert_eq(gate.running_long, 0);
  std::vector<Source> sources{Urgent(), Long()};
  for (Ms at{0}; at < Ms(3000); at += Ms(50)) {
    for (Source& source : sources) {
      if (at % source.gap < Ms(50))
        ObserveArrival(gate.reserve, source.route, source.priority,
                       source.times, kStart + at);
    }
    (void)Advance(gate, kStart + at, rng);
  }
  cr_assert_eq(gate.running_long, 5);
  for (std::uint64_t id = 1; id <= 5; ++id)
    (void)Finish(gate, id, Ms(500), true, kLater, rng);
  cr_assert_eq(gate.running_long, 0);
}

// Drives a gate with a mix of all that it decides on, and returns a digest of
// its decisions.
std::uint64_t DigestOf(const WaitingSettings& waiting) {
  Gatekeeper gate;
  gate.settings.slots = kSlots;
  gate.settings.queue_limit = 12;
  gate.settings.waiting = waiting;
  gate.pace.settings = {40, 3};
  gate.pace.slow_until = kStart + Ms(5000);
  Rng rng(11);
  std::string decisions;
  std::multimap<TimePoint, std::pair<std::uint64_t, Duration>> ends;
  const std::vector<Source> sources{
      Urgent(), Long(), {"lookup", Ms(1), kCallTimes, Priority::kInternal}};
  std::lognormal_distribution<double> run_ms(3.5, 0.7);
  // One in three requests is long.
  constexpr double kLongRun = 12;
  const auto note = [&](std::uint64_t id, const char* what, Duration wait) {
    absl::StrAppend(&decisions, id, what, wait.count(), " ");
  };
  const auto begin = [&](std::uint64_t id, TimePoint now) {
    note(id, "run", Duration{0});
    const double factor = id % 3 == 1 ? kLongRun : 1;
    const Duration run(static_cast<std::int64_t>(run_ms(rng) * factor * 1000));
    ends.emplace(now + run, std::pair{id, run});
  };
  const auto refuse = [&](const Refusal& refusal) {
    note(refusal.id, NameOf(refusal.kind).data(), refusal.retry_after);
  };
  const auto apply = [&](const GateActions& actions, TimePoint now) {
    for (const std::uint64_t id : actions.run)
      begin(id, now);
    for (const Refusal& refusal : actions.refused)
      refuse(refusal);
  };
  std::uint64_t id = 0;
  for (TimePoint now = kStart; now < kStart + Ms(30000); now += Ms(1)) {
    while (!ends.empty() && ends.begin()->first <= now) {
      const auto [ended, run] = ends.begin()->second;
      ends.erase(ends.begin());
      apply(Finish(gate, ended, run, true, now, rng), now);
    }
    if (const auto due = NextAdvance(gate, now); due && *due <= now)
      apply(Advance(gate, now, rng), now);
    if (now == kStart + Ms(10000)) {
      (void)HearLimit(gate.limit, 30, now, now);
      apply(OnLimitChanged(gate, now, rng), now);
    }
    if (now == kStart + Ms(18000)) {
      gate.limit = {};
      apply(OnLimitChanged(gate, now, rng), now);
    }
    if (rng() % 16 == 0) {
      ++id;
      Arrival arrival = MakeArrival(id, sources.at(id % 3), now);
      arrival.suspect = rng() % 200 == 0;
      const ArrivalResult arrived = Arrive(gate, arrival, now, rng);
      if (arrived.admission == Admission::kRun)
        begin(id, now);
      for (const auto& refusal : {arrived.refusal, arrived.evicted}) {
        if (refusal)
          refuse(*refusal);
      }
      for (const Refusal& refusal : arrived.overtaken)
        refuse(refusal);
      note(id, "load", QueuedTime(gate, now));
    }
    if (id > 0 && rng() % 500 == 0)
      CancelWaiting(gate, id);
  }
  return XXH3_64bits(decisions.data(), decisions.size());
}

// Guards deployments without a reservation against any change: the digest is
// that of the decisions before reservations existed.
Test(slot_reserve, without_a_reservation_every_decision_is_as_before) {
  constexpr std::uint64_t kDigestBefore = 0x9f324c59d1142f91;
  cr_assert_eq(DigestOf({}), kDigestBefore, "%lx", DigestOf({}));
  // The load is one that a reservation changes.
  WaitingSettings reserving;
  reserving.reserve_slots = true;
  cr_assert_neq(DigestOf(reserving), kDigestBefore);
}

}  // namespace
}  // namespace teaselspread
