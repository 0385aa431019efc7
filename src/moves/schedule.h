// How much traffic the new version may get by the clock, by the evidence and by
// the slots that are ready.
#ifndef TEASELSPREAD_MOVES_SCHEDULE_H_
#define TEASELSPREAD_MOVES_SCHEDULE_H_

#include <cstdint>

#include "teaselspread/moves.h"

namespace teaselspread::moves {

// The ramp of one move in one data centre: shares that double per stage.
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

// Share that so many good answers of the new version allow.
[[nodiscard]] double EvidenceShare(const MovesSettings& settings,
                                   const Ramp& ramp,
                                   const Demand& demand,
                                   std::uint64_t good);

// Share that the ready slots of the new version can carry.
[[nodiscard]] double CapacityShare(const MovesSettings& settings,
                                   const Demand& demand,
                                   int new_slots,
                                   int old_slots);

// Takes in the totals of both versions of the own data centre.
void UpdateDemand(Demand& demand, const EvidenceCounters& both, TimePoint now);

}  // namespace teaselspread::moves

#endif  // TEASELSPREAD_MOVES_SCHEDULE_H_
