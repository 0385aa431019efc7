// Selects the nodes that judge moves for all.
//
// Response counters of every node sent to every other one grow with the square
// of a deployment. A few nodes receive them instead, judge the versions, and
// tell all nodes what they find. Each node selects them by itself among the
// nodes that it reaches, so that both sides of a cut have some.
//
// Pure. Thread safe.
#ifndef TEASELSPREAD_MOVE_EVALUATORS_H_
#define TEASELSPREAD_MOVE_EVALUATORS_H_

#include <cstddef>
#include <set>
#include <span>
#include <string>
#include <string_view>

namespace teaselspread {

// Enough that a verdict does not wait for a new evaluator while some of them
// restart or are cut off.
inline constexpr std::size_t kMoveEvaluators = 3;

// Position of `node` among itself and `others` in the order in which nodes are
// selected, 0 for the first. The order is that of a hash of the names, since
// nodes with neighbouring names may share a data centre.
[[nodiscard]] std::size_t EvaluatorRank(std::string_view node,
                                        std::span<const std::string> others);

// The first kMoveEvaluators of `nodes` in that order.
[[nodiscard]] std::set<std::string, std::less<>> SelectEvaluators(
    std::span<const std::string> nodes);

}  // namespace teaselspread

#endif  // TEASELSPREAD_MOVE_EVALUATORS_H_
