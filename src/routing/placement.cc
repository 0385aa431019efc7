#include "teaselspread/placement.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <random>
#include <vector>

#include "teaselspread/upstream_speed.h"

namespace teaselspread {
namespace {

// Loads are as old as the last report, and between two reports all entries see
// the same upstream as the best one. With this many candidates compared for
// each request, it gets at most that many out of all upstreams' shares.
constexpr std::size_t kDrawnCandidates = 8;
constexpr double kMicrosPerSecond = 1e6;

Duration RoundTripOf(const PlacementSettings& settings, Distance distance) {
  switch (distance) {
    case Distance::kOwnVm:
      return Duration{0};
    case Distance::kOwnDataCenter:
      return settings.own_data_center_round_trip;
    case Distance::kOtherDataCenter:
      break;
  }
  return settings.other_data_center_round_trip;
}

double CrossingCostOf(const PlacementSettings& settings,
                      Distance distance,
                      const PlacedRequest& request) {
  if (distance != Distance::kOtherDataCenter)
    return 0;
  const double relative_size =
      request.mean_bytes > 0
          ? static_cast<double>(request.bytes) / request.mean_bytes
          : 1;
  return settings.crossing_cost * std::sqrt(relative_size);
}

// Probability that a response expected after `aim_fraction` of its aim comes
// after the aim.
double LateProbability(const PlacementSettings& settings, double aim_fraction) {
  if (aim_fraction <= 0)
    return 0;
  return 1 / (1 + std::pow(aim_fraction, -settings.late_exponent));
}

// Run times assumed of upstreams without measurements.
struct AssumedRunTimes {
  // That of the fastest one: with an estimate slower than the others it would
  // never be measured.
  Duration warm{};
  // While it is slow after its start, that of the slowest one: in use it is
  // slower than most, and idle slots let it be measured.
  Duration warming_up{};
};

AssumedRunTimes AssumeRunTimes(const PlacementSettings& settings,
                               std::span<const Candidate> candidates) {
  AssumedRunTimes assumed;
  for (const Candidate& candidate : candidates) {
    const Duration run = candidate.run_time;
    if (run == Duration{0})
      continue;
    assumed.warm =
        assumed.warm == Duration{0} ? run : std::min(assumed.warm, run);
    assumed.warming_up = std::max(assumed.warming_up, run);
  }
  if (assumed.warm == Duration{0})
    return {settings.default_run_time, settings.default_run_time};
  return assumed;
}

// Indices of the candidates to compare: of each distance a few drawn at random.
std::vector<std::size_t> DrawCandidates(std::span<const Candidate> candidates,
                                        Rng& rng) {
  std::vector<std::size_t> drawn;
  for (const Distance distance : {Distance::kOwnVm, Distance::kOwnDataCenter,
                                  Distance::kOtherDataCenter}) {
    std::vector<std::size_t> all;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
      if (candidates[i].distance == distance)
        all.push_back(i);
    }
    std::sample(all.begin(), all.end(), std::back_inserter(drawn),
                kDrawnCandidates, rng);
  }
  return drawn;
}

// Requests that run at a time where the starts are limited: as many as start
// within one run. Without it, the free slots would attract more requests than
// the gate starts.
double UsableSlots(const Candidate& candidate, double run_us) {
  const double slots = std::max<std::uint32_t>(candidate.slots, 1);
  if (candidate.starts_per_second <= 0)
    return slots;
  const double starts_in_a_run =
      candidate.starts_per_second * run_us / kMicrosPerSecond;
  return std::clamp(starts_in_a_run, 1.0, slots);
}

// Expected time until the request may start, in microseconds, where a rate
// limits the starts. The reported wait counts although all
// slots are free: the rate may be used up.
double PacedWaitUs(const Candidate& candidate,
                   const PlacedRequest& request,
                   double ahead) {
  const auto reported_us = static_cast<double>(candidate.start_wait.count());
  if (ahead <= 0)
    return reported_us;
  const double gap_us = kMicrosPerSecond / candidate.starts_per_second;
  const double ahead_us = request.skips_queue ? gap_us : ahead * gap_us;
  return std::max(reported_us, ahead_us);
}

// Expected time until the request may start, in microseconds.
double ExpectedWaitUs(const Candidate& candidate,
                      const PlacedRequest& request,
                      double run_us) {
  const double slots = UsableSlots(candidate, run_us);
  const double ahead = candidate.load + 1.0 - slots;
  if (candidate.starts_per_second > 0)
    return PacedWaitUs(candidate, request, ahead);
  if (ahead <= 0)
    return 0;
  const double mean_us =
      candidate.mean_run_time > Duration{0}
          ? static_cast<double>(candidate.mean_run_time.count())
          : run_us;
  if (request.skips_queue)
    return mean_us / slots;
  // For waiting requests that the gate has not reported, only the number is
  // known.
  const double unreported = std::max(0.0, ahead - candidate.waiting);
  const auto queued_us = static_cast<double>(candidate.queued_time.count());
  return (queued_us + unreported * mean_us) / slots;
}

}  // namespace

void ApplySpeed(const PlacementSettings& settings,
                double factor,
                Candidate& candidate) {
  const double run_factor = std::lerp(1.0, factor, settings.slow_run_weight);
  candidate.run_time = SlowedBy(run_factor, candidate.run_time);
  candidate.mean_run_time = SlowedBy(factor, candidate.mean_run_time);
  candidate.queued_time = SlowedBy(factor, candidate.queued_time);
}

double CostOf(const PlacementSettings& settings,
              const Candidate& candidate,
              const PlacedRequest& request) {
  const Duration run = candidate.run_time > Duration{0}
                           ? candidate.run_time
                           : settings.default_run_time;
  const auto run_us = static_cast<double>(run.count());
  const double slots = UsableSlots(candidate, run_us);
  const double wait_us = ExpectedWaitUs(candidate, request, run_us);
  const double busy_fraction = std::min(1.0, candidate.load / slots);
  const double round_trip_us =
      static_cast<double>(RoundTripOf(settings, candidate.distance).count());
  const double time_us = round_trip_us + wait_us * settings.wait_weight +
                         run_us * (1.0 + settings.busy_factor * busy_fraction);
  const Duration aim =
      request.aim > Duration{0} ? request.aim : settings.default_aim;
  const double aim_fraction = time_us / static_cast<double>(aim.count());
  const double late_probability = LateProbability(settings, aim_fraction);
  return late_probability + (1 - late_probability) * candidate.failure_ratio +
         settings.price_of_time * aim_fraction +
         CrossingCostOf(settings, candidate.distance, request);
}

std::size_t Place(const PlacementSettings& settings,
                  std::span<const Candidate> candidates,
                  const PlacedRequest& request,
                  Rng& rng) {
  std::uniform_real_distribution<double> noise(1.0, 1.0 + settings.spread);
  const AssumedRunTimes assumed = AssumeRunTimes(settings, candidates);
  PlacementSettings with_default = settings;
  std::size_t best = candidates.size();
  double best_cost = 0;
  for (const std::size_t i : DrawCandidates(candidates, rng)) {
    with_default.default_run_time = candidates[i].warm_up_left > Duration{0}
                                        ? assumed.warming_up
                                        : assumed.warm;
    const double cost =
        CostOf(with_default, candidates[i], request) * noise(rng);
    if (best < candidates.size() && cost >= best_cost)
      continue;
    best = i;
    best_cost = cost;
  }
  return best;
}

}  // namespace teaselspread
