#include "config/judge.h"

#include <algorithm>
#include <set>
#include <utility>

#include "base/text.h"
#include "config/delta.h"
#include "config/move_identity.h"

namespace teaselspread {
namespace {

constexpr std::size_t kMaxPublishId = 64;
constexpr std::size_t kMaxMessage = 400;

// A checkpoint is of use only to readers that still get every record behind
// the last one that it covers. Counting one that ends long before its own place
// would put off the next, while the records that it needs expire.
constexpr LogOffset kMaxCheckpointLag = 1024;

bool IsPublishId(std::string_view id) {
  return !id.empty() && id.size() <= kMaxPublishId;
}

// Notes that `delta`, which is already applied, made `version`.
void Advance(Folding& folding,
             ConfigVersion version,
             const std::string& publish_id,
             const Digest& digest,
             Delta delta) {
  FoldState& state = folding.state;
  if (!folding.step)
    folding.step = VersionStep{state.head, version, std::move(delta)};
  else
    Append(folding.step->delta, delta);
  folding.step->to = version;
  state.head = version;
  state.head_publish_id = publish_id;
  state.digest = digest;
}

// Puts a checked document in the place of the accepted one.
void Replace(Folding& folding,
             ConfigVersion version,
             const std::string& publish_id,
             const Digest& digest,
             const Document& document) {
  Delta delta = MakeDelta(folding.state.document, document);
  folding.state.document = document;
  Advance(folding, version, publish_id, digest, std::move(delta));
}

void DropOldOutcomes(FoldState& state) {
  while (state.outcomes.size() > kOutcomesKept) {
    state.outcomes.pop_front();
    // As many as anyone keeps.
    state.outcomes_since = 0;
  }
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
  DropOldOutcomes(state);
  return reason;
}

// Refuses, unless the publish_id has a verdict already.
FoldReason Refuse(FoldState& state,
                  LogOffset offset,
                  const std::string& publish_id,
                  FoldReason reason,
                  std::string message) {
  if (FindOutcome(state, publish_id) != nullptr)
    return FoldReason::kDuplicate;
  return Record(state, offset, publish_id, reason, std::move(message));
}

std::string ConflictText(const FoldState& state, const ChangeRecord& change) {
  return Concat("parent ", change.parent, " is not the accepted version ",
                state.head, ", which publish ", state.head_publish_id, " made");
}

std::string DigestText(const Digest& wanted, const Digest& got) {
  return Concat("the digest is ", ToString(got), ", the record says ",
                ToString(wanted));
}

// Takes over the newest of the outcomes that a record carries. More than are
// kept would grow the state of all readers for good.
void TakeOutcomes(FoldState& state,
                  const std::vector<PublishOutcome>& outcomes,
                  LogOffset since) {
  state.outcomes.assign(outcomes.begin(), outcomes.end());
  state.outcomes_since = since;
  DropOldOutcomes(state);
}

// Fills in what a reader lacks that took its state from a peer. What it took
// for the first verdict on a publish_id may have been the second.
void AddOlderOutcomes(FoldState& state, const CheckpointRecord& checkpoint) {
  if (checkpoint.outcomes_since >= state.outcomes_since ||
      checkpoint.through + 1 < state.outcomes_since) {
    return;
  }
  std::deque<PublishOutcome> outcomes;
  std::set<std::string_view> known;
  for (const PublishOutcome& outcome : checkpoint.outcomes) {
    if (outcome.offset >= state.outcomes_since)
      continue;
    outcomes.push_back(outcome);
    known.insert(outcome.publish_id);
  }
  for (PublishOutcome& outcome : state.outcomes) {
    if (outcome.reason == FoldReason::kAccepted ||
        !known.contains(outcome.publish_id)) {
      outcomes.push_back(std::move(outcome));
    }
  }
  state.outcomes = std::move(outcomes);
  state.outcomes_since = checkpoint.outcomes_since;
  DropOldOutcomes(state);
}

// What a change does to `document`, without the parts that do nothing.
Delta DeltaOf(const Document& document, const ChangeRecord& change) {
  if (const auto* delta = std::get_if<Delta>(&change.content))
    return EffectiveDelta(document, *delta);
  return MakeDelta(document, std::get<Document>(change.content));
}

struct Finding {
  FoldReason reason = FoldReason::kAccepted;
  std::string text;
};

// Whether a document that a record leads to may be accepted.
Finding CheckResult(const Document& document, const Digest& wanted) {
  if (const Digest digest = DigestOf(document); digest != wanted)
    return {FoldReason::kDigestMismatch, DigestText(wanted, digest)};
  if (const auto valid = ValidateAll(document); !valid)
    return {FoldReason::kInvalid, valid.error().message};
  return {};
}

// Whether the moves are still the same ones as before.
Finding CheckMoves(const Document& moves_before, const Document& after) {
  if (const auto kept = CheckMovesUnchanged(moves_before, after); !kept) {
    return {FoldReason::kInvalid,
            Concat(kept.error().path, ": ", kept.error().text)};
  }
  return {};
}

}  // namespace

FoldReason JudgeChange(Folding& folding,
                       LogOffset offset,
                       const ChangeRecord& change) {
  FoldState& state = folding.state;
  const std::string& id = change.publish_id;
  if (!IsPublishId(id))
    return FoldReason::kMalformed;
  // Readers that came by their state on other ways remember other outcomes, so
  // that acceptance must not ask whether the publish_id is known.
  if (change.parent != state.head) {
    return Refuse(state, offset, id, FoldReason::kConflict,
                  ConflictText(state, change));
  }
  // Applied in place: a copy of the document would cost as much as the checks.
  Delta delta = DeltaOf(state.document, change);
  const Delta undoing = InverseDelta(state.document, delta);
  const Document moves_before = MovesOf(state.document);
  ApplyInPlace(state.document, delta);
  Finding finding = CheckResult(state.document, change.digest);
  if (finding.reason == FoldReason::kAccepted)
    finding = CheckMoves(moves_before, state.document);
  if (const auto& [reason, text] = finding; reason != FoldReason::kAccepted) {
    ApplyInPlace(state.document, undoing);
    return Refuse(state, offset, id, reason, text);
  }
  Advance(folding, offset, id, change.digest, std::move(delta));
  ++state.changes_since_checkpoint;
  return Record(state, offset, id, FoldReason::kAccepted, "");
}

bool IsGoodOrigin(LogOffset offset, const OriginRecord& origin) {
  return origin.through + 1 == offset && IsPublishId(origin.publish_id) &&
         CheckResult(origin.document, origin.digest).reason ==
             FoldReason::kAccepted;
}

FoldReason JudgeOrigin(Folding& folding,
                       LogOffset offset,
                       const OriginRecord& origin) {
  FoldState& state = folding.state;
  const std::string& id = origin.publish_id;
  if (!IsPublishId(id))
    return FoldReason::kMalformed;
  // Known or not: a reader that does not know the publish_id must come to the
  // same verdict.
  if (IsGoodOrigin(offset, origin)) {
    TakeOutcomes(state, origin.outcomes, 0);
    state.is_current = true;
    Replace(folding, offset, id, origin.digest, origin.document);
    ++state.changes_since_checkpoint;
    return Record(state, offset, id, FoldReason::kAccepted, "");
  }
  if (origin.through + 1 != offset) {
    return Refuse(state, offset, id, FoldReason::kConflict,
                  "another record came before this new beginning");
  }
  const auto [reason, text] = CheckResult(origin.document, origin.digest);
  return Refuse(state, offset, id, reason, text);
}

FoldReason SeeCheckpoint(FoldState& state,
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
  if (CheckResult(checkpoint.document, checkpoint.digest).reason !=
      FoldReason::kAccepted) {
    return false;
  }
  if (checkpoint.version > state.head) {
    Replace(folding, checkpoint.version, checkpoint.publish_id,
            checkpoint.digest, checkpoint.document);
  }
  TakeOutcomes(state, checkpoint.outcomes, checkpoint.outcomes_since);
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
