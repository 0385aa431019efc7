// Case 3: a node is killed after it has acknowledged that its target leaves,
// and a check-in that the target had sent before arrives late.
// Started by run.sh from the repository's root; the argument is the record.
#include "review/fleet.h"

namespace {

using review::Answer;
using review::Clock;
using review::Fleet;
using review::kDeadlineMs;
using review::Millis;
using review::Node;

// Mean work of an upload.
constexpr Millis kWork{420};
// Bounds of the customer's sheet.
constexpr Millis kDrain{2500};
constexpr Millis kLiveness{3000};
// How late the check-in comes, and how long the target serves after its leave
// call was acknowledged.
constexpr Millis kCheckInDelay{3000};
constexpr Millis kServesOn{9000};

constexpr std::size_t kClients = 12;

struct TargetRun {
  std::string id;
  Clock::time_point arrived;
};

// A target that never reports "draining": it sends its leave call first, serves
// on for some seconds and exits. Thread safe.
class LeavingTarget {
 public:
  LeavingTarget()
      : server("127.0.0.1",
               0,
               [this](const standin::Request& request,
                      standin::Connection& connection) {
                 this->Serve(request, connection);
               }) {}

  [[nodiscard]] std::uint16_t Port() const { return this->server.Port(); }

  // The check-in with this sequence number, sent to the node beside it.
  [[nodiscard]] Answer CheckIn(std::uint16_t admin, int sequence) const {
    const std::string body =
        R"({"address":")" + review::At(this->Port()) +
        R"(","born":1764842000000,"info":{"service":"works","version":"v1",)"
        R"("zone":"bole","capacity":18},"status":{"state":"ready","seq":)" +
        std::to_string(sequence) + R"(,"warmupLeftMs":0}})";
    return review::Ask(admin, {"POST", Path("heartbeat"), "check-in", 0},
                       Millis(1000), body);
  }

  [[nodiscard]] Answer SendLeave(std::uint16_t admin) {
    this->leaving = true;
    return review::Ask(admin, {"POST", Path("leave"), "leave", 0}, Millis(1000),
                       R"({"born":1764842000000})");
  }

  void Exit() { this->server.Close(); }

  [[nodiscard]] std::vector<TargetRun> Runs() {
    const std::scoped_lock lock(this->gate);
    return this->runs;
  }

 private:
  static std::string Path(const std::string& call) {
    return std::string("/instances/") + kId + "/" + call;
  }

  void Serve(const standin::Request& request, standin::Connection& connection) {
    if (standin::PathOf(request) == "/health") {
      auto health = standin::TextAnswer(this->leaving ? 503 : 200, "");
      health.set("X-Instance-Id", kId);
      health.set("X-Server-Load", "0,0,18");
      return connection.Send(std::move(health));
    }
    const std::string id = standin::HeaderOf(request, "X-Request-Id");
    if (standin::HeaderOf(request, "X-Expected-Instance") != kId) {
      auto refusal = standin::TextAnswer(421, "");
      refusal.set("X-Not-Executed", "1");
      return connection.Send(std::move(refusal));
    }
    {
      const std::scoped_lock lock(this->gate);
      this->runs.push_back({id, Clock::now()});
    }
    std::this_thread::sleep_for(kWork);
    auto response = standin::TextAnswer(200, kId);
    response.set("X-Request-Id", id);
    response.set("X-Response-Signature", "signed-" + id);
    connection.Send(std::move(response));
  }

  static constexpr const char* kId = "i-leaving";
  std::mutex gate;
  std::vector<TargetRun> runs;
  std::atomic<bool> leaving{false};
  standin::Server server;
};

struct Stage {
  explicit Stage(const std::string& path) : fleet(path) {}

  Fleet fleet;
  LeavingTarget& target = *new LeavingTarget;
  std::atomic<bool> beats{true};
  std::atomic<bool> over{false};
  std::atomic<int> sequence{0};
  std::atomic<int> failed{0};
};

// Clients of two machines that nothing happens to.
void Send(Stage& stage, std::size_t number) {
  const std::uint16_t port = stage.fleet.nodes[number % 2]->outbound;
  for (int turn = 1; !stage.over; ++turn) {
    const std::string id =
        "up-" + std::to_string(number) + "-" + std::to_string(turn);
    stage.fleet.record.Line("client: " + id + " sent");
    const Answer answer = review::Ask(
        port, {"POST", "/upload/x", id, kDeadlineMs}, Millis(kDeadlineMs), "x");
    stage.failed += answer.status == 200 ? 0 : 1;
    stage.fleet.record.Line("client: " + id + " " + NameOf(answer.end) + " " +
                            std::to_string(answer.status));
    std::this_thread::sleep_for(Millis(30));
  }
}

void Beat(Stage& stage) {
  const std::uint16_t admin = stage.fleet.nodes.back()->admin;
  while (!stage.over) {
    if (stage.beats)
      (void)stage.target.CheckIn(admin, ++stage.sequence);
    std::this_thread::sleep_for(Millis(1500));
  }
}

int Judge(Stage& stage,
          Clock::time_point acknowledged,
          Clock::time_point in_touch) {
  review::RecordRuns(stage.fleet);
  const Clock::time_point from = std::max(acknowledged + kDrain, in_touch);
  int late = 0;
  int all = 0;
  for (const TargetRun& run : stage.target.Runs()) {
    ++all;
    stage.fleet.record.LineAt(run.arrived, "leaving target: ran " + run.id);
    if (run.arrived <= from)
      continue;
    const auto after =
        std::chrono::duration_cast<Millis>(run.arrived - acknowledged);
    if (++late <= 20)
      stage.fleet.record.Line("DRAIN: " + run.id + " reached the target " +
                              std::to_string(after.count()) +
                              " ms after the acknowledgement");
  }
  std::cout << "requests at the target " << all << ", too late " << late
            << "; uploads that failed " << stage.failed << "\n";
  return late > 0 ? review::kBroken : review::kHeld;
}

int Run(const std::string& path) {
  Stage stage(path);
  Fleet& fleet = stage.fleet;
  fleet.store.Put("keyed.op", "config", review::kConfig);
  review::AddMachine(fleet, {"bole-1", "bole", "desk", 11}, kWork);
  review::AddMachine(fleet, {"piassa-1", "piassa", "desk", 11}, kWork);
  review::AddMachine(fleet, {"piassa-2", "piassa", "works", 11}, kWork);
  // So that one node of them is a share of less than 0.16.
  review::AddMachine(fleet, {"kazanchis-1", "kazanchis", "desk", 11}, kWork);
  review::AddMachine(fleet, {"kazanchis-2", "kazanchis", "works", 11}, kWork);
  review::AddMachine(fleet, {"arat-kilo-1", "arat-kilo", "desk", 11}, kWork);
  fleet.nodes.push_back(std::make_unique<Node>(
      review::Machine{"bole-2", "bole", "works", 11}, fleet.folder,
      fleet.store.Port(), stage.target.Port(), review::kBounds));
  Node& node = *fleet.nodes.back();
  node.Start();
  std::thread beats([&stage] { Beat(stage); });
  const bool ready = review::WaitUntil(
      [&fleet, &stage] {
        return std::all_of(
                   fleet.nodes.begin(), fleet.nodes.end(),
                   [](const auto& each) { return review::Serves(*each); }) &&
               !stage.target.Runs().empty();
      },
      Millis(20000));
  if (!ready) {
    fleet.record.Line("the nodes did not serve");
    standin::Leave(review::kCouldNotRun);
  }
  std::vector<std::thread> clients;
  for (std::size_t number = 0; number < kClients; ++number)
    clients.emplace_back([&stage, number] { Send(stage, number); });
  std::this_thread::sleep_for(Millis(4000));
  stage.beats = false;
  std::this_thread::sleep_for(Millis(200));
  const int delayed = ++stage.sequence;
  const Clock::time_point sent = Clock::now();
  fleet.record.Line("target: check-in " + std::to_string(delayed) +
                    " sent, on its way");
  std::this_thread::sleep_for(Millis(300));
  const Answer leave = stage.target.SendLeave(node.admin);
  const Clock::time_point acknowledged = Clock::now();
  fleet.record.Line("target: leave -> " + std::to_string(leave.status));
  Clock::time_point in_touch = acknowledged;
  if (review::WithTrouble()) {
    std::this_thread::sleep_for(Millis(500));
    fleet.record.Line("SIGKILL to bole-2, started again 500 ms later");
    node.Kill();
    std::this_thread::sleep_for(Millis(500));
    node.Start();
    in_touch = Clock::now() + kLiveness;
  }
  std::this_thread::sleep_until(sent + kCheckInDelay);
  const Answer late = stage.target.CheckIn(node.admin, delayed);
  fleet.record.Line("target: check-in " + std::to_string(delayed) +
                    " arrives -> " + std::to_string(late.status));
  std::this_thread::sleep_until(acknowledged + kServesOn);
  stage.target.Exit();
  fleet.record.Line("target: exits");
  std::this_thread::sleep_for(Millis(1000));
  stage.over = true;
  for (std::thread& client : clients)
    client.join();
  beats.join();
  if (leave.status != 200)
    return review::kCouldNotRun;
  return Judge(stage, acknowledged, in_touch);
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2)
    return review::kCouldNotRun;
  (void)::signal(SIGPIPE, SIG_IGN);
  const int code = Run(argv[1]);
  standin::Leave(code);
}
