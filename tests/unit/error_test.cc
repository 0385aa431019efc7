#include "teaselspread/error.h"

#include <criterion/criterion.h>

#include <set>
#include <string>

namespace teaselspread {
namespace {

// A caller repeats a request on the strength of "not run" alone. A kind that
// allows another upstream at once and yet may have run would file twice.
Test(error, kinds_that_allow_another_upstream_never_ran) {
  std::set<std::string> names;
  for (int i = 0; i < static_cast<int>(ErrorKind::kCount); ++i) {
    const ErrorAnswer& answer = AnswerOf(static_cast<ErrorKind>(i));
    names.emplace(answer.name);
    if (answer.retry_elsewhere)
      cr_assert(answer.execution == Execution::kNotRun);
  }
  cr_assert(names.size() == static_cast<std::size_t>(ErrorKind::kCount));
}

}  // namespace
}  // namespace teaselspread
