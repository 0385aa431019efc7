// Chooses the upstream for one request among those of all data centres, by
// expected cost.
//
// Pure: the caller passes everything in. Nothing here is thread safe.
#ifndef TEASELSPREAD_PLACEMENT_H_
#define TEASELSPREAD_PLACEMENT_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "teaselspread/types.h"

namespace teaselspread {

enum class Distance : std::uint8_t { kOwnVm, kOwnDataCenter, kOtherDataCenter };

struct PlacementSettings {
  // Network time of a request and its response together, by distance.
  Duration own_data_center_round_trip = std::chrono::microseconds(400);
  Duration other_data_center_round_trip = std::chrono::microseconds(3000);
  // Cost of using a line between data centres, for a request of mean size and
  // as a fraction of the value of a response: another data centre has to lower
  // the probability of a late response by about this much. It grows with the
  // square root of the size, so that small requests are the first to leave an
  // overloaded data centre.
  double crossing_cost = 0.15;
  // Cost of an expected time as long as the aim, apart from lateness: a slot is
  // held meanwhile, here and at the caller.
  double price_of_time = 0.1;
  // How steeply the probability of a late response rises as the expected time
  // nears the aim: exponent of a log-logistic curve, which at 5 has the spread
  // of upstreams whose run times vary by a third to a half of their mean.
  double late_exponent = 5;
  // Cost of waiting relative to running: a request that joins a queue also
  // delays later ones, while one that takes an idle slot, even a slower one,
  // delays none.
  double wait_weight = 2;
  // Aim of a request without one.
  Duration default_aim = std::chrono::milliseconds(300);
  // Assumed run time while no upstream was measured.
  Duration default_run_time = std::chrono::milliseconds(100);
  // Relative increase of the run time from an idle upstream to one with all
  // slots in use.
  double busy_factor = 0.3;
  // Part of an upstream's momentary slowness that counts against a request's
  // own run there; waiting times count all of it. With all of it here, too,
  // slots of slowed upstreams remain idle at peak load while requests are
  // refused elsewhere.
  double slow_run_weight = 0.2;
  // Maximum random addition to the cost, as a fraction of it, so that nodes
  // with the same figures do not all choose the same upstream.
  double spread = 0.1;
};

// A request to be placed.
struct PlacedRequest {
  // Bytes of the request and of its response, as far as known.
  std::size_t bytes = 0;
  // Remaining time in which a response has its full value; zero if not given.
  Duration aim{};
  // Runs before all queued requests.
  bool skips_queue = false;
  // Mean bytes of the requests that this node places; zero when unknown.
  double mean_bytes = 0;
};

// An upstream that may serve the request.
struct Candidate {
  std::string_view node;
  Distance distance = Distance::kOwnVm;
  std::uint32_t slots = 1;
  // Requests running at the upstream and waiting for it, as last reported, plus
  // those of this node that the report does not include yet.
  std::uint32_t load = 0;
  // Moving average of the run time of the request's route; zero when not
  // measured.
  Duration run_time{};
  // The same over all routes, from which follows how often a slot becomes free.
  Duration mean_run_time{};
  // Requests of `load` that wait, as its gate reported, and their total run
  // time.
  std::uint32_t waiting = 0;
  Duration queued_time{};
  // Fraction of failures among the latest responses, 0..1.
  double failure_ratio = 0;
  // Remaining time in which it is slow after its start. While it is not
  // measured, its run time is then assumed to be that of the slowest candidate.
  Duration warm_up_left{};
  // Requests a second that its gate starts; 0 if only the slots limit them.
  double starts_per_second = 0;
  // With such a rate: time until the next request may start, as its gate
  // reported, less the time since; zero if not known.
  Duration start_wait{};
};

// Applies the factor by which work takes longer at the candidate now to its
// times, which are at the usual speed. A factor of 1 changes nothing.
// Precondition: `factor` is positive. Thread safe.
void ApplySpeed(const PlacementSettings& settings,
                double factor,
                Candidate& candidate);

// Cost of one candidate as a fraction of the value of the response: the
// probability that it is late or fails, the time that it takes, and the cost of
// the distance. While all responses are well within their aim the distance
// decides, and requests stay in their data centre; closer to the aim, faster
// and less loaded upstreams further away cost less. Thread safe.
[[nodiscard]] double CostOf(const PlacementSettings& settings,
                            const Candidate& candidate,
                            const PlacedRequest& request);

// Index of the candidate of least cost, after noise, among a few drawn at
// random of each distance; `candidates.size()` when there is none. Answers many
// entries that choose at once by loads of the same report.
[[nodiscard]] std::size_t Place(const PlacementSettings& settings,
                                std::span<const Candidate> candidates,
                                const PlacedRequest& request,
                                Rng& rng);

}  // namespace teaselspread

#endif  // TEASELSPREAD_PLACEMENT_H_
