// Validates references and conflicts between the entries of one snapshot.
#ifndef TEASELSPREAD_CONFIG_REFERENCES_H_
#define TEASELSPREAD_CONFIG_REFERENCES_H_

#include "config/merge.h"
#include "teaselspread/snapshot.h"

namespace teaselspread {

// Fails if a route or a move references an entry that the snapshot lacks, if
// two routes match the same requests, if moves of one service overlap, or if a
// body limit exceeds the limit above it. Problems have merged paths, without
// the file's prefix. Precondition: the routes are sorted by prefix and method.
// Thread safe.
[[nodiscard]] Checked<void> CheckReferences(const Snapshot& snapshot);

}  // namespace teaselspread

#endif  // TEASELSPREAD_CONFIG_REFERENCES_H_
