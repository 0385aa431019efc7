// Configuration records in the platform's log and the fold that replays them.
//
// A change is accepted if it is valid and its parent is the accepted head at
// the change's offset. Every reader folds the same records in the same order
// and so reaches the same verdicts without a lock, a lease or a leader.
//
// Offsets start at 1 and have no gaps; version 0 means "none yet". The client
// of a log whose offsets start at 0 has to map them.
#ifndef TEASELSPREAD_CONFIG_LOG_H_
#define TEASELSPREAD_CONFIG_LOG_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "teaselspread/config.h"
#include "teaselspread/error.h"
#include "teaselspread/types.h"

namespace teaselspread {

using LogOffset = std::uint64_t;

// The verdict on a record. Each one has a counter.
enum class FoldReason : std::uint8_t {
  // Accepted: the record's offset is the new version.
  kAccepted,
  // Changes that are refused permanently.
  kConflict,
  kDigestMismatch,
  kInvalid,
  // Refused, and its publish_id already has a verdict, which stays valid. A
  // second copy of an accepted change is always refused, since its parent is no
  // longer the head.
  kDuplicate,
  // Checkpoints.
  kCheckpointAdopted,
  kCheckpointSeen,
  kCheckpointUnusable,
  // Cannot be judged yet, since the accepted head is unknown. The record is
  // stored and judged once a checkpoint is adopted.
  kPending,
  // A record of another module.
  kOpaque,
  kMalformed,
  // Written by a newer release. What it changed is unknown, so this reader
  // stops judging until it adopts a checkpoint that it can read.
  kUnknownFormat,
  kAlreadyFolded,
  kCount,
};

// Stable name for counters and tables, such as "conflict". Thread safe.
[[nodiscard]] std::string_view NameOf(FoldReason reason);

// The verdict on one publish_id, stored so that a publisher that received no
// response to its append can look it up.
struct PublishOutcome {
  std::string publish_id;
  LogOffset offset = 0;
  FoldReason reason = FoldReason::kAccepted;
  // The accepted head after this record; for kConflict, the change that won.
  ConfigVersion head = 0;
  std::string head_publish_id;
  // One line for the operator; empty if accepted.
  std::string message;

  bool operator==(const PublishOutcome&) const = default;
};

// One publish. `parent` 0 stands for an empty document.
struct ChangeRecord {
  std::string publish_id;
  ConfigVersion parent = 0;
  // Of the resulting document.
  Digest digest;
  std::variant<Delta, Document> content;

  bool operator==(const ChangeRecord&) const = default;
};

// The accepted state up to `through`, for readers that start later. Several
// readers may append the same checkpoint without harm.
struct CheckpointRecord {
  ConfigVersion version = 0;
  std::string publish_id;
  Digest digest;
  // The last offset that its writer had folded.
  LogOffset through = 0;
  // By the writer's clock.
  TimePoint written_at;
  Document document;
  std::vector<PublishOutcome> outcomes;
  // See FoldState::outcomes_since.
  LogOffset outcomes_since = 0;

  bool operator==(const CheckpointRecord&) const = default;
};

// A full document with which an operator restarts the configuration after the
// log has lost every checkpoint. It has no parent, but is accepted only if it
// directly follows `through`, the last record that its publisher read; a record
// appended in between makes it void. Every reader then adopts the publisher's
// outcomes, so that all hold the same; verdicts unknown to it are dropped.
struct OriginRecord {
  std::string publish_id;
  LogOffset through = 0;
  Digest digest;
  Document document;
  std::vector<PublishOutcome> outcomes;

  bool operator==(const OriginRecord&) const = default;
};

// A record of another module in the same log; the fold ignores it.
struct OpaqueRecord {
  std::string kind;
  std::string bytes;

  bool operator==(const OpaqueRecord&) const = default;
};

using LogRecord =
    std::variant<ChangeRecord, CheckpointRecord, OriginRecord, OpaqueRecord>;

// Serializes `record`, with format version and checksum. Thread safe.
[[nodiscard]] std::string EncodeRecord(const LogRecord& record);

// Fails with kFrameMalformed for bytes that are not a record, and with
// kFrameVersion for a record of another format. Never throws, whatever the
// bytes; memory use is proportional to their number. Thread safe.
[[nodiscard]] Result<LogRecord> DecodeRecord(std::string_view bytes);

// Number of outcomes that the fold keeps.
inline constexpr std::size_t kMaxOutcomes = 256;

// A record that waits for a checkpoint.
struct PendingRecord {
  LogOffset offset = 0;
  std::string bytes;
};

// The complete state of the fold. Not thread safe: one thread folds.
struct FoldState {
  // Whether `head` is the accepted head at `position`. True before the first
  // record; false after a reader started in the middle of the log or missed
  // records, until it adopts a checkpoint.
  bool is_current = true;
  ConfigVersion head = 0;
  std::string head_publish_id;
  Digest digest;
  Document document;
  // Offset of the last folded record; 0 before the first.
  LogOffset position = 0;
  // Oldest first. Acceptance of a change never depends on them.
  std::deque<PublishOutcome> outcomes;
  // Outcomes of records before this offset may be missing; 0 if none is.
  LogOffset outcomes_since = 0;

  // Of the newest usable checkpoint. This and the following fields are local
  // to the reader and may differ between readers.
  LogOffset checkpoint_offset = 0;
  TimePoint checkpoint_written_at;
  // Accepted changes that the checkpoint may not include.
  std::size_t changes_since_checkpoint = 0;

  // Records after offset `pending_after` that wait for a checkpoint.
  std::deque<PendingRecord> pending;
  std::size_t pending_bytes = 0;
  LogOffset pending_after = 0;

  std::array<std::uint64_t, static_cast<std::size_t>(FoldReason::kCount)>
      counters{};
};

// The difference between an accepted version and a later one.
struct VersionStep {
  ConfigVersion from = 0;
  ConfigVersion to = 0;
  // Applied to the document of `from`, it gives the document of `to`.
  Delta delta;
};

// The effect of one record.
struct FoldResult {
  FoldReason reason = FoldReason::kOpaque;
  // Set if the record raised `head`.
  std::optional<VersionStep> step;
  // Set for kOpaque, so that its owner need not decode it again.
  std::optional<OpaqueRecord> opaque;
};

// Folds the next record into `state`. Offsets up to `state.position` are
// ignored. After a gap in the offsets the state waits for a checkpoint and
// keeps `head` and `document`. `head` never decreases.
// Preconditions: offset > 0. Not thread safe for one state.
FoldResult Fold(FoldState& state, LogOffset offset, std::string_view bytes);

// Skips all records before `first`, which have expired unread; a reader learns
// of this from the log's response. Not thread safe for one state.
void SkipTo(FoldState& state, LogOffset first);

// The state directly after the accepted record `version`, built from a document
// that a peer holds, so that a new reader need not read the records before it.
// It lacks older outcomes until it folds a checkpoint that has them.
// Precondition: `version` was accepted with this content. Thread safe.
[[nodiscard]] FoldState StateFromPeer(ConfigVersion version,
                                      std::string publish_id,
                                      Document document);

// The latest stored verdict on `publish_id`; null if there is none. Not thread
// safe while another thread folds.
[[nodiscard]] const PublishOutcome* FindOutcome(const FoldState& state,
                                                std::string_view publish_id);

// A change record that turns the accepted document into `to`: as a delta, or in
// full where that is shorter. Not thread safe while another thread folds.
[[nodiscard]] ChangeRecord MakeChange(const FoldState& state,
                                      const Document& to,
                                      std::string publish_id);

// Precondition: state.is_current. Not thread safe while another thread folds.
[[nodiscard]] CheckpointRecord MakeCheckpoint(const FoldState& state,
                                              TimePoint now);

// The record with which a publisher restarts the configuration after the log
// has lost every checkpoint. Precondition: the publisher has folded the log to
// its end. Not thread safe while another thread folds.
[[nodiscard]] OriginRecord MakeOrigin(const FoldState& state,
                                      const Document& to,
                                      std::string publish_id);

// When to write a checkpoint.
struct CheckpointRule {
  // How long the log keeps a record.
  Duration retention = std::chrono::hours(24);
  // Maximum random delay of a writer; it spreads the writers in time, so that
  // the first checkpoint spares the others. Shorter if the retention is.
  Duration max_write_delay = std::chrono::seconds(5);
  // Accepted changes since the last checkpoint after which one is due; bounds
  // what a late reader has to fold.
  std::size_t max_changes = 64;
};

// State of a checkpoint writer between calls. Not thread safe.
struct CheckpointTimer {
  // Offset of the newest known checkpoint, and since when it is known.
  LogOffset watched_offset = 0;
  std::optional<TimePoint> watched_since;
  // When to write; set while a checkpoint is due.
  std::optional<TimePoint> write_at;
  // Set by the caller while the log holds records that the state has not folded
  // yet: a checkpoint written then would be out of date when appended.
  bool is_behind = false;
};

// Whether to append a checkpoint now. A due checkpoint is first delayed at
// random, and cancelled if another writer's checkpoint is folded meanwhile.
// After returning true, it returns false for at least the maximum delay, to
// limit the load on a failing log. Not thread safe for one timer.
[[nodiscard]] bool CheckpointDue(const CheckpointRule& rule,
                                 const FoldState& state,
                                 CheckpointTimer& timer,
                                 TimePoint now,
                                 Rng& rng);

}  // namespace teaselspread

#endif  // TEASELSPREAD_CONFIG_LOG_H_
