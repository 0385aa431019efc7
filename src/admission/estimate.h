// Estimates of service time and wait, private to admission.
#ifndef TEASELSPREAD_ADMISSION_ESTIMATE_H_
#define TEASELSPREAD_ADMISSION_ESTIMATE_H_

#include <cstddef>
#include <string>

#include "teaselspread/admission.h"

namespace teaselspread {

// One run of `route` took this long. Not thread safe.
void RecordServiceTime(Gatekeeper& gate,
                       const std::string& route,
                       Duration run_time);

// Time until a slot frees for a request behind waiting ones that take `ahead`
// together. Not thread safe.
[[nodiscard]] Duration ExpectedWait(const Gatekeeper& gate, Duration ahead);

// The last moment at which it may start and still make its deadline. Not
// thread safe.
[[nodiscard]] TimePoint LatestStart(const Gatekeeper& gate,
                                    const Arrival& arrival);

// The last moment at which a request that arrives now may be expected to start
// and still be let in to wait: earlier than LatestStart where answers are worth
// less after the aim. Not thread safe.
[[nodiscard]] TimePoint LatestAdmissibleStart(const Gatekeeper& gate,
                                              const Arrival& arrival,
                                              TimePoint now);

}  // namespace teaselspread

#endif  // TEASELSPREAD_ADMISSION_ESTIMATE_H_
