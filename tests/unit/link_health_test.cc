#include "edge/link_health.h"

#include <criterion/criterion.h>

namespace teaselspread {
namespace {

using Ms = std::chrono::milliseconds;

const TimePoint kStart{std::chrono::hours(1)};

// Both ends check their link every 100 ms. What `opened` sends reaches
// `accepted` at once, and the response comes back at once.
struct Link {
  LinkTimes opened{kStart, kStart, {}};
  LinkTimes accepted{kStart, kStart, {}};
};

bool StepLink(Link& link, TimePoint now) {
  const LinkAction action = CheckOpened(link.opened, true, now);
  if (action == LinkAction::kPing) {
    link.opened.last_sent = now;
    link.opened.last_received = now;
    link.accepted.last_received = now;
  }
  return action != LinkAction::kClose &&
         CheckAccepted(link.accepted, now) != LinkAction::kClose;
}

// A gate sends its load continually to a node that has no requests for it. If
// that node sends no pings because it receives enough, the gate closes the link
// after five seconds, and callers of requests sent just then get 502.
Test(link_health, a_link_that_only_receives_is_not_closed) {
  Link link;
  for (Ms passed{0}; passed < Ms(20000); passed += Ms(100)) {
    const TimePoint now = kStart + passed;
    link.opened.last_received = now;
    cr_assert(StepLink(link, now), "closed after %d ms",
              static_cast<int>(passed.count()));
  }
}

Test(link_health, an_idle_link_is_pinged_and_kept) {
  Link link;
  for (Ms passed{0}; passed < Ms(20000); passed += Ms(100))
    cr_assert(StepLink(link, kStart + passed));
}

// A device between two nodes has lost the state of their connection and drops
// its packets. Requests on the link would wait until their deadlines.
Test(link_health,
     a_link_without_responses_is_closed_within_a_second_of_a_ping) {
  LinkTimes times{kStart, kStart, kStart};
  cr_assert(CheckOpened(times, true, kStart + Ms(700)) != LinkAction::kClose);
  cr_assert(CheckOpened(times, true, kStart + Ms(701)) == LinkAction::kClose);
}

// A data centre is disconnected. Until its links are closed, requests would
// still be sent there, and those that may not run twice end as "outcome
// unknown".
Test(link_health, a_late_response_soon_marks_a_link_as_unresponsive) {
  LinkTimes times{kStart, kStart, kStart};
  cr_assert_not(IsUnresponsive(times, kStart + Ms(150)));
  cr_assert(IsUnresponsive(times, kStart + Ms(151)));
  times.response_due_since = TimePoint{};
  cr_assert_not(IsUnresponsive(times, kStart + Ms(9000)));
}

}  // namespace
}  // namespace teaselspread
