// Crowds at teaselnode that stop after they have sent a whole head. Apart from
// the other hostile clients, since KNOWN-RED.txt names whole programs.
#include "process/hostile_node_play.h"

namespace teaselspread {
namespace {

// Guards against crowds that take all connections of the process.
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
