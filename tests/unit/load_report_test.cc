// The load header of upstreams, whose fourth figure older ones do not send.
#include "edge/load_report.h"

#include <criterion/criterion.h>

#include <array>
#include <string_view>

namespace teaselspread {
namespace {

// Guards against upstreams of either format that cannot be registered.
Test(load_report, both_formats_give_the_slots) {
  const LoadReport three = ParseLoad("2,0,18");
  cr_assert_eq(three.slots.value_or(0), 18);
  cr_assert_not(three.work_percent.has_value());
  cr_assert_not(three.malformed);
  const LoadReport four = ParseLoad("2,0,18,250");
  cr_assert_eq(four.slots.value_or(0), 18);
  cr_assert_eq(four.work_percent.value_or(0), 250);
  cr_assert_not(four.malformed);
  cr_assert_eq(ParseLoad("2, 0, 18, 87.5").work_percent.value_or(0), 87.5);
}

// Guards against a response without the header that is counted as malformed,
// and a later format that cannot be read.
Test(load_report, absent_and_additional_figures_are_no_fault) {
  const LoadReport none = ParseLoad("");
  cr_assert_not(none.malformed);
  cr_assert_not(none.slots.has_value());
  const LoadReport five = ParseLoad("2,0,18,100,7");
  cr_assert_eq(five.slots.value_or(0), 18);
  cr_assert_eq(five.work_percent.value_or(0), 100);
  cr_assert_not(five.malformed);
}

// Guards against estimates that are multiplied by something that is no speed.
Test(load_report, a_percentage_that_is_no_positive_number_is_ignored) {
  constexpr std::array<std::string_view, 7> kInvalid = {
      "2,0,18,",    "2,0,18,0",    "2,0,18,-50",   "2,0,18,nan",
      "2,0,18,inf", "2,0,18,slow", "2,0,18,250 ms"};
  for (const std::string_view text : kInvalid) {
    const LoadReport report = ParseLoad(text);
    cr_assert(report.malformed, "%s", text.data());
    cr_assert_not(report.work_percent.has_value(), "%s", text.data());
    cr_assert_eq(report.slots.value_or(0), 18, "%s", text.data());
  }
}

// Guards against a registration with slots that do not exist.
Test(load_report, slots_that_are_no_positive_number_are_ignored) {
  constexpr std::array<std::string_view, 6> kInvalid = {
      "18", "2,0", "2,0,", "2,0,0", "2,0,-1,100", "2,0,many,100"};
  for (const std::string_view text : kInvalid) {
    const LoadReport report = ParseLoad(text);
    cr_assert(report.malformed, "%s", text.data());
    cr_assert_not(report.slots.has_value(), "%s", text.data());
  }
}

}  // namespace
}  // namespace teaselspread
