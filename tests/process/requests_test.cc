#include <criterion/criterion.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <fstream>
#include <future>
#include <string>
#include <thread>
#include <vector>

#include "process/fleet.h"

namespace teaselspread {
namespace {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

constexpr auto kPatience = 20s;
constexpr std::size_t kLarge = 30U << 20;

const char kBase[] = R"(deployment: test
data_centers: [bole]
services:
  registry-desk: {version: v1, queue_limit: 4, warm_up: 0s}
  bundle-works: {version: v1, warm_up: 0s}
routes:
  case-index:
    {service: registry-desk, method: GET, path_prefix: /cases, deadline: 5s}
  rate-lookup:
    service: registry-desk
    method: GET
    path_prefix: /rates
    priority: internal
    deadline: 5s
  filing-instruction:
    service: registry-desk
    method: POST
    path_prefix: /filings
    idempotent: false
    deadline: 5s
  bundle:
    service: bundle-works
    method: POST
    path_prefix: /bundles
    deadline: 10s
    max_body_bytes: 40MiB
limits: {silence: 1s}
)";

// `desks` upstreams of registry-desk, each with these flags, and one of
// bundle-works, all in one data centre with the configuration in force.
void SetUp(Fleet& fleet, int desks, const std::vector<std::string>& flags) {
  for (int i = 0; i < desks; ++i)
    fleet.Add("bole", "registry-desk", "v1", flags);
  fleet.Add("bole", "bundle-works", "v1");
  cr_assert(fleet.Start());
  const CommandResult published = fleet.Publish(fleet.WriteConfig(kBase));
  cr_assert(published.exit_code == 0, "%s", published.output.c_str());
  cr_assert(WaitUntil([&] { return fleet.AllHold(1); }, kPatience));
  cr_assert(WaitUntil([&] { return fleet.AllSeen(); }, kPatience));
}

std::string_view HeaderOf(const HttpResponse& answer, std::string_view name) {
  return FindHeader(answer.headers, name);
}

HttpResponse Get(const FleetVm& vm,
                 const std::string& path,
                 const HttpHeaders& headers = {}) {
  return CallOnce(vm.http, "GET", path, "", headers);
}

// A caller that is not bound to send whole or right requests.
class RawCaller {
 public:
  RawCaller(const Address& to, const std::string& text)
      : fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(to.port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const timeval patience{5, 0};
    ::setsockopt(this->fd, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
    (void)::connect(this->fd, reinterpret_cast<sockaddr*>(&address),
                    sizeof address);
    (void)::send(this->fd, text.data(), text.size(), MSG_NOSIGNAL);
  }
  ~RawCaller() { this->Leave(); }
  RawCaller(const RawCaller&) = delete;
  RawCaller& operator=(const RawCaller&) = delete;

  // The first line of the answer.
  std::string Answer() {
    std::array<char, 256> buffer{};
    const ssize_t count = ::recv(this->fd, buffer.data(), buffer.size(), 0);
    const std::string text(
        buffer.data(), static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
    return text.substr(0, text.find("\r\n"));
  }

  void Leave() {
    if (this->fd >= 0)
      ::close(this->fd);
    this->fd = -1;
  }

 private:
  int fd;
};

double LoadOf(const FleetVm& vm) {
  return std::strtod(CallOnce(vm.upstream->At(), "GET", "/load").body.c_str(),
                     nullptr);
}

std::size_t Executions(const FleetVm& vm, const std::string& word) {
  const std::string list =
      CallOnce(vm.upstream->At(), "GET", "/executions").body;
  std::size_t count = 0;
  for (std::size_t at = 0; (at = list.find(word, at)) != std::string::npos;
       at += word.size())
    ++count;
  return count;
}

// One upstream cuts its answers, sends half of them, or sends another
// request's. A node that passed such an answer on would show a clerk half a
// case file as if it were all of it.
Test(requests, a_broken_answer_is_never_a_short_success) {
  Fleet fleet("test");
  SetUp(fleet, 2, {});
  constexpr std::size_t kBytes = 50000;
  for (const char* fault :
       {"{truncate: 1, route: /cases}", "{truncate: 0, cut: 1, route: /cases}",
        "{cut: 0, wrong_id: 1, route: /cases}"}) {
    cr_assert(Control(fleet.At(0).upstream->At(), fault));
    int whole = 0;
    // Three faults of three retries at most: a node has ten before its budget
    // has to grow with the traffic.
    for (int i = 0; i < 3; ++i) {
      const std::string id = std::string("id-") + std::to_string(i);
      const HttpResponse answer = Get(fleet.At(0), "/cases/1?bytes=50000",
                                      {{std::string(kHeaderRequestId), id}});
      whole += answer.status == 200 ? 1 : 0;
      cr_assert(answer.status == 200 || answer.status >= 500);
      cr_assert(answer.status != 200 || answer.body.size() == kBytes);
      cr_assert(answer.status != 200 || answer.body.rfind(id, 0) == 0);
    }
    cr_assert(whole > 0, "%s: no request was tried elsewhere", fault);
  }
}

// Nothing else is there to answer: the caller must hear of the failure.
Test(requests, without_another_upstream_a_broken_answer_is_an_error) {
  Fleet fleet("test");
  SetUp(fleet, 1, {"--switches={truncate: 1, route: /cases}"});
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    const HttpResponse answer = Get(fleet.At(i), "/cases/1?bytes=50000");
    cr_assert(answer.status == 502, "%d", answer.status);
    cr_assert(HeaderOf(answer, kHeaderExecution) == "unknown");
  }
}

// The most memory that the node has held so far.
double PeakMegabytes(const FleetVm& vm) {
  std::ifstream status("/proc/" + std::to_string(vm.node->Pid()) + "/status");
  const std::string text((std::istreambuf_iterator<char>(status)), {});
  const std::size_t at = text.find("VmHWM:");
  return at == std::string::npos
             ? 0
             : std::strtod(text.c_str() + at + sizeof "VmHWM:", nullptr) / 1024;
}

// A bundle of 30 MB goes to an upstream beside another node and comes back.
// One lost or crossed byte spoils a filing.
Test(requests, thirty_megabytes_stay_whole_over_a_hop) {
  Fleet fleet("test");
  SetUp(fleet, 1, {});
  std::string bundle(kLarge, '\0');
  std::mt19937_64 rng(30);
  for (char& byte : bundle)
    byte = static_cast<char>(rng());
  const HttpResponse echoed =
      CallOnce(fleet.At(0).http, "POST", "/bundles/1?echo=1", bundle);
  cr_assert(echoed.status == 200, "%d %s", echoed.status, echoed.body.c_str());
  cr_assert(echoed.body == bundle);
  for (std::size_t i = 0; i < fleet.size(); ++i)
    cr_assert(PeakMegabytes(fleet.At(i)) < 90, "%.0f MB: copies are held",
              PeakMegabytes(fleet.At(i)));
}

// A network device forgets the connections to an upstream: they stay open and
// nothing comes back. Callers must not pile up behind them.
Test(requests, silent_connections_are_given_up_and_replaced) {
  Fleet fleet("test");
  SetUp(fleet, 1, {"--switches={work_ms: 50}"});
  const auto four = [&] {
    std::vector<std::future<HttpResponse>> calls;
    calls.reserve(4);
    for (int i = 0; i < 4; ++i)
      calls.push_back(std::async(std::launch::async,
                                 [&] { return Get(fleet.At(0), "/cases/1"); }));
    int good = 0;
    for (auto& call : calls)
      good += call.get().status == 200 ? 1 : 0;
    return good;
  };
  cr_assert(four() == 4);
  cr_assert(Control(fleet.At(0).upstream->At(), "{silence: 1}"));
  const auto began = Clock::now();
  const int lost = 4 - four();
  cr_assert(Clock::now() - began < 4s);
  cr_assert(lost <= 4);
  for (int i = 0; i < 10; ++i)
    cr_assert(four() == 4, "still lost in round %d, after %d", i, lost);
}

double Refusals(const FleetVm& vm) {
  const std::string page = CallOnce(vm.http, "GET", "/metrics").body;
  double sum = 0;
  const std::string mark = "teaselspread_refusals_total{";
  for (std::size_t at = 0; (at = page.find(mark, at)) != std::string::npos;
       at += mark.size())
    sum += std::strtod(page.c_str() + page.find(' ', at), nullptr);
  return sum;
}

// An upstream is about to be replaced. Work that still goes to it is refused
// and costs another attempt, or is lost when it stops.
Test(requests, a_leaving_upstream_gets_no_new_work_within_three_seconds) {
  Fleet fleet("test");
  SetUp(fleet, 3, {});
  cr_assert(CallOnce(fleet.At(1).upstream->At(), "POST", "/drain").status ==
            200);
  cr_assert(WaitUntil(
      [&] {
        for (std::size_t i = 0; i < fleet.size(); ++i) {
          if (!Fleet::SeesUpstreams(fleet.At(i), "registry-desk", 2))
            return false;
        }
        return true;
      },
      3s));
  const double before = Refusals(fleet.At(1));
  for (std::size_t i = 0; i < 100; ++i)
    cr_assert(Get(fleet.At(i % fleet.size()), "/cases/1").status == 200);
  cr_assert(Refusals(fleet.At(1)) == before);
}

// An upstream is stopped while it works for a caller of another node.
Test(requests, sigterm_of_an_upstream_cuts_nothing) {
  Fleet fleet("test");
  SetUp(fleet, 1, {"--switches={work_ms: 700, work_sigma: 0}"});
  auto answer = std::async(std::launch::async,
                           [&] { return Get(fleet.At(1), "/cases/1"); });
  cr_assert(WaitUntil([&] { return LoadOf(fleet.At(0)) > 0; }));
  fleet.At(0).upstream->Signal(SIGTERM);
  const HttpResponse whole = answer.get();
  cr_assert(whole.status == 200, "%d %s", whole.status, whole.body.c_str());
  cr_assert(fleet.At(0).upstream->WaitExit() == 0);
}

// Ten times as many requests come as the upstream can take. Those that can't
// be served must hear so at once, and "not-run" must be true.
Test(requests, overload_is_refused_at_once_and_truly_not_run) {
  Fleet fleet("test");
  SetUp(fleet, 1, {"--slots=2", "--switches={work_ms: 300, work_sigma: 0}"});
  std::vector<std::future<HttpResponse>> calls;
  std::atomic<int> late{0};
  calls.reserve(40);
  for (int i = 0; i < 40; ++i)
    calls.push_back(std::async(std::launch::async, [&, i] {
      const auto began = Clock::now();
      HttpResponse answer = Get(
          fleet.At(static_cast<std::size_t>(i % 2)), "/cases/1",
          {{std::string(kHeaderIdempotencyKey), "load-" + std::to_string(i)}});
      late += answer.status != 200 && Clock::now() - began > 1s ? 1 : 0;
      return answer;
    }));
  std::size_t good = 0;
  std::size_t refused = 0;
  for (auto& call : calls) {
    const HttpResponse answer = call.get();
    good += answer.status == 200 ? 1 : 0;
    if (answer.status == 200)
      continue;
    ++refused;
    cr_assert(answer.status == 503, "%d", answer.status);
    cr_assert(HeaderOf(answer, kHeaderExecution) == "not-run");
    cr_assert(!HeaderOf(answer, kHeaderRetryAfter).empty());
  }
  cr_assert(refused > 0 && good >= 6, "%zu refused, %zu good", refused, good);
  cr_assert(late == 0, "%d refusals came late", late.load());
  cr_assert(Executions(fleet.At(0), "load-") == good);
  // The load has gone: nothing of it may linger.
  for (std::size_t i = 0; i < 8; ++i)
    cr_assert(Get(fleet.At(i % 2), "/cases/1").status == 200);
}

// The queue is full of clerks' requests when other services ask for rates.
// Without a rate nothing else goes on, so these are answered first.
Test(requests, internal_lookups_pass_a_full_queue) {
  Fleet fleet("test");
  SetUp(fleet, 1, {"--slots=1", "--switches={work_ms: 400, work_sigma: 0}"});
  std::atomic<int> served{0};
  std::vector<std::future<HttpResponse>> calls;
  calls.reserve(5);
  for (int i = 0; i < 5; ++i)
    calls.push_back(std::async(std::launch::async, [&] {
      HttpResponse answer = Get(fleet.At(0), "/cases/1");
      served += answer.status == 200 ? 1 : 0;
      return answer;
    }));
  cr_assert(
      WaitUntil([&] { return Fleet::Metric(fleet.At(0), "queued") >= 4; }));
  const int before = served;
  cr_assert(Get(fleet.At(1), "/rates/ETB").status == 200);
  // Whatever ran when it came, and one more at most that began meanwhile.
  cr_assert(served - before <= 2, "%d went first", served - before);
  for (auto& call : calls) {
    const HttpResponse answer = call.get();
    cr_assert(answer.status == 200 || answer.status == 503);
  }
}

// Rubbish from the network, or a caller beyond its limits. It must cost
// nothing but a refusal.
Test(requests, malformed_and_oversized_requests_are_refused) {
  struct Row {
    std::string text;
    std::string status;
  };
  const std::string end = "\r\nHost: a\r\n";
  const std::array<Row, 8> rows = {{
      {"rubbish\r\n\r\n", "400"},
      {"GET /cases/1 HTTP/1.1\r\nno colon\r\n\r\n", "400"},
      {"GET /cases/1 HTTP/1.1" + end + "X: " + std::string(20000, 'x') +
           "\r\n\r\n",
       "431"},
      {"POST /filings/1 HTTP/1.1" + end + "Content-Length: 99999999\r\n\r\n",
       "413"},
      {"POST /filings/1 HTTP/1.1" + end +
           "Content-Length: 1\r\nContent-Length: 2\r\n\r\n",
       "400"},
      {"POST /filings/1 HTTP/1.1" + end +
           "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
       "400"},
      {"POST /filings/1 HTTP/1.1" + end + "Content-Length: 0\r\n\r\n", "400"},
      {"GET /nowhere HTTP/1.1" + end + "\r\n", "404"},
  }};
  Fleet fleet("test");
  SetUp(fleet, 1, {});
  for (const Row& row : rows) {
    RawCaller caller(fleet.At(0).http, row.text);
    const std::string answer = caller.Answer();
    cr_assert(answer.rfind("HTTP/1.1 " + row.status, 0) == 0, "%.40s: %s",
              row.text.c_str(), answer.c_str());
  }
  cr_assert(Get(fleet.At(0), "/cases/1").status == 200);
}

// Callers that lose patience come back and ask again. An upstream that works on
// for those who left has no slot for those who wait.
Test(requests, a_caller_that_leaves_frees_its_slot) {
  Fleet fleet("test");
  SetUp(fleet, 1, {"--slots=1", "--switches={work_ms: 4000, work_sigma: 0}"});
  for (std::size_t entry = 0; entry < 2; ++entry) {
    RawCaller caller(fleet.At(entry).http,
                     "GET /cases/1 HTTP/1.1\r\nHost: a\r\n\r\n");
    cr_assert(WaitUntil([&] { return LoadOf(fleet.At(0)) > 0; }));
    caller.Leave();
    cr_assert(WaitUntil([&] { return LoadOf(fleet.At(0)) == 0; }, 2s),
              "entry %zu: the upstream works on", entry);
  }
  cr_assert(Control(fleet.At(0).upstream->At(), "{work_ms: 1}"));
  cr_assert(Get(fleet.At(0), "/cases/1").status == 200);
}

// The caller of a filing loses its connection while the filing runs, and asks
// again with the same key. If the run were given up with its caller, nobody
// could ever tell it how the filing ended.
Test(requests, a_filing_whose_caller_left_is_recorded) {
  Fleet fleet("test");
  SetUp(fleet, 3, {"--switches={work_ms: 300, work_sigma: 0}"});
  const auto send = [&](const std::string& key) {
    return CallOnce(fleet.At(1).http, "POST", "/filings/1", "x",
                    {{std::string(kHeaderIdempotencyKey), key}});
  };
  cr_assert(WaitUntil([&] { return send("first").status == 200; }, kPatience));
  RawCaller caller(fleet.At(0).http,
                   "POST /filings/1 HTTP/1.1\r\nHost: a\r\n"
                   "Idempotency-Key: left\r\nContent-Length: 1\r\n\r\nx");
  const auto runs = [&] {
    std::size_t count = 0;
    for (std::size_t i = 0; i < 3; ++i)
      count += Executions(fleet.At(i), "\"left\"");
    return count;
  };
  cr_assert(WaitUntil([&] { return runs() == 1; }));
  caller.Leave();
  HttpResponse again;
  cr_assert(WaitUntil([&] {
    again = send("left");
    return again.status == 200;
  }));
  cr_assert(HeaderOf(again, kHeaderReason) == "replayed");
  cr_assert(runs() == 1);
}

}  // namespace
}  // namespace teaselspread
