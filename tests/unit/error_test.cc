#include "teaselspread/error.h"

#include <criterion/criterion.h>

#include <set>
#include <string>

namespace teaselspread {
namespace {

// A caller retries a request on "not run" alone. If a kind allowed an immediate
// retry on another upstream although the request may have run, it could run
// twice.
Test(error, kinds_that_allow_another_upstream_never_ran) {
  std::set<std::string> names;
  for (int i = 0; i < static_cast<int>(ErrorKind::kCount); ++i) {
    const ErrorTraits& traits = TraitsOf(static_cast<ErrorKind>(i));
    names.emplace(traits.name);
    if (traits.retry_elsewhere)
      cr_assert(traits.execution == Execution::kNotRun);
  }
  cr_assert(names.size() == static_cast<std::size_t>(ErrorKind::kCount));
}

}  // namespace
}  // namespace teaselspread
