#include "edge/crash_evidence.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <string>
#include <utility>

#include <absl/strings/ascii.h>
#include <absl/strings/str_format.h>
#include <xxhash.h>

#include "base/clock.h"
#include "teaselspread/logging.h"
#include "teaselspread/routing.h"

namespace teaselspread {
namespace {

// When an upstream crashes, its connections break together, and the next
// connection to it is refused within this time.
constexpr Duration kCrashWindow = std::chrono::milliseconds(1000);
// Crashes after which a request is refused. A crash counts against every
// request that ran at the upstream. Those that did not cause it complete
// elsewhere and are cleared, so three crashes without a completed run in
// between point at the request itself.
constexpr std::uint32_t kMaxCrashes = 3;
// Every upstream that crashes blames all requests that ran there, so only those
// blamed more than once are worth a log line each.
constexpr std::uint32_t kMinLoggedCrashes = 2;
// How long a request is refused at first. A run after it may cost one more
// upstream, so it is far longer than one takes to start again.
constexpr Duration kFirstRefusal = std::chrono::seconds(60);

// Log lines about abandoned runs at one crash; the newest are the likeliest
// causes.
constexpr std::size_t kMaxLoggedAbandoned = 16;

// Notes hold the time that rows have left. A node that starts gets them later,
// and would keep rows that have expired everywhere else.
constexpr Duration kMaxNotesAge = std::chrono::minutes(2);

constexpr std::array<std::string_view,
                     static_cast<std::size_t>(CrashSign::kCount)>
    kSignNames = {"not-listening", "no-connection", "another-process-answered",
                  "replaced"};
constexpr std::array<std::string_view,
                     static_cast<std::size_t>(SuspectEvent::kCount)>
    kEventNames = {"blamed", "received", "cleared", "refused", "abandoned"};

void LogSuspect(std::string_view event,
                Fingerprint fingerprint,
                std::uint32_t crashes,
                std::string_view node,
                std::string_view request_id,
                int status) {
  Log(LogLevel::kInfo, "suspects", event,
      {{"fingerprint", absl::StrFormat("%016x", fingerprint)},
       {"crashes", crashes},
       {"node", node},
       {"id", request_id},
       {"status", status}});
}

std::vector<SuspectNote> NotesOf(const std::vector<SuspectRow>& rows,
                                 TimePoint now) {
  std::vector<SuspectNote> notes;
  for (const SuspectRow& row : rows) {
    const auto left =
        std::chrono::duration_cast<std::chrono::minutes>(row.expires - now);
    notes.push_back({row.fingerprint, row.origin, row.crashes, row.cleared,
                     static_cast<std::uint32_t>(left.count())});
  }
  return notes;
}

}  // namespace

Fingerprint FingerprintOf(const HttpRequest& request,
                          std::string_view caller_service) {
  return FingerprintOf(request, request.body, caller_service);
}

Fingerprint FingerprintOf(const HttpRequest& request,
                          std::string_view body,
                          std::string_view caller_service) {
  const std::uint64_t caller =
      XXH3_64bits(caller_service.data(), caller_service.size());
  const std::string host = absl::AsciiStrToLower(
      std::string(WithoutPort(FindHeader(request.headers, "Host"))));
  const std::uint64_t source =
      XXH3_64bits_withSeed(host.data(), host.size(), caller);
  const std::uint64_t contents =
      XXH3_64bits_withSeed(body.data(), body.size(), source);
  return FingerprintOf(request.method, request.target, contents);
}

std::string_view NameOf(CrashSign sign) {
  return kSignNames.at(static_cast<std::size_t>(sign));
}

std::string_view NameOf(SuspectEvent event) {
  return kEventNames.at(static_cast<std::size_t>(event));
}

CrashEvidence::CrashEvidence() {
  this->table.settings.crash_limit = kMaxCrashes;
  this->table.settings.first_refusal = kFirstRefusal;
}

bool CrashEvidence::Refuses(Fingerprint fingerprint,
                            std::string_view request_id) {
  const TimePoint now = SteadyNow();
  if (StateOf(this->table, fingerprint, now) != SuspectState::kRefused)
    return false;
  this->events.Add(SuspectEvent::kRefused);
  LogSuspect("refused", fingerprint, CrashesOf(this->table, fingerprint, now),
             "", request_id, 0);
  return true;
}

Duration CrashEvidence::RefusedFor(Fingerprint fingerprint) const {
  return teaselspread::RefusedFor(this->table, fingerprint, SteadyNow());
}

bool CrashEvidence::IsNearLimit(Fingerprint fingerprint) const {
  return teaselspread::IsNearLimit(this->table, fingerprint, SteadyNow());
}

void CrashEvidence::OnBrokenRun(Fingerprint fingerprint, TimePoint started) {
  if (started <= this->last_crash_at)
    return;
  const TimePoint now = SteadyNow();
  std::erase_if(this->broken_runs, [now](const auto& each) {
    return now - each.first > kCrashWindow;
  });
  this->broken_runs.emplace_back(now, fingerprint);
}

void CrashEvidence::OnAbandonedRun(AbandonedRun run) {
  Abandon(this->abandoned, std::move(run));
}

void CrashEvidence::OnUpstreamAlive() {
  if (!this->abandoned.runs.empty())
    DropSurvived(this->abandoned, SteadyNow());
}

bool CrashEvidence::OnUpstreamGone(const UpstreamEnd& end,
                                   std::span<const Fingerprint> in_flight) {
  const TimePoint now = SteadyNow();
  std::vector<Fingerprint> blamed_runs;
  for (const auto& [when, fingerprint] : this->broken_runs) {
    if (now - when <= kCrashWindow)
      blamed_runs.push_back(fingerprint);
  }
  this->broken_runs.clear();
  const std::vector<AbandonedRun> abandoned_runs =
      TakeAbandoned(this->abandoned, now);
  const bool crashed =
      !blamed_runs.empty() || (!abandoned_runs.empty() && !end.announced);
  if (!crashed)
    return false;
  for (const AbandonedRun& run : abandoned_runs)
    blamed_runs.push_back(run.fingerprint);
  blamed_runs.insert(blamed_runs.end(), in_flight.begin(), in_flight.end());
  this->last_crash_at = now;
  const auto rows = OnCrash(this->table, blamed_runs, now);
  this->notes_outdated = true;
  this->crashes.Add(end.sign);
  this->events.Add(SuspectEvent::kBlamed, rows.size());
  Log(LogLevel::kWarning, "gate", "upstream-crashed",
      {{"instance", end.instance},
       {"sign", NameOf(end.sign)},
       {"requests_blamed", rows.size()},
       {"abandoned", abandoned_runs.size()},
       {"rows", this->CountRows()}});
  this->LogAbandoned(abandoned_runs, now);
  for (const SuspectRow& row : rows) {
    const auto crashed = CrashesOf(this->table, row.fingerprint, now);
    if (crashed >= kMinLoggedCrashes)
      LogSuspect("blamed", row.fingerprint, crashed, "", "", 0);
  }
  return true;
}

void CrashEvidence::LogAbandoned(const std::vector<AbandonedRun>& runs,
                                 TimePoint now) {
  this->events.Add(SuspectEvent::kAbandoned, runs.size());
  const std::size_t logged = std::min(runs.size(), kMaxLoggedAbandoned);
  for (std::size_t i = runs.size() - logged; i < runs.size(); ++i) {
    const AbandonedRun& run = runs[i];
    Log(LogLevel::kInfo, "suspects", NameOf(SuspectEvent::kAbandoned),
        {{"fingerprint", absl::StrFormat("%016x", run.fingerprint)},
         {"crashes", CrashesOf(this->table, run.fingerprint, now)},
         {"id", run.request_id},
         {"before_ms", (now - run.abandoned_at) / std::chrono::milliseconds(1)},
         {"left_ms", (run.deadline - now) / std::chrono::milliseconds(1)}});
  }
}

void CrashEvidence::OnResponse(Fingerprint fingerprint,
                               std::string_view request_id,
                               int status) {
  if (this->IsEmpty() || !IsCleanRun(status))
    return;
  const TimePoint now = SteadyNow();
  const auto crashed = CrashesOf(this->table, fingerprint, now);
  const auto rows = OnCleanRun(this->table, fingerprint, now);
  if (rows.empty())
    return;
  this->notes_outdated = true;
  this->events.Add(SuspectEvent::kCleared);
  if (crashed >= kMinLoggedCrashes)
    LogSuspect("cleared", fingerprint, crashed, "", request_id, status);
}

const std::vector<SuspectNote>& CrashEvidence::Reported(TimePoint now) {
  this->RefreshNotes(now);
  return this->reported;
}

const std::vector<SuspectNote>& CrashEvidence::Relayed(TimePoint now) {
  this->RefreshNotes(now);
  return this->relayed;
}

void CrashEvidence::RefreshNotes(TimePoint now) {
  if (!std::exchange(this->notes_outdated, false))
    return;
  this->notes_from = now;
  this->reported = NotesOf(RowsToReport(this->table, now), now);
  this->relayed = NotesOf(RowsToRelay(this->table, now), now);
}

void CrashEvidence::Merge(std::string_view node,
                          const std::vector<SuspectNote>& notes) {
  const TimePoint now = SteadyNow();
  std::vector<SuspectRow> rows;
  rows.reserve(notes.size());
  for (const SuspectNote& note : notes) {
    rows.push_back({note.fingerprint, note.origin, note.crashes, note.cleared,
                    now + std::chrono::minutes(note.remaining_minutes)});
  }
  for (const SuspectRow& row : MergeSuspects(this->table, rows, now)) {
    this->notes_outdated = true;
    this->events.Add(SuspectEvent::kReceived);
    const auto crashed = CrashesOf(this->table, row.fingerprint, now);
    if (crashed >= kMinLoggedCrashes)
      LogSuspect("received", row.fingerprint, crashed, node, "", 0);
  }
}

void CrashEvidence::Tick(TimePoint now) {
  ExpireSuspects(this->table, now);
  const bool has_notes = !this->reported.empty() || !this->relayed.empty();
  if (has_notes && now - this->notes_from >= kMaxNotesAge)
    this->notes_outdated = true;
}

std::size_t CrashEvidence::CountRows() const {
  std::size_t rows = 0;
  for (const auto& [fingerprint, suspect] : this->table.requests)
    rows += suspect.rows.size();
  return rows;
}

}  // namespace teaselspread
