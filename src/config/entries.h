// Converts the merged leaves of one data centre to the entries of its snapshot.
#ifndef TEASELSPREAD_CONFIG_ENTRIES_H_
#define TEASELSPREAD_CONFIG_ENTRIES_H_

#include <vector>

#include "config/merge.h"
#include "teaselspread/snapshot.h"

namespace teaselspread {

// Sets services, routes (longest prefix first), moves and limits of `snapshot`.
// Fails on an unknown section or field, a value out of range, or a missing
// field. Precondition: the leaves are sorted by path. Thread safe.
[[nodiscard]] Checked<void> ReadEntries(const std::vector<MergedLeaf>& leaves,
                                        Snapshot& snapshot);

}  // namespace teaselspread

#endif  // TEASELSPREAD_CONFIG_ENTRIES_H_
