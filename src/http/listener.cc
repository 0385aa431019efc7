#include "http/listener.h"

#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <string>

#include <boost/asio/ip/tcp.hpp>

namespace teaselspread {
namespace {

using Tcp = boost::asio::ip::tcp;

// The return of a herd, or a crowd, opens thousands of connections at once. A
// connection that finds no place in the queue waits a second for the next try.
constexpr int kBacklog = 4096;
// Out of descriptors: waiting lets others close, spinning would not.
constexpr auto kAcceptPause = std::chrono::milliseconds(10);
// Time after which a request that has not come whole is slow, and some more.
constexpr auto kSpareTime = std::chrono::milliseconds(150);
// Time in which the thread of a connection that was shut down ends. Until then
// nothing is accepted, so a crowd cannot open connections faster than others
// end.
constexpr auto kEndTime = std::chrono::milliseconds(500);

// Time for connections that wait to be accepted when the server stops. A crowd
// never lets their queue become empty.
constexpr auto kDrainTime = std::chrono::seconds(1);

Error UnusableAddress(const Address& address) {
  return {ErrorKind::kSettings, "can't listen on " + address.host + ":" +
                                    std::to_string(address.port) + ": " +
                                    std::strerror(errno)};
}

}  // namespace

Listener::~Listener() {
  this->Stop();
  if (this->stop_fd >= 0)
    ::close(this->stop_fd);
}

Result<void> Listener::Open() {
  const Address& wanted = this->settings.options.listen;
  boost::system::error_code error;
  const auto ip = boost::asio::ip::make_address(wanted.host, error);
  if (error) {
    return Fail(ErrorKind::kSettings,
                "not an IP number: '" + wanted.host + "'");
  }
  Tcp::endpoint endpoint(ip, wanted.port);
  this->listening =
      ::socket(endpoint.protocol().family(), SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(this->listening, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (::bind(this->listening, endpoint.data(),
             static_cast<socklen_t>(endpoint.size())) != 0 ||
      ::listen(this->listening, kBacklog) != 0) {
    const Error unusable = UnusableAddress(wanted);
    ::close(this->listening);
    this->listening = -1;
    return tl::make_unexpected(unusable);
  }
  auto length = static_cast<socklen_t>(endpoint.capacity());
  ::getsockname(this->listening, endpoint.data(), &length);
  this->local = {wanted.host, endpoint.port()};
  this->stop_fd = ::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
  this->threads.emplace(
      this->settings.options.spare_threads, [this](int socket) {
        ServerConnection(socket, this->stop_fd, this->settings).Serve();
      });
  this->accepting = std::thread([this] { this->AcceptUntilStopped(); });
  return {};
}

void Listener::Stop() {
  const std::scoped_lock once(this->stopping);
  if (this->accepting.joinable()) {
    ::eventfd_write(this->stop_fd, 1);
    this->accepting.join();
  }
  if (this->threads)
    this->threads->Finish();
}

std::size_t Listener::Connections() const {
  return this->threads ? this->threads->Busy() : 0;
}

void Listener::AcceptUntilStopped() {
  std::array<pollfd, 2> entries = {
      {{this->listening, POLLIN, 0}, {this->stop_fd, POLLIN, 0}}};
  while (entries[1].revents == 0) {
    ::poll(entries.data(), entries.size(), -1);
    if (entries[0].revents != 0)
      this->AcceptOne();
  }
  // A connection left in the kernel's queue would be reset, and with it the
  // request that its caller may have sent already.
  const auto until = std::chrono::steady_clock::now() + kDrainTime;
  while (::poll(entries.data(), 1, 0) > 0 &&
         std::chrono::steady_clock::now() < until)
    this->AcceptOne();
  ::close(this->listening);
}

void Listener::AcceptOne() {
  const int socket = ::accept4(this->listening, nullptr, nullptr, SOCK_CLOEXEC);
  if (socket >= 0)
    this->Start(socket);
  else if (errno == EMFILE || errno == ENFILE || errno == ENOMEM)
    std::this_thread::sleep_for(kAcceptPause);
}

void Listener::Start(int socket) {
  if (!this->MakeRoom() || !this->threads->Serve(socket))
    return this->Refuse(socket);
  this->settings.counters.Add(ServerEvent::kConnection);
}

bool Listener::MakeRoom() {
  const std::size_t most = this->settings.options.max_connections;
  if (this->threads->Busy() < most)
    return true;
  const auto until = std::chrono::steady_clock::now() + kSpareTime;
  EndResult result = this->settings.connections.EndDispensable();
  while (result == EndResult::kSoon &&
         std::chrono::steady_clock::now() < until) {
    std::this_thread::sleep_for(kAcceptPause);
    result = this->settings.connections.EndDispensable();
  }
  if (result != EndResult::kEnded)
    return false;
  this->settings.counters.Add(ServerEvent::kCrowdedOut);
  return this->threads->WaitUntilBelow(most, kEndTime);
}

void Listener::Refuse(int socket) {
  this->settings.counters.Add(ServerEvent::kConnectionRefused);
  ServerConnection(socket, this->stop_fd, this->settings)
      .RefuseAtOnce({ErrorKind::kConnectionLimit, "too many connections"});
}

}  // namespace teaselspread
