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
  const LinkAction action =
      CheckOpened(link.opened, LinkState::kUp, false, now);
  if (action == LinkAction::kPing) {
    link.opened.last_sent = now;
    link.opened.last_received = now;
    link.accepted.last_received = now;
  }
  return action != LinkAction::kClose && action != LinkAction::kMarkSilent &&
         CheckAccepted(link.accepted, false, now) != LinkAction::kClose;
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
     a_link_without_responses_is_out_of_use_within_a_second_of_a_ping) {
  LinkTimes times{kStart, kStart, kStart};
  const auto check = [&times](Ms passed, bool has_calls) {
    return CheckOpened(times, LinkState::kUp, has_calls, kStart + passed);
  };
  for (const bool has_calls : {false, true}) {
    cr_assert(check(Ms(700), has_calls) != LinkAction::kMarkSilent);
    cr_assert(check(Ms(701), has_calls) == LinkAction::kMarkSilent);
  }
}

// Guards against attempts to connect that are never repeated.
Test(link_health, an_attempt_without_a_status_is_closed) {
  const LinkTimes times{kStart, kStart, kStart};
  cr_assert(CheckOpened(times, LinkState::kConnecting, false,
                        kStart + Ms(701)) == LinkAction::kClose);
}

// Guards against runs that end because their link is silent, at either end.
Test(link_health, silence_does_not_end_a_link_with_calls) {
  Link link;
  for (Ms passed{0}; passed < Ms(9000); passed += Ms(100)) {
    const TimePoint now = kStart + passed;
    for (const LinkState state : {LinkState::kSilent, LinkState::kReplaced}) {
      cr_assert(CheckOpened(link.opened, state, true, now) !=
                LinkAction::kClose);
    }
    cr_assert(CheckAccepted(link.accepted, true, now) != LinkAction::kClose);
  }
}

// Guards against sockets of stopped nodes that accumulate.
Test(link_health, silent_links_without_calls_are_closed) {
  const LinkTimes times{kStart, kStart, kStart};
  const TimePoint later = kStart + kLinkTimeout + Ms(1);
  cr_assert(CheckOpened(times, LinkState::kSilent, false, later) ==
            LinkAction::kClose);
  cr_assert(CheckOpened(times, LinkState::kReplaced, false, kStart) ==
            LinkAction::kClose);
  cr_assert(CheckAccepted(times, false, later) == LinkAction::kClose);
  cr_assert(CheckAccepted(times, true, kStart + kBusyLinkTimeout + Ms(1)) ==
            LinkAction::kClose);
}

// Guards against an accepting end that closes a silent link with calls, as
// nothing is sent to it while a response is due.
Test(link_health, a_silent_link_with_calls_is_still_pinged) {
  const LinkTimes times{kStart, kStart, kStart};
  const TimePoint later = kStart + kMaxSendInterval + Ms(1);
  for (const LinkState state : {LinkState::kSilent, LinkState::kReplaced})
    cr_assert(CheckOpened(times, state, true, later) == LinkAction::kPing);
  cr_assert(kMaxSendInterval * 2 < kLinkTimeout);
}

// Guards against a stopping node whose callers close their links before they
// have the results, or never.
Test(link_health, a_link_to_a_stopping_node_ends_after_its_last_call) {
  const TimePoint later = kStart + kStoppingLinkTime + Ms(1);
  cr_assert_not(IsDrained(TimePoint{}, false, later));
  cr_assert_not(IsDrained(kStart, false, kStart + Ms(1)));
  cr_assert_not(IsDrained(kStart, true, later));
  cr_assert(IsDrained(kStart, false, later));
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

// With links to hundreds of nodes, a ping on each of them twice a second would
// be most of what a node sends. A link that is not in use can wait, but not so
// long that the other end takes its caller for gone.
Test(link_health, links_that_are_not_in_use_are_pinged_less_often) {
  LinkUse use;
  use.similar_links = 300;
  cr_assert(PingAfter(use) == kMaxPingAfter);
  cr_assert(kMaxPingAfter * 2 < kLinkTimeout);
  use.similar_links = 12;
  cr_assert(PingAfter(use) == kPingAfter);
}

// A data centre is cut off. If only links in use were pinged, each of the
// others would be found out by a request that is lost on it.
Test(link_health, a_cut_is_noticed_on_all_links_to_a_data_centre) {
  LinkUse use;
  use.similar_links = 300;
  use.data_center_suspected = true;
  cr_assert(PingAfter(use) == kPingAfter);
  use.data_center_suspected = false;
  use.has_requests_in_flight = true;
  cr_assert(PingAfter(use) == kPingAfter);
}

}  // namespace
}  // namespace teaselspread
