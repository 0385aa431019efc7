// Durable storage: keyed records in the store that the platform runs.
//
// The node uses this interface; an adapter implements it over the store's own
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

// Outcome of a call. After kUnknown it may have been executed, or may yet be.
enum class StoreOutcome : std::uint8_t {
  kOk,
  // Above the agreed call rate; nothing was done.
  kThrottled,
  // Nothing was done.
  kUnavailable,
  // The requested records have expired.
  kExpired,
  // The condition of an append did not hold; nothing was done.
  kConflict,
  // No response was received.
  kUnknown,
  kMalformed,
  kCount,
};

// Stable name for logs and metrics. Thread safe.
[[nodiscard]] std::string_view NameOf(StoreOutcome outcome);

// Operators' orders, the list of nodes, and reports for operators.
enum class RecordStream : std::uint8_t { kOrders, kNodes, kReports, kCount };

// Stable name for logs and metrics. Thread safe.
[[nodiscard]] std::string_view NameOf(RecordStream stream);

struct StoredRecord {
  std::string key;
  // Empty: the key was removed.
  std::string value;
  // Increases with each record of the stream; 0 if not given.
  std::uint64_t revision = 0;
};

struct RecordPage {
  StoreOutcome outcome = StoreOutcome::kUnknown;
  std::vector<StoredRecord> records;
  // Offset at which the next read continues.
  std::uint64_t next_offset = 0;
  // For read_newest: more keys follow, to be read after the last one.
  bool has_more = false;
};

struct AppendResult {
  StoreOutcome outcome = StoreOutcome::kUnknown;
  // The stream's end after the append, or its current end after a conflict.
  std::uint64_t end = 0;
};

// Each function with a `done` returns at once and calls it once, later.
struct RecordStore {
  // Reads records of `stream` from offset `from` on; waits up to `wait` for
  // one.
  std::function<void(RecordStream stream,
                     std::uint64_t from,
                     Duration wait,
                     std::function<void(RecordPage)> done)>
      read_from;
  // Reads the newest record of each key after `after`, in the order of the
  // keys.
  std::function<void(RecordStream stream,
                     const std::string& after,
                     std::function<void(RecordPage)> done)>
      read_newest;
  // When bytes of a response to a read of `stream` last arrived; the epoch
  // before the first. Distinguishes a slow response from a lost one. May be
  // empty.
  std::function<TimePoint(RecordStream stream)> last_received;
  // Appends a record; with `expected_end` only if the stream ends there.
  std::function<void(RecordStream stream,
                     const StoredRecord& record,
                     std::optional<std::uint64_t> expected_end,
                     std::function<void(AppendResult)> done)>
      append;
};

}  // namespace teaselspread

#endif  // TEASELSPREAD_RECORD_STORE_H_
