// Estimates of service time and waiting time, private to admission.
#ifndef TEASELSPREAD_ADMISSION_ESTIMATE_H_
#define TEASELSPREAD_ADMISSION_ESTIMATE_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "teaselspread/admission.h"

namespace teaselspread {

// Adds the time of one run of `route`, at the usual speed, to the estimates.
// Not thread safe.
void RecordServiceTime(Gatekeeper& gate,
                       const std::string& route,
                       Duration run_time);

// The queued requests that run before another one.
struct QueueAhead {
  // Without long ones that are held back.
  std::size_t requests = 0;
  // Sum of their expected run times at the usual speed.
  Duration run_time{};
  std::size_t held_back = 0;
  // Of all long ones.
  std::size_t long_requests = 0;
  Duration long_run_time{};
};

// Decides for queued requests, passed in queue order, whether they are held
// back: long ones for which no slot of the cap is left.
class HoldBack {
 public:
  explicit HoldBack(const Gatekeeper& gate);
  bool operator()(const HeldRequest& held);

 private:
  int free_slots;
};

// Whether long requests have fewer slots than all. Not thread safe.
[[nodiscard]] bool IsReserving(const Gatekeeper& gate);

// Those that run before `held`; all of them if that is null. Not thread safe.
[[nodiscard]] QueueAhead QueuedAhead(const Gatekeeper& gate,
                                     const HeldRequest* held);

// Whether a rate limits the starts, besides the slots. Not thread safe.
[[nodiscard]] bool IsRateLimited(const Gatekeeper& gate, TimePoint now);

// When the next request may start, as far as the rates allow it: the lowest of
// them counts. Not thread safe.
[[nodiscard]] TimePoint NextStart(const Gatekeeper& gate, TimePoint now);

// The same for a request behind `ahead` waiting ones. Not thread safe.
[[nodiscard]] TimePoint StartBehind(const Gatekeeper& gate,
                                    std::size_t ahead,
                                    TimePoint now);

// Expected time until a request behind `ahead` may start. Not thread safe.
[[nodiscard]] Duration ExpectedWait(const Gatekeeper& gate,
                                    const QueueAhead& ahead,
                                    TimePoint now);

// Expected time until a long request of `route` behind `ahead` gets a slot of
// the cap, at the usual speed of the upstream. Not thread safe.
[[nodiscard]] Duration WaitForLongSlot(const Gatekeeper& gate,
                                       const QueueAhead& ahead,
                                       std::string_view route);

// ExpectedWait of a long request of `route`, which also needs a slot of the
// cap. Not thread safe.
[[nodiscard]] Duration ExpectedLongWait(const Gatekeeper& gate,
                                        const QueueAhead& ahead,
                                        std::string_view route,
                                        TimePoint now);

// Latest start at which the request is expected to meet its deadline, at the
// speed that the upstream has at `now`. Not thread safe.
[[nodiscard]] TimePoint LatestStart(const Gatekeeper& gate,
                                    const Arrival& arrival,
                                    TimePoint now);

// Latest expected start with which a request that arrives now may be queued:
// earlier than LatestStart if it has an aim before its deadline, since a
// response after the aim has less value. Not thread safe.
[[nodiscard]] TimePoint LatestAdmissibleStart(const Gatekeeper& gate,
                                              const Arrival& arrival,
                                              TimePoint now);

}  // namespace teaselspread

#endif  // TEASELSPREAD_ADMISSION_ESTIMATE_H_
