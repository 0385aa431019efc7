// Client of the platform's append-only log.
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
  // Names of the VM and its data centre, shown in the log's metrics.
  std::string vm;
  std::string data_center;
  Duration connect_timeout = std::chrono::seconds(1);
  // Of an append; of a read, in addition to the wait that it requests.
  Duration timeout = std::chrono::seconds(3);
  std::size_t max_batch_bytes = 64U << 20;
};

struct StoredRecord {
  std::uint64_t offset = 0;
  std::string bytes;

  bool operator==(const StoredRecord&) const = default;
};

struct ReadBatch {
  // In offset order; empty when none was appended within the wait.
  std::vector<StoredRecord> records;
  // Offset of the oldest record that the log still holds.
  std::uint64_t first_kept = 1;
  // Offset of the next record to be appended.
  std::uint64_t next = 1;
};

// A read that failed.
struct [[nodiscard]] LogReadError {
  Error error;
  // For kLogExpired: the oldest offset that can still be read.
  std::uint64_t first_kept = 0;
};

using ReadResult = tl::expected<ReadBatch, LogReadError>;

// Thread safe: concurrent calls use separate connections.
class LogClient {
 public:
  explicit LogClient(LogClientOptions settings);

  // Appends one record and returns its offset. Precondition: `stream` has only
  // characters that need no escaping in a path. Errors:
  //   kLogUnavailable: the record was certainly not stored;
  //   kAppendUnknown: no valid response; the record may have been stored.
  // Thread safe; blocks up to the timeout.
  [[nodiscard]] Result<std::uint64_t> Append(const std::string& stream,
                                             const std::string& bytes);

  // Reads at most `max` records with offsets from `from` on, and waits up to
  // `wait` for the first. Errors: kLogExpired with the first kept offset,
  // kLogUnavailable, kFrameMalformed when the response is malformed.
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
