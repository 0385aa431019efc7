// Ports for programs whose port must be known before they start. Tests only.
#ifndef TEASELSPREAD_TESTS_PROCESS_PORTS_H_
#define TEASELSPREAD_TESTS_PROCESS_PORTS_H_

#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>

namespace teaselspread {

// Whether nothing is bound to the port.
inline bool IsFree(std::uint16_t port, int type) {
  const int fd = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const bool free =
      ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
  ::close(fd);
  return free;
}

// Takes the port for this process until it ends; false when another test has
// it. A port that is free now may be one that another test has chosen and not
// used yet, so tests that run side by side agree by a name that one process
// only can bind.
inline bool Claim(std::uint16_t port) {
  const std::string name = "teaselspread-test-port-" + std::to_string(port);
  sockaddr_un address{};
  address.sun_family = AF_UNIX;
  // The first byte stays 0: a name outside the file system.
  std::copy(name.begin(), name.end(), address.sun_path + 1);
  const auto length =
      static_cast<socklen_t>(offsetof(sockaddr_un, sun_path) + 1 + name.size());
  const int fd = ::socket(AF_UNIX, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  if (::bind(fd, reinterpret_cast<sockaddr*>(&address), length) == 0)
    return true;
  ::close(fd);
  return false;
}

// A port that is free for TCP and UDP and that no other test takes while this
// process lives. Below the range from which the system gives ports to outgoing
// connections: such a connection could take the port of a node that is being
// restarted. Not thread safe.
inline std::uint16_t ClaimPort() {
  constexpr int kFirst = 10000;
  constexpr int kPorts = 20000;
  constexpr int kStride = 211;
  static int next = ::getpid() % kPorts * kStride % kPorts;
  while (true) {
    const auto port = static_cast<std::uint16_t>(kFirst + next++ % kPorts);
    if (Claim(port) && IsFree(port, SOCK_STREAM) && IsFree(port, SOCK_DGRAM))
      return port;
  }
}

}  // namespace teaselspread

#endif  // TEASELSPREAD_TESTS_PROCESS_PORTS_H_
