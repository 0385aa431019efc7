#include "teaselspread/logging.h"

#include <criterion/criterion.h>

#include <optional>
#include <string>

namespace teaselspread {
namespace {

// A client that sends a line break in a path must not be able to forge a log
// line, as an operator would read an event that never happened.
Test(logging, a_value_from_outside_cannot_forge_a_line) {
  const LogIdentity identity{"bole-1", "bole"};
  const std::string line = FormatLogLine(
      identity, "proxy", "refused",
      {{"path", "/a\nlevel=ERROR"}, {"status", 503}, {"reason", "queue-full"}});
  cr_assert_str_eq(line.c_str(),
                   "vm=bole-1 data_center=bole service=proxy event=refused "
                   "path=\"/a?level=ERROR\" status=503 reason=queue-full");
}

// Guards against fields that appear in the lines of nodes to which they do not
// apply, and that readers of logs would take for values.
Test(logging, a_field_without_a_value_is_left_out) {
  const std::string line = FormatLogLine(
      {"bole-1", "bole"}, "requests", "answered",
      {{"speed", std::optional<int>()}, {"age_ms", std::optional<int>(7)}});
  cr_assert_str_eq(line.c_str(),
                   "vm=bole-1 data_center=bole service=requests event=answered "
                   "age_ms=7");
}

}  // namespace
}  // namespace teaselspread
