#include "teaselspread/routing.h"

#include <criterion/criterion.h>

#include <map>
#include <string>
#include <vector>

namespace teaselspread {
namespace {

using Seconds = std::chrono::seconds;
using Ms = std::chrono::milliseconds;

const TimePoint kStart{std::chrono::hours(1)};

Member MakeMember(int i, UpstreamState state = UpstreamState::kReady) {
  Member member;
  member.id = "node-" + std::to_string(i);
  member.data_center = "bole";
  member.upstream.service = "registry-desk";
  member.upstream.version = "v1";
  member.upstream.state = state;
  member.upstream.slots = 10;
  member.upstream.ready_since = kStart - Seconds(60);
  return member;
}

Snapshot MakeSnapshot() {
  Snapshot snapshot;
  ServiceConfig service;
  service.name = "registry-desk";
  snapshot.services["registry-desk"] = service;
  return snapshot;
}

UpstreamTable MakeTable(const std::vector<Member>& members,
                        std::string_view own_id = "") {
  UpstreamTable table;
  UpdateTargets(table, MakeSnapshot(), members, own_id, "bole");
  return table;
}

std::vector<Member> MakeMembers(int count) {
  std::vector<Member> members;
  members.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i)
    members.push_back(MakeMember(i));
  return members;
}

std::string Choose(const UpstreamTable& table,
                   TimePoint now,
                   Rng& rng,
                   const std::vector<std::string>& excluded = {}) {
  const auto chosen =
      ChooseUpstream(table, "registry-desk", "v1", excluded, now, rng);
  return chosen ? (*chosen)->id : std::string(NameOf(chosen.error().kind));
}

void Fail(UpstreamTable& table, const std::string& id, int times, TimePoint t) {
  for (int i = 0; i < times; ++i) {
    OnRequestSent(table, "registry-desk", "v1", id);
    OnResponse(table, "registry-desk", "v1", id, ResponseKind::kFailed, -1, t);
  }
}

// Two routes share the start of their paths. A request for the archive must not
// match the route of the live bundles.
Test(routing, a_prefix_ends_at_a_segment) {
  Snapshot snapshot;
  RouteConfig bundles;
  bundles.name = "bundles";
  bundles.method = "GET";
  bundles.path_prefix = "/bundles";
  snapshot.routes.push_back(bundles);
  cr_assert(MatchRoute(snapshot, "GET", "/bundles/7") != nullptr);
  cr_assert(MatchRoute(snapshot, "GET", "/bundles?page=2") != nullptr);
  cr_assert(MatchRoute(snapshot, "GET", "/bundles-archive") == nullptr);
  cr_assert(MatchRoute(snapshot, "POST", "/bundles/7") == nullptr);
}

// Upstreams leave or warm up, or their node is suspected, while requests keep
// arriving. A request sent there would be cut off or refused.
Test(routing, only_ready_upstreams_of_alive_members_get_work) {
  std::vector<Member> members = MakeMembers(5);
  members[0].upstream.state = UpstreamState::kLeaving;
  members[1].upstream.state = UpstreamState::kWarming;
  members[2].status = MemberStatus::kSuspect;
  members[3].data_center = "piassa";
  const UpstreamTable table = MakeTable(members, "node-0");
  Rng rng(1);
  for (int i = 0; i < 200; ++i)
    cr_assert(Choose(table, kStart, rng) == "node-4");
  cr_assert(Choose(table, kStart, rng, {"node-4"}) == "no-upstream");
}

// The own upstream gets requests while it has a free slot, since a hop to
// another VM costs time. Once it is full, the others share the rest.
Test(routing, own_upstream_first_while_it_has_a_free_slot) {
  UpstreamTable table = MakeTable(MakeMembers(4), "node-2");
  Rng rng(1);
  table.own_load = 9;
  cr_assert(Choose(table, kStart, rng) == "node-2");
  table.own_load = 10;
  std::map<std::string, int> chosen;
  for (int i = 0; i < 400; ++i)
    ++chosen[Choose(table, kStart, rng)];
  cr_assert(chosen.size() > 2);
}

// One node of four is loaded by callers that this node does not see. Without
// the load that responses report it would get as much as the idle ones.
Test(routing, reported_load_diverts_requests) {
  UpstreamTable table = MakeTable(MakeMembers(4));
  Rng rng(1);
  OnRequestSent(table, "registry-desk", "v1", "node-1");
  OnResponse(table, "registry-desk", "v1", "node-1", ResponseKind::kSucceeded,
             30, kStart);
  std::map<std::string, int> chosen;
  for (int i = 0; i < 400; ++i)
    ++chosen[Choose(table, kStart, rng)];
  // It is chosen only if both draws hit it: one in sixteen.
  cr_assert(chosen["node-1"] < 60);
  const TimePoint later = kStart + Seconds(30);
  chosen.clear();
  for (int i = 0; i < 400; ++i)
    ++chosen[Choose(table, later, rng)];
  cr_assert(chosen["node-1"] > 30, "old load must decay");
}

// A cold upstream joins under load. With its full share at once, its first
// requests would time out.
Test(routing, a_cold_upstream_gets_a_growing_share) {
  std::vector<Member> members = MakeMembers(4);
  members[0].upstream.ready_since = kStart;
  UpstreamTable table = MakeTable(members);
  for (auto& target : table.services["registry-desk"]["v1"].targets)
    target.in_flight = 2;
  Rng rng(1);
  std::map<std::string, int> cold;
  std::map<std::string, int> warm;
  for (int i = 0; i < 1000; ++i) {
    ++cold[Choose(table, kStart, rng)];
    ++warm[Choose(table, kStart + Seconds(10), rng)];
  }
  cr_assert(cold["node-0"] < 100);
  cr_assert(warm["node-0"] > 200);
}

// An upstream fails every request at once, so it always seems idle. Without
// ejection it would attract most requests; with it, a handful are lost, and
// one more each time an ejection ends.
Test(routing, a_failing_upstream_is_ejected_and_retried_on_return) {
  UpstreamTable table = MakeTable(MakeMembers(4));
  Rng rng(1);
  Fail(table, "node-3", 5, kStart);
  for (int i = 0; i < 200; ++i)
    cr_assert(Choose(table, kStart, rng) != "node-3");
  const TimePoint back = kStart + Seconds(2);
  Fail(table, "node-3", 1, back);
  for (int i = 0; i < 200; ++i)
    cr_assert(Choose(table, back + Seconds(3), rng) != "node-3");
  OnResponse(table, "registry-desk", "v1", "node-3", ResponseKind::kSucceeded,
             -1, back + Seconds(5));
  Fail(table, "node-3", 4, back + Seconds(5));
  std::map<std::string, int> chosen;
  for (int i = 0; i < 200; ++i)
    ++chosen[Choose(table, back + Seconds(5), rng)];
  cr_assert(chosen["node-3"] > 0, "a success restores the failure limit");
}

// One upstream fails every third request, never five in a row, and another is
// six times slower than the rest. Neither is ejected; without weights each
// would get its full share, and a third of it would be lost or late.
Test(routing, failures_and_latency_divert_requests) {
  UpstreamTable table = MakeTable(MakeMembers(9));
  for (int i = 0; i < 90; ++i) {
    for (int node = 0; node < 9; ++node) {
      const std::string id = "node-" + std::to_string(node);
      const bool fails = node == 4 && i % 3 == 0;
      OnRequestSent(table, "registry-desk", "v1", id);
      OnResponse(table, "registry-desk", "v1", id,
                 fails ? ResponseKind::kFailed : ResponseKind::kSucceeded, -1,
                 kStart, node == 7 ? Ms(300) : Ms(50));
    }
  }
  Rng rng(1);
  std::map<std::string, int> chosen;
  for (int i = 0; i < 9000; ++i)
    ++chosen[Choose(table, kStart, rng)];
  cr_assert(chosen["node-4"] < 400);
  cr_assert(chosen["node-7"] < 400);
  const TimePoint later = kStart + Seconds(300);
  OnRequestSent(table, "registry-desk", "v1", "node-0");
  for (int i = 0; i < 9000; ++i)
    ++chosen[Choose(table, later, rng)];
  cr_assert(chosen["node-0"] > 0 && chosen["node-4"] > 0, "tried again");
}

// A shared store is down and every upstream fails. If all were ejected, even
// requests that do not need the store would be refused.
Test(routing, no_more_than_the_allowed_share_is_ejected) {
  UpstreamTable table = MakeTable(MakeMembers(9));
  Rng rng(1);
  for (int i = 0; i < 9; ++i)
    Fail(table, "node-" + std::to_string(i), 20, kStart);
  std::map<std::string, int> chosen;
  for (int i = 0; i < 2000; ++i)
    ++chosen[Choose(table, kStart, rng)];
  cr_assert(chosen.size() == 6, "%d of 9 still get work",
            static_cast<int>(chosen.size()));
}

// Members are updated many times a second. If an update dropped the count of
// requests in flight, a full upstream would seem idle.
Test(routing, an_update_keeps_known_state) {
  UpstreamTable table = MakeTable(MakeMembers(4));
  Fail(table, "node-3", 5, kStart);
  OnRequestSent(table, "registry-desk", "v1", "node-1");
  std::vector<Member> members = MakeMembers(5);
  members[3].upstream.ready_since += Seconds(1);
  UpdateTargets(table, MakeSnapshot(), members, "", "bole");
  const auto& targets = table.services["registry-desk"]["v1"].targets;
  cr_assert(targets[1].in_flight == 1);
  cr_assert(!IsEjected(targets[3], kStart), "a restart ends the ejection");
}

}  // namespace
}  // namespace teaselspread
