// Which upstream of a service one request goes to, when upstreams of every data
// centre may take it.
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
  // Time for a request and its answer on the way, by distance.
  Duration own_data_center_round_trip = std::chrono::microseconds(400);
  Duration other_data_center_round_trip = std::chrono::microseconds(3000);
  // Reluctance to use a line between data centres, for a request of the usual
  // size and as a part of what an answer is worth: another data centre has to
  // lower the chance of a late answer by about this much. It grows with the
  // square root of the size, so that of the work which home cannot carry small
  // requests go first.
  double crossing_cost = 0.15;
  // What waiting costs beside being late, for a time as long as the aim: a slot
  // is held meanwhile, here and at whoever called.
  double price_of_time = 0.1;
  // How sharply the chance to be late rises as the expected time nears the aim:
  // exponent of a log-logistic curve, whose spread at 5 is that of upstreams
  // whose times vary by a third to a half of their mean.
  double late_exponent = 5;
  // How many times dearer waiting is than running: one that joins a queue also
  // delays those that come after it, one that takes an idle slot, if a slower
  // one, delays nobody.
  double wait_weight = 2;
  // Aim of a route that names none.
  Duration default_aim = std::chrono::milliseconds(300);
  // Time of a run while no upstream was measured.
  Duration default_run_time = std::chrono::milliseconds(100);
  // How much slower an upstream runs with all slots taken than with none.
  double busy_factor = 0.3;
  // Random part of the cost, so that nodes which see the same figures do not
  // all pick the same upstream.
  double spread = 0.1;
};

// What is to be placed.
struct PlacedRequest {
  // Bytes of the request and of its answer, as far as known.
  std::size_t bytes = 0;
  // Time left in which an answer is worth most; zero when nobody said.
  Duration aim{};
  // It goes before all that waits.
  bool skips_queue = false;
  // Mean bytes of the requests that are placed here; zero when unknown.
  double mean_bytes = 0;
};

// One upstream that may take the request.
struct Candidate {
  std::string_view node;
  Distance distance = Distance::kOwnVm;
  std::uint32_t slots = 1;
  // Requests at the upstream and waiting for it, as far as this node knows,
  // with those of its own that the figure does not hold yet.
  std::uint32_t load = 0;
  // Moving average of a run of the request's route; zero when nothing was
  // measured.
  Duration run_time{};
  // The same over all routes: how often a slot frees.
  Duration mean_run_time{};
  // Those of `load` that wait, as its gate told, and the time that they take.
  std::uint32_t waiting = 0;
  Duration queued_time{};
  // Failures among the last answers, 0..1.
  double failure_ratio = 0;
};

// Cost of one candidate as a part of what the answer is worth: the chance that
// it is late or fails, the time that it takes, and the price of the way. While
// every answer is well within its aim the way decides, and requests stay at
// home; as the aim comes near, faster and emptier upstreams further away are
// worth their price. Thread safe.
[[nodiscard]] double CostOf(const PlacementSettings& settings,
                            const Candidate& candidate,
                            const PlacedRequest& request);

// Index of the candidate for one request; `candidates.size()` when there is
// none.
[[nodiscard]] std::size_t Place(const PlacementSettings& settings,
                                std::span<const Candidate> candidates,
                                const PlacedRequest& request,
                                Rng& rng);

}  // namespace teaselspread

#endif  // TEASELSPREAD_PLACEMENT_H_
