#include "node/epoch_reader.h"

#include <algorithm>
#include <utility>

namespace teaselspread {
namespace {

// ReadEpochs takes 0 for a log that still has its first record; the platform's
// offsets count from 1.
std::uint64_t TrimmedBefore(std::uint64_t first_read) {
  return first_read <= 1 ? 0 : first_read;
}

}  // namespace

void BeginEpochs(EpochReader& reader, std::uint64_t first) {
  reader.first_read = first;
  reader.waiting.clear();
  const bool goes_on = reader.log.has_base && reader.through + 1 >= first;
  if (!goes_on)
    reader.log = ReadEpochs({}, TrimmedBefore(first));
}

void ReadEpoch(EpochReader& reader,
               std::uint64_t offset,
               const EpochRecord& record) {
  if (reader.log.has_base) {
    if (offset > reader.through)
      FoldEpoch(reader.log, record);
    return;
  }
  reader.waiting.push_back({offset, record});
  reader.log = ReadEpochs(reader.waiting, TrimmedBefore(reader.first_read));
  if (reader.log.has_base)
    reader.waiting.clear();
}

void FinishEpochs(EpochReader& reader, std::uint64_t through) {
  if (reader.log.has_base)
    reader.through = std::max(reader.through, through);
}

bool AdoptEpochs(EpochReader& reader,
                 const EpochLog& log,
                 std::uint64_t through) {
  const bool reads_itself = reader.log.has_base && reader.first_read != 0;
  if (!log.has_base || reads_itself ||
      (reader.log.has_base && through <= reader.through))
    return false;
  // Records between `through` and the first one read here are unknown.
  if (reader.first_read != 0 && through + 1 < reader.first_read)
    return false;
  reader.log = log;
  reader.through = through;
  for (const LoggedEpoch& logged : std::exchange(reader.waiting, {})) {
    if (logged.offset > through)
      FoldEpoch(reader.log, logged.record);
  }
  return true;
}

}  // namespace teaselspread
