#include "moves/feeds.h"

#include <utility>

namespace teaselspread::moves {
namespace {

// Requests per second below which the responses of one data centre alone do not
// suffice for a judgement.
constexpr double kLowTrafficRate = 5;
bool IsCatchingUp(const MoveState& move,
                  const std::string& data_center,
                  TimePoint now) {
  const auto found = move.catching_up_until.find(data_center);
  return found != move.catching_up_until.end() && now < found->second;
}

struct ScopeTable {
  // By scope and data centre.
  std::map<std::pair<std::string, std::string>, ScopeTotals> totals;
};

void AddRow(ScopeTable& table,
            const std::string& scope,
            const EvidenceKey& key,
            const EvidenceCounters& counters,
            bool is_new,
            bool counted) {
  ScopeTotals& scope_totals = table.totals[{scope, key.data_center}];
  scope_totals.scope = scope;
  scope_totals.data_center = key.data_center;
  scope_totals.counted = counted;
  AddCounters(is_new ? scope_totals.totals.new_version
                     : scope_totals.totals.old_version,
              counters);
}

}  // namespace

void UpdateCatchingUp(MoveState& move,
                      const StepInput& in,
                      Duration silence_timeout) {
  for (const std::string& name : in.snapshot.data_centers) {
    const auto contact = in.capacity.last_contact.find(name);
    const bool silent = contact != in.capacity.last_contact.end() &&
                        in.now - contact->second > silence_timeout;
    if (silent)
      move.catching_up_until[name] = in.now + silence_timeout;
  }
}

std::vector<ScopeTotals> ScopeTotalsOf(const MovesState& state,
                                       const MoveState& move,
                                       const StepInput& in) {
  const bool pooled = move.demand.known && move.demand.rate < kLowTrafficRate;
  ScopeTable table;
  EvidenceKey first;
  first.move = move.config.id;
  const auto& rows = in.evidence.rows;
  for (auto row = rows.lower_bound(first);
       row != rows.end() && row->first.move == move.config.id; ++row) {
    const EvidenceKey& key = row->first;
    const EvidenceCounters& counters = row->second.counters;
    const bool is_new = key.version == move.config.to;
    if (key.route.empty() || (!is_new && key.version != move.config.from))
      continue;
    const bool counted = pooled && !IsCatchingUp(move, key.data_center, in.now);
    AddRow(table, "everywhere", key, counters, is_new, counted);
    AddRow(table, "everywhere/" + key.route, key, counters, is_new, counted);
    if (key.data_center != state.data_center)
      continue;
    AddRow(table, "*", key, counters, is_new, true);
    AddRow(table, key.route, key, counters, is_new, true);
  }
  std::vector<ScopeTotals> all;
  for (auto& [key, totals] : table.totals)
    all.push_back(std::move(totals));
  return all;
}

}  // namespace teaselspread::moves
