#include "http/poll_stream.h"

#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <utility>

#include <boost/asio/error.hpp>

namespace teaselspread {
namespace {

using Clock = std::chrono::steady_clock;

constexpr int kMaxPollMs = 60000;

// Rounded up: rounding down would spin through the last millisecond.
int PollMs(Clock::duration left) {
  const auto ms = std::chrono::ceil<std::chrono::milliseconds>(left).count();
  return static_cast<int>(std::clamp<std::int64_t>(ms, 0, kMaxPollMs));
}

boost::system::error_code SystemError() {
  return {errno, boost::system::system_category()};
}

bool Blocks() {
  return errno == EAGAIN || errno == EWOULDBLOCK;
}

}  // namespace

PollStream::PollStream(int socket) : fd(socket) {
  ::fcntl(socket, F_SETFL, ::fcntl(socket, F_GETFL) | O_NONBLOCK);
  // Without it Nagle and delayed acknowledgements add 40 ms to small answers.
  const int on = 1;
  ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

PollStream::~PollStream() {
  if (this->fd >= 0)
    ::close(this->fd);
}

PollStream::PollStream(PollStream&& other) noexcept
    : fd(std::exchange(other.fd, -1)),
      limits(other.limits),
      last_end(other.last_end),
      sent(other.sent),
      received(other.received) {}

PollStream& PollStream::operator=(PollStream&& other) noexcept {
  std::swap(this->fd, other.fd);
  std::swap(this->limits, other.limits);
  std::swap(this->last_end, other.last_end);
  std::swap(this->sent, other.sent);
  std::swap(this->received, other.received);
  return *this;
}

WaitEnd PollStream::Wait(short events) {
  this->last_end = this->Poll(events);
  return this->last_end;
}

WaitEnd PollStream::Poll(short events) const {
  const auto silent_at = this->limits.silence >= std::chrono::hours(1)
                             ? Clock::time_point::max()
                             : Clock::now() + this->limits.silence;
  while (true) {
    const auto now = Clock::now();
    if (now >= this->limits.deadline)
      return WaitEnd::kDeadline;
    if (now >= silent_at)
      return WaitEnd::kSilence;
    std::array<pollfd, 3> entries = {{{this->fd, events, 0},
                                      {this->limits.cancel_fd, POLLIN, 0},
                                      {this->limits.caller_fd, POLLRDHUP, 0}}};
    const auto until = std::min(this->limits.deadline, silent_at);
    const int ready = ::poll(
        entries.data(), entries.size(),
        until == Clock::time_point::max() ? kMaxPollMs : PollMs(until - now));
    if (ready <= 0)
      continue;
    if (entries[0].revents != 0)
      return WaitEnd::kReady;
    return WaitEnd::kWatched;
  }
}

bool PollStream::WaitOrFail(short events, boost::system::error_code& error) {
  if (this->Wait(events) == WaitEnd::kReady)
    return true;
  error =
      this->last_end == WaitEnd::kWatched
          ? boost::asio::error::make_error_code(
                boost::asio::error::operation_aborted)
          : boost::asio::error::make_error_code(boost::asio::error::timed_out);
  return false;
}

std::size_t PollStream::Receive(const Vectors& vectors,
                                boost::system::error_code& error) {
  while (true) {
    const ssize_t count = ::readv(this->fd, vectors.items.data(),
                                  static_cast<int>(vectors.count));
    if (count > 0) {
      this->received += static_cast<std::uint64_t>(count);
      error = {};
      return static_cast<std::size_t>(count);
    }
    if (count == 0 && vectors.count > 0) {
      error = boost::asio::error::eof;
      return 0;
    }
    if (count == 0 || (!Blocks() && errno != EINTR)) {
      error = count == 0 ? boost::system::error_code() : SystemError();
      return 0;
    }
    if (!this->WaitOrFail(POLLIN, error))
      return 0;
  }
}

std::size_t PollStream::Transmit(const Vectors& vectors,
                                 boost::system::error_code& error) {
  msghdr message{};
  message.msg_iov = const_cast<iovec*>(vectors.items.data());
  message.msg_iovlen = vectors.count;
  while (true) {
    const ssize_t count = ::sendmsg(this->fd, &message, MSG_NOSIGNAL);
    if (count >= 0) {
      this->sent += static_cast<std::uint64_t>(count);
      error = {};
      return static_cast<std::size_t>(count);
    }
    if (!Blocks() && errno != EINTR) {
      error = SystemError();
      return 0;
    }
    if (!this->WaitOrFail(POLLOUT, error))
      return 0;
  }
}

}  // namespace teaselspread
