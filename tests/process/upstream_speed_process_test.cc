// Upstreams that report in their responses how long work takes at the moment,
// in percent of the usual. Real nodes.
#include "process/edge_fleet.h"

#include <criterion/criterion.h>

#include <string>

namespace teaselspread {
namespace {

constexpr const char* kSlots = "teaselspread_gate_slots";

// Guards against a node restarted beside an upstream that sends four figures:
// until the next heartbeat it would refuse all requests.
Test(upstream_speed_process, a_restarted_node_registers_it_by_a_health_check) {
  EdgeFleet fleet;
  EdgeVm& vm = fleet.At(0);
  cr_assert(fleet.WaitUntilReady());
  vm.upstream.ReportWork("130");
  vm.upstream.BeSilent();
  vm.Restart();
  cr_assert(WaitUntil([&] { return vm.Metric(kSlots) == 4; }));
}

// Guards against a header that nobody can read and that stays unnoticed.
Test(upstream_speed_process, a_malformed_figure_is_counted_and_logged_once) {
  EdgeFleet fleet;
  EdgeVm& vm = fleet.At(0);
  cr_assert(fleet.WaitUntilReady());
  vm.upstream.ReportWork("slow");
  vm.upstream.BeSilent();
  vm.Restart();
  // The slots are valid all the same.
  cr_assert(WaitUntil([&] { return vm.Metric(kSlots) == 4; }));
  cr_assert_geq(vm.Metric("teaselspread_gate_loads_ignored_total"), 1U);
  const auto logged_at = [&vm](std::size_t from) {
    return vm.node->Output().find("load-ignored", from);
  };
  cr_assert(WaitUntil([&] { return logged_at(0) != std::string::npos; }));
  cr_assert_eq(logged_at(logged_at(0) + 1), std::string::npos);
}

}  // namespace
}  // namespace teaselspread
