// Upstream processes that said in responses that they leave.
#include "edge/departures.h"

#include <criterion/criterion.h>

#include <string>
#include <utility>

namespace teaselspread {
namespace {

const TimePoint kStart{std::chrono::hours(1)};
constexpr std::uint32_t kStamp = 7;

// The node beside a leaving upstream restarts and takes it for ready again:
// nodes that were told would send it requests until it ends.
Test(departures, a_process_that_said_so_is_remembered) {
  DepartureTable table;
  cr_assert_not(HasLeft(table, "i-1", kStamp, kStart));
  RecordDeparture(table, {"a-1", "i-1", kStamp}, kStart);
  const TimePoint later = kStart + std::chrono::seconds(30);
  cr_assert(HasLeft(table, "i-1", kStamp, later));
  // The restarted node does not know yet when the process started.
  cr_assert(HasLeft(table, "i-1", 0, later));
  cr_assert_not(HasLeft(table, "i-2", kStamp, later));
}

// A process that starts under the name of one that left would get no requests.
Test(departures, a_new_process_of_the_same_name_has_not_left) {
  DepartureTable table;
  RecordDeparture(table, {"a-1", "i-1", kStamp}, kStart);
  cr_assert_not(HasLeft(table, "i-1", kStamp + 1, kStart));
}

// Guards against two nodes that remind each other of a departure and so keep
// the name of its process out of use for ever.
Test(departures, a_repeated_notice_does_not_renew_a_departure) {
  DepartureTable table;
  RecordDeparture(table, {"a-1", "i-1", kStamp}, kStart);
  RecordDeparture(table, {"a-1", "i-1", kStamp},
                  kStart + std::chrono::seconds(50));
  cr_assert_eq(table.departures.size(), 1U);
  cr_assert_not(
      HasLeft(table, "i-1", kStamp, kStart + std::chrono::seconds(61)));
}

// Guards against notices whose effect depends on the order in which they come.
Test(departures, notices_add_up_in_any_order) {
  const Departure heard{"", "i-1", kStamp};
  const Departure told{"a-1", "i-1", kStamp, kStamp};
  for (const auto& [first, second] :
       {std::pair{heard, told}, std::pair{told, heard}}) {
    DepartureTable table;
    RecordDeparture(table, first, kStart);
    RecordDeparture(table, second, kStart);
    cr_assert_eq(table.departures.size(), 1U);
    cr_expect_str_eq(table.departures[0].node.c_str(), "a-1");
    cr_expect_eq(table.departures[0].born_ms, kStamp);
  }
}

Test(departures, the_table_is_bounded_and_forgets) {
  DepartureTable table;
  for (int i = 0; i < 5000; ++i)
    RecordDeparture(table, {"a-1", "i-" + std::to_string(i), kStamp}, kStart);
  cr_assert_leq(table.departures.size(), 1024U);
  for (int i = 0; i < 100; ++i)
    RecordDeparture(table, {"a-1", "i-1", kStamp}, kStart);
  cr_assert_leq(table.departures.size(), 1024U);
  const TimePoint later = kStart + std::chrono::minutes(2);
  cr_assert_not(HasLeft(table, "i-1", kStamp, later));
  RecordDeparture(table, {"a-1", "i-9", kStamp}, later);
  cr_assert_eq(table.departures.size(), 1U);
  RecordDeparture(table, {"a-1", "", kStamp}, later);
  cr_assert_eq(table.departures.size(), 1U);
}

}  // namespace
}  // namespace teaselspread
