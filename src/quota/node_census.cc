#include "teaselspread/node_census.h"

#include <chrono>

namespace teaselspread {
namespace {

// A node that restarts or a partition that heals is back well within it.
constexpr Duration kDropAfter = std::chrono::seconds(60);
// While a partition heals, links return one by one. Without this time, a node
// of the smaller side would drop the others as soon as it reached just over
// half.
constexpr Duration kMajorityHeld = std::chrono::seconds(10);

void UpdateMajority(NodeCensus& census, TimePoint now) {
  if (2 * census.reached <= census.known)
    census.majority_since.reset();
  else if (!census.majority_since)
    census.majority_since = now;
}

bool IsKnown(NodeReach reach) {
  return reach == NodeReach::kReached || reach == NodeReach::kLost;
}

void SetReach(NodeCensus& census,
              CensusRow& row,
              NodeReach reach,
              TimePoint now) {
  if (IsKnown(row.reach))
    --census.known;
  if (row.reach == NodeReach::kReached)
    --census.reached;
  row.reach = reach;
  if (IsKnown(reach))
    ++census.known;
  if (reach == NodeReach::kReached)
    ++census.reached;
  if (reach == NodeReach::kLost)
    row.lost_at = now;
  UpdateMajority(census, now);
}

void DropLost(NodeCensus& census, TimePoint now) {
  if (census.reached == census.known || !census.majority_since ||
      now - *census.majority_since < kMajorityHeld)
    return;
  for (auto& [node, row] : census.rows) {
    if (row.reach == NodeReach::kLost && now - row.lost_at >= kDropAfter)
      SetReach(census, row, NodeReach::kDropped, now);
  }
}

}  // namespace

void OnNodeKnown(NodeCensus& census, std::string_view node, TimePoint now) {
  if (node == census.self || census.rows.contains(node))
    return;
  census.rows.emplace(node, CensusRow{NodeReach::kLost, now});
  ++census.known;
  UpdateMajority(census, now);
}

void OnNodeReached(NodeCensus& census, std::string_view node, TimePoint now) {
  OnNodeKnown(census, node, now);
  if (const auto row = census.rows.find(node); row != census.rows.end())
    SetReach(census, row->second, NodeReach::kReached, now);
}

void OnNodeLost(NodeCensus& census, std::string_view node, TimePoint now) {
  const auto row = census.rows.find(node);
  if (row != census.rows.end() && row->second.reach == NodeReach::kReached)
    SetReach(census, row->second, NodeReach::kLost, now);
}

void OnNodeLeft(NodeCensus& census, std::string_view node, TimePoint now) {
  OnNodeKnown(census, node, now);
  if (const auto row = census.rows.find(node); row != census.rows.end())
    SetReach(census, row->second, NodeReach::kLeft, now);
}

bool IsKnown(const NodeCensus& census, std::string_view node) {
  const auto row = census.rows.find(node);
  return row != census.rows.end() && IsKnown(row->second.reach);
}

std::size_t CountKnown(NodeCensus& census, TimePoint now) {
  DropLost(census, now);
  return census.known;
}

double ReachedShare(NodeCensus& census, TimePoint now) {
  DropLost(census, now);
  return static_cast<double>(census.reached) /
         static_cast<double>(census.known);
}

}  // namespace teaselspread
