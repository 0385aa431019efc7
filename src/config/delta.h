// Deltas in place, their undoing, and one delta for several in a row.
#ifndef TEASELSPREAD_CONFIG_DELTA_H_
#define TEASELSPREAD_CONFIG_DELTA_H_

#include "teaselspread/config.h"

namespace teaselspread {

// As ApplyDelta. Not thread safe for one document.
void ApplyInPlace(Document& document, const Delta& delta);

// `delta` without the parts that change nothing in `document`. Thread safe.
[[nodiscard]] Delta EffectiveDelta(const Document& document,
                                   const Delta& delta);

// What takes `delta` back once it is applied to `document`. Precondition: delta
// is Needed(document, delta). Thread safe.
[[nodiscard]] Delta InverseDelta(const Document& document, const Delta& delta);

// Makes `first` do what `first` and then `second` would do.
// Not thread safe for one `first`.
void Append(Delta& first, const Delta& second);

}  // namespace teaselspread

#endif  // TEASELSPREAD_CONFIG_DELTA_H_
