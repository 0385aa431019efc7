#include "moves/schedule.h"

#include <algorithm>
#include <cmath>

namespace teaselspread::moves {
namespace {

// Number of stages for the minimum first share; used only to estimate the
// length of the first stage.
constexpr double kTypicalStages = 7;
// Time constant for smoothing the demand. Long, since the smallest services
// normally get one request in twenty seconds.
constexpr double kDemandSmoothingSeconds = 60;
// Time in which the rows of peers reach a node after its start.
constexpr Duration kRowArrivalTime = std::chrono::seconds(5);
// Time of measuring before the demand counts as known, even if it is near zero.
constexpr Duration kMinDemandWindow = std::chrono::seconds(10);

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// Geometric middle of a bucket relative to its upper bound: 2^-0.2.
constexpr double kBucketMidpointFactor = 0.87;

// Mean of the counted latencies, in seconds.
double MeanLatency(const EvidenceCounters& counters) {
  double sum = 0;
  double count = 0;
  for (std::size_t i = 0; i < kLatencyBuckets; ++i) {
    sum += counters.latency[i] * Seconds(LatencyBound(i));
    count += counters.latency[i];
  }
  return count > 0 ? kBucketMidpointFactor * sum / count : 0;
}

}  // namespace

Ramp RampOf(const MovesSettings& settings,
            const MoveConfig& move,
            double rate) {
  Ramp ramp;
  const Duration ramp_window =
      std::max(Duration(0), move.by - move.start - move.watch);
  ramp.length = Duration(std::llround(static_cast<double>(ramp_window.count()) *
                                      settings.ramp_fraction));
  const double first_stage = Seconds(ramp.length) / kTypicalStages;
  const double wanted =
      settings.first_requests / std::max(1e-6, rate * first_stage);
  ramp.first_share =
      std::clamp(wanted, settings.min_first_share, settings.max_first_share);
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
  // The share rises in steps, so that the versions are compared at a constant
  // share for some time, and stays below 1 until the ramp ends, as the old
  // version gives no responses to compare with at full share.
  const auto stage = (now - start) / ramp.stage_length;
  return std::min(1.0, ramp.first_share * std::exp2(stage));
}

double EvidenceShare(const MovesSettings& settings,
                     const Ramp& ramp,
                     const Demand& demand,
                     std::uint64_t good) {
  double share = ramp.first_share;
  double remaining = static_cast<double>(good);
  while (share < 1) {
    const double rate = demand.rate * share;
    const double hurried_need =
        std::min(settings.min_stage_responses,
                 rate * Seconds(settings.min_stage_window));
    const double usual_need =
        settings.stage_fraction * rate * Seconds(ramp.stage_length);
    const double needed = std::min(settings.max_stage_responses,
                                   std::max(hurried_need, usual_need));
    remaining -= std::floor(needed);
    if (remaining < 0)
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
  // nothing to move and must not delay the others.
  if (new_slots == 0 && old_slots == 0 && demand.runs == 0)
    return 1;
  const double in_use = demand.rate * demand.mean_slot_seconds;
  const double usable = settings.usable_slot_fraction * new_slots;
  if (in_use <= usable)
    return new_slots > 0 ? 1 : 0;
  return usable / in_use;
}

void UpdateDemand(Demand& demand, const EvidenceCounters& both, TimePoint now) {
  if (demand.first_seen == TimePoint()) {
    demand.first_seen = now;
    demand.last_seen = now;
    demand.runs = both.runs;
    return;
  }
  const double passed = Seconds(now - demand.last_seen);
  if (passed <= 0)
    return;
  const double grown = both.runs > demand.runs
                           ? static_cast<double>(both.runs - demand.runs)
                           : 0;
  // Rows that arrive just after a start hold past responses, not new traffic.
  if (now - demand.first_seen >= kRowArrivalTime) {
    // A plain mean at first, an exponential moving average later.
    const double seen =
        Seconds(now - demand.first_seen - kRowArrivalTime) + passed;
    const double age = demand.from_report
                           ? kDemandSmoothingSeconds
                           : std::min(kDemandSmoothingSeconds, seen);
    demand.rate += passed / age * (grown / passed - demand.rate);
  }
  demand.mean_slot_seconds = MeanLatency(both);
  demand.runs = std::max(demand.runs, both.runs);
  demand.last_seen = now;
  demand.known = demand.known || now - demand.first_seen >= kMinDemandWindow;
}

}  // namespace teaselspread::moves
