#include "edge/frames.h"

#include <criterion/criterion.h>

#include <string_view>
#include <utility>
#include <variant>

#include "teaselspread/suspects.h"

namespace teaselspread {
namespace {

GateStatus BusyStatus() {
  GateStatus status;
  status.instance = "i-1";
  status.service = "desk";
  status.version = "v1";
  status.state = LeaseState::kReady;
  status.slots = 18;
  status.running = 3;
  status.queued_ms = 40;
  status.mean_ms = 120;
  status.route_times = {{"read", 640}, {"call", 40}};
  status.held_version = 7;
  status.calls = {{"read", "works"}};
  return status;
}

// The status of a node that held `known` after it received `frame`.
GateStatus ReceiveStatus(GateStatus known, const Status& frame) {
  const std::string bytes = EncodeLinkFrame(frame);
  auto decoded =
      DecodeLinkFrame(std::string_view(bytes).substr(kFrameLengthBytes));
  cr_assert(decoded.has_value());
  ApplyStatus(known, std::move(std::get<Status>(*decoded)));
  return known;
}

Test(status_parts, the_first_status_is_complete) {
  cr_assert(ReceiveStatus({}, {kAllStatusParts, BusyStatus()}) == BusyStatus());
}

// A node that receives only the changed parts must hold the same status as one
// that receives all of it; otherwise it routes requests by stale data.
Test(status_parts, any_change_arrives) {
  const GateStatus before = BusyStatus();
  GateStatus after = before;
  after.held_version = 8;
  after.waiting = 2;
  after.route_times[0].mean_ms = 900;
  after.trial_statuses = {{}};
  after.suspects = {{}};
  after.shortages = {{}};
  const std::uint8_t parts = ChangedParts(before, after);
  cr_assert_eq(parts, kAllStatusParts);
  cr_assert(ReceiveStatus(before, {parts, after}) == after);
  for (const GateStatus& changed : {before, after}) {
    GateStatus leaving = changed;
    leaving.state = LeaseState::kLeaving;
    const std::uint8_t few = ChangedParts(changed, leaving);
    cr_assert_eq(few, static_cast<std::uint8_t>(StatusPart::kUpstream));
    cr_assert(ReceiveStatus(changed, {few, leaving}) == leaving);
  }
}

// Notes of a move and loads change several times a second. Sent together with
// names, times and calls they would saturate the lines between data centres.
Test(status_parts, unchanged_parts_are_not_sent) {
  const GateStatus before = BusyStatus();
  GateStatus after = before;
  after.waiting = 5;
  const std::uint8_t parts = ChangedParts(before, after);
  const std::size_t whole =
      EncodeLinkFrame(Status{kAllStatusParts, after}).size();
  cr_assert_lt(EncodeLinkFrame(Status{parts, after}).size() * 4, whole);
  cr_assert_eq(ChangedParts(after, after), 0);
}

// Guards against reports of suspects that fill a line when many upstreams
// crash at once: each goes to every node.
Test(status_parts, a_full_report_of_suspects_stays_small) {
  const SuspectSettings bounds;
  GateStatus status;
  status.suspects.resize(bounds.max_reported_rows + bounds.max_relayed_rows);
  constexpr auto kPart = static_cast<std::uint8_t>(StatusPart::kSuspects);
  constexpr std::size_t kMaxBytes = 10'000;
  cr_assert_leq(EncodeLinkFrame(Status{kPart, status}).size(), kMaxBytes);
}

}  // namespace
}  // namespace teaselspread
