// The configuration's records in the platform's log, and the fold over them.
//
// A change is accepted if its parent is the accepted head at its place in the
// log and if it validates. Every reader folds the same records, so that every
// reader comes to the same verdict without a lock, a lease or a leader.
//
// Offsets count from 1 and have no gaps; version 0 means "none yet". A log that
// counts from 0 has to be mapped by its client.
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

// What became of a record. Each reason has a counter.
enum class FoldReason : std::uint8_t {
  // Accepted: the record's offset is the new version.
  kAccepted,
  // Changes that were refused, for good.
  kConflict,
  kDigestMismatch,
  kInvalid,
  // Refused, and the publish_id stood in the log before: its first verdict
  // holds. The second copy of an accepted change always ends here, since its
  // parent is no longer the head.
  kDuplicate,
  // Checkpoints.
  kCheckpointAdopted,
  kCheckpointSeen,
  kCheckpointUnusable,
  // Not yet to be judged: no checkpoint reaches back far enough. The record is
  // kept and judged once a checkpoint comes.
  kPending,
  // Nothing to do with the configuration.
  kOpaque,
  kMalformed,
  // Written by a newer release: this reader stops judging until a checkpoint
  // that it can read comes, since it cannot know what the record changed.
  kUnknownFormat,
  kAlreadyFolded,
  kCount,
};

// Stable name for counters and tables, such as "conflict". Thread safe.
[[nodiscard]] std::string_view NameOf(FoldReason reason);

// The verdict on one publish_id, kept so that a publisher whose append was
// answered by silence finds what became of it.
struct PublishOutcome {
  std::string publish_id;
  LogOffset offset = 0;
  FoldReason reason = FoldReason::kAccepted;
  // The accepted head just after this record: for kConflict the winner.
  ConfigVersion head = 0;
  std::string head_publish_id;
  // One line for the operator; empty if accepted.
  std::string message;

  bool operator==(const PublishOutcome&) const = default;
};

// One publish. With `parent` 0 it starts from an empty document.
struct ChangeRecord {
  std::string publish_id;
  ConfigVersion parent = 0;
  // Of the document that results.
  Digest digest;
  std::variant<Delta, Document> content;

  bool operator==(const ChangeRecord&) const = default;
};

// The accepted state up to `through`, for readers that start later. Several
// readers may append the same one; that does no harm.
struct CheckpointRecord {
  ConfigVersion version = 0;
  std::string publish_id;
  Digest digest;
  // Last offset that the writer had folded.
  LogOffset through = 0;
  // Writer's clock.
  TimePoint written_at;
  Document document;
  std::vector<PublishOutcome> outcomes;
  // As in FoldState.
  LogOffset outcomes_since = 0;

  bool operator==(const CheckpointRecord&) const = default;
};

// An operator's new beginning, when the log has lost every checkpoint. It needs
// no parent, but counts only if it lands right behind `through`, the last
// record that its publisher saw: whatever raced with it makes it void. Every
// reader then keeps the publisher's outcomes, so that all keep the same; a
// verdict that the publisher did not know is forgotten.
struct OriginRecord {
  std::string publish_id;
  LogOffset through = 0;
  Digest digest;
  Document document;
  std::vector<PublishOutcome> outcomes;

  bool operator==(const OriginRecord&) const = default;
};

// Bytes of another module on the same log; the fold passes over them.
struct OpaqueRecord {
  std::string kind;
  std::string bytes;

  bool operator==(const OpaqueRecord&) const = default;
};

using LogRecord =
    std::variant<ChangeRecord, CheckpointRecord, OriginRecord, OpaqueRecord>;

// Bytes of `record`, with format version and checksum. Thread safe.
[[nodiscard]] std::string EncodeRecord(const LogRecord& record);

// Fails with kFrameMalformed for bytes that are no record, and with
// kFrameVersion for a record of a newer format. Never throws, whatever the
// bytes, and needs memory in step with their number only. Thread safe.
[[nodiscard]] Result<LogRecord> DecodeRecord(std::string_view bytes);

// Outcomes that the fold keeps.
inline constexpr std::size_t kMaxOutcomes = 256;

// A record that waits for a checkpoint.
struct PendingRecord {
  LogOffset offset = 0;
  std::string bytes;
};

// The fold's whole state. Not thread safe: one thread folds.
struct FoldState {
  // Whether `head` is the accepted head at `position`. It is before the first
  // record; a reader that began in the middle of the log or missed records is
  // not current until a checkpoint comes.
  bool is_current = true;
  ConfigVersion head = 0;
  std::string head_publish_id;
  Digest digest;
  Document document;
  // Last record folded; 0 before the first.
  LogOffset position = 0;
  // Oldest first. Whether a change is accepted never depends on them.
  std::deque<PublishOutcome> outcomes;
  // Outcomes of older records may be missing; 0 if none is.
  LogOffset outcomes_since = 0;

  // Of the newest good checkpoint. These and what follows are the reader's own
  // and may differ between readers.
  LogOffset checkpoint_offset = 0;
  TimePoint checkpoint_written_at;
  // Accepted changes that it may lack.
  std::size_t changes_since_checkpoint = 0;

  // Records after `pending_floor` that wait for a checkpoint.
  std::deque<PendingRecord> pending;
  std::size_t pending_bytes = 0;
  LogOffset pending_after = 0;

  std::array<std::uint64_t, static_cast<std::size_t>(FoldReason::kCount)>
      counters{};
};

// The way from one accepted version to a later one.
struct VersionStep {
  ConfigVersion from = 0;
  ConfigVersion to = 0;
  // ApplyDelta to the document of `from` gives the document of `to`.
  Delta delta;
};

// What one record did.
struct FoldResult {
  FoldReason reason = FoldReason::kOpaque;
  // Set if `head` is higher than before the record.
  std::optional<VersionStep> step;
  // For kOpaque, so that its owner need not decode it again.
  std::optional<OpaqueRecord> opaque;
};

// Takes the next record into account. Offsets at or below `state.position` are
// passed over; a gap in the offsets makes the state wait for a checkpoint,
// while `head` and `document` stay as they were. `head` never falls.
// Preconditions: offset > 0. Not thread safe for one state.
FoldResult Fold(FoldState& state, LogOffset offset, std::string_view bytes);

// Tells the state that everything before `first` has expired unread, which a
// reader learns from the log's answer. Not thread safe for one state.
void SkipTo(FoldState& state, LogOffset first);

// The state just behind the accepted record `version`, made from a document
// that a peer holds: a reader that takes over goes on from here without reading
// what came before. It lacks older outcomes until it sees a checkpoint that has
// them. Precondition: `version` was accepted with this content. Thread safe.
[[nodiscard]] FoldState StateFromPeer(ConfigVersion version,
                                      std::string publish_id,
                                      Document document);

// The verdict on `publish_id` if it is still known. Not thread safe while
// another thread folds.
[[nodiscard]] const PublishOutcome* FindOutcome(const FoldState& state,
                                                std::string_view publish_id);

// A change record that makes `to` out of the accepted document: as a delta, or
// in full where that is shorter. Not thread safe while another thread folds.
[[nodiscard]] ChangeRecord MakeChange(const FoldState& state,
                                      const Document& to,
                                      std::string publish_id);

// Precondition: state.is_current. Not thread safe while another thread folds.
[[nodiscard]] CheckpointRecord MakeCheckpoint(const FoldState& state,
                                              TimePoint now);

// The record with which a publisher begins anew after the log has lost every
// checkpoint. Precondition: the publisher has folded the log to its end.
// Not thread safe while another thread folds.
[[nodiscard]] OriginRecord MakeOrigin(const FoldState& state,
                                      const Document& to,
                                      std::string publish_id);

// When a checkpoint is wanted.
struct CheckpointRule {
  // How long the log keeps a record.
  Duration retention = std::chrono::hours(24);
  // Longest random wait of a writer, so that one of them is first.
  Duration max_write_delay = std::chrono::seconds(5);
  // Changes after which a late reader would have too much to fold.
  std::size_t max_changes = 64;
};

// What a writer remembers between calls. Not thread safe.
struct CheckpointTimer {
  // Offset of the checkpoint whose age is being watched, and since when.
  LogOffset watched_offset = 0;
  std::optional<TimePoint> watched_since;
  // When to write, while one is due.
  std::optional<TimePoint> write_at;
  // Set by the caller while the log holds more than the state has folded: what
  // a reader wrote then would be old on arrival.
  bool is_behind = false;
};

// Whether to append a checkpoint now. Once one is due it waits at random first:
// the checkpoint of another writer, seen in time, calls it off. After a true
// answer the next comes no sooner than another wait later, so that a failing
// log is not hammered. Not thread safe for one timer.
[[nodiscard]] bool CheckpointDue(const CheckpointRule& rule,
                                 const FoldState& state,
                                 CheckpointTimer& timer,
                                 TimePoint now,
                                 Rng& rng);

}  // namespace teaselspread

#endif  // TEASELSPREAD_CONFIG_LOG_H_
