#include "teaselspread/evidence.h"

#include <algorithm>
#include <cmath>

#include "moves/wire.h"

namespace teaselspread {
namespace {

constexpr double kFirstBoundMicros = 500.0;  // microseconds
constexpr double kBucketsPerDoubling = 2.5;
// Exits after a longer time ready do not count as a crash on start.
constexpr Duration kMaxEarlyExitLifetime = std::chrono::seconds(30);

EvidenceCounters* FindOrAdd(EvidenceTable& table, const EvidenceKey& key) {
  if (auto found = table.rows.find(key); found != table.rows.end()) {
    found->second.revision = ++table.revision;
    return &found->second.counters;
  }
  if (table.rows.size() >= kMaxEvidenceRows) {
    ++table.refused_rows;
    return nullptr;
  }
  StoredCounters& stored = table.rows[key];
  stored.revision = ++table.revision;
  return &stored.counters;
}

void CountLatency(EvidenceCounters& counters, const ResponseSample& sample) {
  if (sample.cold && counters.cold < kMaxColdResponses) {
    ++counters.cold;
    return;
  }
  ++counters.latency.at(LatencyBucketIndex(sample.latency));
}

template <class T>
bool RaiseTo(T& mine, T theirs) {
  if (theirs <= mine)
    return false;
  mine = theirs;
  return true;
}

bool MergeCounters(EvidenceCounters& mine, const EvidenceCounters& theirs) {
  bool changed = RaiseTo(mine.runs, theirs.runs);
  changed |= RaiseTo(mine.failures, theirs.failures);
  changed |= RaiseTo(mine.shed, theirs.shed);
  changed |= RaiseTo(mine.crash_suspects, theirs.crash_suspects);
  changed |= RaiseTo(mine.cold, theirs.cold);
  changed |= RaiseTo(mine.starts, theirs.starts);
  changed |= RaiseTo(mine.early_exits, theirs.early_exits);
  for (std::size_t i = 0; i < kLatencyBuckets; ++i)
    changed |= RaiseTo(mine.latency[i], theirs.latency[i]);
  return changed;
}

bool Matches(std::string_view wanted, const std::string& value) {
  return wanted.empty() || wanted == value;
}

// Most buckets of a row are empty, so a bit mask marks the encoded ones.
constexpr std::size_t kMaskBytes = (kLatencyBuckets + 7) / 8;
using BucketMask = std::array<std::uint8_t, kMaskBytes>;

bool HasBucket(const BucketMask& mask, std::size_t bucket) {
  return ((mask.at(bucket / 8) >> (bucket % 8)) & 1U) != 0;
}

template <class Archive>
void SaveLatency(Archive& archive, const EvidenceCounters& counters) {
  BucketMask mask{};
  for (std::size_t i = 0; i < kLatencyBuckets; ++i) {
    if (counters.latency[i] != 0)
      mask.at(i / 8) |= static_cast<std::uint8_t>(1U << (i % 8));
  }
  archive(cereal::binary_data(mask.data(), mask.size()));
  for (std::uint32_t count : counters.latency) {
    if (count != 0)
      archive(count);
  }
}

template <class Archive>
void LoadLatency(Archive& archive, EvidenceCounters& counters) {
  BucketMask mask{};
  archive(cereal::binary_data(mask.data(), mask.size()));
  for (std::size_t i = 0; i < kLatencyBuckets; ++i) {
    if (HasBucket(mask, i))
      archive(counters.latency[i]);
  }
}

}  // namespace

std::size_t LatencyBucketIndex(Duration latency) {
  const auto micros = static_cast<double>(latency.count());
  if (micros <= kFirstBoundMicros)
    return 0;
  const double index =
      std::ceil(std::log2(micros / kFirstBoundMicros) * kBucketsPerDoubling);
  return std::min(static_cast<std::size_t>(index), kLatencyBuckets - 1);
}

Duration LatencyBound(std::size_t bucket) {
  const double doublings = static_cast<double>(bucket) / kBucketsPerDoubling;
  return Duration(std::llround(kFirstBoundMicros * std::exp2(doublings)));
}

Duration LatencyQuantile(const EvidenceCounters& counters, double quantile) {
  std::uint64_t total = 0;
  for (std::uint32_t count : counters.latency)
    total += count;
  if (total == 0)
    return Duration(0);
  const double wanted = quantile * static_cast<double>(total);
  double seen = 0;
  for (std::size_t i = 0; i < kLatencyBuckets; ++i) {
    seen += counters.latency[i];
    if (counters.latency[i] != 0 && seen >= wanted)
      return LatencyBound(i);
  }
  return LatencyBound(kLatencyBuckets - 1);
}

void RecordResponse(EvidenceTable& table,
                    const EvidenceKey& key,
                    const ResponseSample& sample) {
  EvidenceCounters* counters = FindOrAdd(table, key);
  if (counters == nullptr)
    return;
  switch (sample.outcome) {
    case ResponseOutcome::kCrashSuspect:
      ++counters->crash_suspects;
      return;
    case ResponseOutcome::kShed:
      ++counters->shed;
      return;
    case ResponseOutcome::kFailed:
    case ResponseOutcome::kTimeout:
      ++counters->runs;
      ++counters->failures;
      return;
    case ResponseOutcome::kSucceeded:
      ++counters->runs;
      CountLatency(*counters, sample);
      return;
  }
}

void RecordStart(EvidenceTable& table, EvidenceKey key) {
  key.route.clear();
  if (EvidenceCounters* counters = FindOrAdd(table, key); counters != nullptr)
    ++counters->starts;
}

void RecordExit(EvidenceTable& table, EvidenceKey key, Duration lifetime) {
  if (lifetime > kMaxEarlyExitLifetime)
    return;
  key.route.clear();
  if (EvidenceCounters* counters = FindOrAdd(table, key); counters != nullptr)
    ++counters->early_exits;
}

bool MergeRow(EvidenceTable& table, const EvidenceRow& row) {
  auto found = table.rows.find(row.key);
  if (found == table.rows.end()) {
    EvidenceCounters* counters = FindOrAdd(table, row.key);
    if (counters == nullptr)
      return false;
    *counters = row.counters;
    return true;
  }
  if (!MergeCounters(found->second.counters, row.counters))
    return false;
  found->second.revision = ++table.revision;
  return true;
}

std::vector<EvidenceRow> RowsSince(const EvidenceTable& table,
                                   std::uint64_t revision,
                                   std::size_t limit,
                                   std::uint64_t* next_revision) {
  std::vector<std::pair<std::uint64_t, const EvidenceKey*>> changed;
  for (const auto& [key, stored] : table.rows) {
    if (stored.revision > revision)
      changed.emplace_back(stored.revision, &key);
  }
  std::sort(changed.begin(), changed.end());
  if (changed.size() > limit)
    changed.resize(limit);
  *next_revision = changed.empty() ? revision : changed.back().first;
  std::vector<EvidenceRow> rows;
  rows.reserve(changed.size());
  for (const auto& [at, key] : changed)
    rows.push_back({*key, table.rows.at(*key).counters});
  return rows;
}

EvidenceCounters TotalOf(const EvidenceTable& table,
                         std::string_view move,
                         std::string_view data_center,
                         std::string_view version,
                         std::string_view route) {
  EvidenceCounters total;
  EvidenceKey first;
  first.move = std::string(move);
  for (auto row = table.rows.lower_bound(first);
       row != table.rows.end() && row->first.move == move; ++row) {
    const EvidenceKey& key = row->first;
    if (Matches(data_center, key.data_center) &&
        Matches(version, key.version) && Matches(route, key.route))
      AddCounters(total, row->second.counters);
  }
  return total;
}

void PurgeEvidence(EvidenceTable& table, const std::set<std::string>& live) {
  std::erase_if(table.rows, [&live](const auto& row) {
    return live.count(row.first.move) == 0;
  });
}

void AddCounters(EvidenceCounters& counters, const EvidenceCounters& other) {
  counters.runs += other.runs;
  counters.failures += other.failures;
  counters.shed += other.shed;
  counters.crash_suspects += other.crash_suspects;
  counters.cold += other.cold;
  counters.starts += other.starts;
  counters.early_exits += other.early_exits;
  for (std::size_t i = 0; i < kLatencyBuckets; ++i)
    counters.latency[i] += other.latency[i];
}

std::string EncodeRow(const EvidenceRow& row) {
  return moves::Encode([&row](auto& archive) {
    moves::SaveText(archive, row.key.move);
    moves::SaveText(archive, row.key.node);
    archive(row.key.incarnation);
    moves::SaveText(archive, row.key.data_center);
    moves::SaveText(archive, row.key.version);
    moves::SaveText(archive, row.key.route);
    const EvidenceCounters& counters = row.counters;
    archive(counters.runs, counters.failures, counters.shed,
            counters.crash_suspects, counters.cold, counters.starts,
            counters.early_exits);
    SaveLatency(archive, counters);
  });
}

Result<EvidenceRow> DecodeRow(std::string_view bytes) {
  return moves::Decode<EvidenceRow>(bytes, [](auto& archive, EvidenceRow& row) {
    moves::LoadText(archive, row.key.move);
    moves::LoadText(archive, row.key.node);
    archive(row.key.incarnation);
    moves::LoadText(archive, row.key.data_center);
    moves::LoadText(archive, row.key.version);
    moves::LoadText(archive, row.key.route);
    EvidenceCounters& counters = row.counters;
    archive(counters.runs, counters.failures, counters.shed,
            counters.crash_suspects, counters.cold, counters.starts,
            counters.early_exits);
    LoadLatency(archive, counters);
    return true;
  });
}

}  // namespace teaselspread
