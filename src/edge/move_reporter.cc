#include "edge/move_reporter.h"

#include "base/clock.h"
#include "teaselspread/logging.h"

namespace teaselspread {
namespace {

// The node of the next rank writes if nothing was reported for this long, since
// the one before it may be down or unable to reach the store.
constexpr Duration kTakeoverDelay = std::chrono::milliseconds(700);
// Delay before the next attempt, unless the last one wrote a report.
constexpr Duration kRetryDelay = std::chrono::milliseconds(250);

}  // namespace

void MoveReporter::Read() {
  this->call_in_flight = true;
  this->adapter.store.read_newest(
      RecordStream::kReports, "",
      [this, lives = this->alive](const RecordPage& page) {
        if (!*lives)
          return;
        this->call_in_flight = false;
        this->next_attempt = SteadyNow() + kRetryDelay;
        if (page.outcome == StoreOutcome::kOk) {
          this->ApplyPage(page);
          this->versions.OnReportsRead();
        }
      });
}

void MoveReporter::ApplyPage(const RecordPage& page) {
  for (const StoredRecord& record : page.records) {
    if (const auto report = this->adapter.decode_report(record))
      this->versions.OnReport(*report);
  }
}

void MoveReporter::Step(std::size_t rank) {
  const TimePoint now = SteadyNow();
  if (this->call_in_flight || now < this->next_attempt)
    return;
  if (this->versions.AwaitsReports()) {
    this->Read();
    return;
  }
  for (const auto& [service, trial] : this->versions.Trials()) {
    if (trial.reported) {
      this->unreported_since.erase(service);
      continue;
    }
    const auto [found, added] =
        this->unreported_since.try_emplace(service, trial.progress, now);
    if (found->second.first != trial.progress)
      found->second = {trial.progress, now};
    if (now - found->second.second < kTakeoverDelay * rank)
      continue;
    this->call_in_flight = true;
    this->adapter.store.read_newest(
        RecordStream::kReports, "",
        [this, lives = this->alive, service = service](const RecordPage& page) {
          if (*lives)
            this->Write(service, page);
        });
    return;
  }
}

// Applies the store's reports first: another node may have written the end of
// the move, which is final.
void MoveReporter::Write(const std::string& service, const RecordPage& page) {
  this->call_in_flight = false;
  this->next_attempt = SteadyNow() + kRetryDelay;
  if (page.outcome != StoreOutcome::kOk)
    return;
  this->ApplyPage(page);
  const auto found = this->versions.Trials().find(service);
  if (found == this->versions.Trials().end() || found->second.reported)
    return;
  const VersionTrial& trial = found->second;
  const MoveReport report{service, trial.order.to, trial.progress};
  this->call_in_flight = true;
  this->adapter.store.append(
      RecordStream::kReports, this->adapter.encode_report(report),
      page.next_offset,
      [this, lives = this->alive, report](const AppendResult& result) {
        if (*lives)
          this->OnWritten(report, result);
      });
}

// After a conflict or a lost response the next step reads again: the store may
// already hold the record.
void MoveReporter::OnWritten(const MoveReport& report,
                             const AppendResult& result) {
  this->call_in_flight = false;
  Log(LogLevel::kInfo, "moves", "reported",
      {{"move", report.service},
       {"to", report.to},
       {"progress", NameOf(report.progress)},
       {"outcome", NameOf(result.outcome)}});
  if (result.outcome == StoreOutcome::kOk) {
    this->versions.MarkReported(report.service, report.progress);
    this->next_attempt = TimePoint{};
    return;
  }
  this->next_attempt = SteadyNow() + kRetryDelay;
}

}  // namespace teaselspread
