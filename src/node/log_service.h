// Reads the platform's log while the node is a reader, and appends for others.
#ifndef TEASELSPREAD_NODE_LOG_SERVICE_H_
#define TEASELSPREAD_NODE_LOG_SERVICE_H_

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>

#include <boost/asio/io_context.hpp>

#include "node/messages.h"
#include "teaselspread/counters.h"
#include "teaselspread/kernel.h"
#include "teaselspread/log_client.h"
#include "teaselspread/settings.h"

namespace teaselspread {

enum class LogEvent : std::uint8_t {
  kRead,
  kReadFailed,
  kReadExpired,
  kAppended,
  kAppendRefused,
  kAppendUnknown,
  kAppendDropped,
  kCount,
};

// Stable name of a counter. Thread safe.
[[nodiscard]] std::string_view NameOf(LogEvent event);

// Name of the stream that holds a deployment's configuration. Thread safe.
[[nodiscard]] std::string StreamOf(const std::string& deployment);

// The log blocks for seconds in an outage, so reads and appends have a thread
// each; both only post messages to the kernel's thread.
struct LogService {
  LogServiceSettings settings;
  TimingSettings timings;
  std::string deployment;
  std::string vm;
  std::string data_center;
  std::unique_ptr<LogClient> client;
  CounterTable<LogEvent> counters;

  std::mutex gate;
  std::condition_variable changed;
  bool reading = false;
  bool stopping = false;
  LogOffset from = 1;
  // Raised by every ReadLog, so that an older read's position is not kept.
  std::uint64_t generation = 0;
  std::deque<std::string> appends;

  std::thread reader;
  std::thread appender;
};

// Registers the service and starts its threads. `advance` is called on `io`
// after each message. Precondition: all outlive StopLogService().
void StartLogService(Kernel& kernel,
                     LogService& service,
                     boost::asio::io_context& io,
                     const std::function<void()>& advance);

// Ends the threads; a read that is under way is waited for.
void StopLogService(LogService& service);

}  // namespace teaselspread

#endif  // TEASELSPREAD_NODE_LOG_SERVICE_H_
