// Rate limits of client accounts over all nodes together. Real nodes; what runs
// is counted at the upstreams.
#include "contract/raw_socket.h"
#include "process/edge_fleet.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <atomic>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace teaselspread {
namespace {

using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

// What is agreed with the platform.
constexpr Ms kWindow{2500};
constexpr double kExcess = 0.2;
constexpr double kSlack = 8;
// Tokens live as long as with a window of 5 s and an excess of 0.1.
constexpr const char* kAgreed =
    "graceS=6,quotaWindowS=2.5,quotaOver=0.2,quotaSlack=8";

// The account that presses, and one that stays below its limit.
constexpr double kBigPerSecond = 40;
constexpr double kBigBurst = 10;
constexpr const char* kBigKey = "key-big";
constexpr const char* kSmallKey = "key-small";
constexpr const char* kAccounts =
    R"([{"name":"big","apiKeys":["key-big"],"ratePerS":40,"burst":10},)"
    R"({"name":"small","apiKeys":["key-small"],"ratePerS":30,"burst":10}])";
constexpr const char* kUnlimitedAccounts =
    R"([{"name":"big","apiKeys":["key-big"]},)"
    R"({"name":"small","apiKeys":["key-small"],"ratePerS":0,"burst":10}])";

// Its routes are anonymous, since EdgeFleet sends requests without a key.
std::string ConfigWith(const std::string& accounts) {
  std::string text = ConfigText("00000001");
  const std::string before = R"("priority":1,)";
  const std::string added = R"("allowAnonymous":true,)";
  for (std::size_t at = text.find(before); at != std::string::npos;
       at = text.find(before, at + 1))
    text.insert(at + before.size(), added);
  text.insert(1, R"("tenants":)" + accounts + ",");
  return text;
}

std::string NextRequestId() {
  static std::atomic<int> next{0};
  return "q-" + std::to_string(++next);
}

double SecondsOf(Clock::duration span) {
  return std::chrono::duration<double>(span).count();
}

// Three nodes, and a fourth with more bandwidth: the lender of all accounts.
struct LimitedFleet : EdgeFleet {
  explicit LimitedFleet(const std::string& accounts = kAccounts)
      : EdgeFleet(ConfigWith(accounts), {kAgreed, 100}) {
    this->Add("c-1", "b", {"i-c1", "desk"}, {kAgreed, 1000});
  }

  [[nodiscard]] EdgeVm& Lender() { return *this->vms.back(); }

  // Waits until all nodes reach each other and the lender has tokens.
  bool WaitUntilShared() {
    if (!this->WaitUntilReady() || !this->WaitUntilKnown(this->vms.size()))
      return false;
    // Its buckets start empty and are full after 10 / 30 s.
    std::this_thread::sleep_for(Ms(500));
    return true;
  }

  // Waits until every node whose process runs counts `nodes` nodes.
  bool WaitUntilKnown(std::size_t nodes) {
    return WaitUntil([&] {
      return std::all_of(this->vms.begin(), this->vms.end(), [&](auto& vm) {
        return vm->node->Exited() ||
               (vm->Metric("teaselspread_quota_known_nodes") == nodes &&
                vm->Metric("teaselspread_quota_share") == 1);
      });
    });
  }
};

struct Response {
  Clock::time_point at;
  int status = 0;
  std::string retry_after;
};

// Callers with the key of one account, at all VMs, until the end of its scope.
class Callers {
 public:
  Callers(const EdgeFleet& fleet,
          std::string account_key,
          std::string request_path,
          int callers_per_vm,
          Ms between_requests)
      : key(std::move(account_key)),
        path(std::move(request_path)),
        pause(between_requests) {
    for (const auto& vm : fleet.vms) {
      for (int i = 0; i < callers_per_vm; ++i)
        this->threads.emplace_back([this, &vm = *vm] { this->Call(vm); });
    }
  }
  ~Callers() {
    this->stopping = true;
    for (std::thread& thread : this->threads)
      thread.join();
  }
  Callers(const Callers&) = delete;
  Callers& operator=(const Callers&) = delete;

  [[nodiscard]] std::size_t Count(int status,
                                  Clock::time_point since = {}) const {
    const std::scoped_lock lock(this->gate);
    return static_cast<std::size_t>(std::count_if(
        this->responses.begin(), this->responses.end(),
        [&](const Response& response) {
          return response.status == status && response.at >= since;
        }));
  }

  // The Retry-After of a response 429, in seconds; 0 if there is none.
  [[nodiscard]] double RetryAfter() const {
    const std::scoped_lock lock(this->gate);
    for (const Response& response : this->responses) {
      if (response.status == 429)
        return std::stod("0" + response.retry_after);
    }
    return 0;
  }

 private:
  void Call(const EdgeVm& vm) {
    while (!this->stopping) {
      const HttpResponse response =
          CallOnce(vm.Outbound(), "GET", this->path, "",
                   {{"X-Request-Id", NextRequestId()},
                    {"X-Deadline-Ms", "2000"},
                    {"Authorization", "Bearer " + this->key}});
      {
        const std::scoped_lock lock(this->gate);
        this->responses.push_back(
            {Clock::now(), response.status,
             std::string(FindHeader(response.headers, "Retry-After"))});
      }
      std::this_thread::sleep_for(this->pause);
    }
  }

  std::string key;
  std::string path;
  Ms pause;
  std::atomic<bool> stopping{false};
  mutable std::mutex gate;
  std::vector<Response> responses;
  std::vector<std::thread> threads;
};

constexpr const char* kBigPath = "/view/big";
constexpr const char* kSmallPath = "/view/small";

// When requests of the account that presses ran, over all upstreams.
std::vector<Clock::time_point> RunsOf(const EdgeFleet& fleet,
                                      Clock::time_point since = {}) {
  std::vector<Clock::time_point> runs;
  for (const auto& vm : fleet.vms) {
    for (const standin::MeshRun& run : vm->upstream.Runs()) {
      if (run.target == kBigPath && run.arrived >= since)
        runs.push_back(run.arrived);
    }
  }
  std::sort(runs.begin(), runs.end());
  return runs;
}

// Checks the agreed bound in every window.
void AssertKeptTo(const EdgeFleet& fleet) {
  const auto runs = RunsOf(fleet);
  const double allowed =
      (kBigPerSecond * SecondsOf(kWindow) + kBigBurst) * (1 + kExcess) + kSlack;
  std::size_t most = 0;
  std::size_t first = 0;
  for (std::size_t last = 0; last < runs.size(); ++last) {
    while (runs[last] - runs[first] >= kWindow)
      ++first;
    most = std::max(most, last - first + 1);
  }
  cr_assert_leq(static_cast<double>(most), allowed, "%zu of %.0f", most,
                allowed);
}

// Checks that at least 0.8 of `share` of the limit ran since then.
void AssertUsed(const EdgeFleet& fleet, Clock::time_point since, double share) {
  const std::size_t runs = RunsOf(fleet, since).size();
  const double least =
      0.8 * share * kBigPerSecond * SecondsOf(Clock::now() - since);
  cr_assert_geq(static_cast<double>(runs), least, "%zu of %.0f", runs, least);
}

// Checks that the account below its limit has not been refused since then, and
// prints what the nodes say about it otherwise.
void AssertNoneRefused(const EdgeFleet& fleet,
                       const Callers& callers,
                       Clock::time_point since = {}) {
  const std::size_t refused = callers.Count(429, since);
  if (refused > 0) {
    std::istringstream lines(fleet.WaitForLogs("q-1"));
    for (std::string line; std::getline(lines, line);) {
      const bool about_refusal =
          line.find("quota-exceeded") != std::string::npos &&
          line.find("account=small") != std::string::npos;
      if (about_refusal || line.find("service=quota") != std::string::npos)
        std::fprintf(stderr, "%s\n", line.c_str());
    }
  }
  cr_assert_eq(refused, 0U, "%zu", refused);
}

// Guards against nodes that each allow the whole limit, or that lose much of it
// between them, and against refusals of other accounts.
Test(account_limits, the_sum_over_all_nodes_keeps_to_the_limit) {
  LimitedFleet fleet;
  cr_assert(fleet.WaitUntilShared());
  // 4 x 5 requests a second, of 30.
  const Callers small(fleet, kSmallKey, kSmallPath, 1, Ms(200));
  const Callers big(fleet, kBigKey, kBigPath, 2, Ms(15));
  const auto since = Clock::now();
  std::this_thread::sleep_for(Ms(5000));
  AssertUsed(fleet, since, 1);
  AssertKeptTo(fleet);
  AssertNoneRefused(fleet, small);
  cr_assert_gt(small.Count(200), 40U);
  cr_assert_gt(big.Count(429), 100U);
  // As other refusals: 100 ms and up to as much again at random.
  cr_assert(big.RetryAfter() >= 0.1 && big.RetryAfter() <= 0.4, "%f",
            big.RetryAfter());
  for (const auto& vm : fleet.vms) {
    cr_assert_gt(vm->Metric(R"(teaselspread_quota_total{outcome="denied"})"),
                 0U);
  }
  cr_assert_gt(fleet.Lender().Metric("teaselspread_quota_tokens_lent_total"),
               0U);
  cr_assert_gt(fleet.At(0).Metric("teaselspread_quota_tokens_borrowed_total"),
               0U);
  const std::string logs = fleet.WaitForLogs("q-1");
  cr_assert(logs.find("reason=quota-exceeded status=429 route=r-view "
                      "account=big lender=c-1 lender_age_ms=") !=
            std::string::npos);
  // Neither an API key nor a part of one.
  cr_assert(logs.find("key-") == std::string::npos);
}

// Guards against a limit that is exceeded, or against an account that is no
// more served, when the node that lends its tokens dies.
Test(account_limits, the_limit_is_kept_when_the_lender_is_killed) {
  LimitedFleet fleet;
  cr_assert(fleet.WaitUntilShared());
  const Callers small(fleet, kSmallKey, kSmallPath, 1, Ms(200));
  const Callers big(fleet, kBigKey, kBigPath, 2, Ms(15));
  std::this_thread::sleep_for(Ms(1500));
  fleet.Lender().node->Signal(SIGKILL);
  // The next lender begins with an empty bucket.
  std::this_thread::sleep_for(Ms(1000));
  const auto since = Clock::now();
  std::this_thread::sleep_for(Ms(2500));
  // The share of the killed node is held back.
  AssertUsed(fleet, since, 0.75);
  AssertKeptTo(fleet);
  AssertNoneRefused(fleet, small, since);
  cr_assert_gt(small.Count(200, since), 10U);
}

// Guards against a node that starts with tokens of its own, or that does not
// get its share again.
Test(account_limits, the_limit_is_kept_when_nodes_restart) {
  LimitedFleet fleet;
  cr_assert(fleet.WaitUntilShared());
  const Callers big(fleet, kBigKey, kBigPath, 2, Ms(15));
  std::this_thread::sleep_for(Ms(1000));
  fleet.At(1).Restart();
  std::this_thread::sleep_for(Ms(1000));
  fleet.Lender().Restart();
  cr_assert(fleet.WaitUntilKnown(4));
  std::this_thread::sleep_for(Ms(500));
  for (const auto& vm : fleet.vms)
    vm->node->Signal(SIGKILL);
  for (const auto& vm : fleet.vms)
    vm->Restart();
  cr_assert(fleet.WaitUntilKnown(4));
  std::this_thread::sleep_for(Ms(500));
  const auto since = Clock::now();
  std::this_thread::sleep_for(Ms(2000));
  AssertUsed(fleet, since, 1);
  AssertKeptTo(fleet);
}

// Guards against a share that is held back for a node that has been stopped,
// for a minute at each upgrade of a node.
Test(account_limits, a_planned_stop_of_the_lender_frees_its_share) {
  LimitedFleet fleet;
  cr_assert(fleet.WaitUntilShared());
  const Callers small(fleet, kSmallKey, kSmallPath, 1, Ms(200));
  const Callers big(fleet, kBigKey, kBigPath, 2, Ms(15));
  std::this_thread::sleep_for(Ms(500));
  const auto stop_at = Clock::now();
  fleet.Lender().node->Signal(SIGTERM);
  cr_assert(fleet.Lender().node->WaitExit() == 0);
  cr_assert(fleet.WaitUntilKnown(3));
  const auto since = Clock::now();
  std::this_thread::sleep_for(Ms(2000));
  AssertUsed(fleet, since, 1);
  AssertUsed(fleet, stop_at, 1);
  AssertKeptTo(fleet);
  AssertNoneRefused(fleet, small, stop_at + Ms(1000));
}

HttpHeaders HeadersOfBig(const std::string& deadline_ms) {
  return {{"X-Request-Id", NextRequestId()},
          {"X-Deadline-Ms", deadline_ms},
          {"Authorization", std::string("Bearer ") + kBigKey}};
}

// Guards against a crash of the node, or a token that is lost, when a request
// ends while it waits for its token.
Test(account_limits, requests_may_end_while_they_wait_for_a_token) {
  LimitedFleet fleet;
  cr_assert(fleet.WaitUntilShared());
  EdgeVm& vm = fleet.At(0);
  fleet.Lender().node->Signal(SIGSTOP);
  {
    const RawSocket leaving = RawSocket::ConnectTo(vm.Outbound().port);
    leaving.Send(std::string("GET /view/left HTTP/1.1\r\nHost: 127.0.0.1\r\n"
                             "X-Request-Id: left\r\nX-Deadline-Ms: 2000\r\n"
                             "Authorization: Bearer ") +
                 kBigKey + "\r\n\r\n");
    std::this_thread::sleep_for(Ms(20));
  }
  const HttpResponse late =
      CallOnce(vm.Outbound(), "GET", "/view/late", "", HeadersOfBig("50"));
  fleet.Lender().node->Signal(SIGCONT);
  cr_assert_eq(late.status, 504, "%d", late.status);
  cr_assert(WaitUntil([&] {
    return vm.Metric(R"(teaselspread_quota_total{outcome="cancelled"})") == 2;
  }));
  for (const auto& other : fleet.vms) {
    for (const standin::MeshRun& run : other->upstream.Runs())
      cr_assert(run.target != "/view/left" && run.target != "/view/late");
  }
  cr_assert(WaitUntil([&] {
    return CallOnce(vm.Outbound(), "GET", kBigPath, "", HeadersOfBig("2000"))
               .status == 200;
  }));
}

// Guards against requests that use up the limit although no upstream had room
// for them.
Test(account_limits, requests_that_reach_no_upstream_are_not_counted) {
  LimitedFleet fleet;
  cr_assert(fleet.WaitUntilShared());
  EdgeVm& vm = fleet.At(0);
  // The only one beside an upstream of that service.
  fleet.At(1).node->Signal(SIGKILL);
  const auto load = [&] {
    return CallOnce(vm.Outbound(), "POST", "/load/x", "body",
                    HeadersOfBig("2000"))
        .status;
  };
  cr_assert(WaitUntil([&] { return load() == 503; }));
  // More than the limit allows.
  for (int i = 0; i < 100; ++i)
    cr_assert_eq(load(), 503);
  cr_assert_geq(vm.Metric(R"(teaselspread_quota_total{outcome="refunded"})"),
                100U);
}

// A fleet whose accounts have no limit must send what it sent before there were
// accounts: nodes of the release before end a link on frames they do not know.
Test(account_limits, without_limits_nothing_is_sent_for_them) {
  LimitedFleet fleet(kUnlimitedAccounts);
  cr_assert(fleet.WaitUntilReady());
  const Callers big(fleet, kBigKey, kBigPath, 1, Ms(5));
  const Callers small(fleet, kSmallKey, kSmallPath, 1, Ms(5));
  cr_assert(WaitUntil([&] { return RunsOf(fleet).size() > 300; }));
  EdgeVm& stopped = *fleet.vms.back();
  stopped.node->Signal(SIGTERM);
  cr_assert(WaitUntil([&] {
    return stopped.node->Output().find("event=stopping") != std::string::npos;
  }));
  for (const auto& vm : fleet.vms) {
    const std::string page = vm->Metrics();
    cr_assert(page.find("link_frames_near_total{frame=\"run\"}") !=
              std::string::npos);
    for (const char* word :
         {"token-request", "token-grant", "frame=\"leaving\"", "quota"})
      cr_assert(page.find(word) == std::string::npos, "%s: %s",
                vm->name.c_str(), word);
  }
  cr_assert_eq(big.Count(429) + small.Count(429), 0U);
}

}  // namespace
}  // namespace teaselspread
