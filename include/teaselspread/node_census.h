// How many nodes the fleet has and which share of them this node reaches.
//
// A node that is not reached may be down or on the other side of a partition.
// It keeps its share of what the nodes divide among themselves until it has
// announced that it leaves, or has been lost for long while most nodes are
// reached.
//
// Pure: the caller passes the time in. Nothing here is thread safe.
#ifndef TEASELSPREAD_NODE_CENSUS_H_
#define TEASELSPREAD_NODE_CENSUS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "teaselspread/types.h"

namespace teaselspread {

enum class NodeReach : std::uint8_t {
  kReached,
  // Known, but not reached now or not yet.
  kLost,
  // Announced that it leaves.
  kLeft,
  // Lost for so long that it is not known any more.
  kDropped,
};

struct CensusRow {
  NodeReach reach = NodeReach::kLost;
  // When `reach` became kLost.
  TimePoint lost_at;
};

// Start with `self` and the nodes of the roster: until those are known, this
// node counts as the whole fleet.
struct NodeCensus {
  // This node. It is always reached, and the functions below ignore its name.
  std::string self;
  // Rows stay after a node has left or been dropped, so that a roster that
  // still names it does not bring it back.
  std::map<std::string, CensusRow, std::less<>> rows{};
  // Nodes that are reached or lost, and those that are reached, with this one.
  std::size_t known = 1;
  std::size_t reached = 1;
  // Since when more than half of the known nodes have been reached.
  std::optional<TimePoint> majority_since{};
};

// The roster names `node`. Does nothing if there is a row for it.
void OnNodeKnown(NodeCensus& census, std::string_view node, TimePoint now);
// Also brings back a node that had left or been dropped.
void OnNodeReached(NodeCensus& census, std::string_view node, TimePoint now);
// The last link to `node` was lost. Does nothing if it was not reached.
void OnNodeLost(NodeCensus& census, std::string_view node, TimePoint now);
// `node` announced that it leaves: it is not known until it is reached again.
void OnNodeLeft(NodeCensus& census, std::string_view node, TimePoint now);

// Whether `node` is reached or lost, but has neither left nor been dropped.
[[nodiscard]] bool IsKnown(const NodeCensus& census, std::string_view node);

// Known nodes, with this one. Drops those that have been lost for too long.
[[nodiscard]] std::size_t CountKnown(NodeCensus& census, TimePoint now);

// Reached nodes by known nodes, this one in both; above 0, at most 1.
[[nodiscard]] double ReachedShare(NodeCensus& census, TimePoint now);

}  // namespace teaselspread

#endif  // TEASELSPREAD_NODE_CENSUS_H_
