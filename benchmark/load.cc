// Load generator: callers in a closed or open loop against nodes, against
// upstreams directly, or both in turn, so that one run gives the added latency.

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/strings/str_cat.h>

#include "latency.h"
#include "load_mix.h"
#include "teaselspread/http_client.h"

ABSL_FLAG(std::string, through, "", "host:port of nodes, by commas");
ABSL_FLAG(std::string, direct, "", "host:port of upstreams, by commas");
ABSL_FLAG(int, callers, 16, "callers, each with its own connections");
ABSL_FLAG(double,
          rps,
          0,
          "requests a second over all callers; 0 = closed loop");
ABSL_FLAG(double, seconds, 5, "length of the run");
ABSL_FLAG(
    std::string,
    mix,
    "[{method: GET, path: /}]",
    "YAML list of request kinds: method, path, body_bytes, weight, keyed, "
    "headers");
ABSL_FLAG(double, timeout_s, 10, "time that a caller waits");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of choices and gaps");

namespace {

using namespace teaselspread;
using Clock = std::chrono::steady_clock;

constexpr int kOk = 200;

// What the requests over one way met.
struct Tally {
  std::vector<double> latencies;
  std::map<std::string, std::uint64_t> statuses;
  std::map<std::string, std::uint64_t> executions;
  std::map<std::string, std::uint64_t> reasons;
};

void Add(Tally& total, const Tally& part) {
  total.latencies.insert(total.latencies.end(), part.latencies.begin(),
                         part.latencies.end());
  for (const auto& [name, count] : part.statuses)
    total.statuses[name] += count;
  for (const auto& [name, count] : part.executions)
    total.executions[name] += count;
  for (const auto& [name, count] : part.reasons)
    total.reasons[name] += count;
}

// One caller. Lives on one thread.
class Caller {
 public:
  Caller(int index, const std::vector<RequestKind>& mix)
      : name(absl::StrCat("load-", index, "-")),
        kinds(mix),
        rng(absl::GetFlag(FLAGS_seed) * 1000 +
            static_cast<std::uint64_t>(index)) {
    std::vector<double> weights;
    weights.reserve(mix.size());
    for (const RequestKind& kind : mix)
      weights.push_back(kind.weight);
    this->pick =
        std::discrete_distribution<std::size_t>(weights.begin(), weights.end());
  }

  // Calls by both ways in turn until `end`.
  void Run(const std::vector<Address>& through,
           const std::vector<Address>& direct,
           std::chrono::steady_clock::time_point end) {
    const double rate = absl::GetFlag(FLAGS_rps) / absl::GetFlag(FLAGS_callers);
    auto due = std::chrono::steady_clock::now();
    for (std::uint64_t turn = 0;; ++turn) {
      if (rate > 0) {
        due += this->Gap(rate);
        std::this_thread::sleep_until(std::min(due, end));
      } else {
        due = std::chrono::steady_clock::now();
      }
      if (due >= end)
        return;
      const bool use_direct =
          through.empty() || (!direct.empty() && turn % 2 == 0);
      if (use_direct)
        this->Call(direct, due, this->direct_tally);
      else
        this->Call(through, due, this->through_tally);
    }
  }

  Tally through_tally;
  Tally direct_tally;

 private:
  std::chrono::nanoseconds Gap(double rate) {
    const std::chrono::duration<double> gap(
        std::exponential_distribution<>(rate)(this->rng));
    return std::chrono::duration_cast<std::chrono::nanoseconds>(gap);
  }

  HttpRequest NewRequest(const RequestKind& kind, const std::string& key) {
    HttpRequest request;
    request.method = kind.method;
    request.target = kind.path;
    request.headers = kind.headers;
    SetHeader(request.headers, kHeaderRequestId,
              absl::StrCat(this->name, this->sent++));
    if (kind.keyed)
      SetHeader(request.headers, kHeaderIdempotencyKey, key);
    request.body.assign(kind.body_bytes, 'b');
    return request;
  }

  // In an open loop the time counts from when the request was due: a slow
  // answer must not hide the wait of those behind it.
  void Call(const std::vector<Address>& targets,
            std::chrono::steady_clock::time_point due,
            Tally& tally) {
    const RequestKind& kind = this->kinds[this->pick(this->rng)];
    const std::string key = absl::StrCat("key-", this->name, this->sent);
    for (int i = 0; i < kind.times; ++i) {
      const Address& target = targets[this->rng() % targets.size()];
      this->CallOnce(kind, key, target, i == 0 ? due : Clock::now(), tally);
    }
  }

  void CallOnce(const RequestKind& kind,
                const std::string& key,
                const Address& target,
                std::chrono::steady_clock::time_point due,
                Tally& tally) {
    const HttpRequest request = this->NewRequest(kind, key);
    CallOptions options;
    options.timeout = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(absl::GetFlag(FLAGS_timeout_s)));
    options.silence = options.timeout;
    options.expected_request_id = FindHeader(request.headers, kHeaderRequestId);
    const auto answer = this->pool.Send(target, request, options);
    if (!answer) {
      ++tally.statuses["error"];
      ++tally.reasons[std::string(NameOf(answer.error().kind))];
      return;
    }
    tally.latencies.push_back(MillisecondsSince(due));
    ++tally.statuses[std::to_string(answer->status)];
    const auto execution = FindHeader(answer->headers, kHeaderExecution);
    ++tally.executions[execution.empty() ? "none" : std::string(execution)];
    if (const auto reason = FindHeader(answer->headers, kHeaderReason);
        !reason.empty())
      ++tally.reasons[std::string(reason)];
    if (answer->status == kOk && kind.answer_bytes > 0 &&
        answer->body != Pattern(options.expected_request_id, kind.answer_bytes))
      ++tally.reasons["wrong-body"];
  }

  std::string name;
  const std::vector<RequestKind>& kinds;
  std::mt19937_64 rng;
  std::discrete_distribution<std::size_t> pick;
  HttpClientPool pool{64};
  std::uint64_t sent = 0;
};

std::string JsonOf(const std::map<std::string, std::uint64_t>& counts) {
  std::string text;
  for (const auto& [name, count] : counts)
    absl::StrAppend(&text, text.empty() ? "" : ",", "\"", name, "\":", count);
  return "{" + text + "}";
}

std::string JsonOf(const Tally& tally, double seconds) {
  return absl::StrCat(
      R"({"latency":)", teaselspread::JsonOf(Summarize(tally.latencies)),
      R"(,"rps":)", static_cast<double>(tally.latencies.size()) / seconds,
      R"(,"status":)", JsonOf(tally.statuses), R"(,"execution":)",
      JsonOf(tally.executions), R"(,"reason":)", JsonOf(tally.reasons), "}");
}

std::string AddedLatency(const Tally& through, const Tally& direct) {
  if (through.latencies.empty() || direct.latencies.empty())
    return "null";
  const LatencySummary with = Summarize(through.latencies);
  const LatencySummary without = Summarize(direct.latencies);
  return absl::StrCat(R"({"p50_ms":)", with.p50 - without.p50, R"(,"p99_ms":)",
                      with.p99 - without.p99, R"(,"p999_ms":)",
                      with.p999 - without.p999, "}");
}

}  // namespace

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  const auto through = AddressesOf(absl::GetFlag(FLAGS_through));
  const auto direct = AddressesOf(absl::GetFlag(FLAGS_direct));
  if (through.empty() && direct.empty()) {
    std::cerr << "give --through, --direct or both\n";
    return 2;
  }
  const std::vector<RequestKind> mix = MixOf(absl::GetFlag(FLAGS_mix));
  const double seconds = absl::GetFlag(FLAGS_seconds);
  const auto end = std::chrono::steady_clock::now() +
                   std::chrono::duration_cast<std::chrono::nanoseconds>(
                       std::chrono::duration<double>(seconds));
  std::vector<std::unique_ptr<Caller>> callers;
  std::vector<std::thread> threads;
  const int count = absl::GetFlag(FLAGS_callers);
  for (int i = 0; i < count; ++i) {
    callers.push_back(std::make_unique<Caller>(i, mix));
    threads.emplace_back([caller = callers.back().get(), &through, &direct,
                          end] { caller->Run(through, direct, end); });
  }
  for (std::thread& thread : threads)
    thread.join();
  Tally through_total;
  Tally direct_total;
  for (const auto& caller : callers) {
    Add(through_total, caller->through_tally);
    Add(direct_total, caller->direct_tally);
  }
  std::cout << R"({"through":)" << JsonOf(through_total, seconds)
            << R"(,"direct":)" << JsonOf(direct_total, seconds)
            << R"(,"added":)" << AddedLatency(through_total, direct_total)
            << "}\n";
}
