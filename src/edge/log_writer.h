// Log lines to standard output without ever waiting for its reader.
#ifndef TEASELSPREAD_SRC_EDGE_LOG_WRITER_H_
#define TEASELSPREAD_SRC_EDGE_LOG_WRITER_H_

#include <cstdint>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "teaselspread/types.h"

namespace teaselspread {

// Belongs to the thread that runs the loop.
class LogWriter {
 public:
  explicit LogWriter(boost::asio::io_context& io) : timer(io) {}
  LogWriter(const LogWriter&) = delete;
  LogWriter& operator=(const LogWriter&) = delete;

  // Keeps the line for the next write. Lines beyond the rate or the room are
  // dropped and counted; the count stands in a line of its own later.
  void Add(std::string_view line);

  // Writes what the reader takes at once.
  void Flush();

  [[nodiscard]] std::uint64_t Dropped() const { return this->dropped; }

 private:
  void Schedule();

  boost::asio::steady_timer timer;
  std::string buffer;
  bool scheduled = false;
  std::uint64_t dropped = 0;
  std::uint64_t told_dropped = 0;
  double tokens = 0;
  TimePoint tokens_at;
};

}  // namespace teaselspread

#endif  // TEASELSPREAD_SRC_EDGE_LOG_WRITER_H_
