#include "teaselspread/shortage.h"

#include <criterion/criterion.h>

#include <random>
#include <string>

namespace teaselspread {
namespace {

using Ms = std::chrono::milliseconds;

const TimePoint kStart{std::chrono::hours(1)};
constexpr char kDesk[] = "ledger-desk";
constexpr char kWorks[] = "tally-works";
constexpr char kView[] = "spend-view";

void RecordRequests(ShortageTable& table,
                    int refused,
                    int served,
                    TimePoint now) {
  for (int i = 0; i < refused; ++i)
    RecordDemand(table, kWorks, Priority::kNormal, true, now);
  for (int i = 0; i < served; ++i)
    RecordDemand(table, kWorks, Priority::kNormal, false, now);
}

double ShedFraction(const ShortageTable& table, TimePoint now) {
  return FractionToShed(table, kView, Priority::kBackground, now);
}

Test(shortage, nothing_is_shed_while_there_is_capacity) {
  ShortageTable table;
  RecordCall(table, kView, kWorks);
  RecordRequests(table, 0, 50, kStart);
  cr_assert(ShedFraction(table, kStart) == 0);
  cr_assert(ShortageReportsOf(table, kStart).empty());
}

// Half of the urgent requests to a service are refused for lack of capacity.
// Requests that call it while they run are shed in proportion; others are not.
Test(shortage, callers_of_a_full_service_are_shed) {
  ShortageTable table;
  RecordCall(table, kView, kWorks);
  RecordRequests(table, 10, 10, kStart);
  const double shed_fraction = ShedFraction(table, kStart);
  cr_assert(shed_fraction > 0.5 && shed_fraction <= 0.9, "%.2f", shed_fraction);
  cr_assert(
      FractionToShed(table, "budget-approve", Priority::kNormal, kStart) == 0);
}

// Requests that are more urgent than the refused ones must not be shed.
Test(shortage, more_urgent_callers_are_not_shed) {
  ShortageTable table;
  RecordCall(table, kView, kWorks);
  RecordRequests(table, 20, 0, kStart);
  cr_assert(FractionToShed(table, kView, Priority::kInternal, kStart) == 0);
}

// Refusals that other nodes report count too, until the link to them is lost.
Test(shortage, refusals_at_other_nodes_count) {
  ShortageTable here;
  ShortageTable there;
  RecordCall(there, kView, kWorks);
  RecordRequests(there, 15, 15, kStart);
  ReplacePeerShortage(here, "n2", ShortageReportsOf(there, kStart),
                      CallReportsOf(there));
  cr_assert(ShedFraction(here, kStart) > 0.5);
  RemovePeerShortage(here, "n2");
  cr_assert(ShedFraction(here, kStart) == 0);
}

Test(shortage, a_shortage_decays_within_seconds) {
  ShortageTable table;
  RecordCall(table, kView, kWorks);
  RecordRequests(table, 20, 20, kStart);
  cr_assert(ShedFraction(table, kStart + std::chrono::seconds(4)) == 0);
}

// A service was short of capacity for some seconds and has room again. Requests
// that call it would be shed for seconds more, though it could serve their
// calls.
Test(shortage, little_is_shed_a_second_after_a_shortage_has_ended) {
  ShortageTable table;
  RecordCall(table, kView, kWorks);
  const TimePoint over = kStart + std::chrono::seconds(3);
  TimePoint now = kStart;
  for (; now < over; now += Ms(20))
    RecordRequests(table, 1, 1, now);
  cr_assert_gt(ShedFraction(table, now), 0.5);
  for (; now < over + std::chrono::seconds(1); now += Ms(20))
    RecordRequests(table, 0, 2, now);
  cr_assert_lt(ShedFraction(table, now), 0.15, "%f", ShedFraction(table, now));
}

// A few requests are too small a sample for their refused fraction to count.
Test(shortage, a_few_refusals_shed_nothing) {
  ShortageTable table;
  RecordCall(table, kView, kWorks);
  RecordRequests(table, 2, 2, kStart);
  cr_assert(ShedFraction(table, kStart) == 0);
}

// Half of a service's upstreams are lost. Requests of another service call it
// once each, and their calls take all remaining slots; the more urgent requests
// sent to it directly get none. Without shedding a user gets every dashboard
// and no forecast; with it, similar fractions of both are served.
struct ServedFractions {
  double views = 0;
  double forecasts = 0;
};

ServedFractions Replay(bool sheds) {
  constexpr int kCapacity = 12;
  constexpr int kViews = 12;
  constexpr int kForecasts = 12;
  ShortageTable table;
  RecordCall(table, kView, kWorks);
  Rng rng(5);
  std::uniform_real_distribution<double> draw(0, 1);
  int views = 0;
  int forecasts = 0;
  constexpr int kTurns = 400;
  for (int turn = 0; turn < kTurns; ++turn) {
    const TimePoint now = kStart + turn * Ms(50);
    const double shed_fraction = sheds ? ShedFraction(table, now) : 0;
    int free_slots = kCapacity;
    for (int i = 0; i < kViews; ++i) {
      if (draw(rng) < shed_fraction)
        continue;
      ++views;
      --free_slots;
    }
    for (int i = 0; i < kForecasts; ++i) {
      const bool served = free_slots-- > 0;
      forecasts += served ? 1 : 0;
      RecordDemand(table, kWorks, Priority::kNormal, !served, now);
    }
  }
  return {static_cast<double>(views) / (kTurns * kViews),
          static_cast<double>(forecasts) / (kTurns * kForecasts)};
}

Test(shortage, urgent_requests_are_served_beside_calls_of_others) {
  const ServedFractions before = Replay(false);
  cr_assert(before.views > 0.99 && before.forecasts < 0.01);
  const ServedFractions after = Replay(true);
  cr_assert(after.forecasts > 0.5, "%.2f", after.forecasts);
  cr_assert(after.views > 0.3, "%.2f", after.views);
}

// Each configuration has its own routes. Rows of removed routes must not take
// the place of new ones.
Test(shortage, calls_of_removed_routes_are_dropped) {
  ShortageTable table;
  for (int i = 0; i < 100; ++i)
    RecordCall(table, "old-" + std::to_string(i), kWorks);
  RetainRoutes(table, {kView});
  cr_assert(CallReportsOf(table).empty());
  RecordCall(table, kView, kWorks);
  cr_assert(CallReportsOf(table).size() == 1);
}

Test(shortage, a_shortage_of_another_service_sheds_nothing) {
  ShortageTable table;
  RecordCall(table, kView, kDesk);
  RecordRequests(table, 20, 0, kStart);
  cr_assert(ShedFraction(table, kStart) == 0);
}

}  // namespace
}  // namespace teaselspread
