// Folds the epochs of claims out of the log, also for a reader that starts in
// its middle.
#ifndef TEASELSPREAD_NODE_EPOCH_READER_H_
#define TEASELSPREAD_NODE_EPOCH_READER_H_

#include <cstdint>
#include <utility>
#include <vector>

#include "node/claims_messages.h"
#include "teaselspread/claims.h"

namespace teaselspread {

// A reader that misses one epoch would confirm the one before as the newest,
// and two majorities could grant one key. So an epoch counts only if every
// record since it was established is known to have been read (`is_exact`).
// Not thread safe.
struct EpochReader {
  EpochLog log;
  bool is_exact = false;
  // Last record of the log that `log` takes into account.
  std::uint64_t through = 0;
  // First record read since reading began; 0 while not reading.
  std::uint64_t first_read = 0;
  // Records read while `log` was not exact, by offset.
  std::vector<std::pair<std::uint64_t, LoggedEpoch>> waiting;
};

// Reading begins at `first`, or goes on there because what was before it has
// expired. Not thread safe.
void BeginEpochs(EpochReader& reader, std::uint64_t first);

// Takes in one epoch record. Not thread safe.
void ReadEpoch(EpochReader& reader,
               std::uint64_t offset,
               const LoggedEpoch& epoch);

// Every record up to `through` has been read. Not thread safe.
void FinishEpochs(EpochReader& reader, std::uint64_t through);

// What another node folded exactly; false when it does not help. Not thread
// safe.
bool AdoptEpoch(EpochReader& reader,
                const EpochLog& log,
                std::uint64_t through);

}  // namespace teaselspread

#endif  // TEASELSPREAD_NODE_EPOCH_READER_H_
