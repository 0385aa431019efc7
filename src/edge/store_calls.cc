#include "edge/store_calls.h"

#include <array>
#include <utility>

namespace teaselspread {
namespace {

enum class Operation : std::uint8_t { kReadNewest, kReadFrom, kAppend };

// StoreCall lists the streams in the order of RecordStream for each operation.
StoreCall CallOf(Operation operation, RecordStream stream) {
  constexpr auto kStreams = static_cast<std::size_t>(RecordStream::kCount);
  return static_cast<StoreCall>(static_cast<std::size_t>(operation) * kStreams +
                                static_cast<std::size_t>(stream));
}

}  // namespace

std::string_view NameOf(StoreCall call) {
  static constexpr std::array<std::string_view,
                              static_cast<std::size_t>(StoreCall::kCount)>
      kNames = {"newest-orders", "newest-nodes",  "newest-reports",
                "new-orders",    "new-nodes",     "new-reports",
                "append-order",  "register-node", "append-report"};
  return kNames.at(static_cast<std::size_t>(call));
}

RecordStore CountCalls(RecordStore store, CounterTable<StoreCall>& counters) {
  RecordStore counted = store;
  counted.read_newest = [call = std::move(store.read_newest), &counters](
                            RecordStream stream, const std::string& after,
                            std::function<void(RecordPage)> done) {
    counters.Add(CallOf(Operation::kReadNewest, stream));
    call(stream, after, std::move(done));
  };
  counted.read_from = [call = std::move(store.read_from), &counters](
                          RecordStream stream, std::uint64_t from,
                          Duration wait, std::function<void(RecordPage)> done) {
    counters.Add(CallOf(Operation::kReadFrom, stream));
    call(stream, from, wait, std::move(done));
  };
  counted.append = [call = std::move(store.append), &counters](
                       RecordStream stream, const StoredRecord& record,
                       std::optional<std::uint64_t> expected_end,
                       std::function<void(AppendResult)> done) {
    counters.Add(CallOf(Operation::kAppend, stream));
    call(stream, record, expected_end, std::move(done));
  };
  return counted;
}

}  // namespace teaselspread
