#include "teaselspread/placement.h"

#include <criterion/criterion.h>

#include <vector>

#include "teaselspread/weighted_turns.h"

namespace teaselspread {
namespace {

using Ms = std::chrono::milliseconds;

constexpr Duration kAim = Ms(300);
constexpr double kMeanBytes = 3000;

Candidate MakeCandidate(Distance distance, std::uint32_t load) {
  Candidate candidate;
  candidate.node = "n";
  candidate.distance = distance;
  candidate.slots = 10;
  candidate.load = load;
  candidate.run_time = Ms(100);
  return candidate;
}

std::size_t PlaceOnce(const std::vector<Candidate>& candidates,
                      std::size_t bytes = 3000) {
  Rng rng(7);
  return Place(PlacementSettings{}, candidates,
               {bytes, kAim, false, kMeanBytes}, rng);
}

Test(placement, none_without_candidates) {
  cr_assert(PlaceOnce({}) == 0);
}

// With equal loads the own VM costs least, and the own data centre less than
// another.
Test(placement, prefers_the_nearer_of_equals) {
  PlacementSettings exact;
  exact.spread = 0;
  const PlacedRequest request{3000, kAim};
  const double own = CostOf(exact, MakeCandidate(Distance::kOwnVm, 2), request);
  const double near =
      CostOf(exact, MakeCandidate(Distance::kOwnDataCenter, 2), request);
  const double far =
      CostOf(exact, MakeCandidate(Distance::kOtherDataCenter, 2), request);
  cr_assert(own < near && near < far);
}

// A full upstream in the own data centre ("home") and an idle one in another
// ("across"): a wait of half a run time costs more than the crossing.
Test(placement, goes_across_when_home_is_full) {
  const std::size_t chosen =
      PlaceOnce({MakeCandidate(Distance::kOwnVm, 15),
                 MakeCandidate(Distance::kOtherDataCenter, 0)});
  cr_assert(chosen == 1);
}

// At low load, upstreams at home respond in a third of the aim and those across
// in a sixth. The faster ones bring no gain, since both are in time, and
// traffic between data centres is paid for by the kilobyte.
Test(placement, stays_at_home_while_home_is_well_in_time) {
  Candidate home = MakeCandidate(Distance::kOwnDataCenter, 3);
  home.run_time = Ms(90);
  Candidate across = MakeCandidate(Distance::kOtherDataCenter, 3);
  across.run_time = Ms(45);
  cr_assert(PlaceOnce({home, across}, 5500) == 0);
}

// The same upstreams under load: at home a response would take most of its aim,
// and every second one would be late.
Test(placement, goes_across_when_home_is_nearly_late) {
  Candidate home = MakeCandidate(Distance::kOwnDataCenter, 16);
  home.run_time = Ms(130);
  Candidate across = MakeCandidate(Distance::kOtherDataCenter, 6);
  across.run_time = Ms(65);
  cr_assert(PlaceOnce({home, across}, 5500) == 1);
}

// Reads of a second run beside calls of 60 ms that have an aim of 150 ms. With
// the mean of all runs as its run time, a call would seem late everywhere and
// be sent to the fastest upstream, even across.
Test(placement, a_short_request_stays_at_home_beside_long_ones) {
  Candidate home = MakeCandidate(Distance::kOwnDataCenter, 5);
  home.run_time = Ms(60);
  home.mean_run_time = Ms(700);
  Candidate across = MakeCandidate(Distance::kOtherDataCenter, 5);
  across.run_time = Ms(60);
  across.mean_run_time = Ms(300);
  Rng rng(7);
  const std::vector<Candidate> candidates = {home, across};
  cr_assert(Place(PlacementSettings{}, candidates, {800, Ms(150)}, rng) == 0);
}

// Two reads wait at one upstream and two calls at the other, both of them full.
// If only their number counted, half of the next requests would wait behind the
// reads.
Test(placement, prefers_a_queue_of_short_requests) {
  Candidate reads = MakeCandidate(Distance::kOwnVm, 12);
  reads.waiting = 2;
  reads.queued_time = Ms(2000);
  Candidate calls = MakeCandidate(Distance::kOwnDataCenter, 12);
  calls.waiting = 2;
  calls.queued_time = Ms(80);
  cr_assert(PlaceOnce({reads, calls}) == 1);
}

// For a request that runs before all queued ones, a queue costs little.
Test(placement, a_request_that_skips_the_queue_stays_at_home) {
  Candidate home = MakeCandidate(Distance::kOwnVm, 20);
  home.waiting = 10;
  home.queued_time = Ms(4000);
  const std::vector<Candidate> candidates = {
      home, MakeCandidate(Distance::kOtherDataCenter, 0)};
  Rng rng(7);
  PlacedRequest request{3000, 2 * kAim};
  cr_assert(Place(PlacementSettings{}, candidates, request, rng) == 1);
  request.skips_queue = true;
  cr_assert(Place(PlacementSettings{}, candidates, request, rng) == 0);
}

// An upload of 60 KB across costs as much as a wait of 60 ms.
Test(placement, keeps_large_requests_at_home_for_a_short_wait) {
  const std::vector<Candidate> candidates = {
      MakeCandidate(Distance::kOwnDataCenter, 11),
      MakeCandidate(Distance::kOtherDataCenter, 0)};
  cr_assert(PlaceOnce(candidates, 100000) == 0);
}

// Home is about to be late with some of its requests. Crossing gains a small
// request more than it costs, a large one less: the line carries no more than
// needed, and small requests first.
Test(placement, small_requests_go_across_before_large_ones) {
  Candidate home = MakeCandidate(Distance::kOwnDataCenter, 10);
  home.run_time = Ms(150);
  Candidate across = MakeCandidate(Distance::kOtherDataCenter, 2);
  across.run_time = Ms(100);
  cr_assert(PlaceOnce({home, across}, 1000) == 1);
  cr_assert(PlaceOnce({home, across}, 30000) == 0);
}

// An upstream fails some of its requests although it reports no fault. If its
// responses were ignored it would get more than its share, since failures are
// fast.
Test(placement, avoids_a_failing_upstream) {
  Candidate failing = MakeCandidate(Distance::kOwnVm, 0);
  failing.failure_ratio = 0.3;
  const std::size_t chosen =
      PlaceOnce({failing, MakeCandidate(Distance::kOwnDataCenter, 5)});
  cr_assert(chosen == 1);
}

// An upstream has just joined, and its run time is unknown. The others respond
// in 5 ms; with a slower estimate it would never get a request.
Test(placement, tries_an_unmeasured_upstream) {
  Candidate fast = MakeCandidate(Distance::kOwnDataCenter, 1);
  fast.run_time = Ms(5);
  Candidate unmeasured = MakeCandidate(Distance::kOwnVm, 0);
  unmeasured.run_time = Duration{0};
  cr_assert(PlaceOnce({fast, unmeasured}) == 1);
}

// A route is split 90 to 10. Over 300 requests each part has to be within a few
// of its share; a random choice is sometimes off by more.
Test(weighted_turns, keeps_to_the_weights_in_every_window) {
  WeightedRoundRobin round_robin;
  const std::vector<std::uint32_t> weights = {90, 10};
  for (int window = 0; window < 30; ++window) {
    int second = 0;
    for (int i = 0; i < 100; ++i)
      second += NextIndex(round_robin, weights) == 1 ? 1 : 0;
    cr_assert(second >= 9 && second <= 11);
  }
}

Test(weighted_turns, resets_when_the_number_of_weights_changes) {
  WeightedRoundRobin round_robin;
  const std::vector<std::uint32_t> two = {1, 1};
  const std::vector<std::uint32_t> one = {5};
  (void)NextIndex(round_robin, two);
  cr_assert(NextIndex(round_robin, one) == 0);
}

// An upstream with free slots has used up the rate that it named. To entries it
// looked idle: they sent to it, were refused and had to try the next.
Test(placement, an_idle_upstream_without_room_for_starts_is_avoided) {
  Candidate limited = MakeCandidate(Distance::kOwnDataCenter, 0);
  limited.starts_per_second = 2;
  limited.start_wait = Ms(450);
  const Candidate busy = MakeCandidate(Distance::kOtherDataCenter, 8);
  cr_assert(PlaceOnce({limited, busy}) == 1);
  limited.start_wait = Ms(0);
  cr_assert(PlaceOnce({limited, busy}) == 0);
}

// Guards against times that change without a figure, and against the opposite
// mistake: a slowed upstream whose queue seems as short as before.
Test(placement, the_speed_of_an_upstream_applies_to_its_times) {
  const PlacementSettings settings;
  Candidate usual;
  usual.slots = 18;
  usual.load = 30;
  usual.waiting = 12;
  usual.run_time = std::chrono::microseconds(86'999);
  usual.mean_run_time = std::chrono::microseconds(99'001);
  usual.queued_time = std::chrono::microseconds(1'200'003);
  Candidate same = usual;
  ApplySpeed(settings, 1, same);
  cr_assert(same.run_time == usual.run_time);
  cr_assert(same.mean_run_time == usual.mean_run_time);
  cr_assert(same.queued_time == usual.queued_time);
  Candidate slowed = usual;
  ApplySpeed(settings, 2.5, slowed);
  cr_assert(slowed.mean_run_time == usual.mean_run_time * 5 / 2);
  cr_assert(slowed.queued_time == usual.queued_time * 5 / 2);
  cr_assert(slowed.run_time > usual.run_time);
  cr_assert(slowed.run_time < usual.run_time * 5 / 2);
  PlacedRequest request;
  request.aim = std::chrono::milliseconds(300);
  cr_assert_gt(CostOf(settings, slowed, request),
               CostOf(settings, usual, request));
}

}  // namespace
}  // namespace teaselspread
