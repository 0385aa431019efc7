// Follows one stream of the store: the newest record of each key first, then
// what is added, for as long as this node is one of its readers.
//
// Belongs to the thread that runs the loop.
#ifndef TEASELSPREAD_SRC_EDGE_STREAM_WATCH_H_
#define TEASELSPREAD_SRC_EDGE_STREAM_WATCH_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
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

  // Precondition: `record_store` outlives the watch.
  StreamWatch(boost::asio::io_context& io,
              const RecordStore& record_store,
              RecordStream of,
              RecordHandler handler);
  StreamWatch(const StreamWatch&) = delete;
  StreamWatch& operator=(const StreamWatch&) = delete;
  ~StreamWatch() { *this->alive = false; }

  // Reads the newest records, whatever the role, and follows the stream if the
  // role says so. Call it once.
  void Start() { this->Attempt(); }

  // A reader goes on reading; a node that is told stops after the read that is
  // under way.
  void SetRole(ReaderRole now);

  // Whether the last call was answered in time.
  [[nodiscard]] bool InTouch() const { return this->in_touch; }
  [[nodiscard]] ReaderRole Role() const { return this->role; }

  CounterTable<StoreOutcome> outcomes;

 private:
  [[nodiscard]] bool Follows() const;
  void Attempt();
  void NextRound();
  void OnOverdue();
  // None when nothing of an answer has come for long.
  [[nodiscard]] std::optional<Duration> UntilSilent() const;
  void OnPage(const RecordPage& page);
  void OnFailure(StoreOutcome outcome);
  void OnNewest(const RecordPage& page);
  void OnMore(const RecordPage& page);
  void TakeNewest(const std::vector<StoredRecord>& records);
  void TellTouch(bool touched, StoreOutcome outcome);
  void Later(Duration wait, std::function<void()> task);

  const RecordStore& store;
  RecordStream stream;
  RecordHandler on_record;
  boost::asio::steady_timer timer;
  ReaderRole role = ReaderRole::kFirst;
  // Attempts of one round ask the same question; the first answer ends it.
  std::uint64_t round = 0;
  int attempts = 0;
  TimePoint round_began;
  // An attempt of this round has had no answer in time.
  bool overdue = false;
  // A question is open, or will be asked soon.
  bool busy = false;
  // The newest records were read to the end.
  bool complete = false;
  // Last key of the pages read so far, while they are not complete.
  std::string after;
  std::uint64_t next = 0;
  bool in_touch = false;
  bool ever_told = false;
  Backoff backoff;
  Rng rng;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace teaselspread

#endif  // TEASELSPREAD_SRC_EDGE_STREAM_WATCH_H_
