// Case 2: most nodes are killed at once while the store is down.
// Started by run.sh from the repository's root; the argument is the record.
#include <map>

#include "review/fleet.h"

namespace {

using review::Answer;
using review::Clock;
using review::Fleet;
using review::Millis;
using review::Node;

constexpr char kAgreed[] =
    "livenessMs=3000,drainMs=2500,graceS=6,lostMs=200,configMs=2500,"
    "retryBudgetRatio=0.2,budgetWindowS=10,budgetSlack=210,"
    "quotaWindowS=5,quotaOver=0.1,quotaSlack=20";
// Bounds of the customer's sheet.
constexpr Millis kWindow{5000};
constexpr double kOver = 0.1;
constexpr double kSlack = 20;
// The tenant's limit; its usual, which is the limit divided by 1.6; and how
// many times its usual it sends, and for how long.
constexpr double kRatePerS = 150;
constexpr double kBurst = 150;
constexpr double kUsualPerS = kRatePerS / 1.6;
constexpr double kHot = 5;
constexpr Millis kHotFor{6400};
constexpr Millis kStoreDownFor{4400};
constexpr std::size_t kNodes = 15;
constexpr std::size_t kKilled = 12;
constexpr std::size_t kClientsOfNode = 3;
constexpr Millis kWork{20};
constexpr int kDeadlineMs = 1500;

constexpr char kTenantConfig[] =
    R"({"version":"00000001","limits":{"maxHeaderBytes":16384,)"
    R"("maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000},)"
    R"("listeners":[{"hostname":"mesh.example","policy":[)"
    R"({"name":"r-index","routeType":"safe","aimMs":400,"priority":1,)"
    R"("match":{"pathPrefix":"/index/"},"action":{"service":"desk",)"
    R"("timeoutMs":800,"maxAttempts":2}}]}],)"
    R"("clusters":[{"name":"desk","healthPath":"/health"}],)"
    R"("tenants":[{"name":"grid","apiKeys":["key-grid"],"priority":1,)"
    R"("ratePerS":150,"burst":150},)"
    R"({"name":"probe","apiKeys":["key-probe"],"priority":1}]})";

struct Stage {
  explicit Stage(const std::string& path) : fleet(path) {}

  Fleet fleet;
  std::atomic<bool> over{false};
  std::atomic<bool> hot{false};
  std::mutex gate;
  std::map<std::string, Clock::time_point> sent;
  std::map<int, int> statuses;
};

std::string Get(const std::string& id, const std::string& key) {
  return "GET /index/x HTTP/1.1\r\nHost: mesh.example\r\nX-Request-Id: " + id +
         "\r\nX-Deadline-Ms: " + std::to_string(kDeadlineMs) +
         "\r\nAuthorization: Bearer " + key + "\r\n\r\n";
}

bool ServesTenants(const Node& node) {
  review::Client client(node.outbound);
  return client.Connected() && client.Send(Get("settle", "key-probe")) &&
         client.Read(Clock::now() + Millis(2000)).status == 200 && node.Ready();
}

// One client of the tenant: sends at its pace, whatever it is answered.
void Send(Stage& stage, std::size_t number) {
  const std::uint16_t port =
      stage.fleet.nodes[number / kClientsOfNode]->outbound;
  const auto pause = [&stage] {
    const double per_s = kUsualPerS * (stage.hot ? kHot : 1);
    return std::chrono::microseconds(static_cast<std::int64_t>(
        1e6 * static_cast<double>(kNodes * kClientsOfNode) / per_s));
  };
  Clock::time_point next = Clock::now();
  int turn = 0;
  while (!stage.over) {
    review::Client client(port);
    while (client.Connected() && !stage.over) {
      next = std::max(next + pause(), Clock::now() - pause());
      std::this_thread::sleep_until(next);
      const std::string id =
          "c" + std::to_string(number) + "-" + std::to_string(++turn);
      {
        const std::scoped_lock lock(stage.gate);
        stage.sent[id] = Clock::now();
      }
      stage.fleet.record.Line("client: " + id + " sent");
      if (!client.Send(Get(id, "key-grid")))
        break;
      const Answer answer = client.Read(Clock::now() + Millis(kDeadlineMs));
      {
        const std::scoped_lock lock(stage.gate);
        ++stage.statuses[answer.status];
      }
      stage.fleet.record.Line("client: " + id + " " + NameOf(answer.end) + " " +
                              std::to_string(answer.status));
      if (answer.end != review::End::kAnswered)
        break;
    }
    std::this_thread::sleep_for(Millis(20));
  }
}

// QUOTA: the most runs of the tenant that were sent and arrived in one window.
int Judge(Stage& stage) {
  review::RecordRuns(stage.fleet);
  struct Run {
    Clock::time_point sent;
    Clock::time_point arrived;
  };
  std::vector<Run> runs;
  for (standin::MeshUpstream* target : stage.fleet.targets) {
    for (const standin::MeshRun& run : target->Runs()) {
      if (run.account == "grid")
        runs.push_back({stage.sent[run.id], run.arrived});
    }
  }
  std::sort(runs.begin(), runs.end(),
            [](const Run& a, const Run& b) { return a.sent < b.sent; });
  std::size_t most = 0;
  Clock::time_point at;
  for (std::size_t i = 0; i < runs.size(); ++i) {
    const Clock::time_point end = runs[i].sent + kWindow;
    std::size_t count = 0;
    for (std::size_t j = i; j < runs.size() && runs[j].sent < end; ++j)
      count += runs[j].arrived < end ? 1 : 0;
    if (count > most) {
      most = count;
      at = runs[i].sent;
    }
  }
  const double allowed = (kRatePerS * 5 + kBurst) * (1 + kOver) + kSlack;
  std::string text = "most runs in 5 s: " + std::to_string(most) +
                     ", allowed " + std::to_string(allowed) + "; answers";
  for (const auto& [status, count] : stage.statuses)
    text += " " + std::to_string(status) + ":" + std::to_string(count);
  stage.fleet.record.Line(text);
  std::cout << text << "\n";
  return static_cast<double>(most) > allowed ? review::kBroken : review::kHeld;
}

void KillMost(Stage& stage) {
  Fleet& fleet = stage.fleet;
  fleet.record.Line("the store resets all calls");
  fleet.store.SetFault(standin::StoreFault::kReset);
  const Clock::time_point back = Clock::now() + kStoreDownFor;
  fleet.record.Line("SIGKILL to 12 of 15 nodes, started again after 300 ms");
  for (std::size_t i = 0; i < kKilled; ++i)
    fleet.nodes[i]->Signal(SIGKILL);
  for (std::size_t i = 0; i < kKilled; ++i)
    fleet.nodes[i]->Kill();
  std::this_thread::sleep_for(Millis(300));
  for (std::size_t i = 0; i < kKilled; ++i)
    fleet.nodes[i]->Start();
  std::this_thread::sleep_until(back);
  fleet.store.SetFault(standin::StoreFault::kNone);
  fleet.record.Line("the store is back");
}

// The tenant is hot; with trouble, most nodes are killed meanwhile.
void Disturb(Stage& stage) {
  stage.fleet.record.Line("the tenant sends five times its usual");
  stage.hot = true;
  const Clock::time_point cool = Clock::now() + kHotFor;
  if (review::WithTrouble())
    KillMost(stage);
  std::this_thread::sleep_until(cool);
  stage.hot = false;
  stage.fleet.record.Line("the tenant sends its usual");
}

int Run(const std::string& path) {
  Stage stage(path);
  Fleet& fleet = stage.fleet;
  fleet.store.Put("keyed.op", "config", kTenantConfig);
  const std::vector<std::string> zones = {"sundsvall", "ostersund", "falun"};
  for (std::size_t i = 0; i < kNodes; ++i) {
    standin::MeshUpstreamOptions options;
    options.instance = "i-" + std::to_string(i);
    options.service = "desk";
    options.slots = 18;
    options.work = kWork;
    options.heartbeat = Millis(1500);
    auto& target = *new standin::MeshUpstream(options);
    fleet.targets.push_back(&target);
    fleet.nodes.push_back(std::make_unique<Node>(
        review::Machine{"sidecar-" + zones[i % 3] + "-" + std::to_string(i),
                        zones[i % 3], "desk", 10},
        fleet.folder, fleet.store.Port(), target.Port(), kAgreed));
    fleet.nodes.back()->Start();
    target.BeatTo(fleet.nodes.back()->admin);
  }
  const bool ready = review::WaitUntil(
      [&fleet] {
        return std::all_of(
            fleet.nodes.begin(), fleet.nodes.end(),
            [](const auto& node) { return ServesTenants(*node); });
      },
      Millis(20000));
  if (!ready) {
    fleet.record.Line("the nodes did not serve");
    return review::kCouldNotRun;
  }
  std::this_thread::sleep_for(Millis(3000));
  std::vector<std::thread> clients;
  for (std::size_t i = 0; i < kNodes * kClientsOfNode; ++i)
    clients.emplace_back([&stage, i] { Send(stage, i); });
  std::this_thread::sleep_for(Millis(8000));
  Disturb(stage);
  std::this_thread::sleep_for(Millis(5000));
  stage.over = true;
  for (std::thread& client : clients)
    client.join();
  return Judge(stage);
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2)
    return review::kCouldNotRun;
  (void)::signal(SIGPIPE, SIG_IGN);
  const int code = Run(argv[1]);
  standin::Leave(code);
}
