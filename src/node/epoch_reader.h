// Folds the epochs of claims out of the log, also for a reader that starts in
// its middle.
#ifndef TEASELSPREAD_NODE_EPOCH_READER_H_
#define TEASELSPREAD_NODE_EPOCH_READER_H_

#include <cstdint>
#include <vector>

#include "teaselspread/claims.h"

namespace teaselspread {

// A reader that misses one epoch would confirm the one before as the newest,
// and two majorities could grant one key. So `log.has_base` is true only if
// every record since a sure beginning has been read. Not thread safe.
struct EpochReader {
  EpochLog log;
  // Last record of the platform's log that `log` takes into account.
  std::uint64_t through = 0;
  // First record read since reading began; 0 while not reading.
  std::uint64_t first_read = 0;
  // Records read while `log` was not known.
  std::vector<LoggedEpoch> waiting;
};

// Reading begins at `first`, or goes on there because what was before it has
// expired. Not thread safe.
void BeginEpochs(EpochReader& reader, std::uint64_t first);

// Takes in one epoch record. Not thread safe.
void ReadEpoch(EpochReader& reader,
               std::uint64_t offset,
               const EpochRecord& record);

// Every record up to `through` has been read. Not thread safe.
void FinishEpochs(EpochReader& reader, std::uint64_t through);

// What another node folded up to `through`; false when it does not help. Not
// thread safe.
bool AdoptEpochs(EpochReader& reader,
                 const EpochLog& log,
                 std::uint64_t through);

}  // namespace teaselspread

#endif  // TEASELSPREAD_NODE_EPOCH_READER_H_
