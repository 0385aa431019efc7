// Follows one stream of the store: reads the newest record of each key first,
// then the appended records for as long as this node is one of the readers.
//
// Must be used on the thread that runs the loop.
#ifndef TEASELSPREAD_SRC_EDGE_STREAM_WATCH_H_
#define TEASELSPREAD_SRC_EDGE_STREAM_WATCH_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "teaselspread/backoff.h"
#include "teaselspread/counters.h"
#include "teaselspread/order_readers.h"
#include "teaselspread/record_store.h"
#include "teaselspread/types.h"

namespace teaselspread {

// Not thread safe.
class StreamWatch {
 public:
  using RecordHandler = std::function<void(const StoredRecord&)>;
  // `keys`: of the newest records, all of which were delivered. A key that is
  // not among them was removed before `revision`.
  using NewestHandler =
      std::function<void(const std::set<std::string, std::less<>>& keys,
                         std::uint64_t revision)>;

  // Precondition: `record_store` outlives the watch.
  StreamWatch(boost::asio::io_context& io,
              const RecordStore& record_store,
              RecordStream of,
              RecordHandler handler);
  StreamWatch(const StreamWatch&) = delete;
  StreamWatch& operator=(const StreamWatch&) = delete;
  ~StreamWatch() { *this->alive = false; }

  // `handler` is called each time that the newest records were read to the end.
  // Call it before Start.
  void OnNewestRead(NewestHandler handler) {
    this->on_newest_read = std::move(handler);
  }

  // Reads the newest records, whatever the role, and follows the stream if the
  // role says so. Call it once.
  void Start() { this->Attempt(); }

  // A reader keeps reading; a node in the role kNonReader stops after the
  // read in flight.
  void SetRole(ReaderRole new_role);

  // In the role kNonReader, reads once at a random moment between one and two
  // such intervals after the last read: whatever keeps the readers from their
  // task, or from being chosen, must not last. 0 for never.
  void SetCheckInterval(Duration interval) { this->check_interval = interval; }

  // Whether the last call had a response in time.
  [[nodiscard]] bool StoreReachable() const { return this->store_reachable; }
  [[nodiscard]] ReaderRole Role() const { return this->role; }

  CounterTable<StoreOutcome> outcomes;

 private:
  [[nodiscard]] bool ReadsStream() const;
  // Time for which the next read may wait for new records.
  [[nodiscard]] Duration ReadWait() const;
  void ScheduleCheck();
  void Check();
  void Attempt();
  void NextRound();
  void OnOverdue();
  // Time until the read counts as overdue; none if no bytes of a response were
  // received for kOverdueAfter.
  [[nodiscard]] std::optional<Duration> RemainingReceiveTime() const;
  void OnPage(const RecordPage& page);
  void OnFailure(StoreOutcome outcome);
  void OnNewest(const RecordPage& page);
  void OnAppended(const RecordPage& page);
  void DeliverNewest(const std::vector<StoredRecord>& records);
  void SetReachable(bool reachable, StoreOutcome outcome);
  void RunAfter(Duration wait, std::function<void()> task);

  const RecordStore& store;
  RecordStream stream;
  RecordHandler on_record;
  boost::asio::steady_timer timer;
  boost::asio::steady_timer check_timer;
  Duration check_interval{};
  ReaderRole role = ReaderRole::kFirst;
  // Attempts of one round send the same query; the first response ends it.
  std::uint64_t round = 0;
  int attempts = 0;
  TimePoint round_started_at;
  // An attempt of this round had no response in time.
  bool overdue = false;
  // A query is in flight, or will be sent soon.
  bool busy = false;
  // The newest records were read to the end.
  bool newest_read = false;
  // Last key of the pages read so far, while they are not complete.
  std::string after_key;
  std::set<std::string, std::less<>> newest_keys;
  NewestHandler on_newest_read;
  std::uint64_t next_offset = 0;
  bool store_reachable = false;
  bool reachability_logged = false;
  Backoff backoff;
  Rng rng;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace teaselspread

#endif  // TEASELSPREAD_SRC_EDGE_STREAM_WATCH_H_
