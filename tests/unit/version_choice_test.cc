#include "edge/version_choice.h"

#include <criterion/criterion.h>

#include <chrono>
#include <thread>

namespace teaselspread {
namespace {

constexpr char kDesk[] = "registry-desk";

TrialStatus NoteTo(const char* version, std::uint32_t age_ms) {
  TrialStatus note;
  note.service = kDesk;
  note.to = version;
  note.age_ms = age_ms;
  note.duration_ms = 14000;
  return note;
}

void ReadOrder(VersionChoice& versions, const char* version) {
  versions.OnOrder({kDesk, version, std::chrono::seconds(14)});
}

// A node is cut off from the store, but not from the others, when a move is
// ordered. It cannot read the order and would send to the old version all the
// time, so the move could not be done.
Test(version_choice, an_order_told_by_a_peer_begins_the_move) {
  VersionChoice versions;
  versions.OnPeerStatuses("bole-2", {NoteTo("v2", 3000)});
  const auto& trials = versions.Trials();
  cr_assert(trials.contains(kDesk));
  const VersionTrial& trial = trials.at(kDesk);
  cr_assert(trial.order.to == "v2");
  cr_assert(trial.order.duration == std::chrono::seconds(14));
  cr_assert(trial.peers.contains("bole-2"));
}

// A node that starts without the store is told that a version was taken back.
// It must not send there, however many of its upstreams are ready.
Test(version_choice, a_verdict_told_by_a_peer_holds_without_the_order) {
  VersionChoice versions;
  TrialStatus note = NoteTo("v2", 0);
  note.progress = MoveProgress::kTakenBack;
  versions.OnPeerStatuses("bole-2", {note});
  versions.SetReady({{kDesk, "v1", "i-1", 10, 0}, {kDesk, "v2", "i-2", 90, 0}});
  cr_assert(versions.Pick(kDesk).version == "v1");
}

// All nodes start at once beside upstreams that were up before, and the first
// heartbeat is that of a new version which nobody ordered yet. Sent to the one
// version that is known, every request would go to the new one.
Test(version_choice, a_new_version_known_first_does_not_get_all) {
  VersionChoice versions;
  versions.SetReady({{kDesk, "", "i-1", 10, 0},
                     {kDesk, "", "i-2", 10, 0},
                     {kDesk, "v2", "i-3", 10, 0}});
  cr_assert(versions.Pick(kDesk).version.empty());
  cr_assert(versions.Pick(kDesk).allow_unknown);
  versions.SetReady({{kDesk, "v1", "i-1", 10, 0},
                     {kDesk, "v1", "i-2", 10, 0},
                     {kDesk, "", "i-3", 5, 0}});
  cr_assert(versions.Pick(kDesk).version == "v1");
}

// A request that failed where versions are unknown is sent to the known one:
// refused, its caller would get an error beside an idle upstream.
Test(version_choice, a_known_version_is_spare_while_most_are_unknown) {
  VersionChoice versions;
  versions.SetReady({{kDesk, "", "i-1", 4, 0}, {kDesk, "v1", "i-2", 4, 0}});
  const PickedVersion picked = versions.Pick(kDesk);
  cr_assert(FitOf(picked, "", "i-1") == VersionFit::kPreferred);
  cr_assert(FitOf(picked, "v1", "i-2") == VersionFit::kFallback);
}

// Every node restarts after a move was done and knows no version until the next
// heartbeats: its callers were refused that long.
Test(version_choice, unknown_versions_serve_after_a_move) {
  VersionChoice versions;
  ReadOrder(versions, "v2");
  versions.OnReport({kDesk, "v2", MoveProgress::kDone});
  versions.SetReady({{kDesk, "", "i-1", 4, 0}});
  cr_assert(FitOf(versions.Pick(kDesk), "", "i-1") == VersionFit::kPreferred);
  versions.SetReady({{kDesk, "", "i-1", 4, 0}, {kDesk, "v2", "i-2", 4, 0}});
  const PickedVersion picked = versions.Pick(kDesk);
  cr_assert(FitOf(picked, "v2", "i-2") == VersionFit::kPreferred);
  cr_assert(FitOf(picked, "", "i-1") == VersionFit::kPreferred);
}

// The same after a version was taken back. It must get nothing, and what is
// unknown may be that version: it serves only while nothing else does.
Test(version_choice, unknown_versions_serve_alone_after_one_was_taken_back) {
  VersionChoice versions;
  ReadOrder(versions, "v2");
  versions.OnReport({kDesk, "v2", MoveProgress::kTakenBack});
  versions.SetReady({{kDesk, "", "i-1", 4, 0}, {kDesk, "v2", "i-2", 4, 0}});
  PickedVersion picked = versions.Pick(kDesk);
  cr_assert(FitOf(picked, "", "i-1") == VersionFit::kPreferred);
  cr_assert(FitOf(picked, "v2", "i-2") == VersionFit::kNone);
  versions.SetReady({{kDesk, "", "i-1", 4, 0},
                     {kDesk, "v1", "i-3", 4, 0},
                     {kDesk, "v2", "i-2", 4, 0}});
  picked = versions.Pick(kDesk);
  cr_assert(FitOf(picked, "v1", "i-3") == VersionFit::kPreferred);
  cr_assert(FitOf(picked, "", "i-1") == VersionFit::kNone);
  cr_assert(FitOf(picked, "v2", "i-2") == VersionFit::kNone);
}

// Nodes restart in the middle of a move, and the new version's heartbeat comes
// first: it would get every request.
Test(version_choice, a_new_version_known_first_in_a_move_does_not_get_all) {
  VersionChoice versions;
  ReadOrder(versions, "v2");
  versions.SetReady({{kDesk, "", "i-1", 4, 0}, {kDesk, "v2", "i-2", 4, 0}});
  const PickedVersion picked = versions.Pick(kDesk);
  cr_assert(FitOf(picked, "", "i-1") == VersionFit::kPreferred);
  cr_assert(FitOf(picked, "v2", "i-2") == VersionFit::kNone);
}

// The old version has nothing ready in the middle of a move, and one node has
// just restarted: its upstream would get every request alone.
Test(version_choice, a_single_unknown_upstream_does_not_get_all_in_a_move) {
  VersionChoice versions;
  ReadOrder(versions, "v2");
  versions.SetReady({{kDesk, "", "i-1", 4, 0},
                     {kDesk, "v2", "i-2", 4, 0},
                     {kDesk, "v2", "i-3", 4, 0}});
  const PickedVersion picked = versions.Pick(kDesk);
  cr_assert(FitOf(picked, "v2", "i-2") == VersionFit::kPreferred);
  cr_assert(FitOf(picked, "", "i-1") == VersionFit::kFallback);
}

// A request that fails at the few upstreams which a new version may use is sent
// to the old one. One that fails at the old one never goes to the new one:
// repeats would exceed its share.
Test(version_choice, the_old_version_is_spare_in_a_move) {
  VersionChoice versions;
  ReadOrder(versions, "v2");
  versions.SetReady({{kDesk, "v1", "i-1", 4, 0}, {kDesk, "v2", "i-2", 4, 0}});
  versions.Step({});
  std::this_thread::sleep_for(std::chrono::milliseconds(250));
  int fresh = 0;
  for (int i = 0; i < 200; ++i) {
    const PickedVersion picked = versions.Pick(kDesk);
    const bool to_new = FitOf(picked, "v2", "i-2") == VersionFit::kPreferred;
    fresh += to_new ? 1 : 0;
    cr_assert(FitOf(picked, "v1", "i-1") ==
              (to_new ? VersionFit::kFallback : VersionFit::kPreferred));
    cr_assert(to_new || FitOf(picked, "v2", "i-2") == VersionFit::kNone);
  }
  cr_assert(fresh > 0);
}

// Nodes lag behind each other: one still tells of the move before.
Test(version_choice, an_older_move_does_not_come_back) {
  VersionChoice versions;
  ReadOrder(versions, "v3");
  versions.OnPeerStatuses("bole-2", {NoteTo("v2", 20000)});
  cr_assert(versions.Trials().at(kDesk).order.to == "v3");
}

// The store is read from an earlier place on, and the order before the one that
// a peer told comes first. Taken for new, it would begin the older move again.
Test(version_choice, an_older_order_read_late_is_passed_over) {
  VersionChoice versions;
  versions.OnPeerStatuses("bole-2", {NoteTo("v3", 100)});
  ReadOrder(versions, "v2");
  cr_assert(versions.Trials().at(kDesk).order.to == "v3");
  ReadOrder(versions, "v3");
  ReadOrder(versions, "v4");
  cr_assert(versions.Trials().at(kDesk).order.to == "v4");
}

}  // namespace
}  // namespace teaselspread
