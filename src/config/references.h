// Checks across the entries of one snapshot.
#ifndef TEASELSPREAD_CONFIG_REFERENCES_H_
#define TEASELSPREAD_CONFIG_REFERENCES_H_

#include "config/merge.h"
#include "teaselspread/snapshot.h"

namespace teaselspread {

// Fails if a route or a move points at something that the snapshot lacks, if
// two routes cannot be told apart, or if moves of one service overlap. Paths of
// problems are merged paths, without the file's prefix. Precondition: the
// routes are sorted by prefix and method. Thread safe.
[[nodiscard]] Checked<void> CheckReferences(const Snapshot& snapshot);

}  // namespace teaselspread

#endif  // TEASELSPREAD_CONFIG_REFERENCES_H_
