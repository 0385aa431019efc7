#include "teaselspread/evacuation.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

#include "edge/order_copy.h"

namespace teaselspread {
namespace {

Test(evacuation, an_order_holds_until_it_is_taken_back) {
  EvacuationTable table;
  cr_assert_not(IsEvacuated(table, "bole"));
  cr_assert(ApplyEvacuation(table, {"bole", true, 5}));
  cr_assert(IsEvacuated(table, "bole"));
  cr_assert_not(IsEvacuated(table, "piassa"));
  cr_assert_not(ApplyEvacuation(table, {"bole", true, 5}), "known already");
  cr_assert(ApplyEvacuation(table, {"bole", false, 9}));
  cr_assert_not(IsEvacuated(table, "bole"));
}

// A node that was cut off hears of orders from several others, late and in any
// order. An old one must neither evacuate a data centre again nor end that.
Test(evacuation, the_newest_order_wins_in_any_order) {
  std::vector<EvacuationOrder> orders = {{"bole", true, 3},
                                         {"bole", false, 7},
                                         {"bole", true, 12},
                                         {"piassa", true, 4},
                                         {"piassa", false, 8}};
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    std::mt19937_64 rng(seed);
    std::shuffle(orders.begin(), orders.end(), rng);
    EvacuationTable table;
    for (const EvacuationOrder& order : orders)
      (void)ApplyEvacuation(table, order);
    cr_assert(IsEvacuated(table, "bole"), "seed %lu", seed);
    cr_assert_not(IsEvacuated(table, "piassa"), "seed %lu", seed);
  }
}

// The order was taken back while the node did not read the stream, and the
// store has forgotten the change: only that the key is missing tells so.
Test(evacuation, an_order_that_is_missing_was_taken_back) {
  EvacuationTable table;
  (void)ApplyEvacuation(table, {"bole", true, 3});
  (void)ApplyEvacuation(table, {"piassa", true, 4});
  // Ordered after the read that found nothing.
  (void)ApplyEvacuation(table, {"kazanchis", true, 12});
  for (const EvacuationOrder& order : MissingEvacuations(table, {"piassa"}, 11))
    cr_assert(ApplyEvacuation(table, order));
  cr_assert_not(IsEvacuated(table, "bole"));
  cr_assert(IsEvacuated(table, "piassa"));
  cr_assert(IsEvacuated(table, "kazanchis"));
}

Test(evacuation, an_order_passes_between_nodes_unchanged) {
  for (const bool active : {true, false}) {
    const auto bytes = EncodeLinkFrame(PackEvacuation({"bole", active, 77}));
    const auto frame =
        DecodeLinkFrame(std::string_view(bytes).substr(kFrameLengthBytes));
    cr_assert(frame.has_value());
    const auto order = UnpackEvacuation(std::get<ConfigFrame>(*frame));
    cr_assert(order.has_value());
    cr_assert_str_eq(order->data_center.c_str(), "bole");
    cr_assert_eq(order->active, active);
    cr_assert_eq(order->revision, 77U);
  }
  ConfigFrame config;
  config.version = 4;
  config.key = "config";
  cr_assert_not(UnpackEvacuation(config).has_value());
}

}  // namespace
}  // namespace teaselspread
