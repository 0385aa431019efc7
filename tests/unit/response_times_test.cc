#include "edge/response_times.h"

#include <criterion/criterion.h>

namespace teaselspread {
namespace {

using Ms = std::chrono::milliseconds;

// A caller that gets no final response before it gives up closes its
// connection, and loses the requests that it has sent behind this one.
Test(response_times, the_response_is_due_before_the_caller_gives_up) {
  for (const Ms waits : {Ms(100), Ms(600), Ms(1500)}) {
    cr_assert(TimeToRespond(std::chrono::seconds(2), waits) <= waits - Ms(10));
    cr_assert(TimeToRespond(std::chrono::seconds(2), waits) >= waits - Ms(20));
  }
}

Test(response_times, a_caller_with_little_time_left_is_served_in_half_of_it) {
  cr_assert(TimeToRespond(std::chrono::seconds(2), Ms(4)) == Ms(2));
  cr_assert(TimeToRespond(std::chrono::seconds(2), Duration{0}) == Duration{0});
}

Test(response_times, a_time_out_of_the_route_is_kept_to) {
  cr_assert(TimeToRespond(Ms(500), Ms(1500)) == Ms(500));
  cr_assert(TimeToRespond(Ms(500), std::nullopt) == Ms(500));
}

// The upstream's own response at its deadline would come after the error.
Test(response_times, the_upstream_ends_before_the_response_is_due) {
  cr_assert(TimeForUpstream(Ms(590)) <= Ms(580));
  cr_assert(TimeForUpstream(Ms(590)) >= Ms(560));
  cr_assert(TimeForUpstream(Ms(3)) == Duration{0});
}

}  // namespace
}  // namespace teaselspread
