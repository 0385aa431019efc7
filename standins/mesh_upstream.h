// A stand-in for an upstream as the platform starts it beside a node: serves
// requests that name it, tells its state by heartbeats, drains and leaves. It
// is no part of the product.
#ifndef TEASELSPREAD_STANDINS_MESH_UPSTREAM_H_
#define TEASELSPREAD_STANDINS_MESH_UPSTREAM_H_

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <boost/beast/http.hpp>

#include "standins/http_server.h"

namespace standin {

struct MeshUpstreamOptions {
  std::string instance;
  std::string service;
  std::string version = "v1";
  int slots = 4;
  std::chrono::milliseconds work{5};
  std::chrono::milliseconds heartbeat{100};
  // How long it is slow after its start.
  std::chrono::milliseconds warm_up{0};
  // Fourth figure of the load header, in percent; empty for upstreams that send
  // three figures.
  std::string work_percent{};
};

// Longer bodies of requests that it ran are recorded in part.
constexpr std::size_t kMaxRecordedBody = std::size_t{1} << 20U;

// One request that it ran.
struct MeshRun {
  std::string id;
  std::string target;
  // At most kMaxRecordedBody of its body, and the length of the whole.
  std::string body;
  std::size_t body_bytes = 0;
  std::string caller_service;
  std::string deadline;
  std::chrono::steady_clock::time_point arrived;
  // Client account, and credentials, if any arrived.
  std::string account;
  std::string authorization;
  // Names of all headers, in the order in which they arrived.
  std::vector<std::string> header_names;
};

// Thread safe.
class MeshUpstream {
 public:
  explicit MeshUpstream(MeshUpstreamOptions from)
      : options(std::move(from)),
        server("127.0.0.1",
               0,
               [this](const Request& request, Connection& connection) {
                 this->Serve(request, connection);
               }) {}

  ~MeshUpstream() {
    this->stopping = true;
    if (this->beating.joinable())
      this->beating.join();
  }
  MeshUpstream(const MeshUpstream&) = delete;
  MeshUpstream& operator=(const MeshUpstream&) = delete;

  [[nodiscard]] std::uint16_t Port() const { return this->server.Port(); }

  // Sends heartbeats to this port from now on.
  void BeatTo(std::uint16_t admin_port) {
    this->beating = std::thread([this, admin_port] {
      while (!this->stopping) {
        if (!this->silent)
          this->Beat(admin_port);
        std::this_thread::sleep_for(this->options.heartbeat);
      }
    });
  }

  // One heartbeat or leave call now; true when it was acknowledged.
  bool Beat(std::uint16_t admin_port) {
    const std::string state = this->draining ? "draining" : "ready";
    return this->Post(
        admin_port, "heartbeat",
        R"({"address":"127.0.0.1:1","born":)" + std::to_string(this->born) +
            R"(,"info":{"service":")" + this->options.service +
            R"(","version":")" + this->options.version +
            R"(","zone":"z","capacity":)" +
            std::to_string(this->options.slots) + R"(},"status":{"state":")" +
            state + R"(","seq":)" + std::to_string(++this->sequence) +
            R"(,"warmupLeftMs":)" + std::to_string(this->WarmUpLeftMs()) +
            "}}");
  }
  bool Leave(std::uint16_t admin_port) {
    return this->Post(admin_port, "leave",
                      R"({"born":)" + std::to_string(this->born) + "}");
  }

  // As if the process had died: its port refuses connections.
  void Close() { this->server.Close(); }
  // Dies when it has worked on a request for this target for `work`; with a
  // deadline before that it answers 504 then.
  void CrashOn(const std::string& target,
               std::chrono::milliseconds work_before = {}) {
    const std::scoped_lock lock(this->gate);
    this->crash_target = target;
    this->crash_work = work_before;
  }
  // From now on a new process starts this long after each crash.
  void StartAgainAfter(std::chrono::milliseconds pause) {
    this->start_again_after = pause;
  }
  // Never answers requests for this target.
  void HangOn(const std::string& target) {
    const std::scoped_lock lock(this->gate);
    this->hang_target = target;
  }
  [[nodiscard]] bool Crashed() const { return this->crashed; }
  [[nodiscard]] int CountCrashes() const { return this->crashes; }
  void Drain() { this->draining = true; }
  void BeSilent() { this->silent = true; }
  // Runs what comes and closes the connection without an answer.
  void LoseAnswers(bool lose) { this->losing = lose; }
  // How long each request runs from now on.
  void SetWork(std::chrono::milliseconds work) { this->work = work; }
  void SignAnswers(bool sign) { this->signing = sign; }
  // As after a start: slow for this long from now on.
  void BecomeSlow(std::chrono::milliseconds for_ms) {
    this->slow_until = std::chrono::steady_clock::now() + for_ms;
  }
  // Successes bear this encoding, as if something on the way had packed them.
  void EncodeAnswers(const std::string& encoding) {
    const std::scoped_lock lock(this->gate);
    this->content_encoding = encoding;
  }
  // Refusals as not run ask callers to come back after this many seconds.
  void AskBackAfter(const std::string& seconds) {
    const std::scoped_lock lock(this->gate);
    this->retry_after = seconds;
  }
  // Answers 500.
  void Fail(bool fail) { this->failing = fail; }
  // Names this limit in all answers from now on, as text; "" for none.
  void NameLimit(const std::string& requests_per_second) {
    const std::scoped_lock lock(this->gate);
    this->named_limit = requests_per_second;
  }
  // Says in all answers from now on that it leaves; heartbeats do not, and
  // health checks only if `in_health`.
  void SayLeaving(bool in_health = true) {
    this->says_leaving = true;
    this->health_says_leaving = in_health;
  }
  // Status of health checks from now on, whatever the heartbeats say.
  void AnswerHealthWith(unsigned status) { this->health_status = status; }
  // Reports this duration of work, in percent of the usual, in all responses
  // from now on; "" for three figures in the load header of health checks and
  // none in others. The work itself does not change.
  void ReportWork(const std::string& percent) {
    const std::scoped_lock lock(this->gate);
    this->work_percent = percent;
  }
  // Responses to requests have a body of this many bytes from now on; 0 for
  // the name of the process.
  void SetResponseBytes(std::size_t bytes) { this->response_bytes = bytes; }
  // Refuses all requests as not run.
  void Shed(bool shed) { this->shedding = shed; }

  [[nodiscard]] std::vector<MeshRun> Runs() {
    const std::scoped_lock lock(this->gate);
    return this->runs;
  }
  [[nodiscard]] int CountRuns(const std::string& id) {
    const std::scoped_lock lock(this->gate);
    int count = 0;
    for (const MeshRun& run : this->runs)
      count += run.id == id ? 1 : 0;
    return count;
  }
  // Most requests that ran at a time.
  [[nodiscard]] int MostAtOnce() const { return this->most; }

 private:
  void Serve(const Request& request, Connection& connection) {
    if (PathOf(request) == "/health")
      return connection.Send(this->Health());
    const std::string id = HeaderOf(request, "X-Request-Id");
    const std::string wanted = HeaderOf(request, "X-Expected-Instance");
    if (!wanted.empty() && wanted != this->Instance())
      return connection.Send(this->NotRun(421));
    if (id.empty())
      return connection.Send(this->NotRun(400));
    this->Record(request, id);
    if (this->shedding)
      return connection.Send(this->NotRun(503));
    this->most = std::max(this->most.load(), ++this->running);
    if (this->IsCrash(request)) {
      this->CrashOrTimeOut(request, connection);
      --this->running;
      return;
    }
    if (this->Hangs(request)) {
      connection.WaitForPeer();
      --this->running;
      return;
    }
    std::this_thread::sleep_for(this->work.load());
    --this->running;
    if (this->losing) {
      connection.open = false;
      return connection.Break();
    }
    const std::size_t bytes = this->response_bytes;
    Response response =
        TextAnswer(this->failing ? 500 : 200,
                   bytes == 0 ? this->Instance() : std::string(bytes, 'r'));
    response.set("X-Request-Id", id);
    if (this->signing)
      response.set("X-Response-Signature", "signed-" + id);
    this->SayNeeds(response);
    connection.Send(std::move(response));
  }

  void Record(const Request& request, const std::string& id) {
    std::vector<std::string> header_names;
    for (const auto& field : request) {
      const auto name = field.name_string();
      header_names.emplace_back(name.data(), name.size());
    }
    const std::scoped_lock lock(this->gate);
    this->runs.push_back(
        {id, std::string(request.target().data(), request.target().size()),
         request.body().substr(0, kMaxRecordedBody), request.body().size(),
         HeaderOf(request, "X-Caller-Service"),
         HeaderOf(request, "X-Deadline-Ms"), std::chrono::steady_clock::now(),
         HeaderOf(request, "X-Tenant"), HeaderOf(request, "Authorization"),
         std::move(header_names)});
  }

  void SayNeeds(Response& response) {
    const std::string load = this->LoadText();
    const std::scoped_lock lock(this->gate);
    if (!this->work_percent.empty())
      response.set("X-Server-Load", load);
    if (!this->named_limit.empty())
      response.set("Server-Limit", this->named_limit);
    if (this->says_leaving)
      response.set("Server-Leaving", "1");
    const bool success = response.result_int() < 300;
    if (success && !this->content_encoding.empty())
      response.set("Content-Encoding", this->content_encoding);
  }

  bool IsCrash(const Request& request) {
    const std::scoped_lock lock(this->gate);
    const std::string target(request.target().data(), request.target().size());
    return !this->crash_target.empty() && target == this->crash_target;
  }

  void CrashOrTimeOut(const Request& request, Connection& connection) {
    const std::string header = HeaderOf(request, "X-Deadline-Ms");
    const std::chrono::milliseconds left(header.empty() ? 0
                                                        : std::stoi(header));
    std::chrono::milliseconds needed{};
    {
      const std::scoped_lock lock(this->gate);
      needed = this->crash_work;
    }
    std::this_thread::sleep_for(std::min(left, needed));
    if (left >= needed)
      return this->Crash(connection);
    Response response = TextAnswer(504, "deadline");
    response.set("X-Request-Id", HeaderOf(request, "X-Request-Id"));
    response.set("X-Response-Signature", "signed");
    this->SayNeeds(response);
    connection.Send(std::move(response));
  }

  // As the kernel may do it, the connection of the request that crashes it
  // breaks last.
  void Crash(Connection& connection) {
    if (this->crashed.exchange(true))
      return;
    this->silent = true;
    ++this->crashes;
    this->server.Close(&connection);
    const auto pause = this->start_again_after.load();
    if (pause == std::chrono::milliseconds{})
      return;
    // Detached: an upstream that crashes is never freed (see EdgeVm).
    std::thread([this, pause] {
      std::this_thread::sleep_for(pause);
      ++this->born;
      this->sequence = 0;
      this->server.Open();
      this->crashed = false;
      this->silent = false;
    }).detach();
  }

  // Each start has an identity of its own.
  [[nodiscard]] std::string Instance() const {
    const int starts = this->born - kFirstBorn;
    return this->options.instance +
           (starts == 0 ? "" : "-" + std::to_string(starts));
  }

  bool Hangs(const Request& request) {
    const std::scoped_lock lock(this->gate);
    const std::string target(request.target().data(), request.target().size());
    return !this->hang_target.empty() && target == this->hang_target;
  }

  Response Health() {
    const bool leaves = this->draining || this->health_says_leaving;
    Response response =
        TextAnswer(leaves ? 503 : this->health_status.load(), "");
    if (!this->says_leaving || this->health_says_leaving)
      this->SayNeeds(response);
    response.set("X-Instance-Id", this->Instance());
    response.set("X-Warmup-Ms", std::to_string(this->WarmUpLeftMs()));
    response.set("X-Server-Load", this->LoadText());
    return response;
  }

  std::string LoadText() {
    const std::scoped_lock lock(this->gate);
    return std::to_string(this->running) + ",0," +
           std::to_string(this->options.slots) +
           (this->work_percent.empty() ? "" : "," + this->work_percent);
  }

  [[nodiscard]] std::int64_t WarmUpLeftMs() const {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        this->slow_until.load() - std::chrono::steady_clock::now());
    return std::max<std::int64_t>(left.count(), 0);
  }

  Response NotRun(unsigned status) {
    Response response = TextAnswer(status, "");
    response.set("X-Not-Executed", "1");
    {
      const std::scoped_lock lock(this->gate);
      if (!this->retry_after.empty())
        response.set("Retry-After", this->retry_after);
    }
    response.set("X-Instance-Id", this->Instance());
    this->SayNeeds(response);
    return response;
  }

  bool Post(std::uint16_t port,
            const std::string& call,
            const std::string& body) {
    asio::io_context context;
    Tcp::socket socket(context);
    boost::system::error_code error;
    socket.connect({asio::ip::make_address("127.0.0.1"), port}, error);
    if (error)
      return false;
    Request request{http::verb::post,
                    "/instances/" + this->Instance() + "/" + call, 11};
    request.set(http::field::host, "admin");
    request.body() = body;
    request.prepare_payload();
    http::write(socket, request, error);
    boost::beast::flat_buffer buffer;
    Response response;
    if (!error)
      http::read(socket, buffer, response, error);
    return !error && response.result() == http::status::ok;
  }

  MeshUpstreamOptions options;
  std::atomic<std::chrono::steady_clock::time_point> slow_until{
      std::chrono::steady_clock::now() + this->options.warm_up};
  std::mutex gate;
  std::vector<MeshRun> runs;
  std::atomic<int> running{0};
  std::atomic<int> most{0};
  std::atomic<std::uint64_t> sequence{0};
  std::atomic<std::chrono::milliseconds> work{this->options.work};
  static constexpr int kFirstBorn = 5;
  std::atomic<int> born{kFirstBorn};
  std::atomic<int> crashes{0};
  std::atomic<std::chrono::milliseconds> start_again_after{
      std::chrono::milliseconds{}};
  std::string crash_target;
  std::chrono::milliseconds crash_work{};
  std::string hang_target;
  std::string named_limit;
  std::string work_percent{this->options.work_percent};
  std::string content_encoding;
  std::string retry_after;
  std::atomic<bool> says_leaving{false};
  std::atomic<bool> health_says_leaving{false};
  std::atomic<unsigned> health_status{200};
  std::atomic<std::size_t> response_bytes{0};
  std::atomic<bool> shedding{false};
  std::atomic<bool> crashed{false};
  std::atomic<bool> draining{false};
  std::atomic<bool> silent{false};
  std::atomic<bool> losing{false};
  std::atomic<bool> failing{false};
  std::atomic<bool> signing{true};
  std::atomic<bool> stopping{false};
  Server server;
  std::thread beating;
};

}  // namespace standin

#endif  // TEASELSPREAD_STANDINS_MESH_UPSTREAM_H_
