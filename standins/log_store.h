// The streams of the log stand-in: append-only records with offsets from 1.
#ifndef TEASELSPREAD_STANDINS_LOG_STORE_H_
#define TEASELSPREAD_STANDINS_LOG_STORE_H_

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace standin {

// How long records are kept; 0 means without end.
struct Retention {
  std::chrono::milliseconds age{0};
  std::size_t count = 0;
};

struct LogRecord {
  std::uint64_t offset = 0;
  std::string bytes;
  std::chrono::steady_clock::time_point appended;
};

// What one read found.
struct LogBatch {
  std::vector<LogRecord> records;
  std::uint64_t first_kept = 1;
  // The offset that the next append will get.
  std::uint64_t next = 1;
};

// Thread safe.
class LogStore {
 public:
  explicit LogStore(Retention keep) : retention(keep) {}

  // The offset of the new record.
  std::uint64_t Append(const std::string& stream, std::string bytes) {
    const std::scoped_lock lock(this->gate);
    Stream& target = this->streams[stream];
    const std::uint64_t offset = target.next++;
    target.records.push_back(
        {offset, std::move(bytes), std::chrono::steady_clock::now()});
    this->Expire(target);
    this->appended.notify_all();
    return offset;
  }

  // Records from `from` on, at most `max`; waits up to `wait` for the first.
  LogBatch Read(const std::string& stream,
                std::uint64_t from,
                std::size_t max,
                std::chrono::milliseconds wait) {
    std::unique_lock lock(this->gate);
    Stream& source = this->streams[stream];
    this->appended.wait_for(lock, wait, [&] { return source.next > from; });
    this->Expire(source);
    LogBatch batch{{}, source.next - source.records.size(), source.next};
    for (const LogRecord& record : source.records) {
      if (record.offset >= from && batch.records.size() < max)
        batch.records.push_back(record);
    }
    return batch;
  }

 private:
  struct Stream {
    std::deque<LogRecord> records;
    std::uint64_t next = 1;
  };

  void Expire(Stream& stream) const {
    const auto oldest = std::chrono::steady_clock::now() - this->retention.age;
    auto& records = stream.records;
    while (!records.empty()) {
      const bool old =
          this->retention.age.count() > 0 && records.front().appended < oldest;
      const bool many =
          this->retention.count > 0 && records.size() > this->retention.count;
      if (!old && !many)
        return;
      records.pop_front();
    }
  }

  Retention retention;
  std::mutex gate;
  std::condition_variable appended;
  std::map<std::string, Stream> streams;
};

}  // namespace standin

#endif  // TEASELSPREAD_STANDINS_LOG_STORE_H_
