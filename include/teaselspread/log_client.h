// The client of the platform's append-only log.
#ifndef TEASELSPREAD_LOG_CLIENT_H_
#define TEASELSPREAD_LOG_CLIENT_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "teaselspread/error.h"
#include "teaselspread/http_client.h"
#include "teaselspread/types.h"

namespace teaselspread {

struct LogClientOptions {
  Address log;
  // Name of the VM and its data centre: the log's metrics show them.
  std::string vm;
  std::string data_center;
  Duration connect_timeout = std::chrono::seconds(1);
  // For an append, and for a read beyond the wait that it asks for.
  Duration timeout = std::chrono::seconds(3);
  std::size_t max_batch_bytes = 64U << 20;
};

struct StoredRecord {
  std::uint64_t offset = 0;
  std::string bytes;

  bool operator==(const StoredRecord&) const = default;
};

struct ReadBatch {
  // In the order of their offsets; empty when none came within the wait.
  std::vector<StoredRecord> records;
  // Offset of the oldest record that the log still keeps.
  std::uint64_t first_kept = 1;
  // Offset that the next append will get.
  std::uint64_t next = 1;
};

// A read that failed.
struct [[nodiscard]] LogReadError {
  Error error;
  // For kLogExpired: the oldest offset that can still be read.
  std::uint64_t first_kept = 0;
};

using ReadResult = tl::expected<ReadBatch, LogReadError>;

// Thread safe: calls of several threads use connections of their own.
class LogClient {
 public:
  explicit LogClient(LogClientOptions settings);

  // Appends one record and returns its offset. Precondition: `stream` has only
  // characters that need no escape in a path. Errors:
  //   kLogUnavailable: surely not taken;
  //   kAppendUnknown: the answer was lost, and the record may have been taken.
  // Thread safe; blocks up to the timeout.
  [[nodiscard]] Result<std::uint64_t> Append(const std::string& stream,
                                             const std::string& bytes);

  // Reads at most `max` records with offsets from `from` on, and waits up to
  // `wait` for the first. Errors: kLogExpired with the first kept offset,
  // kLogUnavailable, kFrameMalformed when the answer makes no sense.
  // Thread safe; blocks up to `wait` plus the timeout.
  [[nodiscard]] ReadResult Read(const std::string& stream,
                                std::uint64_t from,
                                std::size_t max,
                                Duration wait);

 private:
  [[nodiscard]] HttpRequest NewRequest(std::string method,
                                       std::string target) const;
  [[nodiscard]] CallOptions OptionsFor(Duration wait) const;

  LogClientOptions options;
  HttpClientPool pool;
};

}  // namespace teaselspread

#endif  // TEASELSPREAD_LOG_CLIENT_H_
