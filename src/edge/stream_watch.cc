#include "edge/stream_watch.h"

#include <map>
#include <optional>
#include <random>
#include <string_view>
#include <utility>

#include "base/clock.h"
#include "teaselspread/logging.h"

namespace teaselspread {
namespace {

// Delay between two reads when changes arrive in quick succession: they are
// read with one call, and only the last of them is decoded. It is a quarter of
// the time in which a change has to be in force.
constexpr Duration kCoalesceDelay = std::chrono::milliseconds(500);
// A read that is this late and receives no bytes is retried on another
// connection, at this interval: a store that stopped responding does not resume
// on the old connection when it is back. A late response to the first read is
// still used.
constexpr Duration kOverdueAfter = std::chrono::milliseconds(700);
constexpr Duration kMinRetryDelay = std::chrono::milliseconds(100);
constexpr Duration kMaxRetryDelay = std::chrono::milliseconds(700);

}  // namespace

StreamWatch::StreamWatch(boost::asio::io_context& io,
                         const RecordStore& record_store,
                         RecordStream of,
                         RecordHandler handler)
    : store(record_store),
      stream(of),
      on_record(std::move(handler)),
      timer(io),
      check_timer(io),
      rng(std::random_device{}()) {
  this->backoff.base = kMinRetryDelay;
  this->backoff.cap = kMaxRetryDelay;
}

void StreamWatch::SetRole(ReaderRole new_role) {
  if (new_role == this->role)
    return;
  const ReaderRole before = std::exchange(this->role, new_role);
  Log(LogLevel::kInfo, "store", "role",
      {{"stream", NameOf(this->stream)},
       {"from", NameOf(before)},
       {"to", NameOf(new_role)}});
  if (!this->ReadsStream())
    this->ScheduleCheck();
  // The first reader does not wait for a pending read that was sent with a
  // longer wait time.
  const bool attempt_now = !this->busy || new_role == ReaderRole::kFirst;
  if (this->newest_read && this->ReadsStream() && attempt_now) {
    this->NextRound();
    this->Attempt();
  }
}

bool StreamWatch::ReadsStream() const {
  return this->role != ReaderRole::kNonReader;
}

void StreamWatch::ScheduleCheck() {
  if (this->check_interval <= Duration{0})
    return;
  std::uniform_int_distribution<Duration::rep> delay(
      this->check_interval.count(), 2 * this->check_interval.count());
  this->check_timer.expires_after(Duration(delay(this->rng)));
  this->check_timer.async_wait(
      [this, lives = this->alive](boost::system::error_code error) {
        if (!error && *lives)
          this->Check();
      });
}

void StreamWatch::Check() {
  if (this->ReadsStream())
    return;
  if (this->newest_read && !this->busy) {
    this->NextRound();
    this->Attempt();
  }
  this->ScheduleCheck();
}

void StreamWatch::RunAfter(Duration wait, std::function<void()> task) {
  this->timer.expires_after(wait);
  this->timer.async_wait([lives = this->alive, task = std::move(task)](
                             boost::system::error_code error) {
    if (!error && *lives)
      task();
  });
}

// Logs each change of reachability once.
void StreamWatch::SetReachable(bool reachable, StoreOutcome outcome) {
  if (reachable == this->store_reachable && this->reachability_logged)
    return;
  this->reachability_logged = true;
  this->store_reachable = reachable;
  Log(reachable ? LogLevel::kInfo : LogLevel::kWarning, "store",
      reachable ? "regained" : "lost",
      {{"stream", NameOf(this->stream)}, {"outcome", NameOf(outcome)}});
}

void StreamWatch::NextRound() {
  ++this->round;
  this->overdue = false;
  this->busy = false;
  this->attempts = 0;
  this->timer.cancel();
}

// While the store is unreachable, a query only checks whether it is back: the
// store must respond at once instead of waiting for new records.
Duration StreamWatch::ReadWait() const {
  const bool may_wait = this->newest_read && this->store_reachable &&
                        !this->overdue && this->ReadsStream();
  return may_wait ? ReadWaitOf(this->role) : Duration{0};
}

void StreamWatch::Attempt() {
  const Duration wait = this->ReadWait();
  this->busy = true;
  if (this->attempts++ == 0)
    this->round_started_at = SteadyNow();
  this->RunAfter(wait + kOverdueAfter, [this] { this->OnOverdue(); });
  const auto done = [this, lives = this->alive,
                     attempt_round = this->round](const RecordPage& page) {
    if (*lives && attempt_round == this->round)
      this->OnPage(page);
  };
  if (this->newest_read)
    this->store.read_from(this->stream, this->next_offset, wait, done);
  else
    this->store.read_newest(this->stream, this->after_key, done);
}

// While bytes of the response still arrive the read is not retried: a second
// copy of the response would share the bandwidth with the first.
std::optional<Duration> StreamWatch::RemainingReceiveTime() const {
  if (!this->store.last_received)
    return std::nullopt;
  const Duration since_bytes =
      SteadyNow() - this->store.last_received(this->stream);
  if (since_bytes >= kOverdueAfter)
    return std::nullopt;
  return kOverdueAfter - since_bytes;
}

void StreamWatch::OnOverdue() {
  if (const auto wait = this->RemainingReceiveTime()) {
    this->RunAfter(*wait, [this] { this->OnOverdue(); });
    return;
  }
  this->overdue = true;
  this->SetReachable(false, StoreOutcome::kUnknown);
  if (this->newest_read && !this->ReadsStream()) {
    this->NextRound();
    return;
  }
  this->Attempt();
}

void StreamWatch::OnPage(const RecordPage& page) {
  this->outcomes.Add(page.outcome);
  if (!page.records.empty()) {
    Log(LogLevel::kInfo, "store", "page",
        {{"stream", NameOf(this->stream)},
         {"records", page.records.size()},
         {"attempts", this->attempts},
         {"took_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                         SteadyNow() - this->round_started_at)
                         .count()}});
  }
  if (page.outcome == StoreOutcome::kOk) {
    this->NextRound();
    Reset(this->backoff);
    this->SetReachable(true, page.outcome);
    if (this->newest_read)
      this->OnAppended(page);
    else
      this->OnNewest(page);
    return;
  }
  if (page.outcome != StoreOutcome::kExpired) {
    this->OnFailure(page.outcome);
    return;
  }
  // The records deleted before they were read may include the newest one of a
  // key.
  this->NextRound();
  this->SetReachable(true, page.outcome);
  this->newest_read = false;
  this->after_key.clear();
  this->newest_keys.clear();
  this->next_offset = 0;
  this->Attempt();
}

void StreamWatch::OnFailure(StoreOutcome outcome) {
  this->SetReachable(false, outcome);
  // The next attempt of an overdue round is in flight already.
  if (this->overdue && outcome == StoreOutcome::kUnknown)
    return;
  if (this->newest_read && !this->ReadsStream()) {
    this->NextRound();
    return;
  }
  this->RunAfter(NextDelay(this->backoff, this->rng),
                 [this] { this->Attempt(); });
}

void StreamWatch::OnNewest(const RecordPage& page) {
  for (const StoredRecord& record : page.records) {
    this->newest_keys.insert(record.key);
    this->on_record(record);
  }
  // The pages are not one consistent snapshot: records that changed meanwhile
  // are read again, from the end offset of the first page.
  if (this->next_offset == 0 || page.next_offset < this->next_offset)
    this->next_offset = page.next_offset;
  if (page.has_more && !page.records.empty()) {
    this->after_key = page.records.back().key;
    this->Attempt();
    return;
  }
  this->after_key.clear();
  this->newest_read = true;
  const auto keys = std::exchange(this->newest_keys, {});
  if (this->on_newest_read)
    this->on_newest_read(keys, this->next_offset);
  if (this->ReadsStream())
    this->Attempt();
}

// Of records read together only the last one of each key matters; processing
// each configuration of a quick succession would cost milliseconds apiece.
void StreamWatch::DeliverNewest(const std::vector<StoredRecord>& records) {
  std::map<std::string_view, const StoredRecord*> last;
  for (const StoredRecord& record : records)
    last[record.key] = &record;
  for (const StoredRecord& record : records) {
    if (last[record.key] == &record)
      this->on_record(record);
  }
}

void StreamWatch::OnAppended(const RecordPage& page) {
  this->DeliverNewest(page.records);
  this->next_offset = page.next_offset;
  if (!this->ReadsStream())
    return;
  if (page.records.empty()) {
    this->Attempt();
    return;
  }
  this->busy = true;
  this->RunAfter(kCoalesceDelay, [this] { this->Attempt(); });
}

}  // namespace teaselspread
