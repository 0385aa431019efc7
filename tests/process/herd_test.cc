#include <criterion/criterion.h>

#include <atomic>
#include <ctime>
#include <string>
#include <thread>
#include <vector>

#include "process/fleet.h"

namespace teaselspread {
namespace {

constexpr std::chrono::seconds kPatience{30};

std::string UtcIn(std::chrono::seconds ahead) {
  const std::time_t time = std::chrono::system_clock::to_time_t(
      std::chrono::system_clock::now() + ahead);
  std::tm parts{};
  gmtime_r(&time, &parts);
  char text[32];
  std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%SZ", &parts);
  return text;
}

const char kHead[] = R"(deployment: test
data_centers: [bole, piassa]
services:
  registry-desk: {version: v1}
routes:
  case-index: {service: registry-desk, method: GET, path_prefix: /cases}
)";

std::string Move(const std::string& id,
                 std::chrono::seconds by,
                 bool withdrawn = false) {
  return "  " + id + ": {service: registry-desk, from: v1, to: v2, start: \"" +
         UtcIn(std::chrono::seconds(-1)) + "\", by: \"" + UtcIn(by) +
         "\", watch: 5s, withdrawn: " + (withdrawn ? "true" : "false") + "}\n";
}

ConfigVersion Publish(Fleet& fleet, const std::string& base) {
  const CommandResult published =
      fleet.Publish(fleet.WriteConfig(base), {"--output=json"});
  cr_assert(published.exit_code == 0, "%s", published.output.c_str());
  const std::size_t at = published.output.find("{\"publish_id\"");
  return YAML::Load(published.output.substr(at))["offset"].as<ConfigVersion>();
}

// Three nodes in each of two data centres, with one configuration in force.
ConfigVersion SetUp(Fleet& fleet, const std::string& base) {
  for (const char* data_center : {"bole", "piassa"}) {
    fleet.Add(data_center, "registry-desk", "v1");
    fleet.Add(data_center, "registry-desk", "v1");
    fleet.Add(data_center, "registry-desk", "v2",
              {"--switches={fail_ratio: 1}"});
  }
  cr_assert(fleet.Start());
  const ConfigVersion version = Publish(fleet, base);
  cr_assert(WaitUntil([&] { return fleet.AllAgree(version); }, kPatience));
  cr_assert(WaitUntil([&] { return fleet.AllSeen(); }, kPatience));
  return version;
}

void Kill(Fleet& fleet, std::size_t step) {
  for (std::size_t i = 0; i < fleet.size(); i += step)
    fleet.At(i).node->Signal(SIGKILL);
  for (std::size_t i = 0; i < fleet.size(); i += step)
    cr_assert(fleet.At(i).node->WaitExit() >= 0);
}

void StartAgain(Fleet& fleet, std::size_t step) {
  for (std::size_t i = 0; i < fleet.size(); i += step)
    fleet.StartNode(fleet.At(i));
}

// The state of a move as one node tells it; "" when it tells nothing of it.
std::string StateOf(const FleetVm& vm, const std::string& move) {
  const HttpResponse page = CallOnce(vm.http, "GET", "/moves");
  if (page.status != 200)
    return "";
  for (const YAML::Node& row : YAML::Load(page.body)) {
    if (row["move"].as<std::string>() == move)
      return row["state"].as<std::string>();
  }
  return "";
}

bool AllSay(Fleet& fleet, const std::string& move, const std::string& state) {
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    if (StateOf(fleet.At(i), move) != state)
      return false;
  }
  return true;
}

std::string Accounts(Fleet& fleet) {
  std::string text;
  for (std::size_t i = 0; i < fleet.size(); ++i)
    text += fleet.At(i).id + ": " +
            CallOnce(fleet.At(i).http, "GET", "/moves?format=text").body;
  return text;
}

std::uint64_t LogReads(const Fleet& fleet) {
  const HttpResponse page = CallOnce(fleet.LogAddress(), "GET", "/metrics");
  return YAML::Load(page.body)["reads"]["total"].as<std::uint64_t>();
}

// Calls all nodes in turn until it goes out of scope.
class Traffic {
 public:
  explicit Traffic(Fleet& fleet)
      : worker([this, &fleet] {
          for (std::size_t i = 0; !this->stop; ++i) {
            (void)CallOnce(fleet.At(i % fleet.size()).http, "GET", "/cases/1");
            std::this_thread::sleep_for(std::chrono::milliseconds(4));
          }
        }) {}
  ~Traffic() {
    this->stop = true;
    this->worker.join();
  }
  Traffic(const Traffic&) = delete;
  Traffic& operator=(const Traffic&) = delete;

 private:
  std::atomic<bool> stop{false};
  std::thread worker;
};

// All VMs of the deployment lose power and return at once. If each read the
// log, the log would fall over when it is needed most; if one served with less
// than it held, callers would meet routes of the day before.
Test(herd, all_nodes_die_and_return_at_once) {
  Fleet fleet("test");
  SetUp(fleet, kHead);
  std::string second = kHead;
  second += "  pages: {service: registry-desk, method: GET, path_prefix: /p}\n";
  const ConfigVersion held = Publish(fleet, second);
  cr_assert(WaitUntil([&] { return fleet.AllAgree(held); }, kPatience));
  Kill(fleet, 1);
  const std::uint64_t before = LogReads(fleet);
  const auto began = std::chrono::steady_clock::now();
  StartAgain(fleet, 1);
  bool below = false;
  const auto ready = [&] {
    bool all = true;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
      const bool well =
          CallOnce(fleet.At(i).http, "GET", "/health").status == 200;
      below |= well && Fleet::Held(fleet.At(i)) < held;
      all &= well;
    }
    return all;
  };
  cr_assert(WaitUntil(ready, kPatience), "%s", fleet.Describe().c_str());
  cr_assert(!below);
  const auto seconds = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::seconds>(
          std::chrono::steady_clock::now() - began)
          .count() +
      1);
  // Two readers and two standbys in each data centre, each with one long read
  // at a time and a few short ones to catch up.
  constexpr std::uint64_t kReaders = 8;
  constexpr std::uint64_t kCatchUp = 4;
  const std::uint64_t reads = LogReads(fleet) - before;
  cr_assert(reads <= kReaders * (kCatchUp + seconds), "%lu reads in %lu s",
            reads, seconds);
}

// A VM stands still until the others have given it up, and wakes up. It then
// believes that all others were silent; if it said so, healthy upstreams would
// lose their traffic.
Test(herd, a_paused_node_accuses_nobody_and_catches_up) {
  Fleet fleet("test");
  SetUp(fleet, kHead);
  fleet.At(0).node->Signal(SIGSTOP);
  // It sleeps until its neighbours have given it up, some seconds: only then is
  // what it believes of them at its worst.
  const std::string given_up = "member=" + fleet.At(0).id + " status=dead";
  cr_assert(WaitUntil(
      [&] {
        return fleet.At(1).node->Output().find(given_up) != std::string::npos;
      },
      kPatience));
  std::string second = kHead;
  second += "  pages: {service: registry-desk, method: GET, path_prefix: /p}\n";
  const ConfigVersion version = Publish(fleet, second);
  fleet.At(0).node->Signal(SIGCONT);
  cr_assert(WaitUntil([&] { return fleet.AllAgree(version); }, kPatience));
  // The sleeper itself was declared dead, so the search below finds what it
  // looks for.
  bool sleeper_found = false;
  // Whoever was declared dead wrote so in its neighbours' logs.
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    const std::string output = fleet.At(i).node->Output();
    std::size_t line = 0;
    while (line < output.size()) {
      const std::size_t end = std::min(output.find('\n', line), output.size());
      const std::string text = output.substr(line, end - line);
      line = end + 1;
      if (text.find("member-changed") == std::string::npos ||
          text.find("dead") == std::string::npos)
        continue;
      cr_assert(text.find(fleet.At(0).id) != std::string::npos, "%s",
                text.c_str());
      sleeper_found = true;
    }
  }
  cr_assert(sleeper_found);
  cr_assert(WaitUntil([&] { return fleet.AllSeen(); }, kPatience));
}

// The new version fails while the log is down. Waiting for the log, callers
// would get the failures for as long as it is away; forgotten at a restart,
// they would get them again.
Test(herd, a_verdict_holds_while_the_log_is_down_and_stands_in_it_later) {
  Fleet fleet("test");
  SetUp(fleet, kHead + ("moves:\n" + Move("m1", std::chrono::seconds(40))));
  cr_assert(Control(fleet.LogControl(), "{outage: refuse}"));
  {
    const Traffic traffic(fleet);
    cr_assert(
        WaitUntil([&] { return AllSay(fleet, "m1", "taken-back"); }, kPatience),
        "%s", Accounts(fleet).c_str());
  }
  Kill(fleet, 3);
  StartAgain(fleet, 3);
  cr_assert(
      WaitUntil([&] { return AllSay(fleet, "m1", "taken-back"); }, kPatience),
      "%s", Accounts(fleet).c_str());
  cr_assert(Control(fleet.LogControl(), "{outage: none}"));
  const auto stands_in_log = [&] {
    const HttpResponse page =
        CallOnce(fleet.LogAddress(), "GET",
                 "/streams/teaselspread-test?from=1&max=999&wait_ms=0");
    return page.body.find("verdict") != std::string::npos;
  };
  cr_assert(WaitUntil(stands_in_log, kPatience));
  Kill(fleet, 1);
  StartAgain(fleet, 1);
  cr_assert(
      WaitUntil([&] { return AllSay(fleet, "m1", "taken-back"); }, kPatience),
      "%s", Accounts(fleet).c_str());
}

// An operator changes the time of a running move, takes the move back, and
// tries again under a new id. The account must say each of it, and a withdrawn
// move must never run again.
Test(herd, an_operator_changes_withdraws_and_repeats_a_move) {
  Fleet fleet("test");
  SetUp(fleet, kHead + ("moves:\n" + Move("m1", std::chrono::seconds(600))));
  cr_assert(
      WaitUntil([&] { return AllSay(fleet, "m1", "running"); }, kPatience),
      "%s", Accounts(fleet).c_str());
  Publish(fleet, kHead + ("moves:\n" + Move("m1", std::chrono::seconds(9000))));
  cr_assert(WaitUntil(
                [&] {
                  const HttpResponse page =
                      CallOnce(fleet.At(5).http, "GET", "/moves");
                  return YAML::Load(page.body)[0]["seconds_left"].as<double>() >
                         8000;
                },
                kPatience),
            "%s", Accounts(fleet).c_str());
  const std::string withdrawn = Move("m1", std::chrono::seconds(9000), true);
  Publish(fleet, kHead + ("moves:\n" + withdrawn));
  cr_assert(
      WaitUntil([&] { return AllSay(fleet, "m1", "taken-back"); }, kPatience),
      "%s", Accounts(fleet).c_str());
  const CommandResult again = fleet.Publish(fleet.WriteConfig(
      kHead + ("moves:\n" + Move("m1", std::chrono::seconds(9000)))));
  cr_assert(again.exit_code == 3, "%d %s", again.exit_code,
            again.output.c_str());
  const ConfigVersion version =
      Publish(fleet, kHead + ("moves:\n" + withdrawn +
                              Move("m2", std::chrono::seconds(9000))));
  cr_assert(WaitUntil([&] { return fleet.AllAgree(version); }, kPatience));
  cr_assert(WaitUntil(
                [&] {
                  return AllSay(fleet, "m1", "taken-back") &&
                         AllSay(fleet, "m2", "running");
                },
                kPatience),
            "%s", Accounts(fleet).c_str());
}

}  // namespace
}  // namespace teaselspread
