#include <algorithm>
#include <array>

#include "config/judge.h"
#include "teaselspread/config_log.h"

namespace teaselspread {
namespace {

// Bounds on the records that wait for a checkpoint. A checkpoint usually lies
// only a few records after the last one that it covers, so more are rarely
// needed.
constexpr std::size_t kMaxPending = 256;
constexpr std::size_t kMaxPendingBytes = 8U << 20;

constexpr std::array<std::string_view,
                     static_cast<std::size_t>(FoldReason::kCount)>
    kReasonNames = {"accepted",        "conflict",
                    "digest-mismatch", "invalid",
                    "duplicate",       "checkpoint-adopted",
                    "checkpoint-seen", "checkpoint-unusable",
                    "pending",         "opaque",
                    "malformed",       "unknown-format",
                    "already-folded"};

void Count(FoldState& state, FoldReason reason) {
  ++state.counters.at(static_cast<std::size_t>(reason));
}

void ClearPending(FoldState& state, LogOffset after) {
  state.pending.clear();
  state.pending_bytes = 0;
  state.pending_after = after;
}

void DropOldestPending(FoldState& state) {
  state.pending_after = state.pending.front().offset;
  state.pending_bytes -= state.pending.front().bytes.size();
  state.pending.pop_front();
}

FoldReason KeepPending(FoldState& state,
                       LogOffset offset,
                       std::string_view bytes) {
  state.pending.push_back({offset, std::string(bytes)});
  state.pending_bytes += bytes.size();
  while (state.pending.size() > kMaxPending ||
         state.pending_bytes > kMaxPendingBytes) {
    DropOldestPending(state);
  }
  return FoldReason::kPending;
}

void StopJudging(FoldState& state, LogOffset after) {
  state.is_current = false;
  ClearPending(state, after);
}

// Precondition: state.is_current.
FoldReason JudgeRecord(FoldContext& context,
                       LogOffset offset,
                       const LogRecord& record) {
  if (const auto* change = std::get_if<ChangeRecord>(&record))
    return JudgeChange(context, offset, *change);
  if (const auto* origin = std::get_if<OriginRecord>(&record))
    return JudgeOrigin(context, offset, *origin);
  if (const auto* checkpoint = std::get_if<CheckpointRecord>(&record))
    return JudgeCheckpoint(context.state, offset, *checkpoint);
  return FoldReason::kOpaque;
}

// Judges the records between the last one that the checkpoint covers and the
// checkpoint itself, so that a late reader reaches the state of all others.
void Replay(FoldContext& context, LogOffset through) {
  std::deque<PendingRecord> pending;
  pending.swap(context.state.pending);
  ClearPending(context.state, through);
  for (const PendingRecord& waiting : pending) {
    if (waiting.offset <= through)
      continue;
    if (const auto record = DecodeRecord(waiting.bytes))
      Count(context.state, JudgeRecord(context, waiting.offset, *record));
  }
}

FoldReason FoldWhileNotCurrent(FoldContext& context,
                               LogOffset offset,
                               const LogRecord& record,
                               std::string_view bytes) {
  if (const auto* checkpoint = std::get_if<CheckpointRecord>(&record)) {
    if (!AdoptCheckpoint(context, offset, *checkpoint))
      return FoldReason::kCheckpointUnusable;
    Replay(context, checkpoint->through);
    return FoldReason::kCheckpointAdopted;
  }
  if (const auto* origin = std::get_if<OriginRecord>(&record);
      origin != nullptr && IsValidOrigin(offset, *origin)) {
    ClearPending(context.state, offset);
    return JudgeOrigin(context, offset, *origin);
  }
  return KeepPending(context.state, offset, bytes);
}

FoldReason FoldRecord(FoldContext& context,
                      LogOffset offset,
                      std::string_view bytes,
                      std::optional<OpaqueRecord>& opaque) {
  auto record = DecodeRecord(bytes);
  if (!record) {
    if (record.error().kind != ErrorKind::kFrameVersion)
      return FoldReason::kMalformed;
    StopJudging(context.state, offset);
    return FoldReason::kUnknownFormat;
  }
  if (auto* found = std::get_if<OpaqueRecord>(&*record)) {
    opaque = std::move(*found);
    return FoldReason::kOpaque;
  }
  if (context.state.is_current)
    return JudgeRecord(context, offset, *record);
  return FoldWhileNotCurrent(context, offset, *record, bytes);
}

}  // namespace

std::string_view NameOf(FoldReason reason) {
  return kReasonNames.at(static_cast<std::size_t>(reason));
}

FoldResult Fold(FoldState& state, LogOffset offset, std::string_view bytes) {
  FoldResult result;
  if (offset <= state.position) {
    result.reason = FoldReason::kAlreadyFolded;
  } else {
    SkipTo(state, offset);
    state.position = offset;
    FoldContext context{state};
    result.reason = FoldRecord(context, offset, bytes, result.opaque);
    result.step = std::move(context.step);
  }
  Count(state, result.reason);
  return result;
}

FoldState StateFromPeer(ConfigVersion version,
                        std::string publish_id,
                        Document document) {
  FoldState state;
  state.head = version;
  state.head_publish_id = std::move(publish_id);
  state.digest = DigestOf(document);
  state.document = std::move(document);
  state.position = version;
  state.outcomes_since = version + 1;
  return state;
}

void SkipTo(FoldState& state, LogOffset first) {
  if (first <= state.position + 1)
    return;
  StopJudging(state, first - 1);
  state.position = first - 1;
}

}  // namespace teaselspread
