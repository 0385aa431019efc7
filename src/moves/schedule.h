// Limits of the new version's share: by the clock, by the evidence and by the
// ready slots.
#ifndef TEASELSPREAD_MOVES_SCHEDULE_H_
#define TEASELSPREAD_MOVES_SCHEDULE_H_

#include <cstdint>

#include "teaselspread/moves.h"

namespace teaselspread::moves {

// The ramp of one move in one data centre: the share doubles at each stage.
struct Ramp {
  double first_share = 0.01;
  int stages = 1;
  Duration length{0};
  Duration stage_length{0};
};

[[nodiscard]] Ramp RampOf(const MovesSettings& settings,
                          const MoveConfig& move,
                          double rate);

// Share that the clock allows.
[[nodiscard]] double ScheduleShare(const Ramp& ramp,
                                   TimePoint start,
                                   TimePoint now);

// Share that `good` good responses of the new version allow.
[[nodiscard]] double EvidenceShare(const MovesSettings& settings,
                                   const Ramp& ramp,
                                   const Demand& demand,
                                   std::uint64_t good);

// Share that the ready slots of the new version can carry.
[[nodiscard]] double CapacityShare(const MovesSettings& settings,
                                   const Demand& demand,
                                   int new_slots,
                                   int old_slots);

// Updates the demand by the totals of both versions in the own data centre.
void UpdateDemand(Demand& demand, const EvidenceCounters& both, TimePoint now);

}  // namespace teaselspread::moves

#endif  // TEASELSPREAD_MOVES_SCHEDULE_H_
