// Bare sockets for contract tests: a client that sends any bytes, and a peer
// that answers from a script. Tests only.
#ifndef TEASELSPREAD_TESTS_CONTRACT_RAW_SOCKET_H_
#define TEASELSPREAD_TESTS_CONTRACT_RAW_SOCKET_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "teaselspread/types.h"

namespace teaselspread {

inline sockaddr_in LoopbackAddress(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

// Owns one socket. Not thread safe, but for Shutdown.
class RawSocket {
 public:
  explicit RawSocket(int owned) : fd(owned) {}
  ~RawSocket() {
    if (this->fd >= 0)
      ::close(this->fd);
  }
  RawSocket(RawSocket&& other) noexcept : fd(std::exchange(other.fd, -1)) {}
  RawSocket& operator=(RawSocket&&) = delete;

  static RawSocket ConnectTo(std::uint16_t port) {
    RawSocket socket(::socket(AF_INET, SOCK_STREAM, 0));
    const sockaddr_in address = LoopbackAddress(port);
    // The sockets interface wants the general type.
    (void)::connect(socket.fd, reinterpret_cast<const sockaddr*>(&address),
                    sizeof address);
    return socket;
  }

  // The result may be dropped: many tests send to a peer that closes early.
  // NOLINTNEXTLINE(modernize-use-nodiscard)
  bool Send(const std::string& bytes) const {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
      const ssize_t count = ::send(this->fd, bytes.data() + sent,
                                   bytes.size() - sent, MSG_NOSIGNAL);
      if (count <= 0)
        return false;
      sent += static_cast<std::size_t>(count);
    }
    return true;
  }

  // Reads until `enough` holds, the peer closes or `limit` passes.
  std::string ReadUntil(
      const std::function<bool(const std::string&)>& enough,
      std::chrono::milliseconds limit = std::chrono::milliseconds(5000)) const {
    std::string bytes;
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!enough(bytes) && std::chrono::steady_clock::now() < end) {
      pollfd entry{this->fd, POLLIN, 0};
      if (::poll(&entry, 1, 20) <= 0)
        continue;
      char buffer[65536];
      const ssize_t count = ::recv(this->fd, buffer, sizeof buffer, 0);
      if (count <= 0)
        break;
      bytes.append(buffer, static_cast<std::size_t>(count));
    }
    return bytes;
  }

  // NOLINTNEXTLINE(modernize-use-nodiscard)
  std::string ReadToEnd() const {
    return this->ReadUntil([](const std::string&) { return false; });
  }

  void Shutdown(int how = SHUT_RDWR) const { ::shutdown(this->fd, how); }
  // Ends the own direction and waits until the other side's kernel knows it.
  void EndAndWait() const {
    this->Shutdown(SHUT_WR);
    tcp_info info{};
    socklen_t length = sizeof info;
    while (::getsockopt(this->fd, IPPROTO_TCP, TCP_INFO, &info, &length) == 0 &&
           info.tcpi_state == TCP_FIN_WAIT1)
      std::this_thread::yield();
  }
  [[nodiscard]] int Fd() const { return this->fd; }

 private:
  int fd;
};

// Serves each accepted connection by `script(socket, number)`, numbers from 0,
// each on its own thread. The socket closes when the script returns.
class ScriptedPeer {
 public:
  using Script = std::function<void(const RawSocket&, int)>;

  explicit ScriptedPeer(Script handle)
      : script(std::move(handle)),
        listening(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address = LoopbackAddress(0);
    socklen_t length = sizeof address;
    auto* general = reinterpret_cast<sockaddr*>(&address);
    (void)::bind(this->listening.Fd(), general, length);
    ::listen(this->listening.Fd(), 64);
    ::getsockname(this->listening.Fd(), general, &length);
    this->port = ntohs(address.sin_port);
    this->accepting = std::thread([this] { this->Accept(); });
  }

  ~ScriptedPeer() {
    this->stopping = true;
    this->listening.Shutdown();
    this->accepting.join();
    for (std::thread& thread : this->threads)
      thread.join();
  }
  ScriptedPeer(const ScriptedPeer&) = delete;
  ScriptedPeer& operator=(const ScriptedPeer&) = delete;

  [[nodiscard]] Address At() const { return {"127.0.0.1", this->port}; }
  [[nodiscard]] int Accepted() const { return this->accepted; }
  [[nodiscard]] bool Stopping() const { return this->stopping; }

  // Reads one request that has no body.
  static std::string ReadHead(const RawSocket& socket) {
    return socket.ReadUntil([](const std::string& bytes) {
      return bytes.find("\r\n\r\n") != std::string::npos;
    });
  }

  // Keeps the connection open without a byte until the other side closes it.
  void StaySilent(const RawSocket& socket) const {
    while (!this->stopping) {
      pollfd entry{socket.Fd(), POLLRDHUP, 0};
      if (::poll(&entry, 1, 10) > 0)
        return;
    }
  }

 private:
  void Accept() {
    while (!this->stopping) {
      const int fd = ::accept(this->listening.Fd(), nullptr, nullptr);
      if (fd < 0)
        return;
      const int number = this->accepted++;
      this->threads.emplace_back([this, fd, number] {
        const RawSocket socket(fd);
        this->script(socket, number);
      });
    }
  }

  Script script;
  RawSocket listening;
  std::uint16_t port = 0;
  std::atomic<bool> stopping{false};
  std::atomic<int> accepted{0};
  std::thread accepting;
  std::vector<std::thread> threads;
};

}  // namespace teaselspread

#endif  // TEASELSPREAD_TESTS_CONTRACT_RAW_SOCKET_H_
