#include "node/log_service.h"

#include <array>
#include <random>
#include <utility>

#include <boost/asio/post.hpp>

#include "node/requests.h"
#include "teaselspread/backoff.h"

namespace teaselspread {
namespace {

constexpr std::array<std::string_view,
                     static_cast<std::size_t>(LogEvent::kCount)>
    kEventNames = {"read",          "read-failed",    "read-expired",
                   "appended",      "append-refused", "append-unknown",
                   "append-dropped"};

constexpr std::size_t kRecordsAtATime = 256;
constexpr Duration kFirstPause = std::chrono::milliseconds(100);
constexpr Duration kLongestPause = std::chrono::seconds(3);
// Records that wait for the log; their senders offer them again, so the oldest
// may go.
constexpr std::size_t kMostAppends = 64;

using ReadPost = std::function<void(LogBatch)>;

struct Position {
  LogOffset from = 1;
  std::uint64_t generation = 0;
};

// Waits until there is something to read; false when the service stops.
bool AwaitReading(LogService& service, Position& position) {
  std::unique_lock lock(service.gate);
  service.changed.wait(lock,
                       [&] { return service.reading || service.stopping; });
  position = {service.from, service.generation};
  return !service.stopping;
}

// Pauses before the next try: all readers lose the log at the same moment.
void Pause(LogService& service, Backoff& backoff, Rng& rng) {
  const Duration length = NextDelay(backoff, rng);
  std::unique_lock lock(service.gate);
  service.changed.wait_for(lock, length, [&] { return service.stopping; });
}

// One read; false when it failed for a reason that a pause may mend.
bool ReadOnce(LogService& service,
              const Position& position,
              const ReadPost& post) {
  LogBatch batch;
  batch.read_started = SystemNow();
  const ReadResult read =
      service.client->Read(StreamOf(service.deployment), position.from,
                           kRecordsAtATime, service.timings.log_poll);
  LogOffset next = position.from;
  if (!read) {
    if (read.error().error.kind != ErrorKind::kLogExpired) {
      service.counters.Add(LogEvent::kReadFailed);
      return false;
    }
    service.counters.Add(LogEvent::kReadExpired);
    batch.first_kept = read.error().first_kept;
    next = batch.first_kept;
  } else {
    service.counters.Add(LogEvent::kRead);
    for (const StoredRecord& record : read->records) {
      batch.records.emplace_back(record.offset, record.bytes);
      next = record.offset + 1;
    }
    batch.reached_end = next >= read->next;
  }
  {
    const std::scoped_lock lock(service.gate);
    if (service.generation != position.generation || !service.reading)
      return true;
    service.from = next;
  }
  post(std::move(batch));
  return true;
}

void ReadForever(LogService& service, const ReadPost& post) {
  Rng rng{std::random_device{}()};
  Backoff backoff{kFirstPause, kLongestPause};
  Position position;
  while (AwaitReading(service, position)) {
    if (ReadOnce(service, position, post))
      Reset(backoff);
    else
      Pause(service, backoff, rng);
  }
}

bool NextAppend(LogService& service, std::string& bytes) {
  std::unique_lock lock(service.gate);
  service.changed.wait(
      lock, [&] { return !service.appends.empty() || service.stopping; });
  if (service.stopping)
    return false;
  bytes = std::move(service.appends.front());
  service.appends.pop_front();
  return true;
}

void AppendForever(LogService& service) {
  std::string bytes;
  while (NextAppend(service, bytes)) {
    const auto offset =
        service.client->Append(StreamOf(service.deployment), bytes);
    if (offset)
      service.counters.Add(LogEvent::kAppended);
    else if (offset.error().kind == ErrorKind::kAppendUnknown)
      service.counters.Add(LogEvent::kAppendUnknown);
    else
      service.counters.Add(LogEvent::kAppendRefused);
  }
}

void QueueAppend(LogService& service, const AppendToLog& append) {
  const std::scoped_lock lock(service.gate);
  if (service.appends.size() >= kMostAppends) {
    service.appends.pop_front();
    service.counters.Add(LogEvent::kAppendDropped);
  }
  service.appends.push_back(append.bytes);
  service.changed.notify_all();
}

LogClientOptions OptionsOf(const LogService& service) {
  LogClientOptions options;
  options.log = service.settings.address;
  options.vm = service.vm;
  options.data_center = service.data_center;
  options.timeout = service.timings.log_timeout;
  return options;
}

}  // namespace

std::string_view NameOf(LogEvent event) {
  return kEventNames.at(static_cast<std::size_t>(event));
}

std::string StreamOf(const std::string& deployment) {
  return "teaselspread-" + deployment;
}

void StartLogService(Kernel& kernel,
                     LogService& service,
                     boost::asio::io_context& io,
                     const std::function<void()>& advance) {
  service.client = std::make_unique<LogClient>(OptionsOf(service));
  kernel.Register<ReadLog>(kLogService, [&service](const ReadLog& message) {
    const std::scoped_lock lock(service.gate);
    service.reading = true;
    service.from = message.from;
    ++service.generation;
    service.changed.notify_all();
  });
  kernel.Register<StopReading>(kLogService, [&service](const StopReading&) {
    const std::scoped_lock lock(service.gate);
    service.reading = false;
  });
  kernel.Register<AppendToLog>(
      kLogService,
      [&service](const AppendToLog& append) { QueueAppend(service, append); });
  const ReadPost post = [&kernel, &io, advance](LogBatch batch) {
    boost::asio::post(io, [&kernel, advance, batch = std::move(batch)] {
      kernel.Post(kConfigService, batch);
      advance();
    });
  };
  service.reader =
      std::thread([&service, post] { ReadForever(service, post); });
  service.appender = std::thread([&service] { AppendForever(service); });
}

void StopLogService(LogService& service) {
  {
    const std::scoped_lock lock(service.gate);
    service.stopping = true;
    service.changed.notify_all();
  }
  if (service.reader.joinable())
    service.reader.join();
  if (service.appender.joinable())
    service.appender.join();
}

}  // namespace teaselspread
