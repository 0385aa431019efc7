#include "teaselspread/weighted_turns.h"

#include <algorithm>
#include <numeric>

namespace teaselspread {

std::size_t NextIndex(WeightedRoundRobin& round_robin,
                      std::span<const std::uint32_t> weights) {
  if (round_robin.credits.size() != weights.size())
    round_robin.credits.assign(weights.size(), 0);
  for (std::size_t i = 0; i < weights.size(); ++i)
    round_robin.credits[i] += weights[i];
  const auto best =
      std::max_element(round_robin.credits.begin(), round_robin.credits.end());
  *best -= std::accumulate(weights.begin(), weights.end(), std::int64_t{0});
  return static_cast<std::size_t>(best - round_robin.credits.begin());
}

}  // namespace teaselspread
