// Deterministic smooth weighted round robin.
#ifndef TEASELSPREAD_WEIGHTED_TURNS_H_
#define TEASELSPREAD_WEIGHTED_TURNS_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace teaselspread {

// The credit of each index, kept from call to call.
struct WeightedRoundRobin {
  std::vector<std::int64_t> credits;
};

// Next index by smooth weighted round robin: in any N calls, each index is
// returned in proportion to its weight to within one. Random choice would be
// off by several in a hundred over some hundred requests. Resets when the
// number of weights changes. Precondition: some weight is above zero. Not
// thread safe.
[[nodiscard]] std::size_t NextIndex(WeightedRoundRobin& round_robin,
                                    std::span<const std::uint32_t> weights);

}  // namespace teaselspread

#endif  // TEASELSPREAD_WEIGHTED_TURNS_H_
