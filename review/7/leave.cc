// A target leaves, and its leave call is acknowledged. Then all nodes are
// killed and started again, and a check-in that the target had sent before it
// left arrives late. Does the leaving target get requests again?
#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "../mesh.h"

namespace review {
namespace {

// The bound of the rule, and the time after which a node that has started is
// in touch.
constexpr milliseconds kDrain{2000};
constexpr milliseconds kLiveness{3000};
// How late the check-in is, and how long the leaving target goes on serving.
constexpr milliseconds kLate{2500};
constexpr milliseconds kStays{12000};
constexpr milliseconds kDown{1000};
constexpr int kStaying = 4;

int Play(Record& record) {
  // Never freed: the threads of their connections end with the process.
  auto& store = *new standin::StoreService;
  store.Put("keyed.op", "config",
            ConfigText("00000001", {{"r-lodge", "unsafe", "/lodge/", "desk"}},
                       {"desk"}));
  Target& leaving = *new Target(record, FreePort());
  Node one(record, "vm-a-1", "a", "desk", leaving.Port(), store.Port());
  std::vector<std::unique_ptr<Node>> others;
  leaving.Start({"i-leaving", "desk", "v1", 12, milliseconds(100)});
  one.Start();
  leaving.BeatTo(one.admin);
  for (int i = 0; i < kStaying; ++i) {
    Target& staying = *new Target(record, FreePort());
    const std::string number = std::to_string(i + 2);
    const std::string zone = i % 2 == 0 ? "b" : "a";
    std::string name = "vm-" + zone;
    name += "-" + number;
    others.push_back(std::make_unique<Node>(record, name, zone, "desk",
                                            staying.Port(), store.Port()));
    staying.Start({"i-" + number, "desk", "v1", 12, milliseconds(100)});
    others.back()->Start();
    staying.BeatTo(others.back()->admin);
  }
  const auto all_ready = [&] {
    return one.IsReady() &&
           std::all_of(others.begin(), others.end(),
                       [](const auto& other) { return other->IsReady(); });
  };
  if (!WaitFor(all_ready, milliseconds(10000)))
    return kCouldNotRun;
  std::this_thread::sleep_for(milliseconds(4000));

  const auto send = [&](int number) {
    Sent sent;
    sent.method = "POST";
    sent.target = "/lodge/" + std::to_string(number);
    sent.id = "lodge" + std::to_string(number);
    sent.deadline = milliseconds(1000);
    sent.body = "instruction";
    const int at = number % (kStaying + 1);
    return Send(record, at == 0 ? one.outbound : others[at - 1]->outbound,
                sent);
  };
  int number = 0;
  for (; number < 20; ++number) {
    if (send(number).status != 200)
      return kCouldNotRun;
  }

  // Sent now, under way for kLate.
  leaving.StopBeats();
  const std::string late = leaving.BeatText();
  const auto late_at = Clock::now() + kLate;
  std::this_thread::sleep_for(milliseconds(50));
  const int acknowledged = leaving.Leave(one.admin);
  const auto left_at = Clock::now();
  record.Add("leave call of i-leaving answered " +
             std::to_string(acknowledged));
  if (acknowledged != 200)
    return kCouldNotRun;
  std::this_thread::sleep_for(milliseconds(300));
  if (WithTrouble()) {
    one.Kill();
    for (const auto& other : others)
      other->Kill();
    std::this_thread::sleep_for(kDown);
    one.Start();
    for (const auto& other : others)
      other->Start();
  }
  const auto in_touch_at = Clock::now() + kLiveness;
  std::this_thread::sleep_until(late_at);
  record.Add("the late check-in arrives, answered " +
             std::to_string(Call(one.admin, late)));
  std::this_thread::sleep_until(in_touch_at + milliseconds(200));
  std::atomic<int> served{0};
  std::atomic<int> lost{0};
  std::vector<std::thread> clients;
  bool has_exited = false;
  const auto exits_at = left_at + kStays;
  while (Clock::now() < exits_at + milliseconds(500)) {
    clients.emplace_back([&, id = ++number] {
      const int status = send(id).status;
      served += status == 200 ? 1 : 0;
      // Neither served nor refused as not run.
      lost += status != 200 && status != 503 && status != 429 ? 1 : 0;
    });
    std::this_thread::sleep_for(milliseconds(20));
    if (!has_exited && Clock::now() >= exits_at)
      leaving.Exit();
    has_exited = Clock::now() >= exits_at;
  }
  for (std::thread& client : clients)
    client.join();
  int late_runs = 0;
  for (const Run& run : leaving.Runs())
    late_runs += run.at > left_at + kDrain ? 1 : 0;
  record.Add(
      "requests served: " + std::to_string(served) +
      ", runs at the leaving target later than drainMs: " +
      std::to_string(late_runs) +
      ", requests that were passed on and lost: " + std::to_string(lost));
  if (one.HasEnded() || served == 0)
    return kCouldNotRun;
  return late_runs > 0 ? kBroken : kHeld;
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
