#include "teaselspread/suspects.h"

#include <algorithm>
#include <array>
#include <set>
#include <tuple>

#include <xxhash.h>

namespace teaselspread {
namespace {

constexpr std::array<std::string_view, 3> kStateNames = {"clear", "alone",
                                                         "refused"};
constexpr int kFirstServerError = 500;
// Quarters of a full table that are kept, so that it is not sorted for every
// new request.
constexpr std::size_t kKeptQuarters = 3;
constexpr std::size_t kQuarters = 4;
// The nodes end a refusal within its duration divided by this after each other,
// at one of so many steps.
constexpr std::int64_t kSpreadDivisor = 4;
constexpr std::uint64_t kSpreadSteps = 1024;

std::uint32_t UnclearedCrashes(const SuspectRow& row, TimePoint now) {
  if (row.expires <= now || row.cleared >= row.crashes)
    return 0;
  return row.crashes - row.cleared;
}

std::uint32_t UnclearedCrashes(const Suspect& suspect, TimePoint now) {
  std::uint32_t crashes = 0;
  for (const SuspectRow& row : suspect.rows)
    crashes += UnclearedCrashes(row, now);
  return crashes;
}

// Drops the row that says least if another would be one too many.
void MakeRoomForRow(const SuspectSettings& settings,
                    std::vector<SuspectRow>& rows) {
  if (rows.size() < settings.max_rows_per_request)
    return;
  const auto rank = [](const SuspectRow& row) {
    return std::tuple(row.crashes - std::min(row.cleared, row.crashes),
                      row.expires);
  };
  rows.erase(std::min_element(
      rows.begin(), rows.end(),
      [rank](const auto& a, const auto& b) { return rank(a) < rank(b); }));
}

SuspectRow& RowOf(const SuspectSettings& settings,
                  Suspect& suspect,
                  Fingerprint fingerprint,
                  std::uint64_t origin) {
  std::vector<SuspectRow>& rows = suspect.rows;
  const auto found = std::find_if(
      rows.begin(), rows.end(),
      [origin](const SuspectRow& row) { return row.origin == origin; });
  if (found != rows.end())
    return *found;
  MakeRoomForRow(settings, rows);
  return rows.emplace_back(SuspectRow{fingerprint, origin, 0, 0, {}});
}

struct RankedSuspect {
  std::uint32_t crashes = 0;
  TimePoint changed;
  Fingerprint fingerprint = 0;
};

// Those that say most first: the most crashes, then the newest change.
void SortByWeight(std::vector<RankedSuspect>& suspects) {
  std::sort(suspects.begin(), suspects.end(), [](const auto& a, const auto& b) {
    return std::tie(a.crashes, a.changed, a.fingerprint) >
           std::tie(b.crashes, b.changed, b.fingerprint);
  });
}

void MakeRoomForRequest(SuspectTable& table, TimePoint now) {
  const std::size_t max = table.settings.max_requests;
  if (table.requests.size() < max)
    return;
  std::vector<RankedSuspect> ranked;
  for (const auto& [fingerprint, suspect] : table.requests) {
    ranked.push_back(
        {UnclearedCrashes(suspect, now), suspect.crashed_at, fingerprint});
  }
  SortByWeight(ranked);
  for (std::size_t i = max * kKeptQuarters / kQuarters; i < ranked.size(); ++i)
    table.requests.erase(ranked[i].fingerprint);
}

Suspect& SuspectOf(SuspectTable& table,
                   Fingerprint fingerprint,
                   TimePoint now) {
  if (const auto found = table.requests.find(fingerprint);
      found != table.requests.end())
    return found->second;
  MakeRoomForRequest(table, now);
  return table.requests[fingerprint];
}

// The rows of `ranked`, those that say most first, as far as `max_rows` allows.
std::vector<SuspectRow> RowsOf(const SuspectTable& table,
                               std::vector<RankedSuspect>& ranked,
                               std::size_t max_rows,
                               TimePoint now) {
  SortByWeight(ranked);
  std::vector<SuspectRow> chosen;
  for (const RankedSuspect& each : ranked) {
    for (const SuspectRow& row : table.requests.at(each.fingerprint).rows) {
      if (row.expires > now && chosen.size() < max_rows)
        chosen.push_back(row);
    }
  }
  return chosen;
}

bool WasChangedHere(const SuspectTable& table,
                    const Suspect& suspect,
                    TimePoint now) {
  return suspect.changed_here != TimePoint{} &&
         now - suspect.changed_here < table.settings.report_for;
}

Duration RefusalTime(const SuspectTable& table,
                     Fingerprint fingerprint,
                     std::uint32_t crashes) {
  constexpr std::uint32_t kMaxDoublings = 16;
  const SuspectSettings& settings = table.settings;
  const std::uint32_t doublings =
      std::min(crashes - settings.crash_limit, kMaxDoublings);
  const Duration full =
      std::min(settings.first_refusal * (std::int64_t{1} << doublings),
               settings.retention);
  const auto step =
      static_cast<std::int64_t>((table.origin ^ fingerprint) % kSpreadSteps);
  return full +
         full / kSpreadDivisor * step / static_cast<std::int64_t>(kSpreadSteps);
}

}  // namespace

Fingerprint FingerprintOf(std::string_view method,
                          std::string_view path,
                          std::uint64_t body_digest) {
  const auto seed =
      XXH3_64bits_withSeed(method.data(), method.size(), body_digest);
  return XXH3_64bits_withSeed(path.data(), path.size(), seed);
}

std::string_view NameOf(SuspectState state) {
  return kStateNames.at(static_cast<std::size_t>(state));
}

bool IsCleanRun(int status) {
  return status < kFirstServerError;
}

SuspectState StateOf(const SuspectTable& table,
                     Fingerprint fingerprint,
                     TimePoint now) {
  if (CrashesOf(table, fingerprint, now) == 0)
    return SuspectState::kClear;
  return RefusedFor(table, fingerprint, now) > Duration{0}
             ? SuspectState::kRefused
             : SuspectState::kAlone;
}

std::uint32_t CrashesOf(const SuspectTable& table,
                        Fingerprint fingerprint,
                        TimePoint now) {
  const auto found = table.requests.find(fingerprint);
  return found == table.requests.end() ? 0
                                       : UnclearedCrashes(found->second, now);
}

Duration RefusedFor(const SuspectTable& table,
                    Fingerprint fingerprint,
                    TimePoint now) {
  const auto found = table.requests.find(fingerprint);
  if (found == table.requests.end())
    return Duration{0};
  const std::uint32_t crashes = UnclearedCrashes(found->second, now);
  if (crashes < table.settings.crash_limit)
    return Duration{0};
  const Duration since = now - found->second.crashed_at;
  return std::max(RefusalTime(table, fingerprint, crashes) - since,
                  Duration{0});
}

bool IsNearLimit(const SuspectTable& table,
                 Fingerprint fingerprint,
                 TimePoint now) {
  return CrashesOf(table, fingerprint, now) + 1 >= table.settings.crash_limit;
}

std::vector<SuspectRow> RowsToReport(const SuspectTable& table, TimePoint now) {
  std::vector<RankedSuspect> ranked;
  for (const auto& [fingerprint, suspect] : table.requests) {
    if (WasChangedHere(table, suspect, now)) {
      ranked.push_back(
          {UnclearedCrashes(suspect, now), suspect.changed_here, fingerprint});
    }
  }
  return RowsOf(table, ranked, table.settings.max_reported_rows, now);
}

std::vector<SuspectRow> RowsToRelay(const SuspectTable& table, TimePoint now) {
  std::vector<RankedSuspect> ranked;
  for (const auto& [fingerprint, suspect] : table.requests) {
    const std::uint32_t crashes = UnclearedCrashes(suspect, now);
    if (crashes + 1 >= table.settings.crash_limit &&
        !WasChangedHere(table, suspect, now))
      ranked.push_back({crashes, suspect.crashed_at, fingerprint});
  }
  return RowsOf(table, ranked, table.settings.max_relayed_rows, now);
}

std::vector<SuspectRow> OnCrash(SuspectTable& table,
                                std::span<const Fingerprint> in_flight,
                                TimePoint now) {
  const std::set<Fingerprint> distinct(in_flight.begin(), in_flight.end());
  std::vector<SuspectRow> changed;
  for (const Fingerprint fingerprint : distinct) {
    Suspect& suspect = SuspectOf(table, fingerprint, now);
    SuspectRow& row = RowOf(table.settings, suspect, fingerprint, table.origin);
    ++row.crashes;
    row.expires = now + table.settings.retention;
    suspect.crashed_at = now;
    suspect.changed_here = now;
    changed.push_back(row);
  }
  return changed;
}

std::vector<SuspectRow> OnCleanRun(SuspectTable& table,
                                   Fingerprint fingerprint,
                                   TimePoint now) {
  const auto found = table.requests.find(fingerprint);
  if (found == table.requests.end())
    return {};
  std::vector<SuspectRow> changed;
  for (SuspectRow& row : found->second.rows) {
    if (UnclearedCrashes(row, now) == 0)
      continue;
    row.cleared = row.crashes;
    changed.push_back(row);
  }
  if (!changed.empty())
    found->second.changed_here = now;
  return changed;
}

std::vector<SuspectRow> MergeSuspects(SuspectTable& table,
                                      std::span<const SuspectRow> rows,
                                      TimePoint now) {
  std::vector<SuspectRow> changed;
  for (const SuspectRow& row : rows) {
    if (row.expires <= now)
      continue;
    Suspect& suspect = SuspectOf(table, row.fingerprint, now);
    SuspectRow& own =
        RowOf(table.settings, suspect, row.fingerprint, row.origin);
    const SuspectRow before = own;
    own.crashes = std::max(own.crashes, row.crashes);
    own.cleared = std::max(own.cleared, row.cleared);
    own.expires = std::max(own.expires, row.expires);
    if (own.crashes != before.crashes)
      suspect.crashed_at = now;
    // A later expiry alone is no news: it is rounded on the way.
    if (std::tie(own.crashes, own.cleared) !=
        std::tie(before.crashes, before.cleared))
      changed.push_back(own);
  }
  return changed;
}

void ExpireSuspects(SuspectTable& table, TimePoint now) {
  for (auto& [fingerprint, suspect] : table.requests) {
    std::erase_if(suspect.rows,
                  [now](const SuspectRow& row) { return row.expires <= now; });
  }
  std::erase_if(table.requests,
                [](const auto& entry) { return entry.second.rows.empty(); });
}

}  // namespace teaselspread
