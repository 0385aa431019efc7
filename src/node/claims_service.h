// Keeps idempotency keys from running twice: asks the holders of the epoch for
// a claim, and is a holder where the epoch says so.
#ifndef TEASELSPREAD_NODE_CLAIMS_SERVICE_H_
#define TEASELSPREAD_NODE_CLAIMS_SERVICE_H_

#include <array>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "node/claims_messages.h"
#include "node/epoch_reader.h"
#include "node/messages.h"
#include "teaselspread/claims.h"
#include "teaselspread/counters.h"
#include "teaselspread/error.h"
#include "teaselspread/kernel.h"
#include "teaselspread/types.h"

namespace teaselspread {

// Kind of the log records that carry epochs.
inline constexpr std::string_view kEpochRecord = "epoch";

// A key that may run now, or whose outcome is known.
struct Claim {
  ClaimAttempt attempt;
  std::optional<ClaimOutcome> recorded;
};

// A caller's thread that waits for the verdict on its attempt.
struct PendingClaim {
  std::mutex gate;
  std::condition_variable changed;
  bool decided = false;
  // The caller's thread waits no more.
  bool abandoned = false;
  ClaimAttempt attempt;
};

using PendingClaimPtr = std::shared_ptr<PendingClaim>;

// A process that could be a holder, and when it was last known to be alive.
struct KnownHolder {
  Holder holder;
  TimePoint seen;
  // Membership says so now.
  bool member_alive = false;
};

// Belongs to the kernel's thread, but for what `post` carries there.
struct ClaimsService {
  Holder self;
  Duration retention = std::chrono::hours(24);
  ClaimKeeper keeper;
  EpochReader epochs;
  Rng rng;
  bool reader = false;
  TimePoint end_read_at;
  // The newest epoch read from the log, and since when.
  std::uint64_t newest_epoch = 0;
  TimePoint epoch_changed_at;
  // Since when this reader has not known the epoch in force.
  TimePoint unknown_since;
  TimePoint next_proposal;
  TimePoint next_notice;
  TimePoint next_query;
  TimePoint next_offer;
  TimePoint next_handover;
  TimePoint next_activation;
  TimePoint next_checkpoint;
  std::uint64_t next_sequence = 1;
  // Highest epoch that the whole data centre was told of.
  std::uint64_t announced_epoch = 0;
  // Highest activation that the holders were told of.
  std::uint64_t announced_activation = 0;
  // Processes of the own data centre by id, and offers of the others.
  std::map<std::string, KnownHolder> local;
  std::map<std::string, KnownHolder> remote;
  std::map<std::uint64_t, PendingClaimPtr> pending;
  std::array<std::uint64_t, 8> verdicts{};
  // Runs a task on the kernel's thread; set by the node.
  std::function<void(std::function<void()>)> post;
  Kernel* kernel = nullptr;
};

// Registers the service. Precondition: `service` outlives `kernel`.
void StartClaimsService(Kernel& kernel, ClaimsService& service);

// Claims the key for one run. Errors: kKeyMissing, kBadRequest, kKeyMismatch,
// kInProgress, kOutcomeUnknown, kClaimUnavailable. Blocks up to `deadline` or
// the claim window. Thread safe, not from the kernel's thread.
[[nodiscard]] Result<Claim> ClaimKeyFor(ClaimsService& service,
                                        const std::string& key,
                                        const std::string& method,
                                        const std::string& path,
                                        const std::string& body,
                                        TimePoint deadline);

// The attempt will never run. Thread safe.
void ReleaseKey(ClaimsService& service, const ClaimAttempt& attempt);

// The upstream answered in full. Thread safe.
void RecordKey(ClaimsService& service,
               const ClaimAttempt& attempt,
               const ClaimOutcome& outcome);

// The parts that the two files of this service share; kernel's thread only.

// Sends `message` to one control address, or to every holder of `epoch`.
void SendTo(ClaimsService& service,
            const Address& to,
            const ClaimMessage& message);
void SendToHolders(ClaimsService& service,
                   const ClaimEpoch& epoch,
                   const ClaimMessage& message);

// Asks the holders again that have not voted: an ask or a vote was lost.
void AskAgain(ClaimsService& service);

// Counts a vote for the attempt that it belongs to.
void HearVote(ClaimsService& service, const ClaimVote& vote);

}  // namespace teaselspread

#endif  // TEASELSPREAD_NODE_CLAIMS_SERVICE_H_
