#include "teaselspread/evacuation.h"

namespace teaselspread {

bool ApplyEvacuation(EvacuationTable& table, const EvacuationOrder& order) {
  const auto [found, added] = table.by_data_center.try_emplace(
      order.data_center, EvacuationState{order.active, order.revision});
  if (added)
    return true;
  if (order.revision <= found->second.revision)
    return false;
  found->second = {order.active, order.revision};
  return true;
}

std::vector<EvacuationOrder> MissingEvacuations(
    const EvacuationTable& table,
    const std::set<std::string, std::less<>>& found,
    std::uint64_t revision) {
  std::vector<EvacuationOrder> orders;
  for (const auto& [data_center, state] : table.by_data_center) {
    if (state.active && state.revision < revision &&
        !found.contains(data_center))
      orders.push_back({data_center, false, revision});
  }
  return orders;
}

bool IsEvacuated(const EvacuationTable& table, std::string_view data_center) {
  const auto found = table.by_data_center.find(data_center);
  return found != table.by_data_center.end() && found->second.active;
}

std::vector<EvacuationOrder> OrdersOf(const EvacuationTable& table) {
  std::vector<EvacuationOrder> orders;
  for (const auto& [data_center, state] : table.by_data_center)
    orders.push_back({data_center, state.active, state.revision});
  return orders;
}

}  // namespace teaselspread
