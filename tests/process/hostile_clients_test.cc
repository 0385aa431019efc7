// Clients that do not keep to the limits, or hardly, beside ordinary traffic:
// no process may end, none may pass the memory of its machine, and ordinary
// callers are served. Each test plays one client against one node.
#include "process/hostile_client.h"

#include <sys/resource.h>

#include <cstdio>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "edge/frames.h"
#include "process/edge_fleet.h"
#include "process/hostile_checks.h"
#include "process/hostile_requests.h"
#include "process/memory_watch.h"
#include "process/ordinary_traffic.h"

#include <criterion/criterion.h>

namespace teaselspread {
namespace {

using Ms = std::chrono::milliseconds;

constexpr std::size_t kMaxBody = std::size_t{64} << 20U;
// Fields of one byte that fill the largest head.
constexpr std::size_t kFields = 3900;

std::string ConfigWithLargeBodies() {
  std::string text = ConfigText("00000001");
  const std::string before = R"("maxBodyBytes":1000000)";
  text.replace(text.find(before), before.size(),
               R"("maxBodyBytes":)" + std::to_string(kMaxBody));
  return text;
}

// Nodes on machines of MachineMb and kDescriptors. The client misuses node 0,
// which has links to the other two.
struct WatchedFleet {
  EdgeFleet fleet;
  std::unique_ptr<MemoryWatch> watch;

  WatchedFleet()
      : fleet(ConfigWithLargeBodies(),
              {.memory_mb = MachineMb(), .max_fds = kDescriptors}) {
    RaiseDescriptorLimit();
    for (const auto& vm : this->fleet.vms) {
      const rlimit descriptors{kDescriptors, kDescriptors};
      ::prlimit(vm->node->Pid(), RLIMIT_NOFILE, &descriptors, nullptr);
    }
    cr_assert(this->fleet.WaitUntilReady());
    std::vector<WatchedProcess> processes;
    for (const auto& vm : this->fleet.vms) {
      const EdgePorts& ports = vm->ports;
      processes.push_back({vm->node->Pid(),
                           {ports.outbound, ports.readiness, ports.admin,
                            ports.metrics, ports.link}});
    }
    this->watch =
        std::make_unique<MemoryWatch>(std::move(processes), MachineBytes());
  }

  [[nodiscard]] EdgeVm& Misused() { return this->fleet.At(0); }
  [[nodiscard]] EdgeVm& Other() { return this->fleet.At(2); }
};

std::uint16_t PortOf(const EdgePorts& ports, Door door) {
  switch (door) {
    case Door::kOutbound:
      return ports.outbound;
    case Door::kReadiness:
      return ports.readiness;
    case Door::kAdmin:
      return ports.admin;
    case Door::kMetrics:
      return ports.metrics;
    case Door::kLink:
      return ports.link;
  }
  return 0;
}

void ExpectRecovery(WatchedFleet& watched) {
  EdgeVm& node = watched.Misused();
  cr_expect(WaitUntil([&] { return node.Ready(); }, kRecovery));
  std::this_thread::sleep_for(kRecovery);
  OrdinaryTraffic after(node);
  std::this_thread::sleep_for(Ms(1000));
  ExpectServed("afterwards, node " + node.name, after.Stop());
  const std::size_t resident = ResidentBytes(node.node->Pid());
  cr_expect_leq(resident, MachineBytes() / 2, "%zu MB are not given back",
                resident / 1'000'000);
}

// Plays that run side by side until this ends.
class Plays {
 public:
  Plays(const std::vector<HostileClient>& clients,
        const EdgePorts& ports,
        Ms time) {
    for (const HostileClient& client : clients) {
      std::printf("%s\n", client.name.c_str());
      this->threads.emplace_back([client, &ports, time] {
        HostilePlay play(client, PortOf(ports, client.door));
        play.Run(time);
      });
    }
  }
  ~Plays() {
    for (std::thread& thread : this->threads)
      thread.join();
  }
  Plays(const Plays&) = delete;
  Plays& operator=(const Plays&) = delete;

 private:
  std::vector<std::thread> threads;
};

void Play(const std::vector<HostileClient>& clients,
          std::size_t response_bytes = 0) {
  WatchedFleet watched;
  for (const auto& vm : watched.fleet.vms)
    vm->upstream.SetResponseBytes(response_bytes);
  EdgeVm& misused = watched.Misused();
  OrdinaryTraffic at_misused(misused);
  OrdinaryTraffic at_other(watched.Other());
  ReadinessProbe probe(misused);
  const double used_before = ProcessorSeconds(misused.node->Pid());
  { const Plays plays(clients, misused.ports, kPlayTime); }
  std::printf("  %.1f s of processor time\n",
              ProcessorSeconds(misused.node->Pid()) - used_before);
  ExpectReady(probe);
  ExpectServed("meanwhile, node " + misused.name, at_misused.Stop());
  ExpectServed("meanwhile, node " + watched.Other().name, at_other.Stop());
  ExpectRecovery(watched);
  ExpectWithinMemory(*watched.watch);
}

void Play(const HostileClient& client) {
  Play(std::vector<HostileClient>{client});
}

void ExpectLegalBodyServed(std::size_t node, const HostileClient& body) {
  WatchedFleet watched;
  EdgeVm& works = watched.fleet.At(1);
  cr_expect_eq(StatusOf(body, watched.fleet.At(node).ports.outbound), 200, "%s",
               watched.fleet.WaitForLogs("hostile").c_str());
  const auto runs = works.upstream.Runs();
  cr_assert(!runs.empty());
  cr_expect_eq(runs.back().body_bytes, kMaxBody);
  ExpectWithinMemory(*watched.watch);
}

// Guards against a node that runs out of memory by one request inside the
// limits.
Test(hostile_clients, the_largest_body_is_served_by_the_own_gate) {
  ExpectLegalBodyServed(1, BodyWithLength("/load/x", 1, kMaxBody, kMaxBody));
}
Test(hostile_clients, the_largest_body_is_served_by_another_gate) {
  ExpectLegalBodyServed(0, BodyWithLength("/load/x", 1, kMaxBody, kMaxBody));
}
Test(hostile_clients, the_largest_body_in_chunks_is_served) {
  ExpectLegalBodyServed(0, BodyInChunks("/load/x", 1, 65536, kMaxBody / 65536));
}

// Guards against bodies inside the limits that together take more memory than
// the machine has.
Test(hostile_clients, two_of_the_largest_bodies) {
  Play(BodyWithLength("/load/x", 2, kMaxBody, kMaxBody));
}
Test(hostile_clients, eight_of_the_largest_bodies) {
  Play(BodyWithLength("/load/x", 8, kMaxBody, kMaxBody));
}
Test(hostile_clients, eight_of_the_largest_bodies_in_chunks) {
  Play(BodyInChunks("/load/x", 8, 65536, kMaxBody / 65536));
}
Test(hostile_clients, bodies_of_2_mb) {
  Play(BodyWithLength("/load/x", 64, 2'000'000, 2'000'000));
}
Test(hostile_clients, bodies_in_chunks_of_one_byte) {
  Play(BodyInChunks("/load/x", 8, 1, kMaxBody));
}
Test(hostile_clients, uploads_sent_ahead) {
  Play(UploadsAhead("/load/x", 4));
}

// Guards against bodies that stop or are sent slowly: they keep their memory
// for ever.
Test(hostile_clients, large_bodies_that_stop_half_way) {
  Play(BodyWithLength("/load/x", 8, kMaxBody, std::size_t{40} << 20U));
}
Test(hostile_clients, many_bodies_that_stop_half_way) {
  Play(BodyWithLength("/load/x", 320, 1'000'000, 900'000));
}
Test(hostile_clients, thousands_of_small_bodies_that_stop_half_way) {
  Play(BodyWithLength("/load/x", 2000, 200'000, 190'000));
}
Test(hostile_clients, bodies_sent_slowly) {
  HostileClient client = BodyWithLength("/load/x", 320, kMaxBody, kMaxBody);
  client.name += ", slowly";
  client.bytes_per_step = 2000;
  Play(client);
}

// Guards against bodies beyond the limit, or where none is expected: the node
// keeps what it will never use.
Test(hostile_clients, chunks_beyond_the_limit) {
  Play(BodyInChunks("/nowhere/x", 8, 65536, kUnlimited));
}
Test(hostile_clients, a_length_far_beyond_the_limit) {
  Play(BodyWithLength("/load/x", 8, 9'000'000'000'000, kUnlimited));
}
Test(hostile_clients, bodies_without_a_route) {
  Play(BodyWithLength("/nowhere/x", 8, kMaxBody, kMaxBody));
}
Test(hostile_clients, bodies_at_the_readiness_check) {
  HostileClient client = BodyWithLength("/ready", 8, kMaxBody, kMaxBody);
  client.door = Door::kReadiness;
  Play(client);
}
Test(hostile_clients, bodies_at_the_admin_address) {
  HostileClient client =
      BodyWithLength("/instances/x/heartbeat", 8, kMaxBody, kMaxBody);
  client.door = Door::kAdmin;
  Play(client);
}
Test(hostile_clients, bodies_at_the_metrics) {
  HostileClient client = BodyWithLength("/metrics", 8, kMaxBody, kMaxBody);
  client.door = Door::kMetrics;
  Play(client);
}

// Guards against framing without end, which no limit on bodies covers.
Test(hostile_clients, a_chunk_extension_without_end) {
  Play(ChunkExtensionWithoutEnd("/load/x"));
}
Test(hostile_clients, trailers_without_end) {
  Play(TrailersWithoutEnd("/load/x"));
}

// Guards against heads of many short fields, which take far more memory than
// their bytes.
Test(hostile_clients, many_fields_with_the_body_outstanding) {
  Play(ShortFieldsWithoutBody("/load/x", kFields));
}
Test(hostile_clients, many_fields_on_many_connections) {
  HostileClient client;
  client.name = "many fields";
  client.connections = 960;
  client.head = HeadOf("GET", "/view/x", ShortFields(kFields));
  Play(client);
}
Test(hostile_clients, many_fields_sent_ahead) {
  HostileClient client = Endless(
      "many fields ahead", "", HeadOf("GET", "/view/x", ShortFields(kFields)));
  client.unit_bytes = 32 * client.unit.size();
  client.connections = 16;
  Play(client);
}

// Guards against responses that pile up behind a client that does not read.
Test(hostile_clients, requests_ahead_on_a_route) {
  Play(AheadWithoutReading("/view/x", Door::kOutbound));
}
// Guards against callers with one request at a time that wait behind all those
// that another one has sent ahead.
Test(hostile_clients, requests_ahead_leave_others_half_of_their_rate) {
  constexpr Ms kCalmTime{2000};
  WatchedFleet watched;
  EdgeVm& misused = watched.Misused();
  const auto served_in = [&misused](Ms time) {
    OrdinaryTraffic traffic(misused);
    std::this_thread::sleep_for(time);
    return static_cast<double>(traffic.Stop().served) /
           static_cast<double>(time.count());
  };
  const double calm = served_in(kCalmTime);
  HostilePlay play(AheadWithoutReading("/view/x", Door::kOutbound),
                   misused.ports.outbound);
  std::thread playing([&play] { play.Run(kPlayTime); });
  const double meanwhile = served_in(kPlayTime);
  playing.join();
  std::printf("  %.3f of the calm rate\n", meanwhile / calm);
  cr_expect_geq(meanwhile, calm / 2);
}
Test(hostile_clients, large_responses_that_nobody_reads) {
  HostileClient client;
  client.name = "large responses";
  client.connections = 60;
  client.head = HeadOf("GET", "/view/x", "");
  Play({client}, 8'000'000);
}
Test(hostile_clients, requests_ahead_without_a_route) {
  Play(AheadWithoutReading("/nowhere/x", Door::kOutbound));
}
Test(hostile_clients, requests_ahead_at_the_readiness_check) {
  Play(AheadWithoutReading("/ready", Door::kReadiness));
}
Test(hostile_clients, requests_ahead_at_the_admin_address) {
  Play(AheadWithoutReading("/nowhere", Door::kAdmin));
}
Test(hostile_clients, requests_ahead_at_the_metrics) {
  Play(AheadWithoutReading("/metrics", Door::kMetrics));
}

// Guards against crowds that take all descriptors of the process.
Test(hostile_clients, a_silent_crowd_at_the_outbound_address) {
  Play(SilentCrowd());
}
Test(hostile_clients, a_silent_crowd_at_the_readiness_check) {
  HostileClient client = SilentCrowd();
  client.name += " at the readiness check";
  client.door = Door::kReadiness;
  Play(client);
}
Test(hostile_clients, a_crowd_that_sends_heads_slowly) {
  Play(CrowdOfSlowHeads("/view/x"));
}

Test(hostile_clients, a_crowd_that_stops_within_small_bodies) {
  Play(BodyWithLength("/load/x", kCrowd, 1000, 100));
}
Test(hostile_clients, a_crowd_that_does_not_close_after_a_refusal) {
  Play(BodyWithLength("/nowhere/x", kCrowd, 100'000, 100));
}
Test(hostile_clients, a_crowd_that_stops_within_its_second_head) {
  Play(CrowdOfSecondHeads("/view/x"));
}

// Clients that hold memory in different ways.
std::vector<HostileClient> MixedClients() {
  HostileClient crowd = SilentCrowd();
  crowd.connections = 1000;
  return {BodyWithLength("/load/x", 100, 1'000'000, 900'000),
          BodyInChunks("/load/x", 4, 65536, kMaxBody / 65536),
          AheadWithoutReading("/nowhere/x", Door::kOutbound), crowd};
}

// Guards against bounds that hold for each kind of client alone.
Test(hostile_clients, several_kinds_at_once) {
  Play(MixedClients());
}

// Guards against what a connection leaves behind that ends in the middle of a
// head, of a body, or of requests whose responses are on the way.
Test(hostile_clients, connections_that_are_reset_in_each_state) {
  HostileClient head;
  head.name = "reset within the head";
  head.head = "POST /load/x HTTP/1.1\r\nHost: 127";
  HostileClient body = BodyWithLength("/load/x", 1, 1'000'000, 500'000);
  HostileClient ahead = AheadWithoutReading("/view/x", Door::kOutbound);
  ahead.unit_bytes = ahead.unit.size() / 10;
  std::vector<HostileClient> clients{head, body, ahead};
  for (HostileClient& client : clients) {
    client.connections = 4;
    client.resets = true;
    // Pauses between the connections.
    client.bytes_per_step = 100'000;
  }
  Play(clients);
}

// Guards against a stop that clients hold up until the process is killed, with
// the requests of all others.
Test(hostile_clients, a_node_stops_in_time_beside_them) {
  WatchedFleet watched;
  EdgeVm& stopping = watched.Misused();
  const Plays plays(MixedClients(), stopping.ports, kPlayTime + kRecovery);
  std::this_thread::sleep_for(Ms(1500));
  stopping.node->Signal(SIGTERM);
  cr_expect_eq(stopping.node->WaitExit(Ms(6000)), 0);
  ExpectWithinMemory(*watched.watch);
}

// Guards against a node that cannot start while clients wait for it: until it
// has its configuration it has no limits but its own.
Test(hostile_clients, a_node_starts_beside_them) {
  WatchedFleet watched;
  EdgeVm& starting = watched.Misused();
  const Plays plays(MixedClients(), starting.ports, kPlayTime);
  std::this_thread::sleep_for(Ms(1000));
  (void)watched.watch->Stop();
  starting.Restart();
  watched.watch = std::make_unique<MemoryWatch>(
      std::vector<WatchedProcess>{
          {starting.node->Pid(), {starting.ports.outbound}}},
      MachineBytes());
  cr_expect(WaitUntil([&] { return starting.Ready(); }, kPlayTime));
  OrdinaryTraffic traffic(starting);
  std::this_thread::sleep_for(Ms(2000));
  ExpectServed("after the start, node " + starting.name, traffic.Stop());
  ExpectWithinMemory(*watched.watch);
}

// Guards against connections to the link port that send a large frame without
// having said which node they are.
Test(hostile_clients, a_large_frame_of_nobody) {
  std::string head = EncodeLinkFrame(PingFrame{1});
  head[0] = '\x03';
  head[1] = '\xB0';
  HostileClient client = Endless("large frame", head, std::string(65536, 'l'));
  client.unit_bytes = 60'000'000;
  client.door = Door::kLink;
  Play(client);
}

}  // namespace
}  // namespace teaselspread
