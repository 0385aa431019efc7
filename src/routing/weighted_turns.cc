#include "teaselspread/weighted_turns.h"

#include <algorithm>
#include <numeric>

namespace teaselspread {

std::size_t NextTurn(WeightedTurns& turns,
                     std::span<const std::uint32_t> weights) {
  if (turns.credits.size() != weights.size())
    turns.credits.assign(weights.size(), 0);
  for (std::size_t i = 0; i < weights.size(); ++i)
    turns.credits[i] += weights[i];
  const auto best =
      std::max_element(turns.credits.begin(), turns.credits.end());
  *best -= std::accumulate(weights.begin(), weights.end(), std::int64_t{0});
  return static_cast<std::size_t>(best - turns.credits.begin());
}

}  // namespace teaselspread
