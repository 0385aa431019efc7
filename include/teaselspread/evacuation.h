// Evacuations: operators take the upstreams of a data centre out of service,
// and put them back later. Callers there are served by the other data centres.
//
// Orders may reach a node late, twice and in any order: from the store, and
// from other nodes that were cut off from it. Their revisions decide.
//
// Pure. Nothing here is thread safe.
#ifndef TEASELSPREAD_EVACUATION_H_
#define TEASELSPREAD_EVACUATION_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace teaselspread {

// An operator's order on one data centre.
struct EvacuationOrder {
  std::string data_center;
  // False when the evacuation was taken back.
  bool active = false;
  // Increases with each change in the operators' stream.
  std::uint64_t revision = 0;
};

struct EvacuationState {
  bool active = false;
  std::uint64_t revision = 0;
};

// The newest order of each data centre that ever had one.
struct EvacuationTable {
  std::map<std::string, EvacuationState, std::less<>> by_data_center;
};

// Applies an order unless it is older than what is known or the same. Returns
// whether it is new.
bool ApplyEvacuation(EvacuationTable& table, const EvacuationOrder& order);

// The orders that follow from a complete read of the operators' stream, which
// ended at `revision` and held evacuations of the data centres `found` only:
// the others were taken back, and nothing else tells so.
[[nodiscard]] std::vector<EvacuationOrder> MissingEvacuations(
    const EvacuationTable& table,
    const std::set<std::string, std::less<>>& found,
    std::uint64_t revision);

[[nodiscard]] bool IsEvacuated(const EvacuationTable& table,
                               std::string_view data_center);

// All that is known, to be passed on to another node.
[[nodiscard]] std::vector<EvacuationOrder> OrdersOf(
    const EvacuationTable& table);

}  // namespace teaselspread

#endif  // TEASELSPREAD_EVACUATION_H_
