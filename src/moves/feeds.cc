#include "moves/feeds.h"

#include <utility>

namespace teaselspread::moves {
namespace {

// Below this rate a data centre cannot judge by its own answers alone.
constexpr double kLittleTraffic = 5;
bool IsDoubted(const MoveState& move,
               const std::string& data_center,
               TimePoint now) {
  const auto found = move.doubted_until.find(data_center);
  return found != move.doubted_until.end() && now < found->second;
}

struct FeedTable {
  // By scope and data centre.
  std::map<std::pair<std::string, std::string>, Feed> feeds;
};

void AddRow(FeedTable& table,
            const std::string& scope,
            const EvidenceKey& key,
            const EvidenceCells& cells,
            bool fresh,
            bool counted) {
  Feed& feed = table.feeds[{scope, key.data_center}];
  feed.scope = scope;
  feed.data_center = key.data_center;
  feed.counted = counted;
  AddCells(fresh ? feed.totals.fresh : feed.totals.old, cells);
}

}  // namespace

void NoteSilences(MoveState& move, const StepInput& in, Duration unheard) {
  for (const std::string& name : in.snapshot.data_centers) {
    const auto heard = in.capacity.heard.find(name);
    const bool silent =
        heard != in.capacity.heard.end() && in.now - heard->second > unheard;
    if (silent)
      move.doubted_until[name] = in.now + unheard;
  }
}

std::vector<Feed> FeedsOf(const MovesState& state,
                          const MoveState& move,
                          const StepInput& in) {
  const bool pooled = move.demand.known && move.demand.rate < kLittleTraffic;
  FeedTable table;
  EvidenceKey first;
  first.move = move.config.id;
  const auto& rows = in.evidence.rows;
  for (auto row = rows.lower_bound(first);
       row != rows.end() && row->first.move == move.config.id; ++row) {
    const EvidenceKey& key = row->first;
    const EvidenceCells& cells = row->second.cells;
    const bool fresh = key.version == move.config.to;
    if (key.route.empty() || (!fresh && key.version != move.config.from))
      continue;
    const bool counted = pooled && !IsDoubted(move, key.data_center, in.now);
    AddRow(table, "everywhere", key, cells, fresh, counted);
    AddRow(table, "everywhere/" + key.route, key, cells, fresh, counted);
    if (key.data_center != state.data_center)
      continue;
    AddRow(table, "*", key, cells, fresh, true);
    AddRow(table, key.route, key, cells, fresh, true);
  }
  std::vector<Feed> feeds;
  for (auto& [key, feed] : table.feeds)
    feeds.push_back(std::move(feed));
  return feeds;
}

}  // namespace teaselspread::moves
