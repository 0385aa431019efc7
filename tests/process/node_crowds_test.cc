// Crowds at teaselnode. Apart from the other hostile clients, since
// KNOWN-RED.txt names whole programs.
#include "process/hostile_node_play.h"

namespace teaselspread {
namespace {

// Guards against crowds that take all connections of the process.
Test(node_crowds, a_silent_crowd) {
  HostileClient client;
  client.name = "silent crowd";
  client.connections = kCrowd;
  Play(client);
}
Test(node_crowds, a_crowd_that_sends_heads_slowly) {
  HostileClient client;
  client.name = "slow heads";
  client.connections = kCrowd;
  client.head = HeadOf("GET", "/cases/1", "X-Fill: " + std::string(8000, 'f'));
  client.bytes_per_step = 1;
  Play(client);
}

Test(node_crowds, a_crowd_that_does_not_close_after_a_refusal) {
  Play(BodyWithLength("/nowhere/x", kCrowd, 100'000, 100));
}
Test(node_crowds, a_crowd_that_stops_within_small_bodies) {
  Play(BodyWithLength("/bundles/x", kCrowd, 1000, 100));
}

Test(node_crowds, a_crowd_that_stops_within_its_second_head) {
  HostileClient client;
  client.name = "second heads that stop";
  client.connections = kCrowd;
  client.head = HeadOf("GET", "/nowhere/x", "") + "GET /cases/1 HTTP/1.1\r\n";
  Play(client);
}

}  // namespace
}  // namespace teaselspread
