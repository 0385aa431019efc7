#include "teaselspread/slot_reserve.h"

#include <algorithm>
#include <cmath>

namespace teaselspread {
namespace {

// Time in which the weight of an arrival falls to 1/e. Shorter ones let the
// number of reserved slots follow random variation of the arrivals.
constexpr Duration kWindow = std::chrono::seconds(2);
// Arrivals of a shorter time say too little of a rate.
constexpr Duration kMinObserved = std::chrono::seconds(1);
// A route without an arrival for this many mean gaps, within the bounds below,
// has none any more: the weights alone would keep slots free for seconds.
constexpr double kGapsUntilSilent = 8;
constexpr Duration kMinSilence = std::chrono::milliseconds(1000);
constexpr Duration kMaxSilence = std::chrono::seconds(3);
// A long route stays one for this long without an arrival, so that one that is
// used rarely does not begin without a reservation each time.
constexpr Duration kMaxLongSilence = std::chrono::seconds(10);
constexpr Duration kForgetAfter = std::chrono::seconds(30);

// A route becomes long if its run time is this many times the slack time of an
// urgent one, and remains long down to the lower factor.
constexpr double kLongFactor = 2;
constexpr double kStillLongFactor = 1.5;
// Its own slack time must be this many times that of the urgent one. Otherwise
// an urgent route with moderately long runs would be held back for one with
// shorter runs, and be late itself.
constexpr double kSlackFactor = 4;
constexpr double kStillSlackFactor = 3;
// A route that was urgent remains so until its slack time is this many times
// the run time of the long ones.
constexpr double kStillUrgentFactor = 1.25;
// Slots beyond the offered load, in standard deviations of the number of slots
// in use (Poisson).
constexpr double kMarginDeviations = 0.7;
// How far the need must pass the middle between two numbers of slots before the
// number changes.
constexpr double kSlotHysteresis = 0.2;
// Soft deadline that is assumed of a call without one, as a fraction of its
// deadline. Calls carry none to the gate, but the request that makes one holds
// a slot meanwhile and has a soft deadline itself.
constexpr double kAssumedCallAim = 1.0 / 3;
// Weight of the newest arrival in the mean time to the soft deadline.
constexpr double kNewestAimWeight = 0.1;

double DecayOver(Duration span) {
  return std::exp(-static_cast<double>(span.count()) /
                  static_cast<double>(kWindow.count()));
}

bool IsKnown(const RouteDemand& demand) {
  return demand.arrivals > 0;
}

bool IsMeasured(const RouteDemand& demand) {
  return IsKnown(demand) && demand.run_us > 0 && demand.aim_us > 0;
}

// Arrivals in a microsecond.
double RateOf(const RouteDemand& demand, TimePoint now) {
  const Duration observed = std::max(now - demand.first_at, kMinObserved);
  const double window =
      static_cast<double>(kWindow.count()) * (1 - DecayOver(observed));
  return demand.arrivals * DecayOver(now - demand.last_at) / window;
}

bool IsSilent(const RouteDemand& demand, TimePoint now) {
  const double gap_us = 1 / RateOf(demand, demand.last_at);
  const Duration limit(static_cast<std::int64_t>(std::min(
      gap_us * kGapsUntilSilent, static_cast<double>(kMaxSilence.count()))));
  return now - demand.last_at > std::max(limit, kMinSilence);
}

// Time that a request may wait and still end by its soft deadline. A route that
// rarely ends by then would otherwise make all others long.
double SlackOf(const RouteDemand& demand) {
  return std::max(demand.aim_us - demand.run_us, demand.run_us);
}

// One route and priority that is considered in an update.
struct Row {
  Priority priority;
  RouteDemand* demand;
  double slack_us;
  bool is_silent;
};

std::vector<Row> MeasuredRows(SlotReserve& reserve, TimePoint now) {
  std::vector<Row> rows;
  for (auto& [route, demands] : reserve.routes) {
    for (std::size_t i = 0; i < demands.size(); ++i) {
      RouteDemand& demand = demands.at(i);
      if (IsMeasured(demand))
        rows.push_back({static_cast<Priority>(i), &demand, SlackOf(demand),
                        IsSilent(demand, now)});
    }
  }
  return rows;
}

bool IsLongBeside(const Row& row, const Row& urgent) {
  const RouteDemand& demand = *row.demand;
  const double factor = demand.is_long ? kStillLongFactor : kLongFactor;
  const double slack_factor = demand.is_long ? kStillSlackFactor : kSlackFactor;
  return row.priority >= urgent.priority &&
         demand.run_us > factor * urgent.slack_us &&
         row.slack_us > slack_factor * urgent.slack_us;
}

bool IsUrgentBeside(const Row& row, const Row& long_row) {
  const double factor = row.demand->is_urgent ? 1 / kStillUrgentFactor : 1.0;
  return row.priority <= long_row.priority &&
         long_row.demand->run_us > factor * row.slack_us;
}

void SmoothRunTime(RouteDemand& demand, double measured_us, Duration passed) {
  if (demand.run_us == 0)
    demand.run_us = measured_us;
  demand.run_us += (1 - DecayOver(passed)) * (measured_us - demand.run_us);
}

void TakeRunTimes(SlotReserve& reserve,
                  const ServiceTimes& measured,
                  Duration passed) {
  for (auto& [route, demands] : reserve.routes) {
    const auto found = measured.find(route);
    if (found == measured.end() || found->second.mean_us <= 0)
      continue;
    for (RouteDemand& demand : demands) {
      if (IsKnown(demand))
        SmoothRunTime(demand, found->second.mean_us, passed);
    }
  }
}

void ForgetOldRoutes(SlotReserve& reserve, TimePoint now) {
  for (auto& [route, demands] : reserve.routes) {
    for (RouteDemand& demand : demands) {
      if (now - demand.last_at > kForgetAfter)
        demand = {};
    }
  }
  std::erase_if(reserve.routes, [](const auto& route) {
    return std::none_of(route.second.begin(), route.second.end(), IsKnown);
  });
}

// Returns whether another set of routes is long.
bool MarkLong(const std::vector<Row>& rows, TimePoint now) {
  bool changed = false;
  for (const Row& row : rows) {
    const bool in_use = now - row.demand->last_at <= kMaxLongSilence;
    const bool is_long =
        in_use && std::any_of(rows.begin(), rows.end(), [&](const Row& other) {
          return !other.is_silent && IsLongBeside(row, other);
        });
    changed |= is_long != row.demand->is_long;
    row.demand->is_long = is_long;
  }
  return changed;
}

// Returns the slots that the urgent routes use on average.
double MarkUrgent(const std::vector<Row>& rows, TimePoint now) {
  double load = 0;
  for (const Row& row : rows) {
    RouteDemand& demand = *row.demand;
    demand.is_urgent =
        !demand.is_long && !row.is_silent &&
        std::any_of(rows.begin(), rows.end(), [&row](const Row& other) {
          return other.demand->is_long && IsUrgentBeside(row, other);
        });
    if (demand.is_urgent)
      load += RateOf(demand, now) * demand.run_us;
  }
  return load;
}

int SlotsFor(double load, int before) {
  const double needed = load + kMarginDeviations * std::sqrt(load);
  constexpr double kHalf = 0.5;
  if (std::abs(needed - before) <= kHalf + kSlotHysteresis && load > 0)
    return before;
  return static_cast<int>(std::lround(needed));
}

}  // namespace

void ObserveArrival(SlotReserve& reserve,
                    std::string_view route,
                    Priority priority,
                    const ArrivalTimes& times,
                    TimePoint now) {
  auto found = reserve.routes.find(route);
  if (found == reserve.routes.end())
    found = reserve.routes.emplace(std::string(route), RouteDemands{}).first;
  if (reserve.first_observed_at == TimePoint{})
    reserve.first_observed_at = now;
  RouteDemand& demand = found->second.at(static_cast<std::size_t>(priority));
  // The time without arrivals is no part of the new rate.
  if (!IsKnown(demand) || IsSilent(demand, now)) {
    demand.arrivals = 0;
    demand.first_at = now;
    demand.last_at = now;
  }
  demand.arrivals = demand.arrivals * DecayOver(now - demand.last_at) + 1;
  demand.last_at = now;
  // One that comes after its soft deadline tells nothing of its route's.
  if (times.to_aim <= Duration{0})
    return;
  const auto deadline_us = static_cast<double>(times.to_deadline.count());
  const bool has_aim = times.to_aim < times.to_deadline;
  double aim_us = static_cast<double>(times.to_aim.count());
  if (!has_aim)
    aim_us = priority == Priority::kInternal ? deadline_us * kAssumedCallAim
                                             : deadline_us;
  if (demand.aim_us == 0)
    demand.aim_us = aim_us;
  demand.aim_us += kNewestAimWeight * (aim_us - demand.aim_us);
}

bool UpdateReserve(SlotReserve& reserve,
                   const ServiceTimes& measured,
                   TimePoint now) {
  const Duration passed = now - reserve.updated_at;
  if (passed < kReserveInterval)
    return false;
  reserve.updated_at = now;
  ForgetOldRoutes(reserve, now);
  TakeRunTimes(reserve, measured, passed);
  if (now - reserve.first_observed_at < kMinObserved)
    return false;
  const std::vector<Row> rows = MeasuredRows(reserve, now);
  const bool changed = MarkLong(rows, now);
  reserve.urgent_load = MarkUrgent(rows, now);
  reserve.reserved = SlotsFor(reserve.urgent_load, reserve.reserved);
  return changed;
}

bool IsLong(const SlotReserve& reserve,
            std::string_view route,
            Priority priority) {
  const auto found = reserve.routes.find(route);
  return found != reserve.routes.end() &&
         found->second.at(static_cast<std::size_t>(priority)).is_long;
}

int LongCap(const SlotReserve& reserve, int slots) {
  return std::clamp(slots - reserve.reserved, std::min(slots, 1), slots);
}

std::vector<std::string> LongRoutes(const SlotReserve& reserve) {
  std::vector<std::string> routes;
  for (const auto& [route, demands] : reserve.routes) {
    if (std::any_of(demands.begin(), demands.end(),
                    [](const RouteDemand& demand) { return demand.is_long; }))
      routes.push_back(route);
  }
  return routes;
}

void RetainRoutes(SlotReserve& reserve,
                  const std::set<std::string_view>& routes) {
  std::erase_if(reserve.routes, [&routes](const auto& row) {
    return !routes.contains(row.first);
  });
}

}  // namespace teaselspread
