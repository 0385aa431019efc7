// Turns in proportion to weights, spread evenly and without chance.
#ifndef TEASELSPREAD_WEIGHTED_TURNS_H_
#define TEASELSPREAD_WEIGHTED_TURNS_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace teaselspread {

// The credit of each part; carries over from turn to turn.
struct WeightedRoundRobin {
  std::vector<std::int64_t> credits;
};

// Index of the part whose turn it is, by smooth weighted round robin: among
// any N turns a part gets its share of N to within one turn. Drawing at random
// would be off by several in a hundred over some hundred requests. Starts anew
// when the number of parts changes. Precondition: some weight is above zero.
// Not thread safe.
[[nodiscard]] std::size_t NextIndex(WeightedRoundRobin& round_robin,
                                    std::span<const std::uint32_t> weights);

}  // namespace teaselspread

#endif  // TEASELSPREAD_WEIGHTED_TURNS_H_
