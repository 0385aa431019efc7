// What makes a move the same move: in every data centre and in every version.
#ifndef TEASELSPREAD_CONFIG_MOVE_IDENTITY_H_
#define TEASELSPREAD_CONFIG_MOVE_IDENTITY_H_

#include "config/merge.h"
#include "teaselspread/config.h"

namespace teaselspread {

// Fails if one move id stands for different services or versions in different
// data centres: its verdict is one for all. Thread safe.
[[nodiscard]] Checked<void> CheckMovesConsistent(const Document& document);

// Fails if `after` gives a move of `before` another service, from or to, or
// takes back that it is withdrawn. Verdicts belong to the id and are final: the
// changed move would count as done, with full share and without any evidence,
// or as taken back. Preconditions: both passed CheckMovesAgree. Thread safe.
[[nodiscard]] Checked<void> CheckMovesUnchanged(const Document& before,
                                                const Document& after);

// The part of `document` that CheckMovesKept looks at. Thread safe.
[[nodiscard]] Document MovesOf(const Document& document);

}  // namespace teaselspread

#endif  // TEASELSPREAD_CONFIG_MOVE_IDENTITY_H_
