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

// Between two reads when changes come in quick succession: they are taken
// together instead of with a call each, and with one decoding of the last of
// them. A quarter of the time in which a change has to be in force.
constexpr Duration kGatherTime = std::chrono::milliseconds(500);
// A read that is this late, and of whose answer nothing comes, is asked again
// on another connection, and again as often: a store that fell silent gives no
// sign of its return on the old one.
// The late one still counts if it comes.
constexpr Duration kOverdueAfter = std::chrono::milliseconds(700);
constexpr Duration kRetryBase = std::chrono::milliseconds(100);
constexpr Duration kRetryCap = std::chrono::milliseconds(700);

}  // namespace

StreamWatch::StreamWatch(boost::asio::io_context& io,
                         const RecordStore& record_store,
                         RecordStream of,
                         RecordHandler handler)
    : store(record_store),
      stream(of),
      on_record(std::move(handler)),
      timer(io),
      rng(std::random_device{}()) {
  this->backoff.base = kRetryBase;
  this->backoff.cap = kRetryCap;
}

void StreamWatch::SetRole(ReaderRole now) {
  if (now == this->role)
    return;
  const ReaderRole before = std::exchange(this->role, now);
  Log(LogLevel::kInfo, "store", "role",
      {{"stream", NameOf(this->stream)},
       {"from", NameOf(before)},
       {"to", NameOf(now)}});
  // The first reader does not rely on a read that was sent to wait for long.
  const bool ask_now = !this->busy || now == ReaderRole::kFirst;
  if (this->complete && this->Follows() && ask_now) {
    this->NextRound();
    this->Attempt();
  }
}

bool StreamWatch::Follows() const {
  return this->role != ReaderRole::kNonReader;
}

void StreamWatch::Later(Duration wait, std::function<void()> task) {
  this->timer.expires_after(wait);
  this->timer.async_wait([lives = this->alive, task = std::move(task)](
                             boost::system::error_code error) {
    if (!error && *lives)
      task();
  });
}

// A lost or regained store is told once.
void StreamWatch::TellTouch(bool touched, StoreOutcome outcome) {
  if (touched == this->in_touch && this->ever_told)
    return;
  this->ever_told = true;
  this->in_touch = touched;
  Log(touched ? LogLevel::kInfo : LogLevel::kWarning, "store",
      touched ? "regained" : "lost",
      {{"stream", NameOf(this->stream)}, {"outcome", NameOf(outcome)}});
}

void StreamWatch::NextRound() {
  ++this->round;
  this->overdue = false;
  this->busy = false;
  this->attempts = 0;
  this->timer.cancel();
}

void StreamWatch::Attempt() {
  // Without touch the question is whether the store is back: it is answered at
  // once, not when something new was written.
  const Duration wait = this->complete && this->in_touch && !this->overdue
                            ? ReadWaitOf(this->role)
                            : Duration{0};
  this->busy = true;
  if (this->attempts++ == 0)
    this->round_began = SteadyNow();
  this->Later(wait + kOverdueAfter, [this] { this->OnOverdue(); });
  const auto done = [this, lives = this->alive,
                     asked = this->round](const RecordPage& page) {
    if (*lives && asked == this->round)
      this->OnPage(page);
  };
  if (this->complete)
    this->store.read_from(this->stream, this->next, wait, done);
  else
    this->store.read_newest(this->stream, this->after, done);
}

// Bytes of the answer still come: asked again they would share the line with
// another copy of themselves.
std::optional<Duration> StreamWatch::UntilSilent() const {
  if (!this->store.last_received)
    return std::nullopt;
  const Duration silent = SteadyNow() - this->store.last_received(this->stream);
  if (silent >= kOverdueAfter)
    return std::nullopt;
  return kOverdueAfter - silent;
}

void StreamWatch::OnOverdue() {
  if (const auto wait = this->UntilSilent()) {
    this->Later(*wait, [this] { this->OnOverdue(); });
    return;
  }
  this->overdue = true;
  this->TellTouch(false, StoreOutcome::kUnknown);
  if (this->complete && !this->Follows()) {
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
                         SteadyNow() - this->round_began)
                         .count()}});
  }
  if (page.outcome == StoreOutcome::kOk) {
    this->NextRound();
    Reset(this->backoff);
    this->TellTouch(true, page.outcome);
    if (this->complete)
      this->OnMore(page);
    else
      this->OnNewest(page);
    return;
  }
  if (page.outcome != StoreOutcome::kExpired) {
    this->OnFailure(page.outcome);
    return;
  }
  // What was dropped unread may have held the newest record of a key.
  this->NextRound();
  this->TellTouch(true, page.outcome);
  this->complete = false;
  this->after.clear();
  this->next = 0;
  this->Attempt();
}

void StreamWatch::OnFailure(StoreOutcome outcome) {
  this->TellTouch(false, outcome);
  // The next attempt of an overdue round is on its way already.
  if (this->overdue && outcome == StoreOutcome::kUnknown)
    return;
  if (this->complete && !this->Follows()) {
    this->NextRound();
    return;
  }
  this->Later(NextDelay(this->backoff, this->rng), [this] { this->Attempt(); });
}

void StreamWatch::OnNewest(const RecordPage& page) {
  for (const StoredRecord& record : page.records)
    this->on_record(record);
  // Pages are not read at one moment: what changed meanwhile is read again
  // from the end that the first page named.
  if (this->next == 0 || page.next_offset < this->next)
    this->next = page.next_offset;
  if (page.has_more && !page.records.empty()) {
    this->after = page.records.back().key;
    this->Attempt();
    return;
  }
  this->after.clear();
  this->complete = true;
  if (this->Follows())
    this->Attempt();
}

// Of records that came together only the last of each key is of use; taking in
// each configuration of a quick succession would cost milliseconds apiece.
void StreamWatch::TakeNewest(const std::vector<StoredRecord>& records) {
  std::map<std::string_view, const StoredRecord*> last;
  for (const StoredRecord& record : records)
    last[record.key] = &record;
  for (const StoredRecord& record : records) {
    if (last[record.key] == &record)
      this->on_record(record);
  }
}

void StreamWatch::OnMore(const RecordPage& page) {
  this->TakeNewest(page.records);
  this->next = page.next_offset;
  if (!this->Follows())
    return;
  if (page.records.empty()) {
    this->Attempt();
    return;
  }
  this->busy = true;
  this->Later(kGatherTime, [this] { this->Attempt(); });
}

}  // namespace teaselspread
