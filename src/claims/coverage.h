// Whether a holder's records reach back far enough; private to claims.
#ifndef TEASELSPREAD_CLAIMS_COVERAGE_H_
#define TEASELSPREAD_CLAIMS_COVERAGE_H_

#include "teaselspread/claims.h"

namespace teaselspread {

// Time from a key's first sending to the last moment at which a retry of it can
// be granted. Thread safe.
[[nodiscard]] inline Duration MaxRetryAge(const ClaimSettings& settings) {
  return 2 * settings.key_lifetime + settings.claim_window;
}

// True if `keeper` would have a record of `key`, had it been claimed before.
// Not thread safe.
[[nodiscard]] bool Covers(const ClaimKeeper& keeper,
                          const ClaimKey& key,
                          TimePoint now);

}  // namespace teaselspread

#endif  // TEASELSPREAD_CLAIMS_COVERAGE_H_
