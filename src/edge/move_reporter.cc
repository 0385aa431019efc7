#include "edge/move_reporter.h"

#include "base/clock.h"
#include "teaselspread/logging.h"

namespace teaselspread {
namespace {

// The node of the next rank writes when nothing was reported for this long: the
// one before it may be gone or may not reach the store.
constexpr Duration kTurnTime = std::chrono::milliseconds(700);
// After a call that failed.
constexpr Duration kRetryAfter = std::chrono::milliseconds(250);

}  // namespace

void MoveReporter::Read() {
  if (this->busy)
    return;
  this->busy = true;
  this->adapter.store.read_newest(
      RecordStream::kReports, "",
      [this, lives = this->alive](const RecordPage& page) {
        if (!*lives)
          return;
        this->busy = false;
        this->next_try = SteadyNow() + kRetryAfter;
        if (page.outcome == StoreOutcome::kOk) {
          this->read_once = true;
          this->TakePage(page);
        }
      });
}

void MoveReporter::TakePage(const RecordPage& page) {
  for (const StoredRecord& record : page.records) {
    if (const auto report = this->adapter.decode_report(record))
      this->versions.OnReport(*report);
  }
}

void MoveReporter::Step(std::size_t rank) {
  const TimePoint now = SteadyNow();
  if (this->busy || now < this->next_try)
    return;
  if (!this->read_once) {
    this->Read();
    return;
  }
  for (const auto& [service, trial] : this->versions.Trials()) {
    if (trial.reported) {
      this->waiting.erase(service);
      continue;
    }
    const auto [found, added] =
        this->waiting.try_emplace(service, trial.progress, now);
    if (found->second.first != trial.progress)
      found->second = {trial.progress, now};
    if (now - found->second.second < kTurnTime * rank)
      continue;
    this->busy = true;
    this->adapter.store.read_newest(
        RecordStream::kReports, "",
        [this, lives = this->alive, service = service](const RecordPage& page) {
          if (*lives)
            this->Write(service, page);
        });
    return;
  }
}

// What the store holds is taken over first: another node may have written the
// end of the move, and that stands.
void MoveReporter::Write(const std::string& service, const RecordPage& page) {
  this->busy = false;
  this->next_try = SteadyNow() + kRetryAfter;
  if (page.outcome != StoreOutcome::kOk)
    return;
  this->TakePage(page);
  const auto found = this->versions.Trials().find(service);
  if (found == this->versions.Trials().end() || found->second.reported)
    return;
  const VersionTrial& trial = found->second;
  const MoveReport report{service, trial.order.to, trial.progress};
  this->busy = true;
  this->adapter.store.append(
      RecordStream::kReports, this->adapter.encode_report(report), page.next,
      [this, lives = this->alive, report](const AppendResult& result) {
        if (*lives)
          this->OnWritten(report, result);
      });
}

// After a conflict or a lost answer the next step reads again: the record may
// stand in the store already.
void MoveReporter::OnWritten(const MoveReport& report,
                             const AppendResult& result) {
  this->busy = false;
  Log(LogLevel::kInfo, "moves", "reported",
      {{"move", report.service},
       {"to", report.to},
       {"progress", NameOf(report.progress)},
       {"outcome", NameOf(result.outcome)}});
  if (result.outcome == StoreOutcome::kOk) {
    this->versions.MarkReported(report.service, report.progress);
    this->next_try = TimePoint{};
    return;
  }
  this->next_try = SteadyNow() + kRetryAfter;
}

}  // namespace teaselspread
