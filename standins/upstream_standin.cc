// Stand-in for one upstream; docs/standins.md has its protocol and switches.

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cmath>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <iostream>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <unistd.h>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <yaml-cpp/yaml.h>

#include "http_post.h"
#include "http_server.h"
#include "upstream_slots.h"
#include "upstream_switches.h"

ABSL_FLAG(std::string, host, "127.0.0.1", "address to listen on");
ABSL_FLAG(std::uint16_t, port, 0, "port; 0 takes any free one");
ABSL_FLAG(std::string, service, "registry-desk", "service that it serves");
ABSL_FLAG(std::string, version, "v1", "version of the service");
ABSL_FLAG(std::uint64_t, slots, 15, "requests that run at a time");
ABSL_FLAG(int, connections, 130, "connections that it says it takes");
ABSL_FLAG(std::string, node, "", "host:port that it announces itself to");
ABSL_FLAG(int, renew_ms, 1000, "time between announcements");
ABSL_FLAG(std::string, recorder, "", "host:port that gets each execution");
ABSL_FLAG(std::string, switches, "{}", "YAML map of switches, as /control");
ABSL_FLAG(bool, crash_on_start, false, "exit at once with code 3");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of work times and faults");

namespace {

using namespace std::chrono_literals;
using standin::Connection;
using standin::Request;
using standin::Response;
using standin::TextAnswer;

constexpr int kCrashCode = 3;
constexpr double kCutShare = 0.5;
constexpr auto kLongest = 24h;
constexpr auto kLongestAnswer = 5s;

// What one request needs from its headers.
struct Call {
  std::string id;
  std::string key;
  std::string path;
  standin::Clock::time_point limit;
};

std::chrono::microseconds Milliseconds(double ms) {
  return std::chrono::microseconds(static_cast<std::int64_t>(ms * 1000));
}

Call CallOf(const Request& request) {
  Call call{standin::HeaderOf(request, "X-Request-Id"),
            standin::HeaderOf(request, "Idempotency-Key"),
            standin::PathOf(request), standin::Clock::now() + kLongest};
  const std::string deadline = standin::HeaderOf(request, "X-Deadline-Ms");
  if (!deadline.empty()) {
    call.limit = standin::Clock::now() +
                 Milliseconds(std::strtod(deadline.c_str(), nullptr));
  }
  return call;
}

// Bytes that tell answers of different requests apart at every place.
std::string Pattern(const std::string& id, std::size_t bytes) {
  std::string text;
  text.reserve(bytes + id.size() + 1);
  while (text.size() < bytes)
    text.append(id).push_back('.');
  text.resize(bytes);
  return text;
}

class Upstream {
 public:
  Upstream() : slots(absl::GetFlag(FLAGS_slots)) {
    standin::ApplySwitches(YAML::Load(absl::GetFlag(FLAGS_switches)),
                           this->switches);
  }

  void Handle(const Request& request, Connection& connection) {
    const std::string path = standin::PathOf(request);
    if (path == "/control")
      return this->Control(request, connection);
    if (path == "/health")
      return this->Health(connection);
    if (path == "/load")
      return connection.Send(TextAnswer(200, this->Lagged().load));
    if (path == "/cancel") {
      this->slots.Cancel(request.body().empty()
                             ? standin::HeaderOf(request, "X-Request-Id")
                             : request.body());
      return connection.Send(TextAnswer(200, "ok\n"));
    }
    if (path == "/drain") {
      this->Drain();
      return connection.Send(TextAnswer(200, "ok\n"));
    }
    if (path == "/executions")
      return connection.Send(TextAnswer(200, this->Executions()));
    this->Serve(request, connection);
  }

  void SetServer(standin::Server& main_server) { this->server = &main_server; }

  // Announces itself until the process ends.
  void AnnounceForever() {
    while (true) {
      const std::string node = absl::GetFlag(FLAGS_node);
      if (!node.empty() && this->Copy().mute == 0)
        standin::Post(node, "/announce", this->Announcement());
      std::unique_lock lock(this->gate);
      this->state_changed.wait_for(
          lock, std::chrono::milliseconds(absl::GetFlag(FLAGS_renew_ms)));
    }
  }

  // Keeps the states that lagging health and load answers show.
  void SampleForever() {
    while (true) {
      const std::string state = this->State();
      const std::string load = absl::StrCat(this->slots.Load(), "\n");
      {
        const std::scoped_lock lock(this->gate);
        this->samples.push_back({standin::Clock::now(), state, load});
        while (standin::Clock::now() - this->samples.front().when > 60s)
          this->samples.pop_front();
      }
      std::this_thread::sleep_for(20ms);
    }
  }

  // Takes no new work; the node is told at once.
  void Drain() {
    this->leaving = true;
    this->state_changed.notify_all();
  }

  // Waits for the running work and for its answers to be written; an answer
  // on a silent connection never is, so that wait is bounded.
  void FinishRunning() {
    this->slots.WaitIdle();
    const auto give_up = standin::Clock::now() + kLongestAnswer;
    while (this->answering > 0 && standin::Clock::now() < give_up)
      std::this_thread::sleep_for(1ms);
  }

 private:
  struct Sample {
    standin::Clock::time_point when;
    std::string state;
    std::string load;
  };

  standin::UpstreamSwitches Copy() {
    const std::scoped_lock lock(this->gate);
    return this->switches;
  }

  std::string State() {
    if (this->leaving)
      return "leaving";
    const auto age = standin::Clock::now() - this->started;
    return age < Milliseconds(this->Copy().cold_start_ms) ? "warming" : "ready";
  }

  std::string Announcement() {
    return absl::StrCat(
        R"({"service":")", absl::GetFlag(FLAGS_service), R"(","version":")",
        absl::GetFlag(FLAGS_version), R"(","state":")", this->State(),
        R"(","slots":)", absl::GetFlag(FLAGS_slots), R"(,"connections":)",
        absl::GetFlag(FLAGS_connections), R"(,"address":")",
        absl::GetFlag(FLAGS_host), ":", this->server->Port(), R"("})");
  }

  Sample Lagged() {
    const auto lag = Milliseconds(this->Copy().lag_ms);
    const std::scoped_lock lock(this->gate);
    const auto when = standin::Clock::now() - lag;
    Sample found{when, "warming", "0\n"};
    for (const Sample& sample : this->samples) {
      if (sample.when <= when)
        found = sample;
    }
    return found;
  }

  void Health(Connection& connection) {
    const std::string state = this->Lagged().state;
    const bool well = state == "ready" || this->Copy().health_lies != 0;
    connection.Send(TextAnswer(well ? 200 : 503, state + "\n"));
  }

  void Control(const Request& request, Connection& connection) {
    try {
      const YAML::Node body = YAML::Load(request.body());
      const std::scoped_lock lock(this->gate);
      standin::ApplySwitches(body, this->switches);
    } catch (const YAML::Exception& error) {
      return connection.Send(TextAnswer(400, error.what()));
    }
    connection.Send(TextAnswer(200, "ok\n"));
    const YAML::Node body = YAML::Load(request.body());
    if (body["silence"])
      this->server->SilenceOpenConnections();
    if (body["crash"])
      std::_Exit(kCrashCode);
    this->state_changed.notify_all();
  }

  static Response Refusal(const std::string& reason) {
    Response response = TextAnswer(503, reason + "\n");
    response.set("Retry-After", "1");
    response.set("X-Not-Run", "1");
    return response;
  }

  void Finish(Response response, const Call& call, Connection& connection) {
    response.set("X-Load", absl::StrCat(this->slots.Load()));
    if (!call.id.empty())
      response.set("X-Request-Id", call.id);
    connection.Send(std::move(response));
  }

  void Serve(const Request& request, Connection& connection) {
    const Call call = CallOf(request);
    const standin::UpstreamSwitches now = this->Copy();
    if (this->leaving)
      return this->Finish(Refusal("leaving"), call, connection);
    if (call.limit <= standin::Clock::now())
      return this->Finish(Refusal("too late"), call, connection);
    if (!this->slots.Enter(static_cast<std::size_t>(now.queue), call.limit))
      return this->Finish(Refusal("no slot"), call, connection);
    this->Record(call);
    if (!standin::HeaderOf(request, "X-Crash").empty())
      std::_Exit(kCrashCode);
    const bool bad = this->BadNow(now, call.path);
    const bool hang = bad && this->Chance(now.hang);
    const auto done =
        standin::Clock::now() + (hang ? kLongest : this->WorkTime(now, bad));
    const standin::WorkEnd end = this->slots.Work(call.id, done, call.limit);
    ++this->answering;
    this->slots.Exit();
    this->Answer(request, call, end, bad, connection);
    --this->answering;
  }

  void Answer(const Request& request,
              const Call& call,
              standin::WorkEnd end,
              bool bad,
              Connection& connection) {
    const standin::UpstreamSwitches now = this->Copy();
    if (end == standin::WorkEnd::kCancelled)
      return this->Finish(TextAnswer(499, "cancelled\n"), call, connection);
    if (end == standin::WorkEnd::kDeadline)
      return this->Finish(TextAnswer(504, "deadline\n"), call, connection);
    if (bad && this->Chance(now.fail_ratio))
      return this->Finish(TextAnswer(500, "failed\n"), call, connection);
    Call echoed = call;
    if (bad && this->Chance(now.wrong_id))
      echoed.id = "someone-else";
    Response response = TextAnswer(200, BodyFor(request, echoed));
    response.set("X-Service", absl::GetFlag(FLAGS_service));
    response.set("X-Version", absl::GetFlag(FLAGS_version));
    response.set("X-Body-Bytes", std::to_string(request.body().size()));
    response.set("X-Request-Id", echoed.id);
    if (bad && this->Chance(now.truncate))
      return connection.SendCut(std::move(response), kCutShare);
    if (bad && this->Chance(now.cut))
      return connection.SendCut(std::move(response), 0);
    this->Finish(std::move(response), echoed, connection);
  }

  static std::string BodyFor(const Request& request, const Call& call) {
    if (standin::QueryNumber(request, "echo", 0) != 0)
      return request.body();
    const auto bytes = standin::QueryNumber(request, "bytes", 0);
    if (bytes > 0)
      return Pattern(call.id, static_cast<std::size_t>(bytes));
    return absl::StrCat(absl::GetFlag(FLAGS_service), " ",
                        absl::GetFlag(FLAGS_version), " ", call.id, "\n");
  }

  // Whether the switched-on faults apply to this request.
  bool BadNow(const standin::UpstreamSwitches& now, const std::string& path) {
    const std::chrono::duration<double> age =
        standin::Clock::now() - this->started;
    return absl::StartsWith(path, now.route) && age.count() >= now.after_s &&
           this->slots.Load() >= now.min_load;
  }

  bool Chance(double probability) {
    const std::scoped_lock lock(this->gate);
    return std::uniform_real_distribution<>(0, 1)(this->rng) < probability;
  }

  std::chrono::microseconds WorkTime(const standin::UpstreamSwitches& now,
                                     bool bad) {
    const std::chrono::duration<double, std::milli> age =
        standin::Clock::now() - this->started;
    double work = now.work_ms * (bad ? now.slow_factor : 1);
    if (age.count() < now.cold_start_ms) {
      const double left = 1 - age.count() / now.cold_start_ms;
      work *= 1 + (now.cold_factor - 1) * left;
    }
    const std::scoped_lock lock(this->gate);
    if (now.work_sigma > 0)
      work *= std::lognormal_distribution<>(0, now.work_sigma)(this->rng);
    return Milliseconds(work);
  }

  // The execution counts from here on: the work can't be undone.
  void Record(const Call& call) {
    if (call.key.empty())
      return;
    const std::string entry = absl::StrCat(
        R"({"key":")", call.key, R"(","request":")", call.id, R"(","path":")",
        call.path, R"(","service":")", absl::GetFlag(FLAGS_service),
        R"(","version":")", absl::GetFlag(FLAGS_version), R"(","pid":)",
        ::getpid(), "}");
    {
      const std::scoped_lock lock(this->gate);
      this->executions.push_back(entry);
    }
    if (const std::string to = absl::GetFlag(FLAGS_recorder); !to.empty())
      standin::Post(to, "/record", entry);
  }

  std::string Executions() {
    const std::scoped_lock lock(this->gate);
    return "[" + absl::StrJoin(this->executions, ",\n") + "]\n";
  }

  standin::Slots slots;
  standin::Clock::time_point started = standin::Clock::now();
  std::atomic<bool> leaving{false};
  std::atomic<int> answering{0};
  std::mutex gate;
  std::condition_variable state_changed;
  standin::UpstreamSwitches switches;
  std::mt19937_64 rng{absl::GetFlag(FLAGS_seed)};
  std::deque<Sample> samples;
  std::vector<std::string> executions;
  standin::Server* server = nullptr;
};

}  // namespace

int main(int argc, char** argv) {
  const sigset_t signals = standin::BlockStopSignals();
  absl::ParseCommandLine(argc, argv);
  if (absl::GetFlag(FLAGS_crash_on_start))
    return kCrashCode;
  Upstream upstream;
  standin::Server server(
      absl::GetFlag(FLAGS_host), absl::GetFlag(FLAGS_port),
      [&upstream](const Request& request, Connection& connection) {
        upstream.Handle(request, connection);
      });
  upstream.SetServer(server);
  std::cout << "listening " << server.Port() << std::endl;
  std::thread([&upstream] { upstream.SampleForever(); }).detach();
  std::thread([&upstream] { upstream.AnnounceForever(); }).detach();
  standin::WaitForStop(signals);
  upstream.Drain();
  upstream.FinishRunning();
  standin::Leave(0);
}
