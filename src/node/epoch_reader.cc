#include "node/epoch_reader.h"

#include <algorithm>

namespace teaselspread {
namespace {

// Starts from an epoch known to hold after `through`, then replays what was
// read after it.
bool StartFrom(EpochReader& reader,
               const EpochLog& log,
               std::uint64_t through) {
  const bool leaves_gap =
      reader.first_read != 0 && through + 1 < reader.first_read;
  if (leaves_gap)
    return false;
  reader.log = log;
  reader.is_exact = true;
  reader.through = std::max(reader.through, through);
  const auto waiting = std::move(reader.waiting);
  reader.waiting.clear();
  for (const auto& [offset, each] : waiting) {
    if (offset > through)
      FoldEpoch(reader.log, each.record, true);
  }
  return true;
}

}  // namespace

void BeginEpochs(EpochReader& reader, std::uint64_t first) {
  reader.first_read = first;
  reader.waiting.clear();
  reader.is_exact =
      first == 1 || (reader.is_exact && reader.through + 1 >= first);
}

void ReadEpoch(EpochReader& reader,
               std::uint64_t offset,
               const LoggedEpoch& epoch) {
  if (offset <= reader.through && reader.is_exact)
    return;
  if (reader.is_exact) {
    FoldEpoch(reader.log, epoch.record, true);
    return;
  }
  reader.waiting.emplace_back(offset, epoch);
  if (epoch.record.kind == EpochRecordKind::kCheckpoint)
    StartFrom(reader, {epoch.record.epoch, epoch.record.active}, epoch.through);
}

void FinishEpochs(EpochReader& reader, std::uint64_t through) {
  if (reader.is_exact)
    reader.through = std::max(reader.through, through);
}

bool AdoptEpoch(EpochReader& reader,
                const EpochLog& log,
                std::uint64_t through) {
  if (reader.is_exact && through <= reader.through)
    return false;
  // A reader that is exact folds by itself; others take the newest word.
  if (reader.is_exact && reader.first_read != 0)
    return false;
  return StartFrom(reader, log, through);
}

}  // namespace teaselspread
