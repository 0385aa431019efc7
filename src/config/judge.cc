#include "config/judge.h"

#include <algorithm>
#include <set>
#include <utility>

#include "base/text.h"
#include "config/delta.h"
#include "config/move_identity.h"

namespace teaselspread {
namespace {

constexpr std::size_t kMaxPublishIdBytes = 64;
constexpr std::size_t kMaxMessageBytes = 400;

// Only readers that still receive every record after `through` can use a
// checkpoint. If one whose `through` lies far behind its own offset counted, it
// would delay the next checkpoint while the records that it needs expire.
constexpr LogOffset kMaxCheckpointLag = 1024;

bool IsPublishId(std::string_view id) {
  return !id.empty() && id.size() <= kMaxPublishIdBytes;
}

// Makes `version` the head; `delta` has already been applied to the document.
void AdvanceHead(FoldContext& context,
                 ConfigVersion version,
                 const std::string& publish_id,
                 const Digest& digest,
                 Delta delta) {
  FoldState& state = context.state;
  if (!context.step)
    context.step = VersionStep{state.head, version, std::move(delta)};
  else
    Append(context.step->delta, delta);
  context.step->to = version;
  state.head = version;
  state.head_publish_id = publish_id;
  state.digest = digest;
}

// Replaces the accepted document by one that has been checked.
void ReplaceDocument(FoldContext& context,
                     ConfigVersion version,
                     const std::string& publish_id,
                     const Digest& digest,
                     const Document& document) {
  Delta delta = MakeDelta(context.state.document, document);
  context.state.document = document;
  AdvanceHead(context, version, publish_id, digest, std::move(delta));
}

void DropOldOutcomes(FoldState& state) {
  while (state.outcomes.size() > kMaxOutcomes) {
    state.outcomes.pop_front();
    // The state now holds as many outcomes as any reader does.
    state.outcomes_since = 0;
  }
}

// Stores the verdict for publishers; only the newest kMaxOutcomes are kept.
// Dropping one is safe: a retried append is then refused for its parent.
FoldReason RecordOutcome(FoldState& state,
                         LogOffset offset,
                         const std::string& publish_id,
                         FoldReason reason,
                         std::string message) {
  message.resize(std::min(message.size(), kMaxMessageBytes));
  state.outcomes.push_back({publish_id, offset, reason, state.head,
                            state.head_publish_id, std::move(message)});
  DropOldOutcomes(state);
  return reason;
}

// Stores a refusal, unless the publish_id already has a verdict.
FoldReason Refuse(FoldState& state,
                  LogOffset offset,
                  const std::string& publish_id,
                  FoldReason reason,
                  std::string message) {
  if (FindOutcome(state, publish_id) != nullptr)
    return FoldReason::kDuplicate;
  return RecordOutcome(state, offset, publish_id, reason, std::move(message));
}

std::string ConflictText(const FoldState& state, const ChangeRecord& change) {
  return Concat("parent ", change.parent, " is not the accepted version ",
                state.head, ", which publish ", state.head_publish_id, " made");
}

std::string DigestText(const Digest& expected, const Digest& actual) {
  return Concat("the digest is ", ToString(actual), ", the record says ",
                ToString(expected));
}

// Adopts the newest kMaxOutcomes outcomes of a record. More of them would
// permanently enlarge the state of all readers.
void AdoptOutcomes(FoldState& state,
                   const std::vector<PublishOutcome>& outcomes,
                   LogOffset since) {
  state.outcomes.assign(outcomes.begin(), outcomes.end());
  state.outcomes_since = since;
  DropOldOutcomes(state);
}

// Adds the outcomes that a reader lacks because it took its state from a peer.
// Its own refusal of a publish_id that has an older outcome is dropped, since
// it was not the first verdict.
void AddOlderOutcomes(FoldState& state, const CheckpointRecord& checkpoint) {
  if (checkpoint.outcomes_since >= state.outcomes_since ||
      checkpoint.through + 1 < state.outcomes_since) {
    return;
  }
  std::deque<PublishOutcome> outcomes;
  std::set<std::string_view> known_ids;
  for (const PublishOutcome& outcome : checkpoint.outcomes) {
    if (outcome.offset >= state.outcomes_since)
      continue;
    outcomes.push_back(outcome);
    known_ids.insert(outcome.publish_id);
  }
  for (PublishOutcome& outcome : state.outcomes) {
    if (outcome.reason == FoldReason::kAccepted ||
        !known_ids.contains(outcome.publish_id)) {
      outcomes.push_back(std::move(outcome));
    }
  }
  state.outcomes = std::move(outcomes);
  state.outcomes_since = checkpoint.outcomes_since;
  DropOldOutcomes(state);
}

// The effect of a change on `document`, without edits that change nothing.
Delta DeltaOf(const Document& document, const ChangeRecord& change) {
  if (const auto* delta = std::get_if<Delta>(&change.content))
    return EffectiveDelta(document, *delta);
  return MakeDelta(document, std::get<Document>(change.content));
}

struct Finding {
  FoldReason reason = FoldReason::kAccepted;
  std::string text;
};

// Whether the resulting document of a record may be accepted.
Finding CheckNewDocument(const Document& document, const Digest& expected) {
  if (const Digest digest = DigestOf(document); digest != expected)
    return {FoldReason::kDigestMismatch, DigestText(expected, digest)};
  if (const auto valid = ValidateAll(document); !valid)
    return {FoldReason::kInvalid, valid.error().message};
  return {};
}

// Whether every move keeps its service and versions, and stays withdrawn if it
// was.
Finding CheckMoves(const Document& moves_before, const Document& after) {
  if (const auto checked = CheckMovesUnchanged(moves_before, after); !checked) {
    return {FoldReason::kInvalid,
            Concat(checked.error().path, ": ", checked.error().text)};
  }
  return {};
}

}  // namespace

FoldReason JudgeChange(FoldContext& context,
                       LogOffset offset,
                       const ChangeRecord& change) {
  FoldState& state = context.state;
  const std::string& id = change.publish_id;
  if (!IsPublishId(id))
    return FoldReason::kMalformed;
  // Readers hold different outcomes, depending on how they obtained their
  // state, so acceptance must not depend on whether the publish_id is known.
  if (change.parent != state.head) {
    return Refuse(state, offset, id, FoldReason::kConflict,
                  ConflictText(state, change));
  }
  // Applied in place, as copying the document would cost as much as the checks.
  Delta delta = DeltaOf(state.document, change);
  const Delta undo_delta = InverseDelta(state.document, delta);
  const Document moves_before = MovesOf(state.document);
  ApplyInPlace(state.document, delta);
  Finding finding = CheckNewDocument(state.document, change.digest);
  if (finding.reason == FoldReason::kAccepted)
    finding = CheckMoves(moves_before, state.document);
  if (const auto& [reason, text] = finding; reason != FoldReason::kAccepted) {
    ApplyInPlace(state.document, undo_delta);
    return Refuse(state, offset, id, reason, text);
  }
  AdvanceHead(context, offset, id, change.digest, std::move(delta));
  ++state.changes_since_checkpoint;
  return RecordOutcome(state, offset, id, FoldReason::kAccepted, "");
}

bool IsValidOrigin(LogOffset offset, const OriginRecord& origin) {
  return origin.through + 1 == offset && IsPublishId(origin.publish_id) &&
         CheckNewDocument(origin.document, origin.digest).reason ==
             FoldReason::kAccepted;
}

FoldReason JudgeOrigin(FoldContext& context,
                       LogOffset offset,
                       const OriginRecord& origin) {
  FoldState& state = context.state;
  const std::string& id = origin.publish_id;
  if (!IsPublishId(id))
    return FoldReason::kMalformed;
  // Regardless of whether the publish_id is known: a reader that does not know
  // it must reach the same verdict.
  if (IsValidOrigin(offset, origin)) {
    AdoptOutcomes(state, origin.outcomes, 0);
    state.is_current = true;
    ReplaceDocument(context, offset, id, origin.digest, origin.document);
    ++state.changes_since_checkpoint;
    return RecordOutcome(state, offset, id, FoldReason::kAccepted, "");
  }
  if (origin.through + 1 != offset) {
    return Refuse(state, offset, id, FoldReason::kConflict,
                  "another record came before this new beginning");
  }
  const auto [reason, text] = CheckNewDocument(origin.document, origin.digest);
  return Refuse(state, offset, id, reason, text);
}

FoldReason JudgeCheckpoint(FoldState& state,
                           LogOffset offset,
                           const CheckpointRecord& checkpoint) {
  const bool is_head = checkpoint.version == state.head;
  if (checkpoint.version == 0 || checkpoint.version > state.head ||
      checkpoint.through >= offset ||
      offset - checkpoint.through > kMaxCheckpointLag ||
      (is_head && checkpoint.digest != state.digest)) {
    return FoldReason::kCheckpointUnusable;
  }
  AddOlderOutcomes(state, checkpoint);
  state.checkpoint_offset = offset;
  state.checkpoint_written_at = checkpoint.written_at;
  if (is_head)
    state.changes_since_checkpoint = 0;
  return FoldReason::kCheckpointSeen;
}

bool AdoptCheckpoint(FoldContext& context,
                     LogOffset offset,
                     const CheckpointRecord& checkpoint) {
  FoldState& state = context.state;
  // This reader does not have the records between `through` and its first
  // pending record; one of them may be an accepted change.
  if (checkpoint.through < state.pending_after || checkpoint.through >= offset)
    return false;
  if (checkpoint.version == 0 || checkpoint.version > checkpoint.through ||
      checkpoint.version < state.head) {
    return false;
  }
  if (CheckNewDocument(checkpoint.document, checkpoint.digest).reason !=
      FoldReason::kAccepted) {
    return false;
  }
  if (checkpoint.version > state.head) {
    ReplaceDocument(context, checkpoint.version, checkpoint.publish_id,
                    checkpoint.digest, checkpoint.document);
  }
  AdoptOutcomes(state, checkpoint.outcomes, checkpoint.outcomes_since);
  state.checkpoint_offset = offset;
  state.checkpoint_written_at = checkpoint.written_at;
  state.changes_since_checkpoint = 0;
  state.is_current = true;
  return true;
}

const PublishOutcome* FindOutcome(const FoldState& state,
                                  std::string_view publish_id) {
  for (auto outcome = state.outcomes.rbegin(); outcome != state.outcomes.rend();
       ++outcome) {
    if (outcome->publish_id == publish_id)
      return &*outcome;
  }
  return nullptr;
}

}  // namespace teaselspread
