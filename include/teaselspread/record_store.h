// What has to last: keyed records in the store that the platform runs.
//
// The node says what it needs in these terms; an adapter speaks the store's own
// protocol. All functions belong to the thread that runs the node's loop.
#ifndef TEASELSPREAD_RECORD_STORE_H_
#define TEASELSPREAD_RECORD_STORE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "teaselspread/types.h"

namespace teaselspread {

// How a call ended. After kUnknown it may have been executed, or may yet be.
enum class StoreOutcome : std::uint8_t {
  kOk,
  // Over the agreed rate of calls; nothing was done.
  kThrottled,
  // Nothing was done.
  kUnavailable,
  // The records that were asked for have expired.
  kExpired,
  // The condition of an append did not hold; nothing was done.
  kConflict,
  // No answer came.
  kUnknown,
  kMalformed,
  kCount,
};

// Stable name for logs and metrics. Thread safe.
[[nodiscard]] std::string_view NameOf(StoreOutcome outcome);

// Operators' orders, the nodes' own list, and what operators read.
enum class RecordStream : std::uint8_t { kOrders, kNodes, kReports, kCount };

// Stable name for logs and metrics. Thread safe.
[[nodiscard]] std::string_view NameOf(RecordStream stream);

struct StoredRecord {
  std::string key;
  // Empty: the key was removed.
  std::string value;
};

struct RecordPage {
  StoreOutcome outcome = StoreOutcome::kUnknown;
  std::vector<StoredRecord> records;
  // Where the next read goes on.
  std::uint64_t next_offset = 0;
  // For ReadNewest: ask again after the last key.
  bool has_more = false;
};

struct AppendResult {
  StoreOutcome outcome = StoreOutcome::kUnknown;
  // The stream's end after the append, or what it is after a conflict.
  std::uint64_t end = 0;
};

// Each function returns at once and calls its last argument once, later.
struct RecordStore {
  // Records of `stream` from offset `from` on; waits up to `wait` for one.
  std::function<void(RecordStream stream,
                     std::uint64_t from,
                     Duration wait,
                     std::function<void(RecordPage)> done)>
      read_from;
  // The newest record of each key, in the order of the keys, after `after`.
  std::function<void(RecordStream stream,
                     const std::string& after,
                     std::function<void(RecordPage)> done)>
      read_newest;
  // When bytes of an answer to a read of `stream` came last; the epoch before
  // the first. An answer that comes slowly is not lost. May be empty.
  std::function<TimePoint(RecordStream stream)> last_received;
  // Adds a record; with `expected_end` only if the stream ends there.
  std::function<void(RecordStream stream,
                     const StoredRecord& record,
                     std::optional<std::uint64_t> expected_end,
                     std::function<void(AppendResult)> done)>
      append;
};

}  // namespace teaselspread

#endif  // TEASELSPREAD_RECORD_STORE_H_
