#include "teaselspread/shortage.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace teaselspread {
namespace {

// Maximum number of rows. Few routes make calls, so a longer report is taken to
// be invalid.
constexpr std::size_t kMaxCalls = 64;

double DecayedCount(const ShortageSettings& settings,
                    const DecayingCount& decaying,
                    TimePoint now) {
  const auto age = static_cast<double>((now - decaying.updated_at).count());
  const auto decay_time = static_cast<double>(settings.decay_time.count());
  return decaying.count * std::exp(-std::max(age, 0.0) / decay_time);
}

void AddToCount(const ShortageSettings& settings,
                DecayingCount& decaying,
                double increment,
                TimePoint now) {
  decaying.count = DecayedCount(settings, decaying, now) + increment;
  decaying.updated_at = now;
}

struct Sums {
  double requests = 0;
  double refused = 0;
};

}  // namespace

void RecordDemand(ShortageTable& table,
                  const std::string& service,
                  Priority priority,
                  bool refused,
                  TimePoint now) {
  ShortageTable::Row& row = table.own_demand[{service, priority}];
  AddToCount(table.settings, row.requests, 1, now);
  AddToCount(table.settings, row.refused, refused ? 1 : 0, now);
}

void RecordCall(ShortageTable& table,
                const std::string& route,
                const std::string& service) {
  if (table.own_calls.size() < kMaxCalls)
    table.own_calls.insert({route, service});
}

std::set<std::string_view> ServicesCalledBy(const ShortageTable& table,
                                            std::string_view route) {
  std::set<std::string_view> services;
  for (const CallReport& call : table.own_calls) {
    if (call.route == route)
      services.insert(call.service);
  }
  for (const auto& [node, calls] : table.peer_calls) {
    for (const CallReport& call : calls) {
      if (call.route == route)
        services.insert(call.service);
    }
  }
  return services;
}

void RetainRoutes(ShortageTable& table,
                  const std::set<std::string_view>& routes) {
  std::erase_if(table.own_calls, [&routes](const CallReport& call) {
    return !routes.contains(call.route);
  });
}

std::vector<ShortageReport> ShortageReportsOf(const ShortageTable& table,
                                              TimePoint now) {
  std::vector<ShortageReport> reports;
  for (const auto& [key, row] : table.own_demand) {
    ShortageReport report{key.first, key.second, 0, 0};
    report.refused = static_cast<std::uint32_t>(
        std::lround(DecayedCount(table.settings, row.refused, now)));
    if (report.refused == 0)
      continue;
    report.requests = static_cast<std::uint32_t>(
        std::lround(DecayedCount(table.settings, row.requests, now)));
    reports.push_back(std::move(report));
  }
  return reports;
}

std::vector<CallReport> CallReportsOf(const ShortageTable& table) {
  return {table.own_calls.begin(), table.own_calls.end()};
}

void ReplacePeerShortage(ShortageTable& table,
                         const std::string& node,
                         std::vector<ShortageReport> reports,
                         std::vector<CallReport> calls) {
  table.peer_reports[node] = std::move(reports);
  if (calls.size() <= kMaxCalls)
    table.peer_calls[node] = std::move(calls);
}

void RemovePeerShortage(ShortageTable& table, const std::string& node) {
  table.peer_reports.erase(node);
  table.peer_calls.erase(node);
}

double RefusedFraction(const ShortageTable& table,
                       std::string_view service,
                       Priority priority,
                       TimePoint now) {
  Sums sums;
  for (const auto& [key, row] : table.own_demand) {
    if (key.first != service || key.second > priority)
      continue;
    sums.requests += DecayedCount(table.settings, row.requests, now);
    sums.refused += DecayedCount(table.settings, row.refused, now);
  }
  for (const auto& [node, reports] : table.peer_reports) {
    for (const ShortageReport& report : reports) {
      if (report.service != service || report.priority > priority)
        continue;
      sums.requests += report.requests;
      sums.refused += report.refused;
    }
  }
  if (sums.requests < table.settings.min_requests)
    return 0;
  return std::min(1.0, sums.refused / sums.requests);
}

double FractionToShed(const ShortageTable& table,
                      std::string_view route,
                      Priority priority,
                      TimePoint now) {
  double max_refused = 0;
  for (const std::string_view service : ServicesCalledBy(table, route))
    max_refused =
        std::max(max_refused, RefusedFraction(table, service, priority, now));
  return std::min(max_refused * table.settings.gain,
                  table.settings.max_shed_fraction);
}

}  // namespace teaselspread
