#include <criterion/criterion.h>

#include <array>
#include <future>
#include <set>
#include <string>

#include "process/fleet.h"

namespace teaselspread {
namespace {

constexpr std::chrono::seconds kPatience{20};

const char kBase[] = R"(deployment: test
data_centers: [bole, piassa]
services:
  registry-desk: {version: v1}
routes:
  case-index:
    service: registry-desk
    method: GET
    path_prefix: /cases
    deadline: 5s
  filing-instruction:
    service: registry-desk
    method: POST
    path_prefix: /filings
    idempotent: false
    deadline: 5s
)";

const char kSecond[] = R"(deployment: test
data_centers: [bole, piassa]
services:
  registry-desk: {version: v1, queue_limit: 9}
routes:
  case-index:
    service: registry-desk
    method: GET
    path_prefix: /cases
    deadline: 5s
)";

// Two nodes in each of two data centres, with the first configuration in force.
void SetUp(Fleet& fleet) {
  for (const char* data_center : {"bole", "bole", "piassa", "piassa"})
    fleet.Add(data_center, "registry-desk", "v1");
  cr_assert(fleet.Start());
  const CommandResult published = fleet.Publish(fleet.WriteConfig(kBase));
  cr_assert(published.exit_code == 0, "%s", published.output.c_str());
  cr_assert(WaitUntil([&] { return fleet.AllHold(1); }, kPatience));
  cr_assert(WaitUntil([&] { return fleet.AllSeen(); }, kPatience));
}

HttpResponse File(const FleetVm& vm,
                  const std::string& key,
                  const std::string& body = "filing") {
  return CallOnce(vm.http, "POST", "/filings/1", body,
                  {{std::string(kHeaderIdempotencyKey), key}});
}

// A node that has just joined, or was paused, may not know who keeps the
// claims; it says "unknown" until then, and never runs the filing.
HttpResponse FileUntilProven(const FleetVm& vm,
                             const std::string& key,
                             const std::string& body) {
  HttpResponse answer;
  cr_assert(WaitUntil(
      [&] {
        answer = File(vm, key, body);
        return answer.status != 502;
      },
      kPatience));
  return answer;
}

Test(node, a_published_configuration_serves_requests_everywhere) {
  Fleet fleet("test");
  SetUp(fleet);
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    const HttpResponse answer =
        CallOnce(fleet.At(i).http, "GET", "/cases/7", "",
                 {{std::string(kHeaderRequestId), "r" + std::to_string(i)}});
    cr_assert(answer.status == 200);
    cr_assert(FindHeader(answer.headers, kHeaderExecution) == "ran");
    cr_assert(FindHeader(answer.headers, kHeaderRequestId) ==
              "r" + std::to_string(i));
    cr_assert(answer.body.find("r" + std::to_string(i)) != std::string::npos);
  }
  const CommandResult status = fleet.Ctl("status");
  cr_assert(status.exit_code == 0);
  for (std::size_t i = 0; i < fleet.size(); ++i)
    cr_assert(status.output.find(fleet.At(i).id) != std::string::npos);
}

// An operator's file names a service that does not exist. Published, it would
// leave a route to nowhere; the operator sees the line, and nothing is sent.
Test(node, a_bad_file_is_refused_and_changes_nothing) {
  Fleet fleet("test");
  SetUp(fleet);
  std::string bad = kBase;
  bad += "  broken: {service: nowhere, method: GET, path_prefix: /x}\n";
  const CommandResult published = fleet.Publish(fleet.WriteConfig(bad));
  cr_assert(published.exit_code == 3);
  cr_assert(published.output.find("nowhere") != std::string::npos);
  cr_assert(fleet.AllHold(1));
}

// The log goes down. Callers must notice nothing; the operator is told that
// nothing was published, and once the log is back the same publish goes
// through.
Test(node, a_log_outage_stops_publishing_but_no_requests) {
  Fleet fleet("test");
  SetUp(fleet);
  cr_assert(Control(fleet.LogControl(), "{outage: refuse}"));
  const std::string config = fleet.WriteConfig(kSecond);
  const CommandResult refused = fleet.Publish(config, {"--timeout_s=1"});
  cr_assert(refused.exit_code == 5, "%d %s", refused.exit_code,
            refused.output.c_str());
  cr_assert(CallOnce(fleet.At(0).http, "GET", "/cases/1").status == 200);
  cr_assert(Control(fleet.LogControl(), "{outage: none}"));
  // Read before the publish: a node may hold the new version before the command
  // returns.
  const ConfigVersion version = Fleet::Held(fleet.At(0)) + 1;
  const CommandResult published = fleet.Publish(config);
  cr_assert(published.exit_code == 0, "%s", published.output.c_str());
  cr_assert(WaitUntil([&] { return fleet.AllHold(version); }, kPatience));
}

// A VM is replaced at once after a crash. Its new node must not serve with less
// than the old one held, whatever it hears first.
Test(node, a_restarted_node_holds_at_least_what_its_vm_held) {
  Fleet fleet("test");
  SetUp(fleet);
  const CommandResult published = fleet.Publish(fleet.WriteConfig(kSecond));
  cr_assert(published.exit_code == 0);
  cr_assert(WaitUntil(
      [&] { return Fleet::Held(fleet.At(1)) > 1 && fleet.AllHold(2); },
      kPatience));
  const ConfigVersion held = Fleet::Held(fleet.At(1));
  fleet.At(1).node->Signal(SIGKILL);
  cr_assert(fleet.At(1).node->WaitExit() >= 0);
  fleet.StartNode(fleet.At(1));
  cr_assert(fleet.At(1).node->PortAfter() != 0);
  bool below = false;
  cr_assert(WaitUntil(
      [&] {
        const bool ready =
            CallOnce(fleet.At(1).http, "GET", "/health").status == 200;
        below |= ready && Fleet::Held(fleet.At(1)) < held;
        return ready;
      },
      kPatience));
  cr_assert(!below);
}

// Something on the network sends rubbish to the control port. A node that
// trusted its length field would run out of memory, one that threw would end
// with every request in it.
Test(node, rubbish_on_the_control_port_is_counted_and_harms_nothing) {
  Fleet fleet("test");
  SetUp(fleet);
  const Address control = fleet.At(0).control;
  const std::array<std::string, 4> frames = {
      std::string(600, '\xff'), std::string("TS"), std::string(1, '\0'),
      std::string("GET / HTTP/1.1\r\n\r\n")};
  const int fd = ::socket(AF_INET, SOCK_DGRAM, 0);
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(control.port);
  to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  for (const std::string& frame : frames)
    (void)::sendto(fd, frame.data(), frame.size(), 0,
                   reinterpret_cast<sockaddr*>(&to), sizeof to);
  ::close(fd);
  cr_assert(WaitUntil([&] {
    return Fleet::Metric(fleet.At(0),
                         "refused_frames_total{reason=\"frame-malformed\"}") >=
           4;
  }));
  cr_assert(CallOnce(fleet.At(0).http, "GET", "/cases/1").status == 200);
}

// The caller of a filing instruction lost the answer and sends it again, once
// through a node of another data centre. A second run would be a second
// lodgement and a second fee.
Test(node, a_repeated_filing_runs_once_and_gets_the_recorded_answer) {
  Fleet fleet("test");
  SetUp(fleet);
  HttpResponse first;
  cr_assert(WaitUntil(
      [&] {
        first = File(fleet.At(0), "key-1");
        return first.status == 200;
      },
      kPatience));
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    const HttpResponse again = FileUntilProven(fleet.At(i), "key-1", "filing");
    cr_assert(again.status == 200, "%d %s", again.status, again.body.c_str());
    cr_assert(again.body == first.body);
  }
  const HttpResponse other =
      FileUntilProven(fleet.At(2), "key-1", "another filing");
  cr_assert(other.status == 422, "%d %s", other.status, other.body.c_str());
  int runs = 0;
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    const std::string list =
        CallOnce(fleet.At(i).upstream->At(), "GET", "/executions").body;
    for (std::size_t at = 0; (at = list.find("key-1", at)) != std::string::npos;
         ++at)
      ++runs;
  }
  cr_assert(runs == 1, "%d runs", runs);
}

// An operator replaces a VM while a clerk's request runs on it. A stop that
// closed the connection would lose the answer.
Test(node, sigterm_cuts_no_request_in_progress) {
  Fleet fleet("test");
  SetUp(fleet);
  for (std::size_t i = 0; i < fleet.size(); ++i)
    cr_assert(Control(fleet.At(i).upstream->At(), "{work_ms: 1500}"));
  auto answer = std::async(std::launch::async, [&] {
    return CallOnce(fleet.At(0).http, "GET", "/cases/1");
  });
  cr_assert(
      WaitUntil([&] { return Fleet::Metric(fleet.At(0), "running") >= 1; }));
  fleet.At(0).node->Signal(SIGTERM);
  fleet.At(0).node->Signal(SIGTERM);
  cr_assert(answer.get().status == 200);
  cr_assert(fleet.At(0).node->WaitExit(kPatience) == 0);
}

// One request crashes every upstream that runs it, and its caller sends it
// again and again. Without a memory of it, the service would lose its
// upstreams one by one.
Test(node, a_request_that_crashes_upstreams_stops_after_two) {
  Fleet fleet("test");
  for (int i = 0; i < 4; ++i)
    fleet.Add("bole", "registry-desk", "v1");
  fleet.Add("piassa", "registry-desk", "v1");
  cr_assert(fleet.Start());
  cr_assert(fleet.Publish(fleet.WriteConfig(kBase)).exit_code == 0);
  cr_assert(WaitUntil([&] { return fleet.AllHold(1); }, kPatience));
  cr_assert(WaitUntil([&] { return fleet.AllSeen(); }, kPatience));
  const auto crashed = [&] {
    std::size_t count = 0;
    for (std::size_t i = 0; i < fleet.size(); ++i)
      count += fleet.At(i).upstream->Exited() ? 1 : 0;
    return count;
  };
  const auto poison = [&](std::size_t entry) {
    return CallOnce(fleet.At(entry).http, "GET", "/cases/poison", "",
                    {{"X-Crash", "1"}});
  };
  // Each repeat goes out once the crash before is known, as a caller's would.
  for (int i = 0; i < 12; ++i) {
    (void)poison(static_cast<std::size_t>(i % 4));
    cr_assert(CallOnce(fleet.At(0).http, "GET", "/cases/other").status == 200);
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
  }
  std::string outputs;
  for (std::size_t i = 0; i < fleet.size(); ++i)
    outputs += fleet.At(i).node->Output();
  cr_assert(crashed() <= 2, "%zu crashed\n%s", crashed(), outputs.c_str());
  const HttpResponse refused = poison(0);
  cr_assert(FindHeader(refused.headers, kHeaderReason) == "crash-suspect",
            "%d %s", refused.status, refused.body.c_str());
}

// The operator raises the limit on headers, for clerks whose tokens are long. A
// node that kept its own limit would go on refusing them; one that held other
// nodes to the limit would refuse what the first node has let in.
Test(node, the_published_header_limit_holds) {
  Fleet fleet("test");
  SetUp(fleet);
  const auto status_with = [&](std::size_t bytes) {
    const HttpHeaders headers = {{"X-Token", std::string(bytes, 'a')}};
    std::set<int> seen;
    for (std::size_t i = 0; i < fleet.size(); ++i)
      seen.insert(
          CallOnce(fleet.At(i).http, "GET", "/cases/1", "", headers).status);
    return seen;
  };
  cr_assert(status_with(3900) == std::set<int>{200});
  cr_assert(status_with(4200) == std::set<int>{431});
  const std::string raised =
      std::string(kBase) + "limits: {max_header_bytes: 7KiB}\n";
  cr_assert(fleet.Publish(fleet.WriteConfig(raised)).exit_code == 0);
  cr_assert(WaitUntil([&] { return status_with(6800) == std::set<int>{200}; },
                      kPatience));
  cr_assert(status_with(7300) == std::set<int>{431});
}

// The upstream announces itself on a loopback address of its own. If the
// address that callers use took announcements as well, any of them could send
// the traffic of a VM to a place of their choice.
Test(node, announcements_are_taken_on_their_own_address_only) {
  Fleet fleet("test");
  FleetVm& vm = fleet.Add("bole", "registry-desk", "v1");
  fleet.Add("bole", "registry-desk", "v1");
  vm.announce = FreeAddress();
  cr_assert(fleet.Start());
  cr_assert(fleet.Publish(fleet.WriteConfig(kBase)).exit_code == 0);
  cr_assert(WaitUntil([&] { return fleet.AllHold(1); }, kPatience));
  cr_assert(WaitUntil([&] { return fleet.AllSeen(); }, kPatience));
  cr_assert(CallOnce(vm.http, "POST", "/announce", "{}").status == 404);
  cr_assert(CallOnce(vm.http, "GET", "/cases/1").status == 200);
  cr_assert(CallOnce(vm.announce, "GET", "/cases/1").status == 404);
  cr_assert(CallOnce(vm.announce, "GET", "/health").status == 200);
  cr_assert(vm.node->Stop() == 0);
}

}  // namespace
}  // namespace teaselspread
