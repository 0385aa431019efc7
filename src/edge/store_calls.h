// Counts the calls that a node makes to the store, by purpose: each one is
// priced and rate-limited by the platform, whatever its outcome.
#ifndef TEASELSPREAD_SRC_EDGE_STORE_CALLS_H_
#define TEASELSPREAD_SRC_EDGE_STORE_CALLS_H_

#include <cstdint>
#include <string_view>

#include "teaselspread/counters.h"
#include "teaselspread/record_store.h"

namespace teaselspread {

enum class StoreCall : std::uint8_t {
  // Newest record of each key, read at start or after records expired.
  kNewestOrders,
  kNewestNodes,
  kNewestReports,
  // Reads that wait for new records.
  kNewOrders,
  kNewNodes,
  kNewReports,
  // Appends; nodes do not append orders.
  kAppendOrder,
  kRegisterNode,
  kAppendReport,
  kCount,
};

// Stable name for logs and metrics. Thread safe.
[[nodiscard]] std::string_view NameOf(StoreCall call);

// A store that passes each call on and counts it. `counters` must outlive the
// result. Thread safe if `store` is.
[[nodiscard]] RecordStore CountCalls(RecordStore store,
                                     CounterTable<StoreCall>& counters);

}  // namespace teaselspread

#endif  // TEASELSPREAD_SRC_EDGE_STORE_CALLS_H_
