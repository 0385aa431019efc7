// Keys, epochs, records and messages of at-most-once execution.
#ifndef TEASELSPREAD_CLAIM_MESSAGES_H_
#define TEASELSPREAD_CLAIM_MESSAGES_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include "teaselspread/error.h"
#include "teaselspread/types.h"

namespace teaselspread {

// The caller's Idempotency-Key. A UUID of version 7 contains its issue time;
// for any other text that time is unknown.
struct ClaimKey {
  std::string text;
  bool has_issue_time = false;
  TimePoint issued;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->text, this->has_issue_time);
    SerializeTime(archive, this->issued);
  }
};

// Parses the header's value: 1 to 128 printable characters without spaces.
// Errors: kKeyMissing if empty, else kBadRequest. Thread safe.
[[nodiscard]] Result<ClaimKey> ParseClaimKey(std::string_view header);

// 128-bit digest of a request's method, path and body (XXH3). It detects a key
// that is reused by mistake; it is not collision-resistant against an attacker.
struct RequestDigest {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  bool operator==(const RequestDigest&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->high, this->low);
  }
};

// Thread safe.
[[nodiscard]] RequestDigest DigestOf(std::string_view method,
                                     std::string_view path,
                                     std::string_view body);

// One process that stores claims. A restarted process has another boot id.
struct Holder {
  std::string id;
  std::string data_center;
  // Drawn at random when the process starts.
  std::uint64_t boot_id = 0;
  Address control;

  bool operator==(const Holder&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->id, this->data_center, this->boot_id, this->control);
  }
};

// Whether both name the same run of the same process. Thread safe.
[[nodiscard]] inline bool SameProcess(const Holder& a, const Holder& b) {
  return a.id == b.id && a.boot_id == b.boot_id;
}

// The holders of claims, as agreed through the platform's log. `previous` are
// the holders of the last activated epoch before this one: only they may have
// voted, and they have to be closed first.
struct ClaimEpoch {
  std::uint64_t number = 0;
  std::vector<Holder> holders;
  std::uint64_t previous_number = 0;
  std::vector<Holder> previous;

  bool operator==(const ClaimEpoch&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->number, this->holders, this->previous_number, this->previous);
  }
};

// Votes that decide among `holders`. Thread safe.
[[nodiscard]] inline std::size_t QuorumOf(const std::vector<Holder>& holders) {
  return holders.size() / 2 + 1;
}

// kPropose: `epoch` should follow. kActivate: the holders of `epoch` found that
// the ones before it are closed. kCheckpoint: a copy of the current state, so
// that retention does not lose it. kRestart: a new start, since the log has
// been trimmed and holds no base to fold from.
enum class EpochRecordKind : std::uint8_t {
  kPropose,
  kActivate,
  kCheckpoint,
  kRestart,
};

// A log record about epochs.
struct EpochRecord {
  EpochRecordKind kind = EpochRecordKind::kPropose;
  ClaimEpoch epoch;
  // For kCheckpoint: the last activated epoch, and the offset of the last
  // record that the checkpoint's writer had folded.
  ClaimEpoch active;
  std::uint64_t folded_up_to = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->kind, this->epoch, this->active, this->folded_up_to);
  }
};

// A record and its offset in the log.
struct LoggedEpoch {
  std::uint64_t offset = 0;
  EpochRecord record;
};

// One attempt of one gatekeeper to claim one key. Never reused.
struct AttemptId {
  std::string node;
  std::uint64_t boot_id = 0;
  std::uint64_t sequence = 0;

  bool operator==(const AttemptId&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->node, this->boot_id, this->sequence);
  }
};

// The upstream's response. A body above the limit is not stored.
struct ClaimOutcome {
  int status = 0;
  std::string content_type;
  std::string body;
  bool body_stored = true;

  bool operator==(const ClaimOutcome&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->status, this->content_type, this->body, this->body_stored);
  }
};

// kBlocked: two attempts were granted and it is unknown which of them ran.
enum class ClaimState : std::uint8_t { kClaimed, kReleased, kDone, kBlocked };

// A holder's record of one key.
struct ClaimRecord {
  RequestDigest digest;
  AttemptId attempt;
  // Epoch in which this holder itself granted the claim.
  std::uint64_t epoch = 0;
  ClaimState state = ClaimState::kClaimed;
  TimePoint updated_at;
  ClaimOutcome outcome;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->digest, this->attempt, this->epoch, this->state);
    SerializeTime(archive, this->updated_at);
    archive(this->outcome);
  }
};

// Gatekeeper to holder: requests a vote on whether this attempt may run.
struct ClaimRequest {
  std::uint64_t epoch = 0;
  AttemptId attempt;
  ClaimKey key;
  RequestDigest digest;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->epoch, this->attempt, this->key, this->digest);
  }
};

enum class VoteKind : std::uint8_t {
  kGrant,
  kHeld,
  kDone,
  kMismatch,
  kAbstain,
};

// "grant", "held", "done", "mismatch" or "abstain". Thread safe.
[[nodiscard]] std::string_view NameOf(VoteKind kind);

// Holder to gatekeeper.
struct ClaimVote {
  AttemptId attempt;
  std::string holder;
  VoteKind kind = VoteKind::kAbstain;
  // For kHeld: the attempt that holds it may still be running.
  bool may_be_running = false;
  // For kDone.
  ClaimOutcome outcome;
  // Newest epoch that the holder knows.
  std::uint64_t newest_epoch = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->attempt, this->holder, this->kind, this->may_be_running,
            this->outcome, this->newest_epoch);
  }
};

// Gatekeeper to holder: this attempt will never run.
struct ClaimRelease {
  std::string key;
  AttemptId attempt;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->key, this->attempt);
  }
};

// Gatekeeper to holder: the attempt ran with this outcome.
struct ClaimCompletion {
  std::string key;
  AttemptId attempt;
  RequestDigest digest;
  ClaimOutcome outcome;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->key, this->attempt, this->digest, this->outcome);
  }
};

// New holder to a holder of the epoch before: stop voting in it and hand over
// the records.
struct HandoverRequest {
  ClaimEpoch epoch;
  Holder from;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->epoch, this->from);
  }
};

// kState: sealed, with its records. kNeverVoted: it has not voted in that epoch
// and never will. kReplaced: the requested process is gone.
enum class HandoverKind : std::uint8_t { kState, kNeverVoted, kReplaced };

struct KeyedRecord {
  std::string key;
  ClaimRecord record;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->key, this->record);
  }
};

// Response to HandoverRequest. Large: send it over TCP.
struct HandoverResponse {
  std::uint64_t epoch = 0;
  std::string holder;
  HandoverKind kind = HandoverKind::kReplaced;
  TimePoint complete_since;
  std::vector<KeyedRecord> records;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->epoch, this->holder, this->kind);
    SerializeTime(archive, this->complete_since);
    archive(this->records);
  }
};

}  // namespace teaselspread

#endif  // TEASELSPREAD_CLAIM_MESSAGES_H_
