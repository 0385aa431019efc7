// The verdicts of the fold on single records.
#ifndef TEASELSPREAD_CONFIG_JUDGE_H_
#define TEASELSPREAD_CONFIG_JUDGE_H_

#include <optional>

#include "teaselspread/config_log.h"

namespace teaselspread {

// The state during one call of Fold, and how far its head has come.
struct FoldContext {
  FoldState& state;
  std::optional<VersionStep> step = {};
};

// Precondition of all: state.is_current, but for AdoptCheckpoint.
// Not thread safe for one state.
[[nodiscard]] FoldReason JudgeChange(FoldContext& context,
                                     LogOffset offset,
                                     const ChangeRecord& change);

[[nodiscard]] FoldReason JudgeOrigin(FoldContext& context,
                                     LogOffset offset,
                                     const OriginRecord& origin);

[[nodiscard]] FoldReason JudgeCheckpoint(FoldState& state,
                                         LogOffset offset,
                                         const CheckpointRecord& checkpoint);

// Whether the origin counts. This depends on the record and its offset alone,
// since readers that started at different places must agree. Thread safe.
[[nodiscard]] bool IsValidOrigin(LogOffset offset, const OriginRecord& origin);

// Puts the checkpoint's state in force and makes the state current, or returns
// false and changes nothing. Precondition: !state.is_current.
[[nodiscard]] bool AdoptCheckpoint(FoldContext& context,
                                   LogOffset offset,
                                   const CheckpointRecord& checkpoint);

}  // namespace teaselspread

#endif  // TEASELSPREAD_CONFIG_JUDGE_H_
