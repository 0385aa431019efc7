// Judges single records for the fold.
#ifndef TEASELSPREAD_CONFIG_JUDGE_H_
#define TEASELSPREAD_CONFIG_JUDGE_H_

#include <optional>

#include "teaselspread/config_log.h"

namespace teaselspread {

// The state during one call of Fold, and the change of its head so far.
struct FoldContext {
  FoldState& state;
  std::optional<VersionStep> step = {};
};

// Precondition of all: state.is_current, except for AdoptCheckpoint and for
// JudgeOrigin with a valid origin. Not thread safe for one state.
[[nodiscard]] FoldReason JudgeChange(FoldContext& context,
                                     LogOffset offset,
                                     const ChangeRecord& change);

[[nodiscard]] FoldReason JudgeOrigin(FoldContext& context,
                                     LogOffset offset,
                                     const OriginRecord& origin);

[[nodiscard]] FoldReason JudgeCheckpoint(FoldState& state,
                                         LogOffset offset,
                                         const CheckpointRecord& checkpoint);

// Whether the origin is accepted. This depends only on the record and its
// offset, since readers that started at different offsets must agree. Thread
// safe.
[[nodiscard]] bool IsValidOrigin(LogOffset offset, const OriginRecord& origin);

// Adopts the checkpoint's state and makes the state current, or returns false
// and changes nothing. Precondition: !state.is_current.
[[nodiscard]] bool AdoptCheckpoint(FoldContext& context,
                                   LogOffset offset,
                                   const CheckpointRecord& checkpoint);

}  // namespace teaselspread

#endif  // TEASELSPREAD_CONFIG_JUDGE_H_
