#include "edge/stream_watch.h"

#include <criterion/criterion.h>

#include <chrono>
#include <string>
#include <utility>
#include <vector>

namespace teaselspread {
namespace {

// A store that returns the given pages, and then does not respond.
struct PagedStore {
  std::vector<RecordPage> pages;
  RecordStore store;

  PagedStore() {
    this->store.read_newest = [](RecordStream, const std::string&,
                                 const std::function<void(RecordPage)>& done) {
      done({StoreOutcome::kOk, {}, 0, false});
    };
    this->store.read_from = [this](
                                RecordStream, std::uint64_t from, Duration,
                                const std::function<void(RecordPage)>& done) {
      if (from < this->pages.size())
        done(this->pages[from]);
    };
  }
};

RecordPage PageOf(std::vector<StoredRecord> records, std::uint64_t next) {
  return {StoreOutcome::kOk, std::move(records), next, false};
}

// Operators publish several times within a second, and a node that was busy
// reads all records at once. Processing each configuration would cost
// milliseconds apiece, though only the last one takes effect.
Test(stream_watch, only_the_last_record_of_each_key_is_delivered) {
  boost::asio::io_context loop;
  PagedStore paged;
  paged.pages.push_back(PageOf(
      {{"config", "1"}, {"move/desk", "v2"}, {"config", "2"}, {"config", "3"}},
      1));
  std::vector<std::string> delivered;
  StreamWatch watch(
      loop, paged.store, RecordStream::kOrders,
      [&](const StoredRecord& record) { delivered.push_back(record.value); });
  watch.Start();
  loop.poll();
  const std::vector<std::string> expected = {"v2", "3"};
  cr_assert(delivered == expected);
  cr_assert(watch.StoreReachable());
}

// Guards against a change that a node never learns of, because those that are
// chosen to read it do not.
Test(stream_watch, a_node_that_is_no_reader_checks_now_and_then) {
  boost::asio::io_context loop;
  PagedStore paged;
  std::vector<std::string> delivered;
  StreamWatch watch(
      loop, paged.store, RecordStream::kOrders,
      [&](const StoredRecord& record) { delivered.push_back(record.value); });
  watch.SetCheckInterval(std::chrono::milliseconds(20));
  watch.SetRole(ReaderRole::kNonReader);
  watch.Start();
  loop.poll();
  paged.pages.push_back(PageOf({{"config", "7"}}, 1));
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
  while (delivered.empty() && std::chrono::steady_clock::now() < end)
    loop.run_for(std::chrono::milliseconds(5));
  cr_assert(delivered == std::vector<std::string>{"7"});
}

}  // namespace
}  // namespace teaselspread
