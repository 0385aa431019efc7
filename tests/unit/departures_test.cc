// Upstream processes that said in responses that they leave.
#include "edge/departures.h"

#include <criterion/criterion.h>

#include <string>

namespace teaselspread {
namespace {

const TimePoint kStart{std::chrono::hours(1)};
constexpr std::uint32_t kStamp = 7;

// The node beside a leaving upstream restarts and takes it for ready again:
// nodes that were told would send it requests until it ends.
Test(departures, a_process_that_said_so_is_remembered) {
  DepartureTable table;
  cr_assert_not(HasLeft(table, "i-1", kStamp, kStart));
  RecordDeparture(table, "i-1", kStamp, kStart);
  const TimePoint later = kStart + std::chrono::seconds(30);
  cr_assert(HasLeft(table, "i-1", kStamp, later));
  // The restarted node does not know yet when the process started.
  cr_assert(HasLeft(table, "i-1", 0, later));
  cr_assert_not(HasLeft(table, "i-2", kStamp, later));
}

// A process that starts under the name of one that left would get no requests.
Test(departures, a_new_process_of_the_same_name_has_not_left) {
  DepartureTable table;
  RecordDeparture(table, "i-1", kStamp, kStart);
  cr_assert_not(HasLeft(table, "i-1", kStamp + 1, kStart));
}

Test(departures, the_table_is_bounded_and_forgets) {
  DepartureTable table;
  for (int i = 0; i < 5000; ++i)
    RecordDeparture(table, "i-" + std::to_string(i), kStamp, kStart);
  cr_assert_leq(table.departures.size(), 1024U);
  for (int i = 0; i < 100; ++i)
    RecordDeparture(table, "i-1", kStamp, kStart);
  cr_assert_leq(table.departures.size(), 1024U);
  const TimePoint later = kStart + std::chrono::minutes(2);
  cr_assert_not(HasLeft(table, "i-1", kStamp, later));
  RecordDeparture(table, "i-9", kStamp, later);
  cr_assert_eq(table.departures.size(), 1U);
  RecordDeparture(table, "", kStamp, later);
  cr_assert_eq(table.departures.size(), 1U);
}

}  // namespace
}  // namespace teaselspread
