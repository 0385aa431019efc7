#include "edge/departure_exchange.h"

#include <criterion/criterion.h>

#include <string>

#include "edge/node_list.h"
#include "edge/order_copy.h"

namespace teaselspread {
namespace {

Test(departure_exchange, a_notice_arrives_as_it_was_sent) {
  const DepartureNotice sent{"a-1", {"i 1", 1764842000000}};
  const auto frame = DecodeLinkFrame(
      EncodeLinkFrame(PackDeparture(sent)).substr(kFrameLengthBytes));
  cr_assert(frame.has_value());
  const auto received = UnpackDeparture(std::get<ConfigFrame>(*frame));
  cr_assert(received.has_value());
  cr_expect(received->node == sent.node);
  cr_expect(received->call.instance == sent.call.instance);
  cr_expect_eq(received->call.born_ms, sent.call.born_ms);
}

// Guards against a malformed notice that takes an upstream out of service.
Test(departure_exchange, malformed_notices_are_ignored) {
  ConfigFrame frame = PackDeparture({"a-1", {"i-1", 5}});
  for (const std::string text : {"", "5", "5 ", " i-1", "x i-1"}) {
    frame.packed = text;
    cr_expect_not(UnpackDeparture(frame).has_value(), "'%s'", text.c_str());
  }
}

// Guards against orders that are taken for one another, or for a configuration.
Test(departure_exchange, is_no_other_order) {
  const ConfigFrame frame = PackDeparture({"a-1", {"i-1", 5}});
  cr_expect_eq(frame.version, 0U);
  cr_expect_not(UnpackEvacuation(frame).has_value());
  cr_expect_not(UnpackNodeList(frame).has_value());
  cr_expect_not(UnpackDeparture(PackNodeList({})).has_value());
}

}  // namespace
}  // namespace teaselspread
