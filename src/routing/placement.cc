#include "teaselspread/placement.h"

#include <algorithm>
#include <random>

namespace teaselspread {
namespace {

constexpr double kBytesPerKilobyte = 1000;
// An upstream that fails everything counts this many times its time.
constexpr double kFailureWeight = 10;

Duration WayOf(const PlacementSettings& settings, Distance distance) {
  switch (distance) {
    case Distance::kOwnVm:
      return Duration{0};
    case Distance::kOwnDataCenter:
      return settings.own_data_center_way;
    case Distance::kOtherDataCenter:
      break;
  }
  return settings.other_data_center_way;
}

Duration PriceOf(const PlacementSettings& settings,
                 Distance distance,
                 std::size_t bytes) {
  if (distance != Distance::kOtherDataCenter)
    return Duration{0};
  const double kilobytes = static_cast<double>(bytes) / kBytesPerKilobyte;
  const auto each = static_cast<double>(settings.price_per_kilobyte.count());
  return Duration(static_cast<std::int64_t>(kilobytes * each));
}

// An upstream that nobody has measured is taken to be as fast as the fastest:
// with a guess that is slower than the others it would never be measured.
Duration FastestOf(const PlacementSettings& settings,
                   std::span<const Candidate> candidates) {
  Duration fastest{};
  for (const Candidate& candidate : candidates) {
    const Duration run = candidate.run_time;
    if (run > Duration{0} && (fastest == Duration{0} || run < fastest))
      fastest = run;
  }
  return fastest > Duration{0} ? fastest : settings.unknown_time;
}

}  // namespace

Duration CostOf(const PlacementSettings& settings,
                const Candidate& candidate,
                std::size_t request_bytes) {
  const Duration run = candidate.run_time > Duration{0} ? candidate.run_time
                                                        : settings.unknown_time;
  const auto run_us = static_cast<double>(run.count());
  const double slots = std::max<std::uint32_t>(candidate.slots, 1);
  const double ahead = std::max(0.0, candidate.load + 1.0 - slots);
  const double wait_us = run_us * ahead / slots;
  const double busy = std::min(1.0, candidate.load / slots);
  double time_us = wait_us + run_us * (1.0 + settings.busy_factor * busy);
  time_us *= 1.0 + kFailureWeight * candidate.failure_share;
  return Duration(static_cast<std::int64_t>(time_us)) +
         WayOf(settings, candidate.distance) +
         PriceOf(settings, candidate.distance, request_bytes);
}

std::size_t Place(const PlacementSettings& settings,
                  std::span<const Candidate> candidates,
                  std::size_t request_bytes,
                  Rng& rng) {
  std::uniform_real_distribution<double> noise(1.0, 1.0 + settings.spread);
  PlacementSettings guessed = settings;
  guessed.unknown_time = FastestOf(settings, candidates);
  std::size_t best = candidates.size();
  double least = 0;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const Duration exact = CostOf(guessed, candidates[i], request_bytes);
    const double cost = static_cast<double>(exact.count()) * noise(rng);
    if (best < candidates.size() && cost >= least)
      continue;
    best = i;
    least = cost;
  }
  return best;
}

}  // namespace teaselspread
