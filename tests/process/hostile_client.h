// Clients that misuse a door of a node: they send too much, too slowly, or
// never read. Tests only.
#ifndef TEASELSPREAD_TESTS_PROCESS_HOSTILE_CLIENT_H_
#define TEASELSPREAD_TESTS_PROCESS_HOSTILE_CLIENT_H_

#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "contract/raw_socket.h"

namespace teaselspread {

// The listening address of a node that a client misuses.
enum class Door : std::uint8_t {
  kOutbound,
  kReadiness,
  kAdmin,
  kMetrics,
  kLink
};

inline constexpr std::size_t kUnlimited = SIZE_MAX;

struct HostileClient {
  std::string name;
  Door door = Door::kOutbound;
  std::size_t connections = 1;
  // Sent at first on each connection.
  std::string head;
  // Sent again and again after `head`, until `unit_bytes` of it are sent.
  std::string unit;
  std::size_t unit_bytes = 0;
  std::string tail;
  // Bytes that each connection sends in a step of 10 ms.
  std::size_t bytes_per_step = kUnlimited;
  bool reads = false;
  bool reconnects = true;
  // Resets each connection once all its bytes are sent.
  bool resets = false;
};

// Plays one HostileClient. Not thread safe.
class HostilePlay {
 public:
  HostilePlay(HostileClient played, std::uint16_t port)
      : client(std::move(played)), target(LoopbackAddress(port)) {
    for (std::size_t i = 0; i < this->client.connections; ++i)
      this->open.push_back(this->Connect());
  }
  ~HostilePlay() {
    for (const Connection& connection : this->open)
      ::close(connection.fd);
  }
  HostilePlay(const HostilePlay&) = delete;
  HostilePlay& operator=(const HostilePlay&) = delete;

  // Plays for `time`, and no longer than until kMaxBytes are sent.
  void Run(std::chrono::milliseconds time) {
    const auto end = std::chrono::steady_clock::now() + time;
    while (std::chrono::steady_clock::now() < end) {
      const bool moved = this->Step();
      if (!moved || this->client.bytes_per_step != kUnlimited)
        std::this_thread::sleep_for(kStep);
    }
  }

 private:
  static constexpr std::chrono::milliseconds kStep{10};
  static constexpr std::size_t kMaxBytes = std::size_t{2} << 30U;
  static constexpr std::size_t kMaxSendBytes = 65536;
  // Connections that are opened anew in one step, over all.
  static constexpr int kReconnectsPerStep = 50;

  struct Connection {
    int fd = -1;
    std::size_t sent = 0;
    bool ended = false;
  };

  Connection Connect() {
    const int fd =
        ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    // The sockets interface wants the general type.
    (void)::connect(fd, reinterpret_cast<const sockaddr*>(&this->target),
                    sizeof this->target);
    return {fd, 0, false};
  }

  // True if any bytes moved.
  bool Step() {
    bool moved = false;
    int reconnects = 0;
    for (Connection& connection : this->open) {
      moved = this->Advance(connection) || moved;
      if (!connection.ended || !this->client.reconnects ||
          ++reconnects > kReconnectsPerStep)
        continue;
      ::close(connection.fd);
      connection = this->Connect();
    }
    return moved;
  }

  bool Advance(Connection& connection) {
    if (connection.ended)
      return false;
    char buffer[65536];
    const bool reads = this->client.reads;
    const ssize_t got = ::recv(connection.fd, buffer, reads ? sizeof buffer : 1,
                               MSG_DONTWAIT | (reads ? 0 : MSG_PEEK));
    if (got == 0 || (got < 0 && errno != EAGAIN && errno != ENOTCONN))
      connection.ended = true;
    const bool moved = this->SendSome(connection);
    if (this->client.resets && this->NextBytes(connection.sent).empty())
      Reset(connection);
    return moved || (reads && got > 0);
  }

  static void Reset(Connection& connection) {
    const linger at_once{1, 0};
    ::setsockopt(connection.fd, SOL_SOCKET, SO_LINGER, &at_once,
                 sizeof at_once);
    connection.ended = true;
  }

  bool SendSome(Connection& connection) {
    std::size_t left = this->client.bytes_per_step;
    bool moved = false;
    while (left > 0 && this->total < kMaxBytes) {
      const std::string_view next = this->NextBytes(connection.sent);
      const std::size_t length = std::min({next.size(), left, kMaxSendBytes});
      if (length == 0)
        break;
      const ssize_t sent = ::send(connection.fd, next.data(), length,
                                  MSG_NOSIGNAL | MSG_DONTWAIT);
      if (sent <= 0)
        break;
      connection.sent += static_cast<std::size_t>(sent);
      this->total += static_cast<std::size_t>(sent);
      left -= left == kUnlimited ? 0 : static_cast<std::size_t>(sent);
      moved = true;
    }
    return moved;
  }

  [[nodiscard]] std::string_view NextBytes(std::size_t sent) const {
    const HostileClient& from = this->client;
    if (sent < from.head.size())
      return std::string_view(from.head).substr(sent);
    sent -= from.head.size();
    if (sent < from.unit_bytes) {
      const std::string_view unit =
          std::string_view(from.unit).substr(sent % from.unit.size());
      return unit.substr(0, from.unit_bytes - sent);
    }
    sent -= from.unit_bytes;
    return std::string_view(from.tail).substr(std::min(sent, from.tail.size()));
  }

  HostileClient client;
  sockaddr_in target;
  std::vector<Connection> open;
  std::size_t total = 0;
};

}  // namespace teaselspread

#endif  // TEASELSPREAD_TESTS_PROCESS_HOSTILE_CLIENT_H_
