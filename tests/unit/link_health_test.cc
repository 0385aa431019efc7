#include "edge/link_health.h"

#include <criterion/criterion.h>

namespace teaselspread {
namespace {

using Ms = std::chrono::milliseconds;

const TimePoint kStart{std::chrono::hours(1)};

// Both ends look at their link every 100 ms. What `opened` sends reaches
// `accepted` at once, and an answer comes back at once.
struct Link {
  LinkTimes opened{kStart, kStart, {}};
  LinkTimes accepted{kStart, kStart, {}};
};

bool StepLink(Link& link, TimePoint now) {
  const LinkAction action = CheckOpened(link.opened, true, now);
  if (action == LinkAction::kAsk) {
    link.opened.spoke = now;
    link.opened.heard = now;
    link.accepted.heard = now;
  }
  return action != LinkAction::kGiveUp &&
         CheckAccepted(link.accepted, now) != LinkAction::kGiveUp;
}

// A gate tells its load all the time, and the node that opened the link has no
// request for it. That node heard enough not to ask and so said nothing, and
// the gate closed the link after five seconds with all requests that had just
// come; their callers got 502.
Test(link_health, an_end_that_only_listens_is_not_closed) {
  Link link;
  for (Ms passed{0}; passed < Ms(20000); passed += Ms(100)) {
    const TimePoint now = kStart + passed;
    link.opened.heard = now;
    cr_assert(StepLink(link, now), "closed after %d ms",
              static_cast<int>(passed.count()));
  }
}

Test(link_health, a_quiet_link_is_asked_and_kept) {
  Link link;
  for (Ms passed{0}; passed < Ms(20000); passed += Ms(100))
    cr_assert(StepLink(link, kStart + passed));
}

// Something between two nodes has lost track of their connection: bytes go in
// and none come out. Requests on it would wait until their deadlines.
Test(link_health, a_silent_link_is_given_up_within_a_second_of_a_question) {
  LinkTimes times{kStart, kStart, kStart};
  cr_assert(CheckOpened(times, true, kStart + Ms(700)) != LinkAction::kGiveUp);
  cr_assert(CheckOpened(times, true, kStart + Ms(701)) == LinkAction::kGiveUp);
}

// A data centre is cut off. Until its links are given up, requests would still
// be placed there, and those that may not run twice end as "outcome unknown".
Test(link_health, an_open_question_soon_puts_a_link_in_doubt) {
  LinkTimes times{kStart, kStart, kStart};
  cr_assert_not(InDoubt(times, kStart + Ms(150)));
  cr_assert(InDoubt(times, kStart + Ms(151)));
  times.asked = TimePoint{};
  cr_assert_not(InDoubt(times, kStart + Ms(9000)));
}

}  // namespace
}  // namespace teaselspread
