#include "edge/log_writer.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>

#include <absl/strings/str_cat.h>

#include "base/clock.h"

namespace teaselspread {
namespace {

// Delay after the first buffered line until the buffer is written; batches
// lines, since each write is a system call.
constexpr std::chrono::milliseconds kFlushAfter{100};
// Maximum number of bytes buffered while the reader is stopped.
constexpr std::size_t kMaxBuffered = 256U << 10;
// Rate limit and burst of lines. A node at full load decides on a few hundred
// requests a second; more lines would take CPU time from the requests.
constexpr double kLinesPerSecond = 400;
constexpr double kLineBurst = 800;
constexpr double kMicrosPerSecond = 1e6;
// A pipe that polls as writable accepts this many bytes without blocking (POSIX
// PIPE_BUF).
constexpr std::size_t kWriteBytes = 4096;

bool ReadyForWriting(int fd) {
  pollfd entry{fd, POLLOUT, 0};
  return ::poll(&entry, 1, 0) > 0 && (entry.revents & POLLOUT) != 0;
}

}  // namespace

void LogWriter::Add(std::string_view line) {
  const TimePoint now = SteadyNow();
  const double elapsed_us =
      static_cast<double>((now - this->tokens_at).count());
  this->tokens =
      std::min(kLineBurst,
               this->tokens + elapsed_us / kMicrosPerSecond * kLinesPerSecond);
  this->tokens_at = now;
  if (this->tokens < 1 || this->buffer.size() + line.size() > kMaxBuffered) {
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
  if (this->dropped > this->reported_dropped) {
    absl::StrAppend(&this->buffer, "level=WARN event=log-lines-dropped count=",
                    this->dropped - this->reported_dropped, "\n");
    this->reported_dropped = this->dropped;
  }
  std::size_t written = 0;
  while (written < this->buffer.size() && ReadyForWriting(STDOUT_FILENO)) {
    const std::size_t chunk_bytes =
        std::min(kWriteBytes, this->buffer.size() - written);
    const ssize_t bytes =
        ::write(STDOUT_FILENO, this->buffer.data() + written, chunk_bytes);
    if (bytes <= 0)
      break;
    written += static_cast<std::size_t>(bytes);
  }
  this->buffer.erase(0, written);
}

}  // namespace teaselspread
