// At-most-once execution of requests that carry an Idempotency-Key.
//
// Before a run the gatekeeper needs grants from a majority of the epoch's
// holders. Who the holders are is agreed through the platform's log, so two
// gatekeepers with different views of the members can never find two disjoint
// majorities. A new epoch starts to vote only when the old one cannot decide
// any more. docs/design/0004-claims.md has the argument and what it assumes.
#ifndef TEASELSPREAD_CLAIMS_H_
#define TEASELSPREAD_CLAIMS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "teaselspread/claim_messages.h"
#include "teaselspread/error.h"
#include "teaselspread/types.h"

namespace teaselspread {

struct ClaimSettings {
  // A caller repeats a key for at most this long after it first sent it; a
  // request that it sent may be on the way for as long again.
  Duration key_lifetime = std::chrono::minutes(5);
  // Bound on the difference between the clocks of two nodes.
  Duration max_clock_skew = std::chrono::milliseconds(500);
  // A gatekeeper must be granted and start its run within this of asking.
  Duration claim_window = std::chrono::seconds(5);
  // A node whose ticks were further apart than this was paused: what waits in
  // its sockets may be older than any record of the key.
  Duration max_tick_gap = std::chrono::seconds(1);
  // A claim older than this without an outcome counts as "outcome unknown"
  // instead of "in progress".
  Duration max_run_time = std::chrono::seconds(30);
  // How long a new holder waits for old ones that may still answer.
  Duration handover_timeout = std::chrono::seconds(2);
  // Old holders that neither answer nor are known to be gone are waited for
  // this long; a holder stops voting when it could not read the log for half.
  Duration fencing_timeout = std::chrono::minutes(30);
  // Largest answer body that is kept with an outcome.
  std::size_t max_stored_body_bytes = 4096;
};

// The fold of the log's epoch records. Every reader comes to the same one. An
// epoch that another one replaced before it was activated never votes.
struct EpochLog {
  // False until a reader of a trimmed log has found a base to fold from.
  bool has_base = false;
  ClaimEpoch current;
  ClaimEpoch active;
};

// Folds all epoch records that the log still holds, in its order.
// `first_offset` is the log's first one; above 0, older records were trimmed.
// While the result is not known, call it again with the records that came
// since. Thread safe.
[[nodiscard]] EpochLog ReadEpochs(std::span<const LoggedEpoch> records,
                                  std::uint64_t first_offset);

// Takes in the next record. Precondition: log.known. Returns whether anything
// changed. Not thread safe.
bool FoldEpoch(EpochLog& log, const EpochRecord& record);

// What to append when the log was read to its end and is still not known. The
// holders wait for the whole fence, since those of a lost epoch may still vote.
// Not thread safe.
[[nodiscard]] std::optional<EpochRecord>
ProposeRestart(std::span<const Holder> candidates, TimePoint now, Rng& rng);

// The epoch to append, if the one in force has holders that are not among
// `candidates` (alive, ready, not leaving), too few, or two in one data centre
// while another has none. Keeps those that stay. Let some seconds pass between
// proposals: each costs a handover. Not thread safe.
[[nodiscard]] std::optional<ClaimEpoch>
ProposeEpoch(const EpochLog& log, std::span<const Holder> candidates, Rng& rng);

// kOutside: not a holder. kTakingOver: named, but the epoch before may still
// decide, or this one is not activated yet. kVoting: votes.
enum class HolderState : std::uint8_t { kNotHolder, kTakingOver, kVoting };

// "outside", "taking-over" or "voting". Thread safe.
[[nodiscard]] std::string_view NameOf(HolderState state);

// How an old holder was closed.
enum class HandoverState : std::uint8_t { kOpen, kSealed, kNeverVoted, kGone };

using ClaimTable = std::unordered_map<std::string, ClaimRecord>;

// What one holder of the epoch before (the last activated one) handed over.
struct Handover {
  HandoverState state = HandoverState::kOpen;
  TimePoint complete_since;
  std::vector<KeyedRecord> records;
};

// One node's part in keeping claims. All functions on it: not thread safe.
struct ClaimKeeper {
  ClaimSettings settings;
  Holder self;
  ClaimEpoch epoch;
  HolderState state = HolderState::kNotHolder;
  // The log says that `epoch` was activated.
  bool activated = false;
  ClaimTable records;
  // Claims first sent before this may be missing from `records`.
  TimePoint complete_since = TimePoint::min();
  // Last epoch in which this node voted, whose records it still has.
  std::uint64_t voted_epoch = 0;
  TimePoint epoch_learned_at;
  TimePoint log_confirmed_at;
  TimePoint last_tick;
  // When records that are too old are looked for next.
  TimePoint next_sweep;
  // Requests read before this may have waited through a pause.
  TimePoint stale_requests_until;
  std::map<std::string, Handover> handovers;
};

// The records of the sender's epoch are asked for, at these holders.
struct HandoverRequests {
  HandoverRequest request;
  std::vector<Holder> recipients;
};

// A newer epoch was read from the log, or shown by a message. Stops voting in
// the old one at once. Returns whom to ask for a handover, if this node is a
// holder of the new one. Not thread safe.
[[nodiscard]] HandoverRequests LearnEpoch(ClaimKeeper& keeper,
                                          const ClaimEpoch& epoch,
                                          TimePoint now);

// True if the old epoch is closed and the log does not say yet that this one is
// active: append a kActivate record of `keeper.epoch`, again if it got lost.
// Not thread safe.
[[nodiscard]] bool WantsActivation(const ClaimKeeper& keeper, TimePoint now);

// The log says that epoch `number` was activated. Not thread safe.
void LearnActivation(ClaimKeeper& keeper, std::uint64_t number, TimePoint now);

// Who still has to hand over: repeat the ask to them now and then. Not thread
// safe.
[[nodiscard]] HandoverRequests OpenHandovers(const ClaimKeeper& keeper);

// A read of the log that began at `began` reached its end and showed no newer
// epoch. A holder that is never told so does not vote. Nodes that do not read
// the log may be told by those that do. Not thread safe.
void ConfirmEpoch(ClaimKeeper& keeper, TimePoint read_began_at);

// Answers a new holder; `asked_id` and `asked_boot_id` are what it asked for.
// Call LearnEpoch with ask.epoch first: nothing is answered before, since this
// node might still vote in the old epoch. Not thread safe.
[[nodiscard]] std::optional<HandoverResponse> MakeHandoverResponse(
    const ClaimKeeper& keeper,
    const HandoverRequest& request,
    std::string_view requested_id,
    std::uint64_t requested_boot_id);

// An old holder answered. Not thread safe.
void ReceiveHandover(ClaimKeeper& keeper,
                     const HandoverResponse& response,
                     TimePoint now);

// The process `boot_id` of node `id` is known to be gone: another process
// speaks for the node. Silence is no proof. Not thread safe.
void MarkHolderGone(ClaimKeeper& keeper,
                    std::string_view id,
                    std::uint64_t boot_id,
                    TimePoint now);

// Time has passed: starts to vote if it may, drops records that are too old,
// notices pauses. Call it about every 100 ms, and for the first time before the
// process accepts connections: a pause before the first call is not noticed,
// and what came in through it could be older than any record of its key. No
// attempt begins before the first call. Not thread safe.
void TickClaims(ClaimKeeper& keeper, TimePoint now);

// Votes on one attempt. Not thread safe.
[[nodiscard]] ClaimVote VoteOn(ClaimKeeper& keeper,
                               const ClaimRequest& request,
                               TimePoint now);

// Not thread safe.
void ReleaseClaim(ClaimKeeper& keeper, const ClaimRelease& release);

// Not thread safe.
void RecordOutcome(ClaimKeeper& keeper,
                   const ClaimCompletion& completion,
                   TimePoint now);

// kGranted: run it, if MayRun still says so. kInProgress, kUnknown: answer with
// kInProgress or kOutcomeUnknown. kDone: answer with the outcome. kMismatch:
// kKeyMismatch. kUnproven: too few votes; this attempt does not run, yet an
// earlier one may have.
enum class ClaimVerdict : std::uint8_t {
  kPending,
  kGranted,
  kInProgress,
  kUnknown,
  kDone,
  kMismatch,
  kUnproven,
};

// Stable name, used as a counter label. Thread safe.
[[nodiscard]] std::string_view NameOf(ClaimVerdict verdict);

// The error of a verdict other than kPending, kGranted and kDone. Thread safe.
[[nodiscard]] ErrorKind ErrorOf(ClaimVerdict verdict);

// One attempt, at the gatekeeper that wants to run the request.
struct ClaimAttempt {
  AttemptId id;
  ClaimKey key;
  RequestDigest digest;
  ClaimEpoch epoch;
  Duration window{};
  TimePoint requested_at;
  std::map<std::string, ClaimVote> votes;
  ClaimVerdict verdict = ClaimVerdict::kPending;
  ClaimOutcome outcome;
  // A holder knows a newer epoch: learn it and try again.
  bool epoch_is_old = false;
};

// Starts an attempt of the node of `keeper`. Its verdict is kUnproven at once
// if the node knows no epoch or was paused a moment ago. Precondition: `id`
// was never used before. Not thread safe.
[[nodiscard]] ClaimAttempt BeginClaim(const ClaimKeeper& keeper,
                                      const AttemptId& id,
                                      const ClaimKey& key,
                                      const RequestDigest& digest,
                                      TimePoint now);

// The message for every holder; repeat it to those that did not vote. Not
// thread safe.
[[nodiscard]] ClaimRequest RequestOf(const ClaimAttempt& attempt);

// Takes in a vote; votes for other attempts, repeated and late ones change
// nothing. Returns the verdict so far. Not thread safe.
ClaimVerdict ReceiveVote(ClaimAttempt& attempt,
                         const ClaimVote& vote,
                         TimePoint now);

// No more votes are waited for (the deadline is near). Not thread safe.
ClaimVerdict AbandonClaim(ClaimAttempt& attempt);

// Ask this right before the request is sent to the upstream. If it is false,
// answer kClaimUnavailable: the key is proved not to have run. Not thread safe.
[[nodiscard]] bool MayRun(const ClaimAttempt& attempt, TimePoint now);

// For every holder, once it is certain that the attempt never runs. Not thread
// safe.
[[nodiscard]] ClaimRelease ReleaseOf(const ClaimAttempt& attempt);

// For every holder, once the upstream has answered in full. Not thread safe.
[[nodiscard]] ClaimCompletion CompletionOf(const ClaimSettings& settings,
                                           const ClaimAttempt& attempt,
                                           ClaimOutcome outcome);

}  // namespace teaselspread

#endif  // TEASELSPREAD_CLAIMS_H_
