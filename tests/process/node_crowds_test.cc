// Crowds at teaselnode. Apart from the other hostile clients, since
// KNOWN-RED.txt names whole programs.
#include "process/hostile_node_play.h"

namespace teaselspread {
namespace {

// Guards against crowds that take all connections of the process.
Test(node_crowds, a_silent_crowd) {
  Play(SilentCrowd());
}
Test(node_crowds, a_crowd_that_sends_heads_slowly) {
  Play(CrowdOfSlowHeads("/cases/1"));
}
Test(node_crowds, a_crowd_that_does_not_close_after_a_refusal) {
  Play(BodyWithLength("/nowhere/x", kCrowd, 100'000, 100));
}
Test(node_crowds, a_crowd_that_stops_within_small_bodies) {
  Play(BodyWithLength("/bundles/x", kCrowd, 1000, 100));
}
Test(node_crowds, a_crowd_that_stops_within_its_second_head) {
  Play(CrowdOfSecondHeads("/cases/1"));
}

}  // namespace
}  // namespace teaselspread
