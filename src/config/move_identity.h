// Checks that a move keeps its identity across data centres and versions of the
// configuration.
#ifndef TEASELSPREAD_CONFIG_MOVE_IDENTITY_H_
#define TEASELSPREAD_CONFIG_MOVE_IDENTITY_H_

#include "config/merge.h"
#include "teaselspread/config.h"

namespace teaselspread {

// Fails if a move id has different services or versions in different data
// centres, since its verdict applies to all of them. Thread safe.
[[nodiscard]] Checked<void> CheckMovesConsistent(const Document& document);

// Fails if `after` changes service, from or to of a move in `before`, or clears
// its withdrawn flag. Verdicts are final and keyed by move id: the changed move
// would count as done, with full share and without any evidence, or as rolled
// back. Precondition: both passed CheckMovesConsistent. Thread safe.
[[nodiscard]] Checked<void> CheckMovesUnchanged(const Document& before,
                                                const Document& after);

// The part of `document` that CheckMovesUnchanged reads. Thread safe.
[[nodiscard]] Document MovesOf(const Document& document);

}  // namespace teaselspread

#endif  // TEASELSPREAD_CONFIG_MOVE_IDENTITY_H_
