// Drives the spread of configuration from frames, timers and log reads.
#ifndef TEASELSPREAD_NODE_SPREAD_SERVICE_H_
#define TEASELSPREAD_NODE_SPREAD_SERVICE_H_

#include "node/messages.h"
#include "teaselspread/kernel.h"
#include "teaselspread/spread.h"

namespace teaselspread {

// Not thread safe: belongs to the kernel's thread.
struct SpreadService {
  SpreadState state;
  Rng rng;
  bool wake_set = false;
  TimePoint wake_at;
};

// Registers the service. Precondition: `service` outlives `kernel`.
void StartSpreadService(Kernel& kernel, SpreadService& service);

}  // namespace teaselspread

#endif  // TEASELSPREAD_NODE_SPREAD_SERVICE_H_
