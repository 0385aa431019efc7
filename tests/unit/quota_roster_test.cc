// The limit of an account while processes start that cannot read the roster.
// Virtual clock, seeds.
#include "support/quota_fleet.h"

#include <criterion/criterion.h>

#include <chrono>

namespace teaselspread {
namespace {

using Ms = std::chrono::milliseconds;
using Seconds = std::chrono::seconds;

constexpr int kNodes = 85;
constexpr int kKilled = 68;
constexpr Duration kDown = Ms(300);
constexpr Duration kLinkedAfter = Ms(100);
constexpr double kTimesTheLimit = 3;

FleetOptions OptionsOf(const AccountLimit& limit) {
  FleetOptions options;
  options.limit = limit;
  options.nodes = kNodes;
  return options;
}

// Nodes end, and start while the store is silent.
void Kill(QuotaFleet& fleet, int count) {
  fleet.MakeRosterUnreadable();
  for (int node = 0; node < count; ++node) {
    fleet.Kill(node, Ms(1));
    fleet.At(fleet.Elapsed() + kDown,
             [&fleet, node] { fleet.Restart(node, kLinkedAfter); });
  }
}

// Four of five nodes.
void KillMost(QuotaFleet& fleet) {
  Kill(fleet, kKilled);
}

// Guards against limits that are exceeded after most nodes have restarted while
// the store is down: a node that knows few others takes a large share for its
// own, and lends besides the lender that the others have.
Test(quota_roster, nodes_that_know_few_others_keep_the_bound) {
  for (const double per_second : {5.0, 110.0, 522.0}) {
    const AccountLimit limit{per_second, per_second};
    QuotaFleet fleet(OptionsOf(limit));
    fleet.Apply({Seconds(2), Seconds(16), per_second * kTimesTheLimit});
    fleet.At(Seconds(8), [&fleet] { KillMost(fleet); });
    fleet.Run(Seconds(17));
    const auto most = static_cast<double>(fleet.MostInWindow());
    cr_expect_leq(most, AllowedInWindow(limit),
                  "rate %.0f: %.0f in a window, allowed %.0f", per_second, most,
                  AllowedInWindow(limit));
  }
}

// Guards against an account that is refused for as long as the store is down
// although nodes that run know all others.
Test(quota_roster, nodes_without_the_store_learn_the_roster_from_others) {
  const AccountLimit limit{110, 110};
  const FleetLoad load{Seconds(2), Seconds(16), limit.per_second / 2};
  QuotaFleet undisturbed(OptionsOf(limit));
  undisturbed.Apply(load);
  undisturbed.Run(Seconds(17));
  QuotaFleet fleet(OptionsOf(limit));
  fleet.Apply(load);
  fleet.At(Seconds(8), [&fleet] { KillMost(fleet); });
  fleet.Run(Seconds(17));
  const std::size_t refused = fleet.CountRefused(Seconds(11), Seconds(16));
  const std::size_t ran = fleet.CountRuns(Seconds(11), Seconds(16));
  const std::size_t sent = undisturbed.CountRuns(Seconds(11), Seconds(16));
  cr_expect_geq(ran, sent * 99 / 100, "%zu of %zu ran", ran, sent);
  cr_expect_leq(refused, ran / 100, "%zu refused, %zu ran", refused, ran);
}

// Guards against limits that are exceeded by nodes that restart twice, and by a
// part of the fleet that is smaller or larger.
Test(quota_roster, restarts_of_any_part_keep_the_bound) {
  for (const int killed : {1, 20, 43, 47, 80, 84}) {
    for (const double per_second : {5.0, 110.0, 522.0}) {
      const AccountLimit limit{per_second, per_second};
      QuotaFleet fleet(OptionsOf(limit));
      fleet.Apply({Seconds(2), Seconds(16), per_second * kTimesTheLimit});
      fleet.At(Seconds(8), [&] { Kill(fleet, killed); });
      fleet.At(Ms(9500), [&] { Kill(fleet, killed); });
      fleet.Run(Seconds(17));
      const auto most = static_cast<double>(fleet.MostInWindow());
      cr_expect_leq(most, AllowedInWindow(limit),
                    "%d killed, rate %.0f: %.0f in a window, allowed %.0f",
                    killed, per_second, most, AllowedInWindow(limit));
    }
  }
}

}  // namespace
}  // namespace teaselspread
