// Drives membership from frames, timers and the upstream's announcements.
#ifndef TEASELSPREAD_NODE_MEMBERSHIP_SERVICE_H_
#define TEASELSPREAD_NODE_MEMBERSHIP_SERVICE_H_

#include <functional>

#include <cstdint>

#include "node/messages.h"
#include "teaselspread/kernel.h"
#include "teaselspread/membership.h"

namespace teaselspread {

// Not thread safe: belongs to the kernel's thread.
struct MembershipService {
  Membership state;
  Rng rng;
  // Called for each member that is dead or has left; may be empty.
  std::function<void(const Member&)> on_gone;
  // The incarnation that the other services know.
  std::uint64_t told_incarnation = 0;
  bool wake_set = false;
  TimePoint wake_at;
};

// Registers the service. Precondition: `service` outlives `kernel`.
void StartMembershipService(Kernel& kernel, MembershipService& service);

// Announces a planned stop of the node.
void AnnounceLeave(Kernel& kernel, MembershipService& service);

}  // namespace teaselspread

#endif  // TEASELSPREAD_NODE_MEMBERSHIP_SERVICE_H_
