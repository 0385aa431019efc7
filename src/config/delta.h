// Operations on deltas: application in place, inversion and composition.
#ifndef TEASELSPREAD_CONFIG_DELTA_H_
#define TEASELSPREAD_CONFIG_DELTA_H_

#include "teaselspread/config.h"

namespace teaselspread {

// Like ApplyDelta, but modifies `document`. Not thread safe per document.
void ApplyInPlace(Document& document, const Delta& delta);

// `delta` without the changes that have no effect on `document`. Thread safe.
[[nodiscard]] Delta EffectiveDelta(const Document& document,
                                   const Delta& delta);

// The delta that undoes `delta` after it is applied to `document`.
// Precondition: delta == EffectiveDelta(document, delta). Thread safe.
[[nodiscard]] Delta InverseDelta(const Document& document, const Delta& delta);

// Composes both deltas into `first`: `first`, then `second`.
// Not thread safe per `first`.
void Append(Delta& first, const Delta& second);

}  // namespace teaselspread

#endif  // TEASELSPREAD_CONFIG_DELTA_H_
