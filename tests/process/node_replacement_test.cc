// Whole VMs are replaced, and nodes of other names get their addresses.
#include "process/edge_fleet.h"

#include <criterion/criterion.h>

#include <chrono>
#include <string>
#include <thread>

namespace teaselspread {
namespace {

using Ms = std::chrono::milliseconds;

// A read that waits for new orders since before the replacement may still bring
// one; afterwards only the readers that are chosen by then do.
constexpr Ms kLongestRead{11500};

// Guards against a configuration that is acknowledged and never in force,
// because each node leaves the reading to others that are gone.
Test(node_replacement, a_configuration_is_in_force_after_the_readers_are_gone) {
  EdgeFleet fleet;
  for (const std::string name : {"a-3", "a-4", "b-2", "b-3", "b-4"})
    fleet.Add(name, name.substr(0, 1), {"i-" + name, "desk"});
  cr_assert(fleet.WaitUntilReady());
  // The first two by name of each data centre are its readers.
  fleet.At(0).ReplaceNode("a-8");
  fleet.At(1).ReplaceNode("a-9");
  fleet.At(2).ReplaceNode("b-8");
  fleet.At(5).ReplaceNode("b-9");
  cr_assert(fleet.WaitUntilReady());
  std::this_thread::sleep_for(kLongestRead);
  fleet.store.Put("keyed.op", "config", ConfigText("00000002", "/extra/"));
  for (const auto& vm : fleet.vms) {
    cr_assert(WaitUntil(
        [&] { return SendRequest(*vm, "GET", "/extra/1", "q").status == 200; },
        Ms(2000)));
  }
}

}  // namespace
}  // namespace teaselspread
