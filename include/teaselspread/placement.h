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
  Duration own_data_center_way = std::chrono::microseconds(400);
  Duration other_data_center_way = std::chrono::microseconds(3000);
  // What a kilobyte between data centres is worth in waiting time. Bytes
  // between data centres are paid for, so a short wait at home is cheaper; a
  // request that would be late at home still goes across.
  Duration price_per_kilobyte = std::chrono::microseconds(4000);
  // Time of a run while no upstream was measured.
  Duration unknown_time = std::chrono::milliseconds(100);
  // How much slower an upstream runs with all slots taken than with none.
  double busy_factor = 0.3;
  // Random part of the cost, so that nodes which see the same figures do not
  // all pick the same upstream.
  double spread = 0.1;
};

// One upstream that may take the request.
struct Candidate {
  std::string_view node;
  Distance distance = Distance::kOwnVm;
  std::uint32_t slots = 1;
  // Requests at the upstream and waiting for it, as far as this node knows,
  // with those of its own that the figure does not hold yet.
  std::uint32_t load = 0;
  // Moving average of a run; zero when nothing was measured.
  Duration run_time{};
  // Failures among the last answers, 0..1.
  double failure_share = 0;
};

// Cost of one candidate: the expected time until the answer, and the price of
// the way in units of time. Thread safe.
[[nodiscard]] Duration CostOf(const PlacementSettings& settings,
                              const Candidate& candidate,
                              std::size_t request_bytes);

// Index of the candidate for one request; `candidates.size()` when there is
// none.
[[nodiscard]] std::size_t Place(const PlacementSettings& settings,
                                std::span<const Candidate> candidates,
                                std::size_t request_bytes,
                                Rng& rng);

}  // namespace teaselspread

#endif  // TEASELSPREAD_PLACEMENT_H_
