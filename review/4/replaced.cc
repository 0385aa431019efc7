// Machines are replaced, and their addresses go to machines of another service.
// Does a configuration that is published after that come into force?
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "../mesh.h"

namespace review {
namespace {

constexpr milliseconds kConfig{2000};
constexpr milliseconds kLiveness{3000};
constexpr milliseconds kReuseAfter{2000};
constexpr milliseconds kMargin{200};
// Reads of the store that wait for a change are answered within this time.
constexpr milliseconds kReadWait{12000};
constexpr milliseconds kDeadline{1000};
constexpr int kDeskPerZone = 3;
// How many machines of a zone are replaced at once.
constexpr int kReplaced = 2;

struct Machine {
  Target* target = nullptr;
  std::unique_ptr<Node> node;
  std::string zone;
};

std::string ConfigOf(const std::string& version, const std::string& lodge) {
  return ConfigText(version,
                    {{"r-lodge", "unsafe", "/lodge/", lodge, 1000, 400},
                     {"r-load", "upload", "/load/", "works", 1000, 400}},
                    {"desk", "works"});
}

int Play(Record& record) {
  // Never freed: the threads of their connections end with the process.
  auto& store = *new standin::StoreService;
  store.Put("keyed.op", "config", ConfigOf("00000001", "desk"));
  std::vector<Machine> machines;
  for (const std::string zone : {"a", "b", "c"}) {
    for (int i = 1; i <= kDeskPerZone + 1; ++i) {
      const std::string service = i <= kDeskPerZone ? "desk" : "works";
      const std::string name = zone + "-" + std::to_string(i);
      Machine machine;
      machine.zone = zone;
      machine.target = new Target(record, FreePort());
      machine.node =
          std::make_unique<Node>(record, "sidecar-" + name, zone, service,
                                 machine.target->Port(), store.Port());
      machine.target->Start({"i-" + name, service, "v1", 12, milliseconds(20)});
      machine.node->Start();
      machine.target->BeatTo(machine.node->admin);
      machines.push_back(std::move(machine));
    }
  }
  const bool ready = WaitFor(
      [&] {
        return std::all_of(
            machines.begin(), machines.end(),
            [](const Machine& machine) { return machine.node->IsReady(); });
      },
      milliseconds(10000));
  if (!ready)
    return kCouldNotRun;
  std::this_thread::sleep_for(milliseconds(4000));

  int number = 0;
  // Sends a request at each machine and counts by the service that ran it.
  const auto ask_all = [&](const std::string& wanted) {
    int by_other = 0;
    int served = 0;
    for (const Machine& machine : machines) {
      Sent sent;
      sent.method = "POST";
      sent.id = "lodge" + std::to_string(++number);
      sent.target = "/lodge/" + sent.id;
      sent.deadline = kDeadline;
      sent.body = "instruction";
      const Answer answer = Send(record, machine.node->outbound, sent);
      served += answer.status == 200 ? 1 : 0;
      by_other += answer.status == 200 &&
                          answer.body.find("of " + wanted) == std::string::npos
                      ? 1
                      : 0;
    }
    record.Add(std::to_string(served) + " served, " + std::to_string(by_other) +
               " not by " + wanted);
    return served == 0 ? -1 : by_other;
  };
  if (ask_all("desk") != 0)
    return kCouldNotRun;

  // One zone after the other, two machines at a time.
  const std::size_t per_zone = kDeskPerZone + 1;
  for (std::size_t zone = 0; zone < 3 && WithTrouble(); ++zone) {
    for (std::size_t i = 0; i < kReplaced; ++i) {
      Machine& gone = machines[zone * per_zone + i];
      gone.target->FallDark();
      gone.node->Kill();
    }
    std::this_thread::sleep_for(kReuseAfter + kMargin);
    for (std::size_t i = 0; i < kReplaced; ++i) {
      Machine& machine = machines[zone * per_zone + i];
      const std::string name =
          machine.zone + "-" + std::to_string(per_zone + 1 + i);
      machine.node =
          std::make_unique<Node>(*machine.node, "sidecar-" + name, "works");
      machine.target->Start({"i-" + name, "works", "v1", 12, milliseconds(20)});
      machine.node->Start();
    }
    std::this_thread::sleep_for(milliseconds(2500));
  }
  std::this_thread::sleep_for(std::max(kLiveness, kReadWait) + kMargin);
  if (ask_all("desk") != 0)
    return kCouldNotRun;

  store.Put("keyed.op", "config", ConfigOf("00000002", "works"));
  record.Add("version 2 is acknowledged: /lodge/ goes to works");
  std::this_thread::sleep_for(kConfig + kMargin);
  const int stale = ask_all("works");
  std::this_thread::sleep_for(milliseconds(15000));
  const int still_stale = ask_all("works");
  for (const Machine& machine : machines)
    record.Add(machine.node->name + " holds version " +
               std::to_string(static_cast<int>(
                   machine.node->Metric("teaselspread_config_version"))));
  if (stale < 0 || still_stale < 0)
    return kCouldNotRun;
  return stale > 0 || still_stale > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int count, char** words) {
  if (count != 2)
    return review::kCouldNotRun;
  review::Record record(words[1]);
  const int result = review::Play(record);
  record.Add("exit " + std::to_string(result));
  std::_Exit(result);
}
