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
  for (int i = 0; i < 5; ++i)
    (void)SendRequest(vm, "GET", "/view/1", "more-" + std::to_string(i));
  cr_assert_geq(vm.Metric("teaselspread_gate_loads_ignored_total"), 2U);
  (void)fleet.WaitForLogs("more-4");
  cr_assert_eq(logged_at(logged_at(0) + 1), std::string::npos);
}

// Guards against a figure that only health checks are searched for, one that is
// believed long after the last response, and one that a new process inherits.
Test(upstream_speed_process, the_gate_hears_it_in_each_response) {
  EdgeFleet fleet;
  EdgeVm& vm = fleet.At(0);
  cr_assert(fleet.WaitUntilReady());
  const std::string metric = "teaselspread_gate_work_percent";
  cr_assert_eq(vm.Metrics().find(metric), std::string::npos);
  vm.upstream.ReportWork("250");
  cr_assert(WaitUntil([&] {
    (void)SendRequest(vm, "GET", "/view/1", "tell");
    return vm.Metric(metric) > 200;
  }));
  // Without responses it decays.
  cr_assert(WaitUntil([&] { return vm.Metric(metric) <= 105; }));
}

}  // namespace
}  // namespace teaselspread
