// At-most-once execution of requests that carry an Idempotency-Key.
//
// Before a run the gatekeeper needs grants from a majority of the epoch's
// holders. The holders are agreed through the platform's log, so gatekeepers
// with different views of the members can never find two disjoint majorities.
// A new epoch starts to vote only when the old one cannot decide any more.
// docs/design/0004-claims.md has the argument and its assumptions.
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
  // A caller retries a key for at most this long after it first sent it; each
  // request may be in flight for as long again.
  Duration key_lifetime = std::chrono::minutes(5);
  // Bound on the difference between the clocks of two nodes.
  Duration max_clock_skew = std::chrono::milliseconds(500);
  // A gatekeeper must be granted a claim and start the run within this time of
  // requesting it.
  Duration claim_window = std::chrono::seconds(5);
  // A node whose ticks are further apart than this was paused: requests in its
  // sockets may be older than any record of their key.
  Duration max_tick_gap = std::chrono::seconds(1);
  // A claim older than this without an outcome is reported as "outcome unknown"
  // instead of "in progress".
  Duration max_run_time = std::chrono::seconds(30);
  // How long a new holder waits for old ones that may still respond.
  Duration handover_timeout = std::chrono::seconds(2);
  // A new holder waits this long for old ones that neither respond nor are
  // known to be gone. A holder that could not read the log for half of this
  // time stops voting.
  Duration fencing_timeout = std::chrono::minutes(30);
  // Largest response body that is stored with an outcome.
  std::size_t max_stored_body_bytes = 4096;
};

// The fold of the log's epoch records, the same for every reader. An epoch that
// is replaced before its activation never votes.
struct EpochLog {
  // False until the reader of a trimmed log has found a base to fold from.
  bool has_base = false;
  ClaimEpoch current;
  ClaimEpoch active;
};

// Folds all epoch records that the log still holds, in its order.
// `first_offset` is the log's first offset; above 0, older records were
// trimmed. While `has_base` of the result is false, call it again with the
// records that were appended since. Thread safe.
[[nodiscard]] EpochLog ReadEpochs(std::span<const LoggedEpoch> records,
                                  std::uint64_t first_offset);

// Folds the next record. Precondition: log.has_base. Returns whether anything
// changed. Not thread safe.
bool FoldEpoch(EpochLog& log, const EpochRecord& record);

// The record to append when the log was read to its end and `has_base` is still
// false. Its holders wait for the whole `fencing_timeout`, since those of a
// lost epoch may still vote. Not thread safe.
[[nodiscard]] std::optional<EpochRecord>
ProposeRestart(std::span<const Holder> candidates, TimePoint now, Rng& rng);

// The epoch to append, if the current one has holders that are not among
// `candidates` (alive, ready, not leaving), too few holders, or two in one data
// centre while another has none. Keeps the remaining holders. Let some seconds
// pass between proposals: each costs a handover. Not thread safe.
[[nodiscard]] std::optional<ClaimEpoch>
ProposeEpoch(const EpochLog& log, std::span<const Holder> candidates, Rng& rng);

// kNotHolder: not a holder of the epoch. kTakingOver: a holder, but the epoch
// before may still decide, or this one is not activated yet. kVoting: votes.
enum class HolderState : std::uint8_t { kNotHolder, kTakingOver, kVoting };

// "outside", "taking-over" or "voting". Thread safe.
[[nodiscard]] std::string_view NameOf(HolderState state);

// What is known of an old holder. All but kOpen are closed: such a holder
// cannot vote in the old epoch any more. kSealed: it handed over its records.
// kNeverVoted: it never voted in the old epoch. kGone: its process has ended,
// or `fencing_timeout` has passed.
enum class HandoverState : std::uint8_t { kOpen, kSealed, kNeverVoted, kGone };

using ClaimTable = std::unordered_map<std::string, ClaimRecord>;

// Records handed over by one holder of the last activated epoch.
struct Handover {
  HandoverState state = HandoverState::kOpen;
  TimePoint complete_since;
  std::vector<KeyedRecord> records;
};

// Claims state of one node. All functions on it: not thread safe.
struct ClaimKeeper {
  ClaimSettings settings;
  Holder self;
  ClaimEpoch epoch;
  HolderState state = HolderState::kNotHolder;
  // The log holds the activation of `epoch`.
  bool activated = false;
  ClaimTable records;
  // Claims first sent before this may be missing from `records`.
  TimePoint complete_since = TimePoint::min();
  // Last epoch in which this node voted; it still has that epoch's records.
  std::uint64_t voted_epoch = 0;
  TimePoint epoch_learned_at;
  TimePoint log_confirmed_at;
  TimePoint last_tick;
  // When to look next for expired records.
  TimePoint next_sweep;
  // Requests read before this time may have waited in a socket through a pause.
  TimePoint stale_requests_until;
  std::map<std::string, Handover> handovers;
};

// A handover request and the old holders to send it to.
struct HandoverRequests {
  HandoverRequest request;
  std::vector<Holder> recipients;
};

// Processes an epoch from the log or from a message. If it is newer, voting in
// the old one stops at once. Returns the handover requests to send, if this
// node is a holder of the new one. Not thread safe.
[[nodiscard]] HandoverRequests LearnEpoch(ClaimKeeper& keeper,
                                          const ClaimEpoch& epoch,
                                          TimePoint now);

// True if the old epoch is closed and the log does not hold the activation of
// this one yet: append a kActivate record of `keeper.epoch`, and again if it
// was lost. Not thread safe.
[[nodiscard]] bool WantsActivation(const ClaimKeeper& keeper, TimePoint now);

// Processes the activation of epoch `number` from the log. Not thread safe.
void LearnActivation(ClaimKeeper& keeper, std::uint64_t number, TimePoint now);

// The request for the old holders that are still open; send it again
// periodically. Not thread safe.
[[nodiscard]] HandoverRequests OpenHandovers(const ClaimKeeper& keeper);

// A read of the log that began at `read_began_at` reached its end and found no
// newer epoch. A holder without such a confirmation does not vote. Nodes that
// do not read the log may get it from those that do. Not thread safe.
void ConfirmEpoch(ClaimKeeper& keeper, TimePoint read_began_at);

// The response to a new holder; `requested_id` and `requested_boot_id` name the
// process that it addressed. Call LearnEpoch with request.epoch first: before
// that there is no response, since this node might still vote in the old epoch.
// Not thread safe.
[[nodiscard]] std::optional<HandoverResponse> MakeHandoverResponse(
    const ClaimKeeper& keeper,
    const HandoverRequest& request,
    std::string_view requested_id,
    std::uint64_t requested_boot_id);

// Processes the response of an old holder. Not thread safe.
void ReceiveHandover(ClaimKeeper& keeper,
                     const HandoverResponse& response,
                     TimePoint now);

// Marks the process `boot_id` of node `id` as gone. Call it only when another
// process acts for the node: a missing response is no proof. Not thread safe.
void MarkHolderGone(ClaimKeeper& keeper,
                    std::string_view id,
                    std::uint64_t boot_id,
                    TimePoint now);

// Runs the timers: starts to vote if it may, drops expired records, detects
// pauses. Call it about every 100 ms, and for the first time before the process
// accepts connections: a pause before the first call is not detected, and
// requests received during it could be older than any record of their key. No
// attempt begins before the first call. Not thread safe.
void TickClaims(ClaimKeeper& keeper, TimePoint now);

// Votes on one attempt. Not thread safe.
[[nodiscard]] ClaimVote VoteOn(ClaimKeeper& keeper,
                               const ClaimRequest& request,
                               TimePoint now);

// Releases the claim of an attempt that will never run. Not thread safe.
void ReleaseClaim(ClaimKeeper& keeper, const ClaimRelease& release);

// Stores the outcome of an attempt that ran. Not thread safe.
void RecordOutcome(ClaimKeeper& keeper,
                   const ClaimCompletion& completion,
                   TimePoint now);

// kGranted: run the request if MayRun is still true. kInProgress, kUnknown:
// respond with kInProgress or kOutcomeUnknown. kDone: respond with the outcome.
// kMismatch: respond with kKeyMismatch. kUnproven: too few votes; this attempt
// does not run, but an earlier one may have run.
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
  // A holder knows a newer epoch: learn it and retry.
  bool epoch_is_old = false;
};

// Starts an attempt of the node of `keeper`. Its verdict is kUnproven at once
// if the node knows no epoch or was paused recently. Precondition: `id` was
// never used before. Not thread safe.
[[nodiscard]] ClaimAttempt BeginClaim(const ClaimKeeper& keeper,
                                      const AttemptId& id,
                                      const ClaimKey& key,
                                      const RequestDigest& digest,
                                      TimePoint now);

// The message for every holder; send it again to those that did not vote. Not
// thread safe.
[[nodiscard]] ClaimRequest RequestOf(const ClaimAttempt& attempt);

// Processes a vote; late and duplicate votes and those for other attempts
// change nothing. Returns the verdict so far. Not thread safe.
ClaimVerdict ReceiveVote(ClaimAttempt& attempt,
                         const ClaimVote& vote,
                         TimePoint now);

// Stops waiting for votes (the deadline is near) and returns the verdict. Not
// thread safe.
ClaimVerdict AbandonClaim(ClaimAttempt& attempt);

// Check this right before the request is sent to the upstream. If it is false,
// respond with kClaimUnavailable: the key is proved not to have run. Not thread
// safe.
[[nodiscard]] bool MayRun(const ClaimAttempt& attempt, TimePoint now);

// The message for every holder, once it is certain that the attempt never runs.
// Not thread safe.
[[nodiscard]] ClaimRelease ReleaseOf(const ClaimAttempt& attempt);

// The message for every holder, once the upstream has responded in full. Not
// thread safe.
[[nodiscard]] ClaimCompletion CompletionOf(const ClaimSettings& settings,
                                           const ClaimAttempt& attempt,
                                           ClaimOutcome outcome);

}  // namespace teaselspread

#endif  // TEASELSPREAD_CLAIMS_H_
