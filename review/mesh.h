// Stand-ins for the scripts of the second review: a platform's store, targets,
// nodes (real processes, started with the command of the deploy file) and
// clients, all on loopback. Nothing here is part of the product.
#ifndef TEASELSPREAD_REVIEW_MESH_H_
#define TEASELSPREAD_REVIEW_MESH_H_

#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <iostream>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "standins/http_server.h"
#include "standins/store_service.h"

namespace review {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using standin::Clock;
using standin::Request;
using standin::Response;
using std::chrono::milliseconds;

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

// Whether the disruption is part of this run.
inline bool WithTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

// What was sent, answered and run, with the time since the start. Thread safe.
class Record {
 public:
  explicit Record(const std::string& path) : file(path, std::ios::trunc) {}

  void Add(const std::string& line) {
    const auto passed =
        std::chrono::duration_cast<milliseconds>(Clock::now() - this->started);
    const std::scoped_lock lock(this->gate);
    this->file << passed.count() << " ms  " << line << std::endl;
  }

 private:
  std::mutex gate;
  std::ofstream file;
  const Clock::time_point started = Clock::now();
};

// A port of the range that is not given to outgoing connections. Not thread
// safe.
inline std::uint16_t FreePort() {
  constexpr int kFirst = 10000;
  constexpr int kPorts = 20000;
  static int next = ::getpid() * 211 % kPorts;
  while (true) {
    const auto port = static_cast<std::uint16_t>(kFirst + next++ % kPorts);
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const int bound =
        ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address);
    ::close(fd);
    if (bound == 0)
      return port;
  }
}

inline bool WaitFor(const std::function<bool()>& condition,
                    milliseconds limit) {
  const auto end = Clock::now() + limit;
  while (!condition()) {
    if (Clock::now() > end)
      return false;
    std::this_thread::sleep_for(milliseconds(10));
  }
  return true;
}

// A blocking connection with a time limit on each read and write.
class Line {
 public:
  explicit Line(std::uint16_t port, milliseconds limit) {
    boost::system::error_code error;
    this->socket.connect({asio::ip::address_v4::loopback(), port}, error);
    this->open = !error;
    if (error)
      return;
    boost::system::error_code ignored;
    this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    timeval span{};
    span.tv_sec = limit.count() / 1000;
    span.tv_usec = limit.count() % 1000 * 1000;
    ::setsockopt(this->socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &span,
                 sizeof span);
    ::setsockopt(this->socket.native_handle(), SOL_SOCKET, SO_SNDTIMEO, &span,
                 sizeof span);
  }

  [[nodiscard]] bool IsOpen() const { return this->open; }

  // Plain system calls, since those of the library ignore the time limits.
  bool Send(const std::string& bytes) {
    std::size_t at = 0;
    while (this->open && at < bytes.size()) {
      const ssize_t sent =
          ::send(this->socket.native_handle(), bytes.data() + at,
                 bytes.size() - at, MSG_NOSIGNAL);
      if (sent <= 0)
        this->open = false;
      else
        at += static_cast<std::size_t>(sent);
    }
    return this->open;
  }

  // False if no whole response arrives.
  bool Receive(Response& response) {
    http::response_parser<http::string_body> parser;
    parser.eager(true);
    parser.body_limit(standin::kMaxBodyBytes);
    std::string bytes;
    char part[16384];
    while (this->open && !parser.is_done()) {
      boost::system::error_code error;
      if (!this->left.empty()) {
        const std::size_t used = parser.put(asio::buffer(this->left), error);
        this->left.erase(0, used);
        if (error && error != http::error::need_more)
          return false;
        if (parser.is_done() || used > 0)
          continue;
      }
      const ssize_t got =
          ::recv(this->socket.native_handle(), part, sizeof part, 0);
      if (got <= 0) {
        this->open = false;
        if (!parser.got_some())
          return false;
        parser.put_eof(error);
        if (error || got < 0 || !parser.is_done())
          return false;
        break;
      }
      this->left.append(part, static_cast<std::size_t>(got));
    }
    if (!parser.is_done())
      return false;
    response = parser.release();
    return true;
  }

 private:
  asio::io_context context;
  asio::ip::tcp::socket socket{context};
  bool open = false;
  std::string left;
};

// The status of one call on a connection of its own; 0 without a response.
inline int Call(std::uint16_t port,
                const std::string& text,
                Response* whole = nullptr,
                milliseconds limit = milliseconds(1000)) {
  Line line(port, limit);
  Response response;
  if (!line.Send(text) || !line.Receive(response))
    return 0;
  const int status = static_cast<int>(response.result_int());
  if (whole != nullptr)
    *whole = std::move(response);
  return status;
}

// A start of a target.
struct Lifetime {
  std::string instance;
  std::string service;
  std::string version = "v1";
  int capacity = 12;
  milliseconds work{450};
};

// One request that a target began to work on.
struct Run {
  std::string id;
  std::string target;
  std::string instance;
  std::string service;
  Clock::time_point at;
};

// The address of one target. Its lifetimes follow each other there.
//
// While the address is dark, no packet is answered: requests that arrived get
// no response, and new connections are not accepted, so that they hang.
class Target {
 public:
  Target(Record& to, std::uint16_t on) : record(to), port(on) {
    (void)::signal(SIGPIPE, SIG_IGN);
    this->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    ::setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    sockaddr_in address = this->Address();
    if (::bind(this->listener, reinterpret_cast<sockaddr*>(&address),
               sizeof address) != 0 ||
        ::listen(this->listener, kBacklog) != 0)
      std::_Exit(kCouldNotRun);
    std::thread([this] { this->Accept(); }).detach();
  }
  Target(const Target&) = delete;
  Target& operator=(const Target&) = delete;

  [[nodiscard]] std::uint16_t Port() const { return this->port; }

  // A new process has the address from now on.
  void Start(const Lifetime& to) {
    {
      const std::scoped_lock lock(this->gate);
      this->life = to;
      this->born = std::chrono::duration_cast<milliseconds>(
                       std::chrono::system_clock::now().time_since_epoch())
                       .count();
      this->sequence = 0;
      this->draining = false;
      ++this->epoch;
      this->running = 0;
      this->waiting = 0;
    }
    this->record.Add("target " + to.instance + " of " + to.service +
                     " starts at port " + std::to_string(this->port));
    this->SetDark(false);
  }

  // The process is gone and its machine answers nothing.
  void FallDark() {
    {
      const std::scoped_lock lock(this->gate);
      ++this->epoch;
      this->record.Add("target " + this->life.instance + " falls silent");
    }
    this->SetDark(true);
  }

  // The process ends: its connections break and its port refuses others.
  void Exit() {
    const std::scoped_lock lock(this->gate);
    ++this->epoch;
    this->mute = true;
    this->record.Add("target " + this->life.instance + " exits with " +
                     std::to_string(this->running) + " requests running");
    ::shutdown(this->listener, SHUT_RDWR);
    for (standin::Connection* connection : this->connections)
      connection->Break();
  }

  // Check-ins to this node, as often as on the platform.
  void BeatTo(std::uint16_t admin, milliseconds interval = milliseconds(870)) {
    std::thread([this, admin, interval] {
      while (true) {
        if (!this->dark && !this->mute)
          (void)this->Beat(admin);
        // A new lifetime reports itself at once.
        const int before = this->epoch;
        const auto until = Clock::now() + interval;
        while (Clock::now() < until && (before == this->epoch || this->dark))
          std::this_thread::sleep_for(milliseconds(10));
      }
    }).detach();
  }

  [[nodiscard]] std::string BeatText() {
    const std::scoped_lock lock(this->gate);
    const std::string body =
        R"({"address":"127.0.0.1:)" + std::to_string(this->port) +
        R"(","born":)" + std::to_string(this->born) +
        R"(,"info":{"service":")" + this->life.service + R"(","version":")" +
        this->life.version + R"(","zone":"a","capacity":)" +
        std::to_string(this->life.capacity) + R"(},"status":{"state":")" +
        (this->draining ? "draining" : "ready") + R"(","seq":)" +
        std::to_string(++this->sequence) + R"(,"warmupLeftMs":0}})";
    return this->PostText("heartbeat", body);
  }

  int Beat(std::uint16_t admin) { return Call(admin, this->BeatText()); }

  int Leave(std::uint16_t admin) {
    std::string text;
    {
      const std::scoped_lock lock(this->gate);
      this->draining = true;
      text = this->PostText("leave",
                            R"({"born":)" + std::to_string(this->born) + "}");
    }
    return Call(admin, text);
  }

  // No check-ins from now on.
  void StopBeats() { this->mute = true; }

  [[nodiscard]] std::vector<Run> Runs() {
    const std::scoped_lock lock(this->gate);
    return this->runs;
  }

  [[nodiscard]] int Running() {
    const std::scoped_lock lock(this->gate);
    return this->running;
  }

 private:
  static constexpr int kBacklog = 128;
  static constexpr int kFillers = 8;
  static constexpr int kQueue = 48;

  [[nodiscard]] sockaddr_in Address() const {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(this->port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
  }

  // Precondition: `gate` is held.
  [[nodiscard]] std::string PostText(const std::string& call,
                                     const std::string& body) const {
    return "POST /instances/" + this->life.instance + "/" + call +
           " HTTP/1.1\r\nHost: admin\r\nContent-Type: application/json\r\n"
           "Content-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
  }

  // A listener whose queue is full drops the packets that open connections.
  void SetDark(bool now_dark) {
    const bool was_dark = this->dark.exchange(now_dark);
    if (!now_dark) {
      if (!was_dark)
        return;
      ::listen(this->listener, kBacklog);
      for (const int filler : this->fillers)
        ::close(filler);
      this->fillers.clear();
      return;
    }
    std::this_thread::sleep_for(milliseconds(5));
    ::listen(this->listener, 0);
    for (int i = 0; i < kFillers; ++i) {
      const int filler =
          ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
      sockaddr_in address = this->Address();
      ::connect(filler, reinterpret_cast<sockaddr*>(&address), sizeof address);
      this->fillers.push_back(filler);
    }
  }

  void Accept() {
    while (true) {
      pollfd entry{this->listener, POLLIN, 0};
      if (this->dark || ::poll(&entry, 1, 2) <= 0 || this->dark) {
        std::this_thread::sleep_for(milliseconds(1));
        continue;
      }
      const int fd = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0)
        continue;
      std::thread([this, fd] {
        try {
          this->Serve(fd);
        } catch (const boost::system::system_error&) {
          // The peer reset the connection before it was served.
        }
      }).detach();
    }
  }

  void Serve(int fd) {
    asio::io_context context;
    auto connection = std::make_unique<standin::Connection>(
        asio::ip::tcp::socket(context, asio::ip::tcp::v4(), fd));
    const int began = this->epoch;
    {
      const std::scoped_lock lock(this->gate);
      this->connections.push_back(connection.get());
    }
    this->ServeRequests(*connection, began);
    const std::scoped_lock lock(this->gate);
    std::erase(this->connections, connection.get());
  }

  void ServeRequests(standin::Connection& connection, int began) {
    while (connection.open) {
      http::request_parser<http::string_body> parser;
      parser.body_limit(standin::kMaxBodyBytes);
      boost::system::error_code error;
      http::read(connection.socket, connection.buffer, parser, error);
      if (error)
        return;
      if (this->dark || began != this->epoch)
        return connection.WaitForPeer();
      this->Answer(parser.get(), connection, began);
    }
  }

  void Answer(const Request& request,
              standin::Connection& connection,
              int began) {
    Lifetime now;
    {
      const std::scoped_lock lock(this->gate);
      now = this->life;
    }
    if (standin::PathOf(request) == "/health") {
      Response response = standin::TextAnswer(this->draining ? 503 : 200, "");
      response.set("X-Instance-Id", now.instance);
      response.set("X-Server-Load", "0,0," + std::to_string(now.capacity));
      return connection.Send(std::move(response));
    }
    const std::string wanted =
        standin::HeaderOf(request, "X-Expected-Instance");
    if (!wanted.empty() && wanted != now.instance) {
      Response response = standin::TextAnswer(421, "");
      response.set("X-Not-Executed", "1");
      response.set("X-Instance-Id", now.instance);
      return connection.Send(std::move(response));
    }
    if (!this->TakeSlot(now, began)) {
      Response response = standin::TextAnswer(503, "");
      response.set("X-Not-Executed", "1");
      return connection.Send(std::move(response));
    }
    this->RunRequest(request, now);
    std::this_thread::sleep_for(now.work);
    if (began != this->epoch)
      return connection.WaitForPeer();
    {
      const std::scoped_lock lock(this->gate);
      --this->running;
    }
    const std::string id = standin::HeaderOf(request, "X-Request-Id");
    Response response =
        standin::TextAnswer(200, "from " + now.instance + " of " + now.service);
    response.set("X-Request-Id", id);
    response.set("X-Response-Signature", now.instance + "." + id);
    connection.Send(std::move(response));
  }

  bool TakeSlot(const Lifetime& now, int began) {
    {
      const std::scoped_lock lock(this->gate);
      if (this->running >= now.capacity && this->waiting >= kQueue)
        return false;
      ++this->waiting;
    }
    while (began == this->epoch) {
      {
        const std::scoped_lock lock(this->gate);
        if (this->running < now.capacity) {
          --this->waiting;
          ++this->running;
          return true;
        }
      }
      std::this_thread::sleep_for(milliseconds(1));
    }
    return true;
  }

  void RunRequest(const Request& request, const Lifetime& now) {
    Run run;
    run.id = standin::HeaderOf(request, "X-Request-Id");
    run.target = std::string(request.target().data(), request.target().size());
    run.instance = now.instance;
    run.service = now.service;
    run.at = Clock::now();
    this->record.Add("run " + run.id + " " + run.target + " at " +
                     run.instance + " of " + run.service +
                     ", expected instance " +
                     standin::HeaderOf(request, "X-Expected-Instance"));
    const std::scoped_lock lock(this->gate);
    this->runs.push_back(std::move(run));
  }

  Record& record;
  std::uint16_t port;
  int listener = -1;
  std::mutex gate;
  Lifetime life;
  std::int64_t born = 0;
  std::uint64_t sequence = 0;
  int running = 0;
  int waiting = 0;
  std::vector<Run> runs;
  std::vector<standin::Connection*> connections;
  std::vector<int> fillers;
  // Counts starts and ends, so that connections know their process is gone.
  std::atomic<int> epoch{0};
  std::atomic<bool> dark{false};
  std::atomic<bool> mute{false};
  std::atomic<bool> draining{false};
};

// A node: the program of the deploy file with settings of its own.
class Node {
 public:
  Node(Record& to,
       const std::string& vm_name,
       const std::string& data_center,
       const std::string& service,
       std::uint16_t upstream,
       std::uint16_t store)
      : record(to),
        name(vm_name),
        zone(data_center),
        upstream_port(upstream),
        store_port(store),
        path(Folder() + "/" + vm_name + ".yaml") {
    this->WriteSettings(service);
  }
  // Another machine at the address of one that is gone. Ports are the same on
  // all machines.
  Node(const Node& gone, const std::string& vm_name, const std::string& service)
      : record(gone.record),
        name(vm_name),
        zone(gone.zone),
        outbound(gone.outbound),
        readiness(gone.readiness),
        admin(gone.admin),
        link(gone.link),
        metrics(gone.metrics),
        upstream_port(gone.upstream_port),
        store_port(gone.store_port),
        path(Folder() + "/" + vm_name + ".yaml") {
    this->WriteSettings(service);
  }
  ~Node() { this->Kill(); }
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  // The platform puts the file in place in one step.
  void WriteSettings(const std::string& service) const {
    const std::string next = this->path + ".next";
    const auto at = [](std::uint16_t port) {
      return "127.0.0.1:" + std::to_string(port) + "\n";
    };
    std::ofstream file(next);
    file << "vm: " << this->name << "\ndata_center: " << this->zone
         << "\nservice: " << service << "\noutbound: " << at(this->outbound)
         << "readiness: " << at(this->readiness) << "admin: " << at(this->admin)
         << "link: " << at(this->link) << "metrics: " << at(this->metrics)
         << "upstream: " << at(this->upstream_port)
         << "store: " << at(this->store_port)
         << "line_mbit: 200\nmemory_mb: 260\nmax_fds: 4100\n"
         << "heartbeat: 1500ms\n"
         << "agreed: '{\"seedLagS\":3,\"reuseAfterS\":2,\"livenessMs\":3000,"
            "\"ackMs\":4000,\"syncS\":4,\"drainMs\":2000,\"graceS\":6,"
            "\"lostMs\":200,\"configMs\":2000,\"rollbackSlackMs\":250,"
            "\"maxSkewMs\":5000,\"retryBudgetRatio\":0.2,\"budgetWindowS\":10,"
            "\"budgetSlack\":58,\"exposeShare\":0.1,\"exposeSlack\":50,"
            "\"rollbackMs\":5000,\"recoverS\":15,\"quotaWindowS\":5,"
            "\"quotaOver\":0.1,\"quotaSlack\":20}'\n";
    file.close();
    (void)std::rename(next.c_str(), this->path.c_str());
  }

  void Start() {
    const std::string log = Folder() + "/" + this->name + ".log";
    const std::string program = "target/teaseledge";
    const std::string variable = "TEASELSPREAD_CONFIG=" + this->path;
    const pid_t parent = ::getpid();
    this->pid = ::fork();
    if (this->pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out = ::open(log.c_str(), O_CREAT | O_APPEND | O_WRONLY, 0600);
      if (::getppid() != parent || out < 0)
        ::_exit(kCouldNotRun);
      ::dup2(out, STDOUT_FILENO);
      ::dup2(out, STDERR_FILENO);
      std::string word = program;
      std::string setting = variable;
      char* const arguments[] = {word.data(), nullptr};
      char* const environment[] = {setting.data(), nullptr};
      ::execve(word.c_str(), arguments, environment);
      ::_exit(kCouldNotRun);
    }
    this->record.Add("node " + this->name + " started");
  }

  void Signal(int number) const {
    if (this->pid > 0)
      ::kill(this->pid, number);
  }

  void Kill() {
    if (this->pid <= 0)
      return;
    this->Signal(SIGKILL);
    ::waitpid(this->pid, nullptr, 0);
    this->pid = -1;
    this->record.Add("node " + this->name + " killed");
  }

  // False while the process runs.
  [[nodiscard]] bool HasEnded() {
    if (this->pid <= 0)
      return true;
    int status = 0;
    if (::waitpid(this->pid, &status, WNOHANG) != this->pid)
      return false;
    this->pid = -1;
    this->record.Add("node " + this->name + " ended by itself, status " +
                     std::to_string(status));
    return true;
  }

  [[nodiscard]] bool IsReady() const {
    return Call(this->readiness, "GET /ready HTTP/1.1\r\nHost: node\r\n\r\n") ==
           200;
  }

  // A figure of the metrics page; -1 if it is not there.
  [[nodiscard]] double Metric(const std::string& line_start) const {
    Response page;
    if (Call(this->metrics, "GET /metrics HTTP/1.1\r\nHost: node\r\n\r\n",
             &page) != 200)
      return -1;
    const std::string text = "\n" + page.body();
    const std::size_t at = text.find("\n" + line_start + " ");
    if (at == std::string::npos)
      return -1;
    return std::strtod(text.c_str() + at + line_start.size() + 2, nullptr);
  }

  [[nodiscard]] static std::string Folder() {
    const char* folder = std::getenv("REVIEW_FOLDER");
    return folder == nullptr ? "/tmp" : folder;
  }

  Record& record;
  std::string name;
  std::string zone;
  std::uint16_t outbound = FreePort();
  std::uint16_t readiness = FreePort();
  std::uint16_t admin = FreePort();
  std::uint16_t link = FreePort();
  std::uint16_t metrics = FreePort();

 private:
  std::uint16_t upstream_port;
  std::uint16_t store_port;
  std::string path;
  pid_t pid = -1;
};

// A client's request of its own connection.
struct Sent {
  std::string method = "GET";
  std::string host = "mesh.example";
  std::string target;
  std::string id;
  milliseconds deadline{3000};
  std::string body;
  // Of a tenant; empty for none.
  std::string key;
};

struct Answer {
  int status = 0;
  std::string signature;
  std::string body;
};

// Sends one request and waits a second longer than it may take.
inline Answer Send(Record& record, std::uint16_t outbound, const Sent& sent) {
  std::string text =
      sent.method + " " + sent.target + " HTTP/1.1\r\nHost: " + sent.host +
      "\r\nX-Request-Id: " + sent.id +
      "\r\nX-Deadline-Ms: " + std::to_string(sent.deadline.count()) + "\r\n";
  if (!sent.key.empty())
    text += "Authorization: Bearer " + sent.key + "\r\n";
  if (sent.method != "GET")
    text += "Content-Length: " + std::to_string(sent.body.size()) + "\r\n";
  text += "\r\n" + sent.body;
  record.Add("sent " + sent.id + " " + sent.method + " " + sent.target);
  Response response;
  Answer answer;
  answer.status =
      Call(outbound, text, &response, sent.deadline + milliseconds(1000));
  const auto signature = response["X-Response-Signature"];
  answer.signature = std::string(signature.data(), signature.size());
  answer.body = response.body();
  while (!answer.body.empty() && answer.body.back() == '\n')
    answer.body.pop_back();
  record.Add("answered " + sent.id + " " + std::to_string(answer.status) + " " +
             answer.signature + " (" + answer.body + ")");
  return answer;
}

// A route of a configuration.
struct Route {
  std::string name;
  std::string type;
  std::string prefix;
  std::string service;
  int timeout_ms = 3000;
  int aim_ms = 1200;
};

inline std::string ConfigText(const std::string& version,
                              const std::vector<Route>& routes,
                              const std::vector<std::string>& services,
                              const std::string& tenants = "") {
  std::string rules;
  for (const Route& route : routes) {
    rules += rules.empty() ? "" : ",";
    rules += R"({"name":")" + route.name + R"(","routeType":")" + route.type +
             R"(","aimMs":)" + std::to_string(route.aim_ms) +
             R"(,"priority":1,"match":{"pathPrefix":")" + route.prefix +
             R"("},"action":{"service":")" + route.service +
             R"(","timeoutMs":)" + std::to_string(route.timeout_ms) +
             R"(,"maxAttempts":2}})";
  }
  std::string clusters;
  for (const std::string& service : services) {
    clusters += clusters.empty() ? "" : ",";
    clusters += R"({"name":")" + service +
                R"(","healthPath":"/health","maxConnections":470,)"
                R"("protocol":"h1","tls":false})";
  }
  return R"({"version":")" + version +
         R"(","limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,)"
         R"("headerTimeoutMs":3000,"idleTimeoutMs":15000},)"
         R"("listeners":[{"hostname":"mesh.example","policy":[)" +
         rules + R"(]}],"clusters":[)" + clusters + "]" +
         (tenants.empty() ? "" : R"(,"tenants":[)" + tenants + "]") + "}";
}

}  // namespace review

#endif  // TEASELSPREAD_REVIEW_MESH_H_
