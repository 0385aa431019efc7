// Writes log lines to standard output without ever blocking on its reader.
#ifndef TEASELSPREAD_SRC_EDGE_LOG_WRITER_H_
#define TEASELSPREAD_SRC_EDGE_LOG_WRITER_H_

#include <cstdint>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "teaselspread/types.h"

namespace teaselspread {

// Must be used on the thread that runs the loop.
class LogWriter {
 public:
  explicit LogWriter(boost::asio::io_context& io) : timer(io) {}
  LogWriter(const LogWriter&) = delete;
  LogWriter& operator=(const LogWriter&) = delete;

  // Buffers the line for the next write. Lines beyond the rate limit or the
  // buffer size are dropped and counted; a later line logs their number.
  void Add(std::string_view line);

  // Writes as much as is possible without blocking.
  void Flush();

  [[nodiscard]] std::uint64_t Dropped() const { return this->dropped; }

 private:
  void Schedule();

  boost::asio::steady_timer timer;
  std::string buffer;
  bool scheduled = false;
  std::uint64_t dropped = 0;
  std::uint64_t reported_dropped = 0;
  double tokens = 0;
  TimePoint tokens_at;
};

}  // namespace teaselspread

#endif  // TEASELSPREAD_SRC_EDGE_LOG_WRITER_H_
