// Clients that do not keep to the limits, at the doors of teaselnode: no
// process may end, none may pass the memory of its machine, and ordinary
// callers are served. Each test plays one client against one node.
#include <chrono>
#include <csignal>
#include <cstddef>
#include <string>
#include <thread>

#include "process/hostile_node_play.h"

#include <criterion/criterion.h>

namespace teaselspread {
namespace {

// Sends the largest body to the first node as an ordinary client.
void ExpectLegalBodyServed(const HostileClient& body) {
  WatchedNodes watched;
  cr_expect_eq(StatusOf(body, watched.Misused().http.port), 200);
  ExpectWithinMemory(*watched.watch);
}

// Guards against a node that runs out of memory by one request inside the
// limits, or that refuses it.
Test(hostile_node_clients, the_largest_body_is_served) {
  ExpectLegalBodyServed(
      BodyWithLength("/bundles/x", 1, kMaxNodeBody, kMaxNodeBody));
}
Test(hostile_node_clients, the_largest_body_in_chunks_is_served) {
  ExpectLegalBodyServed(
      BodyInChunks("/bundles/x", 1, 65536, kMaxNodeBody / 65536));
}

// Guards against bodies inside the limits that together take more memory than
// the machine has.
Test(hostile_node_clients, eight_of_the_largest_bodies) {
  Play(BodyWithLength("/bundles/x", 8, kMaxNodeBody, kMaxNodeBody));
}
Test(hostile_node_clients, eight_of_the_largest_bodies_in_chunks) {
  Play(BodyInChunks("/bundles/x", 8, 65536, kMaxNodeBody / 65536));
}
Test(hostile_node_clients, bodies_of_2_mb) {
  Play(BodyWithLength("/bundles/x", 64, 2'000'000, 2'000'000));
}
Test(hostile_node_clients, many_bodies_that_stop_half_way) {
  Play(BodyWithLength("/bundles/x", 320, 1'000'000, 900'000));
}
Test(hostile_node_clients, thousands_of_small_bodies_that_stop_half_way) {
  Play(BodyWithLength("/bundles/x", 2000, 200'000, 190'000));
}
Test(hostile_node_clients, uploads_sent_ahead) {
  Play(UploadsAhead("/bundles/x", 64));
}

// Guards against bodies beyond the limit, or where none is expected.
Test(hostile_node_clients, chunks_beyond_the_limit) {
  Play(BodyInChunks("/bundles/x", 8, 65536, kUnlimited));
}
Test(hostile_node_clients, bodies_without_a_route) {
  Play(BodyWithLength("/nowhere/x", 8, kMaxNodeBody, kMaxNodeBody));
}
Test(hostile_node_clients, bodies_at_the_health_check) {
  Play(BodyWithLength("/health", 8, kMaxNodeBody, kMaxNodeBody));
}

// Guards against framing without end, which no limit on bodies covers.
Test(hostile_node_clients, a_chunk_extension_without_end) {
  Play(ChunkExtensionWithoutEnd("/bundles/x"));
}
Test(hostile_node_clients, trailers_without_end) {
  Play(TrailersWithoutEnd("/bundles/x"));
}

// Guards against heads of many short fields, which take far more memory than
// their bytes.
Test(hostile_node_clients, many_fields_with_the_body_outstanding) {
  // They fill the largest head.
  constexpr std::size_t kFields = 1900;
  Play(ShortFieldsWithoutBody("/bundles/x", kFields));
}

// Guards against responses that pile up behind a client that does not read.
Test(hostile_node_clients, requests_ahead_on_a_route) {
  Play(AheadWithoutReading("/cases/1", Door::kOutbound));
}
Test(hostile_node_clients, requests_ahead_at_the_metrics) {
  Play(AheadWithoutReading("/metrics", Door::kOutbound));
}

// Guards against a stop that does not begin while connections wait to be
// accepted.
Test(hostile_node_clients, a_node_stops_in_time_beside_a_crowd) {
  // The longest deadline of a route.
  constexpr std::chrono::milliseconds kStopTime{10'000};
  WatchedNodes watched;
  FleetVm& stopping = watched.Misused();
  std::thread crowd([port = stopping.http.port, kStopTime] {
    HostilePlay play(BodyWithLength("/bundles/x", kCrowd, 1000, 100), port);
    play.Run(kPlayTime + kStopTime);
  });
  std::this_thread::sleep_for(std::chrono::milliseconds(1500));
  stopping.node->Signal(SIGTERM);
  cr_expect_eq(stopping.node->WaitExit(kStopTime), 0);
  crowd.join();
  ExpectWithinMemory(*watched.watch);
}

// Guards against connections to the control port that send frames without end.
Test(hostile_node_clients, large_frames_of_nobody) {
  HostileClient client = Endless("large frames", "", std::string(65536, 'l'));
  client.connections = 64;
  client.door = Door::kLink;
  Play(client);
}

}  // namespace
}  // namespace teaselspread
