// Evacuations of a data centre, over real nodes.
#include "process/edge_fleet.h"

#include <criterion/criterion.h>

#include <atomic>
#include <string>
#include <thread>

namespace teaselspread {
namespace {

using Ms = std::chrono::milliseconds;
using standin::StoreFault;

constexpr const char* kOrders = "keyed.op";
constexpr const char* kEvacuation = "evacuate/a";

std::string NextRequestId() {
  static std::atomic<int> next{0};
  return "q-" + std::to_string(++next);
}

HttpResponse View(EdgeVm& vm) {
  return SendRequest(vm, "GET", "/view/1", NextRequestId());
}

bool Logs(const EdgeVm& vm, const std::string& text) {
  return vm.node->Output().find(text) != std::string::npos;
}

// One upstream of "desk" in each of two data centres.
struct TwoDataCenters {
  EdgeFleet fleet;
  EdgeVm& evacuated = fleet.At(0);
  EdgeVm& other = fleet.At(2);

  bool Evacuate() {
    this->fleet.store.Put(kOrders, kEvacuation, "{}");
    return WaitUntil([this] { return Logs(this->evacuated, "to=leaving"); });
  }
};

// Guards against requests that reach an upstream of a data centre that the
// operators have taken out of service, while another one could serve them.
Test(evacuation_order, callers_are_served_by_the_other_data_centre) {
  TwoDataCenters both;
  cr_assert(both.fleet.WaitUntilReady());
  cr_assert(both.Evacuate(), "%s", both.fleet.Logs().c_str());
  cr_assert_eq(both.evacuated.Metric("teaselspread_gate_evacuated"), 1U);
  const std::size_t before = both.evacuated.upstream.Runs().size();
  for (int i = 0; i < 20; ++i) {
    cr_assert_str_eq(View(both.evacuated).body.c_str(), "i-b1");
    cr_assert_str_eq(View(both.other).body.c_str(), "i-b1");
  }
  cr_assert_eq(both.evacuated.upstream.Runs().size(), before);
  both.fleet.store.Put(kOrders, kEvacuation, "");
  cr_assert(WaitUntil([&] { return View(both.evacuated).body == "i-a1"; }));
}

// A request that runs when the order comes is not cut off.
Test(evacuation_order, running_requests_complete) {
  TwoDataCenters both;
  cr_assert(both.fleet.WaitUntilReady());
  both.evacuated.upstream.SetWork(Ms(1000));
  HttpResponse response;
  std::thread running([&] {
    response = SendRequest(both.evacuated, "POST", "/lodge/1", "long", "b");
  });
  cr_assert(WaitUntil([&] {
    return both.evacuated.upstream.CountRuns("long") +
               both.other.upstream.CountRuns("long") ==
           1;
  }));
  cr_assert(both.Evacuate());
  running.join();
  cr_assert_eq(response.status, 200);
}

// A node starts in the middle of an evacuation, and its store does not respond.
// Until it has heard of the order from another node it must not serve: its
// upstream would get requests that the order forbids.
Test(evacuation_order, a_node_that_starts_in_an_evacuation_does_not_serve) {
  TwoDataCenters both;
  cr_assert(both.fleet.WaitUntilReady());
  cr_assert(both.Evacuate());
  both.fleet.store.SetFault(StoreFault::kSilent);
  const std::size_t before = both.evacuated.upstream.Runs().size();
  both.evacuated.Restart();
  cr_assert(WaitUntil([&] { return View(both.evacuated).status == 200; }));
  for (int i = 0; i < 20; ++i) {
    (void)View(both.other);
    (void)View(both.evacuated);
  }
  cr_assert_eq(both.evacuated.upstream.Runs().size(), before, "%s",
               both.evacuated.node->Output().c_str());
}

// The store fails after it has sent the first of several pages of orders, which
// holds the configuration. Without the rest, the nodes must not stay out of
// service for as long as the outage lasts.
Test(evacuation_order, a_store_that_fails_between_two_pages_keeps_no_node_out) {
  standin::StoreService& store = *new standin::StoreService;
  store.Put(kOrders, "config", ConfigText("00000001"));
  store.Put(kOrders, "rollout/other",
            R"({"service":"other","to":"v2","durationS":9})");
  store.FailLaterPages();
  EdgeVm vm("a-1", "a", {"i-a1", "desk"}, store.Port());
  cr_assert(WaitUntil([&] { return View(vm).status == 200; }), "%s",
            vm.node->Output().c_str());
}

// The order is taken back while a node cannot reach the store, and the store
// has forgotten that change when it can.
Test(evacuation_order, the_end_of_an_evacuation_is_found_after_an_outage) {
  TwoDataCenters both;
  cr_assert(both.fleet.WaitUntilReady());
  cr_assert(both.Evacuate());
  both.fleet.store.SetFault(StoreFault::kBusy);
  cr_assert(WaitUntil([&] { return Logs(both.evacuated, "event=lost"); }));
  both.fleet.store.Put(kOrders, kEvacuation, "");
  both.fleet.store.Forget(kOrders);
  both.fleet.store.SetFault(StoreFault::kNone);
  cr_assert(WaitUntil([&] { return View(both.evacuated).body == "i-a1"; }),
            "%s", both.fleet.Logs().c_str());
}

}  // namespace
}  // namespace teaselspread
