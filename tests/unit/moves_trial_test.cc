#include "../../benchmark/moves_trial.h"

#include <criterion/criterion.h>

namespace teaselspread::trial {
namespace {

// Sums over the outcomes of several seeds.
struct Sums {
  int trials = 0;
  int done = 0;
  int rollbacks = 0;
  int split = 0;
  int neighbour_rollbacks = 0;
  double max_requests_after_fault = 0;
};

Sums RunSeeds(Class kind, int seeds, double min_rate, double max_rate) {
  Sums sums;
  for (int i = 0; i < seeds; ++i) {
    Setup setup;
    setup.kind = kind;
    setup.seed = 9000 + static_cast<std::uint64_t>(i);
    setup.site = kSites.at(static_cast<std::size_t>(i) % kSites.size());
    const double fraction = seeds > 1 ? i / (seeds - 1.0) : 0;
    setup.rate = min_rate * std::pow(max_rate / min_rate, fraction);
    const Outcome outcome = Trial(setup).Run();
    ++sums.trials;
    sums.done += outcome.done_in_time ? 1 : 0;
    sums.rollbacks += outcome.taken_back ? 1 : 0;
    sums.split += outcome.split ? 1 : 0;
    sums.neighbour_rollbacks += outcome.neighbour_taken_back ? 1 : 0;
    sums.max_requests_after_fault =
        std::max(sums.max_requests_after_fault, outcome.requests_after_fault);
  }
  return sums;
}

void ExpectRolledBack(Class kind,
                      double min_rate,
                      double max_requests_after_fault) {
  const Sums sums = RunSeeds(kind, 24, min_rate, 500);
  cr_assert(sums.rollbacks == sums.trials, "%d of %d", sums.rollbacks,
            sums.trials);
  cr_assert(sums.split == 0);
  cr_assert(sums.max_requests_after_fault <= max_requests_after_fault,
            "%.0f requests", sums.max_requests_after_fault);
}

void ExpectDone(Class kind, double max_rate = 500) {
  const Sums sums = RunSeeds(kind, 24, 0.2, max_rate);
  cr_assert(sums.rollbacks == 0, "%d rolled back", sums.rollbacks);
  cr_assert(sums.done == sums.trials, "%d of %d", sums.done, sums.trials);
}

// The new version fails most requests from the first one on. Callers see
// failures until it gets no more requests.
Test(moves_trial, a_version_that_fails_at_once_is_rolled_back) {
  ExpectRolledBack(Class::kFailsAtOnce, 0.2, 120);
}

// One request in twenty fails, which a single caller cannot tell from chance.
Test(moves_trial, a_version_that_fails_a_little_is_rolled_back) {
  ExpectRolledBack(Class::kFailsALittle, 6, 1500);
}

// Every response is correct but takes three times as long.
Test(moves_trial, a_slow_version_is_rolled_back) {
  ExpectRolledBack(Class::kSlow, 2, 300);
}

// The version works until some time in the ramp, when much traffic has moved.
Test(moves_trial, a_version_that_fails_later_is_rolled_back) {
  ExpectRolledBack(Class::kFailsLater, 2, 1500);
}

// The fault shows only when the new version has a large share.
Test(moves_trial, a_version_that_fails_under_load_is_rolled_back) {
  ExpectRolledBack(Class::kUnderLoad, 2, 5000);
}

// One rare route fails, which hardly shows in the sum over all routes.
Test(moves_trial, a_version_with_one_bad_route_is_rolled_back) {
  ExpectRolledBack(Class::kOneRoute, 20, 4000);
}

// Only the upstreams of one data centre fail.
Test(moves_trial, a_version_bad_in_one_data_center_is_rolled_back) {
  ExpectRolledBack(Class::kOneDataCenter, 6, 1000);
}

// The new upstreams repeatedly announce themselves and vanish after seconds.
Test(moves_trial, a_version_that_crashes_on_start_is_rolled_back) {
  ExpectRolledBack(Class::kCrashOnStart, 0.2, 500);
}

// The new version accepts requests and never responds.
Test(moves_trial, a_version_that_hangs_is_rolled_back) {
  ExpectRolledBack(Class::kHangs, 0.2, 200);
}

// Two services move at the same time, and one of the new versions is bad. The
// other service's move must not be affected.
Test(moves_trial, of_two_moves_only_the_bad_one_is_rolled_back) {
  const Sums sums = RunSeeds(Class::kTwoMoves, 24, 0.2, 500);
  cr_assert(sums.rollbacks == sums.trials && sums.neighbour_rollbacks == 0);
}

Test(moves_trial, a_good_version_is_done_in_time) {
  ExpectDone(Class::kPlain, 2000);
}

// Something that both versions depend on fails for a while.
Test(moves_trial, a_shared_fault_is_not_blamed_on_the_new_version) {
  const Sums sums = RunSeeds(Class::kSharedFault, 48, 2, 2000);
  cr_assert(sums.rollbacks == 0, "%d rolled back", sums.rollbacks);
  cr_assert(sums.done == sums.trials, "%d of %d", sums.done, sums.trials);
}

// New upstreams are slow for their first seconds.
Test(moves_trial, a_cold_start_is_excused) {
  ExpectDone(Class::kColdStart);
}

// The new version has fewer slots and is a little slower when full.
Test(moves_trial, a_smaller_version_is_done_in_time) {
  ExpectDone(Class::kSmaller, 2000);
}

// One request crashes each upstream that runs it and is retried.
Test(moves_trial, a_request_that_crashes_upstreams_is_not_blamed) {
  ExpectDone(Class::kCrashRequest);
}

// The health endpoint reports "not ready" for seconds although all is well.
Test(moves_trial, a_lagging_health_endpoint_is_not_blamed) {
  ExpectDone(Class::kLaggingHealth);
}

// A request every few seconds: evidence grows slowly, but the deadline stays.
Test(moves_trial, little_traffic_is_done_in_time) {
  ExpectDone(Class::kLittleTraffic, 1);
}

// One data centre is cut off for a while, so its counters arrive late.
Test(moves_trial, a_move_seen_in_part_is_done_in_time) {
  ExpectDone(Class::kPartlySeen);
}

struct FoundSeed {
  std::size_t site;
  Class kind;
  std::uint64_t seed;
};

// Seeds with which a good move was rolled back after a shared fault: at its
// start or end the counters of the two versions arrived separately, or the old
// version had not responded at the same time.
Test(moves_trial, seeds_that_found_a_fault_of_the_judge) {
  constexpr std::array<FoundSeed, 13> kFound = {{
      {2, Class::kSharedFault, 10},
      {3, Class::kSharedFault, 27},
      {2, Class::kSharedFault, 34},
      {3, Class::kSharedFault, 35},
      {2, Class::kSharedFault, 50},
      {3, Class::kSharedFault, 55},
      {3, Class::kSharedFault, 83},
      {3, Class::kSharedFault, 99},
      {3, Class::kSharedFault, 111},
      {3, Class::kSharedFault, 147},
      {3, Class::kSharedFault, 155},
      {2, Class::kSharedFault, 180},
      {2, Class::kColdStart, 68},
  }};
  for (const FoundSeed& found : kFound) {
    Setup setup;
    setup.site = kSites.at(found.site);
    setup.kind = found.kind;
    setup.seed = found.seed;
    Rng rng(found.seed * 7919 + 13);
    setup.rate = std::exp(Uniform(rng, std::log(0.2), std::log(2000.0)));
    const Outcome outcome = Trial(setup).Run();
    cr_assert(!outcome.taken_back, "seed %d", static_cast<int>(found.seed));
    cr_assert(outcome.done_in_time, "seed %d", static_cast<int>(found.seed));
  }
}

}  // namespace
}  // namespace teaselspread::trial
