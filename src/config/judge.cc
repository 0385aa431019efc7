#include "config/judge.h"

#include <utility>

#include "base/text.h"
#include "config/render.h"

namespace teaselspread {
namespace {

constexpr std::size_t kMaxPublishId = 64;
constexpr std::size_t kMaxMessage = 400;

bool IsPublishId(std::string_view id) {
  return !id.empty() && id.size() <= kMaxPublishId;
}

// Puts an accepted document in force.
void Install(Folding& folding,
             ConfigVersion version,
             const std::string& publish_id,
             const Digest& digest,
             Document document) {
  FoldState& state = folding.state;
  if (!folding.before) {
    folding.from = state.head;
    folding.before = std::move(state.document);
  }
  state.head = version;
  state.head_publish_id = publish_id;
  state.digest = digest;
  state.document = std::move(document);
}

// Keeps the verdict for publishers, at most kOutcomesKept of them. One that is
// forgotten does no harm: a repeated append then fails on its parent.
FoldReason Record(FoldState& state,
                  LogOffset offset,
                  const std::string& publish_id,
                  FoldReason reason,
                  std::string message) {
  message.resize(std::min(message.size(), kMaxMessage));
  state.outcomes.push_back({publish_id, offset, reason, state.head,
                            state.head_publish_id, std::move(message)});
  if (state.outcomes.size() > kOutcomesKept)
    state.outcomes.pop_front();
  return reason;
}

std::string ConflictText(const FoldState& state, const ChangeRecord& change) {
  return Concat("parent ", change.parent, " is not the accepted version ",
                state.head, ", which publish ", state.head_publish_id, " made");
}

std::string DigestText(const Digest& wanted, const Digest& got) {
  return Concat("the digest is ", ToString(got), ", the record says ",
                ToString(wanted));
}

}  // namespace

FoldReason JudgeChange(Folding& folding,
                       LogOffset offset,
                       const ChangeRecord& change) {
  FoldState& state = folding.state;
  const std::string& id = change.publish_id;
  if (!IsPublishId(id))
    return FoldReason::kMalformed;
  if (FindOutcome(state, id) != nullptr)
    return FoldReason::kDuplicate;
  if (change.parent != state.head) {
    return Record(state, offset, id, FoldReason::kConflict,
                  ConflictText(state, change));
  }
  const auto* delta = std::get_if<Delta>(&change.content);
  Document document = delta != nullptr ? ApplyDelta(state.document, *delta)
                                       : std::get<Document>(change.content);
  if (const Digest digest = DigestOf(document); digest != change.digest) {
    return Record(state, offset, id, FoldReason::kDigestMismatch,
                  DigestText(change.digest, digest));
  }
  if (const auto valid = ValidateAll(document); !valid) {
    return Record(state, offset, id, FoldReason::kInvalid,
                  valid.error().message);
  }
  Install(folding, offset, id, change.digest, std::move(document));
  ++state.changes_since_checkpoint;
  return Record(state, offset, id, FoldReason::kAccepted, "");
}

bool IsGoodOrigin(LogOffset offset, const OriginRecord& origin) {
  return origin.through + 1 == offset && IsPublishId(origin.publish_id) &&
         DigestOf(origin.document) == origin.digest &&
         ValidateAll(origin.document).has_value();
}

FoldReason JudgeOrigin(Folding& folding,
                       LogOffset offset,
                       const OriginRecord& origin) {
  FoldState& state = folding.state;
  const std::string& id = origin.publish_id;
  if (IsGoodOrigin(offset, origin)) {
    state.outcomes.assign(origin.outcomes.begin(), origin.outcomes.end());
    state.is_current = true;
    Install(folding, offset, id, origin.digest, origin.document);
    ++state.changes_since_checkpoint;
    return Record(state, offset, id, FoldReason::kAccepted, "");
  }
  if (!IsPublishId(id))
    return FoldReason::kMalformed;
  if (FindOutcome(state, id) != nullptr)
    return FoldReason::kDuplicate;
  if (origin.through + 1 != offset) {
    return Record(state, offset, id, FoldReason::kConflict,
                  "another record came before this new beginning");
  }
  if (const Digest digest = DigestOf(origin.document);
      digest != origin.digest) {
    return Record(state, offset, id, FoldReason::kDigestMismatch,
                  DigestText(origin.digest, digest));
  }
  return Record(state, offset, id, FoldReason::kInvalid,
                ValidateAll(origin.document).error().message);
}

FoldReason SeeCheckpoint(FoldState& state,
                         LogOffset offset,
                         const CheckpointRecord& checkpoint) {
  const bool is_head = checkpoint.version == state.head;
  if (checkpoint.version == 0 || checkpoint.version > state.head ||
      checkpoint.through >= offset ||
      (is_head && checkpoint.digest != state.digest)) {
    return FoldReason::kCheckpointUnusable;
  }
  state.checkpoint_offset = offset;
  state.checkpoint_written_at = checkpoint.written_at;
  if (is_head)
    state.changes_since_checkpoint = 0;
  return FoldReason::kCheckpointSeen;
}

bool AdoptCheckpoint(Folding& folding,
                     LogOffset offset,
                     const CheckpointRecord& checkpoint) {
  FoldState& state = folding.state;
  // Records between `through` and the first that this reader kept are unknown
  // to it; they may hold an accepted change.
  if (checkpoint.through < state.pending_floor || checkpoint.through >= offset)
    return false;
  if (checkpoint.version == 0 || checkpoint.version > checkpoint.through ||
      checkpoint.version < state.head) {
    return false;
  }
  if (DigestOf(checkpoint.document) != checkpoint.digest ||
      !ValidateAll(checkpoint.document)) {
    return false;
  }
  if (checkpoint.version > state.head) {
    Install(folding, checkpoint.version, checkpoint.publish_id,
            checkpoint.digest, checkpoint.document);
  }
  state.outcomes.assign(checkpoint.outcomes.begin(), checkpoint.outcomes.end());
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
