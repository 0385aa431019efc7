#include "teaselspread/move_evaluators.h"

#include <algorithm>
#include <cstdint>
#include <utility>
#include <vector>

#include <xxhash.h>

namespace teaselspread {
namespace {

using RankKey = std::pair<std::uint64_t, std::string_view>;

RankKey KeyOf(std::string_view node) {
  return {XXH3_64bits(node.data(), node.size()), node};
}

}  // namespace

std::size_t EvaluatorRank(std::string_view node,
                          std::span<const std::string> others) {
  const RankKey own = KeyOf(node);
  return static_cast<std::size_t>(
      std::count_if(others.begin(), others.end(),
                    [&own](const auto& other) { return KeyOf(other) < own; }));
}

std::set<std::string, std::less<>> SelectEvaluators(
    std::span<const std::string> nodes) {
  std::vector<RankKey> keys;
  keys.reserve(nodes.size());
  for (const std::string& node : nodes)
    keys.push_back(KeyOf(node));
  const std::size_t count = std::min(keys.size(), kMoveEvaluators);
  std::partial_sort(keys.begin(),
                    keys.begin() + static_cast<std::ptrdiff_t>(count),
                    keys.end());
  std::set<std::string, std::less<>> selected;
  for (std::size_t i = 0; i < count; ++i)
    selected.emplace(keys.at(i).second);
  return selected;
}

}  // namespace teaselspread
