#include "moves/schedule.h"

#include <algorithm>
#include <cmath>

namespace teaselspread::moves {
namespace {

// Stages of the shortest first share; only used to size the first stage.
constexpr double kUsualStages = 7;
// Smoothing of the demand. Long, since one request in twenty seconds is normal
// at the smallest services.
constexpr double kDemandSeconds = 60;
// Time in which the rows of peers reach a node that has just started.
constexpr Duration kRowsArrive = std::chrono::seconds(5);
// Time of watching before a demand of nearly nothing is believed.
constexpr Duration kDemandSettles = std::chrono::seconds(10);

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// Middle of a bucket by its upper bound: 2^-0.2.
constexpr double kBucketMiddle = 0.87;

// Mean of the counted latencies, in seconds.
double MeanLatency(const EvidenceCells& cells) {
  double sum = 0;
  double count = 0;
  for (std::size_t i = 0; i < kLatencyBuckets; ++i) {
    sum += cells.latency[i] * Seconds(LatencyBound(i));
    count += cells.latency[i];
  }
  return count > 0 ? kBucketMiddle * sum / count : 0;
}

}  // namespace

Ramp RampOf(const MovesSettings& settings,
            const MoveConfig& move,
            double rate) {
  Ramp ramp;
  const Duration open =
      std::max(Duration(0), move.by - move.start - move.watch);
  ramp.length = Duration(
      std::llround(static_cast<double>(open.count()) * settings.ramp_part));
  const double first_stage = Seconds(ramp.length) / kUsualStages;
  const double wanted =
      settings.first_requests / std::max(1e-6, rate * first_stage);
  ramp.first_share =
      std::clamp(wanted, settings.first_share, settings.first_share_most);
  ramp.stages =
      std::max(1, static_cast<int>(std::ceil(-std::log2(ramp.first_share))));
  ramp.stage_length = std::max(Duration(1), ramp.length / ramp.stages);
  return ramp;
}

double ScheduleShare(const Ramp& ramp, TimePoint start, TimePoint now) {
  if (now < start)
    return 0;
  if (now - start >= ramp.length)
    return 1;
  // In steps, so that the two versions are compared at one share for a while,
  // and below full share as long as there is time: full share shows nothing of
  // the old version.
  const auto stage = (now - start) / ramp.stage_length;
  return std::min(1.0, ramp.first_share * std::exp2(stage));
}

double EvidenceShare(const MovesSettings& settings,
                     const Ramp& ramp,
                     const Demand& demand,
                     std::uint64_t good) {
  double share = ramp.first_share;
  double left = static_cast<double>(good);
  while (share < 1) {
    const double rate = demand.rate * share;
    const double hurried = std::min(settings.stage_answers_least,
                                    rate * Seconds(settings.stage_patience));
    const double usual =
        settings.stage_part * rate * Seconds(ramp.stage_length);
    const double needed =
        std::min(settings.stage_answers, std::max(hurried, usual));
    left -= std::floor(needed);
    if (left < 0)
      break;
    share *= 2;
  }
  return std::min(1.0, share);
}

double CapacityShare(const MovesSettings& settings,
                     const Demand& demand,
                     int new_slots,
                     int old_slots) {
  // A data centre without upstreams of either version and without requests has
  // nothing to move, and must not hold the others back.
  if (new_slots == 0 && old_slots == 0 && demand.runs == 0)
    return 1;
  const double in_use = demand.rate * demand.busy;
  const double usable = settings.usable_slots * new_slots;
  if (in_use <= usable)
    return new_slots > 0 ? 1 : 0;
  return usable / in_use;
}

void ObserveDemand(Demand& demand, const EvidenceCells& both, TimePoint now) {
  if (demand.first == TimePoint()) {
    demand.first = now;
    demand.last = now;
    demand.runs = both.runs;
    return;
  }
  const double passed = Seconds(now - demand.last);
  if (passed <= 0)
    return;
  const double grown = both.runs > demand.runs
                           ? static_cast<double>(both.runs - demand.runs)
                           : 0;
  // The rows of the past come in after a start; they are no traffic of now.
  if (now - demand.first >= kRowsArrive) {
    // A plain mean at first, an exponential one later.
    const double seen = Seconds(now - demand.first - kRowsArrive) + passed;
    const double age =
        demand.told ? kDemandSeconds : std::min(kDemandSeconds, seen);
    demand.rate += passed / age * (grown / passed - demand.rate);
  }
  demand.busy = MeanLatency(both);
  demand.runs = std::max(demand.runs, both.runs);
  demand.last = now;
  demand.known = demand.known || now - demand.first >= kDemandSettles;
}

}  // namespace teaselspread::moves
