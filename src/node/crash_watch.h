// Notices that the upstream beside this node has crashed, and keeps a request
// that may have done it from crashing others.
#ifndef TEASELSPREAD_NODE_CRASH_WATCH_H_
#define TEASELSPREAD_NODE_CRASH_WATCH_H_

#include <string>
#include <string_view>

#include "node/requests.h"
#include "teaselspread/error.h"
#include "teaselspread/suspects.h"
#include "teaselspread/types.h"
#include "teaselspread/wire.h"

namespace teaselspread {

// Carries the rows about one request that may crash upstreams. An entry's next
// attempt comes sooner than any rumour, so the rows travel with the request.
inline constexpr std::string_view kHeaderSuspects = "X-Suspects";

// Whether an answer of this kind may mean that the upstream has crashed. Thread
// safe.
[[nodiscard]] bool BrokeOff(ErrorKind kind);

// Hash of what makes `call` the same request when it is sent again. Thread
// safe.
[[nodiscard]] Fingerprint RequestFingerprint(const Call& call);

// Asks whether the upstream still takes connections; if not, whatever ran there
// becomes suspect and every node is told. Blocks for some 100 ms at most.
// Thread safe.
void CheckCrash(Requests& service, const Address& upstream);

// A suspect ran alone and the upstream lived. Thread safe.
void ClearSuspect(Requests& service, Fingerprint fingerprint);

// Takes in a rumour about a crash. Thread safe.
void TakeSuspects(Requests& service, const OpaqueRumour& rumour);

// The rows about `fingerprint` as header text, empty without any; and back,
// ignoring rows about other requests. Thread safe.
[[nodiscard]] std::string SuspectsText(Requests& service,
                                       Fingerprint fingerprint);
void TakeSuspectsText(Requests& service,
                      Fingerprint fingerprint,
                      std::string_view text);

// One row about a crash as a rumour. Thread safe.
[[nodiscard]] OpaqueRumour RumourOf(const SuspectRow& row);

}  // namespace teaselspread

#endif  // TEASELSPREAD_NODE_CRASH_WATCH_H_
