// What the scripts under review/ share: free ports, the record, node processes
// as the deploy file starts them, and a plain HTTP client. POSIX only.
#ifndef TEASELSPREAD_REVIEW_STAGE_H_
#define TEASELSPREAD_REVIEW_STAGE_H_

#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <iostream>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

// Exit codes of the scripts.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

inline bool WithTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string_view(trouble) != "0";
}

// Lines with the milliseconds since the start, to a file. Thread safe.
class Record {
 public:
  explicit Record(const std::string& path) : file(path) {}

  void Line(const std::string& text) {
    const std::scoped_lock lock(this->gate);
    this->file << this->Now() << " ms  " << text << "\n" << std::flush;
  }

  // A line about what happened at `when`.
  void LineAt(Clock::time_point when, const std::string& text) {
    const auto at = std::chrono::duration_cast<Millis>(when - this->start);
    const std::scoped_lock lock(this->gate);
    this->file << at.count() << " ms  " << text << "\n";
  }

  [[nodiscard]] std::int64_t Now() const {
    return std::chrono::duration_cast<Millis>(Clock::now() - this->start)
        .count();
  }

 private:
  std::mutex gate;
  std::ofstream file;
  Clock::time_point start = Clock::now();
};

inline sockaddr_in Loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

inline const sockaddr* Plain(const sockaddr_in& address) {
  return reinterpret_cast<const sockaddr*>(&address);
}

// A port that is free now, below the range of outgoing connections.
inline std::uint16_t FreePort() {
  constexpr int kFirst = 12000;
  constexpr int kPorts = 18000;
  constexpr int kStride = 97;
  static int next = ::getpid() * kStride % kPorts;
  while (true) {
    const auto port = static_cast<std::uint16_t>(kFirst + next++ % kPorts);
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = Loopback(port);
    const bool free = ::bind(fd, Plain(address), sizeof address) == 0;
    ::close(fd);
    if (free)
      return port;
  }
}

inline std::string At(std::uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

// How an exchange ended, as the client sees it.
enum class End { kAnswered, kClosed, kReset, kGaveUp };

inline std::string NameOf(End end) {
  switch (end) {
    case End::kAnswered:
      return "answered";
    case End::kClosed:
      return "closed without an answer";
    case End::kReset:
      return "reset without an answer";
    case End::kGaveUp:
      break;
  }
  return "client gave up";
}

struct Answer {
  End end = End::kGaveUp;
  int status = 0;
  std::string text;
};

// A client's connection. Not thread safe.
class Client {
 public:
  explicit Client(std::uint16_t port) {
    this->fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = Loopback(port);
    this->connected = ::connect(this->fd, Plain(address), sizeof address) == 0;
    const int one = 1;
    ::setsockopt(this->fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  }
  ~Client() { ::close(this->fd); }
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  [[nodiscard]] bool Connected() const { return this->connected; }

  // Sends all bytes; at a pace, if `bytes_per_second` is not 0.
  bool Send(std::string_view bytes, std::size_t bytes_per_second = 0) {
    constexpr std::size_t kSlicesPerSecond = 50;
    const std::size_t slice = bytes_per_second == 0
                                  ? std::max<std::size_t>(bytes.size(), 1)
                                  : bytes_per_second / kSlicesPerSecond + 1;
    Clock::time_point next = Clock::now();
    while (!bytes.empty()) {
      const std::string_view part = bytes.substr(0, slice);
      if (!this->SendPart(part))
        return false;
      bytes.remove_prefix(part.size());
      next += Millis(1000 / kSlicesPerSecond);
      if (bytes_per_second != 0)
        std::this_thread::sleep_until(next);
    }
    return true;
  }

  // Reads one answer with a Content-Length.
  Answer Read(Clock::time_point until) {
    Answer answer;
    while (true) {
      if (this->TakeAnswer(answer))
        return answer;
      const auto left =
          std::chrono::duration_cast<Millis>(until - Clock::now()).count();
      pollfd entry{this->fd, POLLIN, 0};
      if (left <= 0 || ::poll(&entry, 1, static_cast<int>(left)) <= 0) {
        answer.end = End::kGaveUp;
        return answer;
      }
      constexpr std::size_t kChunk = 16384;
      std::string chunk(kChunk, '\0');
      const ssize_t got = ::recv(this->fd, chunk.data(), chunk.size(), 0);
      if (got <= 0) {
        answer.end = got == 0 ? End::kClosed : End::kReset;
        return answer;
      }
      this->buffer.append(chunk, 0, static_cast<std::size_t>(got));
    }
  }

 private:
  bool SendPart(std::string_view part) {
    while (!part.empty()) {
      const ssize_t sent =
          ::send(this->fd, part.data(), part.size(), MSG_NOSIGNAL);
      if (sent <= 0)
        return false;
      part.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
  }

  bool TakeAnswer(Answer& answer) {
    const std::size_t head = this->buffer.find("\r\n\r\n");
    if (head == std::string::npos)
      return false;
    constexpr std::size_t kHeadEnd = 4;
    constexpr std::size_t kStatusAt = 9;
    std::size_t length = 0;
    const std::string name = "Content-Length: ";
    if (const std::size_t at = this->buffer.find(name); at < head)
      length =
          std::strtoul(this->buffer.c_str() + at + name.size(), nullptr, 10);
    const std::size_t size = head + kHeadEnd + length;
    if (this->buffer.size() < size)
      return false;
    answer.end = End::kAnswered;
    answer.status = static_cast<int>(
        std::strtol(this->buffer.c_str() + kStatusAt, nullptr, 10));
    answer.text = this->buffer.substr(0, size);
    this->buffer.erase(0, size);
    return true;
  }

  int fd = -1;
  bool connected = false;
  std::string buffer;
};

struct RequestHead {
  std::string method = "GET";
  std::string path;
  std::string id;
  int deadline_ms = 0;
};

inline std::string TextOf(const RequestHead& head, std::string_view body = "") {
  std::string text =
      head.method + " " + head.path +
      " HTTP/1.1\r\nHost: mesh.example\r\nX-Request-Id: " + head.id + "\r\n";
  if (head.deadline_ms > 0)
    text += "X-Deadline-Ms: " + std::to_string(head.deadline_ms) + "\r\n";
  if (head.method != "GET")
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  text += "\r\n";
  text += body;
  return text;
}

// One request on a connection of its own.
inline Answer Ask(std::uint16_t port,
                  const RequestHead& head,
                  Millis patience,
                  std::string_view body = "") {
  Client client(port);
  if (!client.Connected() || !client.Send(TextOf(head, body)))
    return {End::kReset, 0, ""};
  return client.Read(Clock::now() + patience);
}

// What differs between machines.
struct Machine {
  std::string name;
  std::string zone;
  std::string service;
  int line_mbit = 0;
};

// One node process, started with the command of the deploy file and settings
// as its template gives them. Run from the repository's root.
class Node {
 public:
  Node(Machine on,
       const std::string& folder,
       std::uint16_t store,
       std::uint16_t target,
       const std::string& bounds)
      : machine(std::move(on)) {
    this->settings = folder + "/" + this->machine.name + ".yaml";
    this->output = folder + "/" + this->machine.name + ".log";
    std::ofstream file(this->settings);
    file << "vm: " << this->machine.name
         << "\ndata_center: " << this->machine.zone
         << "\nservice: " << this->machine.service
         << "\noutbound: " << At(this->outbound)
         << "\nreadiness: " << At(this->readiness)
         << "\nadmin: " << At(this->admin) << "\nlink: " << At(this->link)
         << "\nmetrics: " << At(this->metrics) << "\nupstream: " << At(target)
         << "\nstore: " << At(store);
    if (this->machine.line_mbit > 0)
      file << "\nline_mbit: " << this->machine.line_mbit;
    file << "\nheartbeat: 1500ms\nagreed: '" << bounds << "'\n";
  }
  ~Node() { this->Kill(); }
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  void Start() {
    const pid_t parent = ::getpid();
    const pid_t child = ::fork();
    if (child != 0) {
      this->pid = child;
      return;
    }
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = ::open(this->output.c_str(),
                           O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0644);
    ::setenv("TEASELSPREAD_CONFIG", this->settings.c_str(), 1);
    std::string program = "target/teaseledge";
    char* const words[] = {program.data(), nullptr};
    if (::getppid() == parent && ::dup2(log, STDOUT_FILENO) >= 0 &&
        ::dup2(log, STDERR_FILENO) >= 0)
      ::execv(words[0], words);
    constexpr int kNotStarted = 127;
    ::_exit(kNotStarted);
  }

  void Signal(int number) const {
    if (this->pid > 0)
      ::kill(this->pid, number);
  }

  // Whether the process runs; `status` is set when it has ended.
  bool Running() {
    if (this->pid > 0 && ::waitpid(this->pid, &this->status, WNOHANG) != 0)
      this->pid = -1;
    return this->pid > 0;
  }

  void Kill() {
    this->Signal(SIGKILL);
    while (this->Running())
      std::this_thread::sleep_for(Millis(1));
  }

  // Kilobytes of memory that the process holds at the moment.
  [[nodiscard]] long ResidentKb() const {
    std::ifstream file("/proc/" + std::to_string(this->pid) + "/status");
    const std::string name = "VmRSS:";
    for (std::string line; std::getline(file, line);) {
      if (line.starts_with(name))
        return std::strtol(line.c_str() + name.size(), nullptr, 10);
    }
    return 0;
  }

  [[nodiscard]] bool Ready() const {
    constexpr Millis kPatience{500};
    return Ask(this->readiness, {"GET", "/ready", "ready", 0}, kPatience)
               .status == 200;
  }

  Machine machine;
  std::uint16_t outbound = FreePort();
  std::uint16_t readiness = FreePort();
  std::uint16_t admin = FreePort();
  std::uint16_t link = FreePort();
  std::uint16_t metrics = FreePort();
  pid_t pid = -1;
  int status = 0;
  std::string settings;
  std::string output;
};

inline bool WaitUntil(const std::function<bool()>& condition, Millis limit) {
  const Clock::time_point end = Clock::now() + limit;
  while (!condition()) {
    if (Clock::now() > end)
      return false;
    std::this_thread::sleep_for(Millis(20));
  }
  return true;
}

// A folder of its own for settings and logs.
inline std::string TemporaryFolder() {
  std::string folder = "/tmp/review-XXXXXX";
  return ::mkdtemp(folder.data()) == nullptr ? "" : folder;
}

}  // namespace review

#endif  // TEASELSPREAD_REVIEW_STAGE_H_
