#include "teaselspread/suspects.h"

#include <algorithm>
#include <array>
#include <set>

#include <xxhash.h>

namespace teaselspread {
namespace {

constexpr std::array<std::string_view, 3> kStateNames = {"clear", "alone",
                                                         "refused"};

SuspectRow& RowOf(SuspectTable& table,
                  Fingerprint fingerprint,
                  std::uint64_t origin) {
  std::vector<SuspectRow>& rows = table.rows[fingerprint];
  const auto found = std::find_if(
      rows.begin(), rows.end(),
      [origin](const SuspectRow& row) { return row.origin == origin; });
  if (found != rows.end())
    return *found;
  return rows.emplace_back(SuspectRow{fingerprint, origin, 0, 0, {}});
}

std::uint32_t UnclearedCrashes(const SuspectRow& row, TimePoint now) {
  if (row.expires <= now || row.cleared >= row.crashes)
    return 0;
  return row.crashes - row.cleared;
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

SuspectState StateOf(const SuspectTable& table,
                     Fingerprint fingerprint,
                     TimePoint now) {
  const std::uint32_t crashes = CrashesOf(table, fingerprint, now);
  if (crashes == 0)
    return SuspectState::kClear;
  return crashes >= table.settings.crash_limit ? SuspectState::kRefused
                                               : SuspectState::kAlone;
}

std::uint32_t CrashesOf(const SuspectTable& table,
                        Fingerprint fingerprint,
                        TimePoint now) {
  const auto found = table.rows.find(fingerprint);
  if (found == table.rows.end())
    return 0;
  std::uint32_t crashes = 0;
  for (const SuspectRow& row : found->second)
    crashes += UnclearedCrashes(row, now);
  return crashes;
}

std::vector<SuspectRow> RowsToReport(const SuspectTable& table, TimePoint now) {
  std::vector<SuspectRow> reported;
  for (const auto& [fingerprint, rows] : table.rows) {
    for (const SuspectRow& row : rows) {
      if (row.expires > now &&
          reported.size() < table.settings.max_reported_rows)
        reported.push_back(row);
    }
  }
  return reported;
}

std::vector<SuspectRow> OnCrash(SuspectTable& table,
                                std::span<const Fingerprint> in_flight,
                                TimePoint now) {
  const std::set<Fingerprint> distinct(in_flight.begin(), in_flight.end());
  std::vector<SuspectRow> changed;
  for (const Fingerprint fingerprint : distinct) {
    SuspectRow& row = RowOf(table, fingerprint, table.origin);
    ++row.crashes;
    row.expires = now + table.settings.retention;
    changed.push_back(row);
  }
  return changed;
}

std::vector<SuspectRow> OnCleanRun(SuspectTable& table,
                                   Fingerprint fingerprint,
                                   TimePoint now) {
  const auto found = table.rows.find(fingerprint);
  if (found == table.rows.end())
    return {};
  std::vector<SuspectRow> changed;
  for (SuspectRow& row : found->second) {
    if (UnclearedCrashes(row, now) == 0)
      continue;
    row.cleared = row.crashes;
    changed.push_back(row);
  }
  return changed;
}

std::vector<SuspectRow> MergeSuspects(SuspectTable& table,
                                      std::span<const SuspectRow> rows,
                                      TimePoint now) {
  std::vector<SuspectRow> changed;
  for (const SuspectRow& row : rows) {
    if (row.expires <= now)
      continue;
    SuspectRow& own = RowOf(table, row.fingerprint, row.origin);
    const SuspectRow before = own;
    own.crashes = std::max(own.crashes, row.crashes);
    own.cleared = std::max(own.cleared, row.cleared);
    own.expires = std::max(own.expires, row.expires);
    if (own != before)
      changed.push_back(own);
  }
  return changed;
}

void ExpireSuspects(SuspectTable& table, TimePoint now) {
  for (auto& [fingerprint, rows] : table.rows) {
    std::erase_if(rows,
                  [now](const SuspectRow& row) { return row.expires <= now; });
  }
  std::erase_if(table.rows,
                [](const auto& entry) { return entry.second.empty(); });
}

}  // namespace teaselspread
