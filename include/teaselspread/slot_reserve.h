// How many slots of an upstream long requests may hold together, so that urgent
// ones find a slot in time.
//
// A slot that a long request holds is not free again before the soft deadline
// of an urgent one that comes just after it, whatever their order in the queue.
// The gate observes the requests that arrive at it and keeps free as many slots
// as the urgent ones use; while none arrive, long ones may use all.
//
// Pure: the caller passes the time in. Nothing here is thread safe.
#ifndef TEASELSPREAD_SLOT_RESERVE_H_
#define TEASELSPREAD_SLOT_RESERVE_H_

#include <array>
#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "teaselspread/snapshot.h"
#include "teaselspread/types.h"
#include "teaselspread/upstream_model.h"

namespace teaselspread {

// Interval at which the slots that the urgent routes need are worked out.
inline constexpr Duration kReserveInterval = std::chrono::milliseconds(100);

// The requests of one route and one priority, as observed at the gate.
struct RouteDemand {
  // Arrivals, each weighted by its age at `last_at`.
  double arrivals = 0;
  TimePoint first_at;
  TimePoint last_at;
  // Mean time from arrival to soft deadline, in microseconds; 0 if not known.
  double aim_us = 0;
  // Run time, smoothed over the same window; 0 until one was measured.
  double run_us = 0;
  // Its requests may only hold the slots that urgent routes do not need.
  bool is_long = false;
  // Its requests would be late behind a run of a long route.
  bool is_urgent = false;
};

// By priority.
using RouteDemands =
    std::array<RouteDemand,
               static_cast<std::size_t>(Priority::kBackground) + 1>;

struct SlotReserve {
  std::map<std::string, RouteDemands, std::less<>> routes;
  TimePoint first_observed_at;
  TimePoint updated_at;
  // Slots that the urgent routes use on average.
  double urgent_load = 0;
  // Slots kept free of long requests; 0 without a reservation.
  int reserved = 0;
};

// The times of a request that arrives.
struct ArrivalTimes {
  Duration to_deadline{};
  // Until the soft deadline; not less than `to_deadline` if there is none, and
  // zero or less if it has passed.
  Duration to_aim{};
};

// Counts a request that arrives, also one that is then refused.
void ObserveArrival(SlotReserve& reserve,
                    std::string_view route,
                    Priority priority,
                    const ArrivalTimes& times,
                    TimePoint now);

// Decides anew which routes are long and how many slots are reserved, if
// kReserveInterval has passed since the last time. Returns whether another set
// of routes is long. Without a measured run time a route is neither long nor
// urgent, and a gate that has observed less than a second of arrivals has no
// reservation.
bool UpdateReserve(SlotReserve& reserve,
                   const ServiceTimes& measured,
                   TimePoint now);

[[nodiscard]] bool IsLong(const SlotReserve& reserve,
                          std::string_view route,
                          Priority priority);

// Slots that long requests may hold together, of `slots`: at least one, and all
// without a reservation.
[[nodiscard]] int LongCap(const SlotReserve& reserve, int slots);

// Routes of which at least one priority is long, sorted.
[[nodiscard]] std::vector<std::string> LongRoutes(const SlotReserve& reserve);

// Drops what was observed of all routes not in `routes`.
void RetainRoutes(SlotReserve& reserve,
                  const std::set<std::string_view>& routes);

}  // namespace teaselspread

#endif  // TEASELSPREAD_SLOT_RESERVE_H_
