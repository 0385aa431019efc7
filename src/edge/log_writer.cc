#include "edge/log_writer.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>

#include <absl/strings/str_cat.h>

#include "base/clock.h"

namespace teaselspread {
namespace {

// Lines are written together this long after the first of them: each write is
// a system call.
constexpr std::chrono::milliseconds kFlushAfter{100};
// Lines that a stopped reader may leave behind here.
constexpr std::size_t kMostBuffered = 256U << 10;
// Rate and burst of lines. A node at full load decides on a few hundred
// requests a second; beyond that, the lines would take the time of the
// requests.
constexpr double kLinesPerSecond = 400;
constexpr double kLineBurst = 800;
constexpr double kMicrosPerSecond = 1e6;
// A pipe that is ready takes this much without blocking (POSIX PIPE_BUF).
constexpr std::size_t kWriteBytes = 4096;

bool ReadyForWriting(int fd) {
  pollfd entry{fd, POLLOUT, 0};
  return ::poll(&entry, 1, 0) > 0 && (entry.revents & POLLOUT) != 0;
}

}  // namespace

void LogWriter::Add(std::string_view line) {
  const TimePoint now = SteadyNow();
  const double passed = static_cast<double>((now - this->tokens_at).count());
  this->tokens = std::min(
      kLineBurst, this->tokens + passed / kMicrosPerSecond * kLinesPerSecond);
  this->tokens_at = now;
  if (this->tokens < 1 || this->buffer.size() + line.size() > kMostBuffered) {
    ++this->dropped;
    return;
  }
  this->tokens -= 1;
  this->buffer += line;
  this->buffer += '\n';
  this->Schedule();
}

void LogWriter::Schedule() {
  if (this->scheduled)
    return;
  this->scheduled = true;
  this->timer.expires_after(kFlushAfter);
  this->timer.async_wait([this](boost::system::error_code error) {
    this->scheduled = false;
    if (error)
      return;
    this->Flush();
    if (!this->buffer.empty())
      this->Schedule();
  });
}

void LogWriter::Flush() {
  if (this->dropped > this->told_dropped) {
    absl::StrAppend(&this->buffer, "level=WARN event=log-lines-dropped count=",
                    this->dropped - this->told_dropped, "\n");
    this->told_dropped = this->dropped;
  }
  std::size_t written = 0;
  while (written < this->buffer.size() && ReadyForWriting(STDOUT_FILENO)) {
    const std::size_t most =
        std::min(kWriteBytes, this->buffer.size() - written);
    const ssize_t bytes =
        ::write(STDOUT_FILENO, this->buffer.data() + written, most);
    if (bytes <= 0)
      break;
    written += static_cast<std::size_t>(bytes);
  }
  this->buffer.erase(0, written);
}

}  // namespace teaselspread
