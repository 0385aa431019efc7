// Clients that do not keep to the limits, at the doors of teaselnode: no
// process may end, none may pass the memory of its machine, and ordinary
// callers are served. Each test plays one client against one node.
#include <cstdio>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "process/fleet.h"
#include "process/hostile_requests.h"
#include "process/memory_watch.h"
#include "process/ordinary_traffic.h"

#include <criterion/criterion.h>

namespace teaselspread {
namespace {

using Ms = std::chrono::milliseconds;

constexpr std::size_t kMaxBody = std::size_t{40} << 20U;
constexpr Ms kPlayTime{6000};
constexpr Ms kReadyTime{20'000};
// Descriptors of a process on its machine.
constexpr rlim_t kDescriptors = 4100;
// More connections than a process has descriptors.
constexpr std::size_t kCrowd = 4200;
// Fraction of the ordinary requests that have to be served.
constexpr double kServedRatio = 0.9;
constexpr Ms kRecovery{3000};

const char kConfig[] = R"(deployment: test
data_centers: [bole]
services:
  registry-desk: {version: v1, warm_up: 0s}
  bundle-works: {version: v1, warm_up: 0s}
routes:
  case-index:
    {service: registry-desk, method: GET, path_prefix: /cases, deadline: 5s}
  bundle:
    service: bundle-works
    method: POST
    path_prefix: /bundles
    deadline: 10s
    max_body_bytes: 40MiB
)";

// Two nodes on machines of MachineMb and kDescriptors. The client misuses the
// first; bodies run at the second.
struct WatchedNodes {
  Fleet fleet{"test"};
  std::unique_ptr<MemoryWatch> watch;

  WatchedNodes() {
    RaiseDescriptorLimit();
    this->fleet.SetNodeSettings("memory_mb: " + std::to_string(MachineMb()) +
                                "\n");
    this->fleet.Add("bole", "registry-desk", "v1");
    this->fleet.Add("bole", "bundle-works", "v1");
    cr_assert(this->fleet.Start());
    const CommandResult published =
        this->fleet.Publish(this->fleet.WriteConfig(kConfig));
    cr_assert(published.exit_code == 0, "%s", published.output.c_str());
    cr_assert(WaitUntil([this] { return this->fleet.AllHold(1); }, kReadyTime));
    cr_assert(WaitUntil([this] { return this->fleet.AllSeen(); }, kReadyTime));
    std::vector<WatchedProcess> processes;
    for (std::size_t i = 0; i < this->fleet.size(); ++i) {
      const FleetVm& vm = this->fleet.At(i);
      const rlimit descriptors{kDescriptors, kDescriptors};
      ::prlimit(vm.node->Pid(), RLIMIT_NOFILE, &descriptors, nullptr);
      processes.push_back(
          {vm.node->Pid(), {vm.http.port, vm.control.port, vm.announce.port}});
    }
    this->watch = std::make_unique<MemoryWatch>(std::move(processes),
                                                MachineMb() * 1'000'000);
  }

  [[nodiscard]] FleetVm& Misused() { return this->fleet.At(0); }

  void ExpectWithinMemory() {
    for (const WatchedProcess& process : this->watch->Stop()) {
      std::printf("  peak %zu MB, %zu of them not read\n",
                  process.peak_bytes / 1'000'000,
                  process.unread_bytes / 1'000'000);
      cr_expect(!process.ended_for_memory, "%zu MB",
                process.peak_bytes / 1'000'000);
    }
  }
};

TrafficTarget TargetAt(const FleetVm& vm) {
  return {vm.http, "/cases/1", "/bundles/1"};
}

void ExpectServed(const char* when, const OrdinaryOutcome& outcome) {
  std::string failures;
  for (const auto& [status, count] : outcome.failures)
    failures += " " + std::to_string(status) + ":" + std::to_string(count);
  std::printf("  %s: %zu of %zu ordinary requests served;%s\n", when,
              outcome.served, outcome.requests, failures.c_str());
  cr_expect_geq(outcome.ServedRatio(), kServedRatio, "%s: %zu of %zu", when,
                outcome.served, outcome.requests);
}

void Play(const HostileClient& client) {
  WatchedNodes watched;
  FleetVm& misused = watched.Misused();
  std::printf("%s\n", client.name.c_str());
  OrdinaryTraffic at_misused(TargetAt(misused));
  OrdinaryTraffic at_other(TargetAt(watched.fleet.At(1)));
  ReadinessProbe probe(misused.http, "/health");
  {
    HostilePlay play(client, client.door == Door::kLink ? misused.control.port
                                                        : misused.http.port);
    play.Run(kPlayTime);
  }
  const double ready = probe.Stop();
  std::printf("  ready at %.2f of the checks\n", ready);
  cr_expect_geq(ready, kServedRatio);
  ExpectServed("meanwhile", at_misused.Stop());
  ExpectServed("meanwhile, the other node", at_other.Stop());
  std::this_thread::sleep_for(kRecovery);
  OrdinaryTraffic after(TargetAt(misused));
  std::this_thread::sleep_for(Ms(1000));
  ExpectServed("afterwards", after.Stop());
  watched.ExpectWithinMemory();
}

// Sends the largest body to the first node as an ordinary client.
void ExpectLegalBodyServed(const HostileClient& body) {
  WatchedNodes watched;
  const RawSocket caller = RawSocket::ConnectTo(watched.Misused().http.port);
  caller.Send(body.head + Repeated(body.unit, kMaxBody / 65536) + body.tail);
  const std::string got = caller.ReadUntil([](const std::string& response) {
    return response.find("\r\n\r\n") != std::string::npos;
  });
  cr_expect(got.starts_with("HTTP/1.1 200"), "%s", got.substr(0, 300).c_str());
  watched.ExpectWithinMemory();
}

// Guards against a node that runs out of memory by one request inside the
// limits, or that refuses it.
Test(hostile_node_clients, the_largest_body_is_served) {
  ExpectLegalBodyServed(BodyWithLength("/bundles/x", 1, kMaxBody, kMaxBody));
}
Test(hostile_node_clients, the_largest_body_in_chunks_is_served) {
  ExpectLegalBodyServed(BodyInChunks("/bundles/x", 1, 65536, kMaxBody / 65536));
}

// Guards against bodies inside the limits that together take more memory than
// the machine has.
Test(hostile_node_clients, eight_of_the_largest_bodies) {
  Play(BodyWithLength("/bundles/x", 8, kMaxBody, kMaxBody));
}
Test(hostile_node_clients, eight_of_the_largest_bodies_in_chunks) {
  Play(BodyInChunks("/bundles/x", 8, 65536, kMaxBody / 65536));
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
  const std::string upload =
      HeadOf("POST", "/bundles/x", LengthField(4'000'000)) +
      std::string(4'000'000, 'u');
  HostileClient client = Endless("uploads ahead", "", upload);
  client.unit_bytes = 32 * upload.size();
  client.connections = 64;
  Play(client);
}

// Guards against bodies beyond the limit, or where none is expected.
Test(hostile_node_clients, chunks_beyond_the_limit) {
  Play(BodyInChunks("/bundles/x", 8, 65536, kUnlimited));
}
Test(hostile_node_clients, bodies_without_a_route) {
  Play(BodyWithLength("/nowhere/x", 8, kMaxBody, kMaxBody));
}
Test(hostile_node_clients, bodies_at_the_health_check) {
  Play(BodyWithLength("/health", 8, kMaxBody, kMaxBody));
}

// Guards against framing without end, which no limit on bodies covers.
Test(hostile_node_clients, a_chunk_extension_without_end) {
  Play(Endless(
      "chunk extension",
      HeadOf("POST", "/bundles/x", "Transfer-Encoding: chunked\r\n") + "1;x=",
      std::string(65536, 'y')));
}
Test(hostile_node_clients, trailers_without_end) {
  Play(Endless("trailers",
               HeadOf("POST", "/bundles/x", "Transfer-Encoding: chunked\r\n") +
                   "1\r\nb\r\n0\r\n",
               Repeated("x: y\r\n", 10'000)));
}

// Guards against heads of many short fields, which take far more memory than
// their bytes.
Test(hostile_node_clients, many_fields_with_the_body_outstanding) {
  constexpr std::size_t kFields = 1900;
  HostileClient client;
  client.name = "many fields, no body";
  client.connections = 960;
  client.head = HeadOf("POST", "/bundles/x",
                       LengthField(1000) + Repeated("a:\r\n", kFields));
  Play(client);
}

// Guards against responses that pile up behind a client that does not read.
Test(hostile_node_clients, requests_ahead_on_a_route) {
  Play(AheadWithoutReading("/cases/1", Door::kOutbound));
}
Test(hostile_node_clients, requests_ahead_at_the_metrics) {
  Play(AheadWithoutReading("/metrics", Door::kOutbound));
}

// Guards against crowds that take all connections of the process.
Test(hostile_node_clients, a_silent_crowd) {
  HostileClient client;
  client.name = "silent crowd";
  client.connections = kCrowd;
  Play(client);
}
Test(hostile_node_clients, a_crowd_that_sends_heads_slowly) {
  HostileClient client;
  client.name = "slow heads";
  client.connections = kCrowd;
  client.head = HeadOf("GET", "/cases/1", "X-Fill: " + std::string(8000, 'f'));
  client.bytes_per_step = 1;
  Play(client);
}

Test(hostile_node_clients, a_crowd_that_stops_within_small_bodies) {
  Play(BodyWithLength("/bundles/x", kCrowd, 1000, 100));
}
Test(hostile_node_clients, a_crowd_that_does_not_close_after_a_refusal) {
  Play(BodyWithLength("/nowhere/x", kCrowd, 100'000, 100));
}
Test(hostile_node_clients, a_crowd_that_stops_within_its_second_head) {
  HostileClient client;
  client.name = "second heads that stop";
  client.connections = kCrowd;
  client.head = HeadOf("GET", "/nowhere/x", "") + "GET /cases/1 HTTP/1.1\r\n";
  Play(client);
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
