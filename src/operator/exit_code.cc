#include "teaselspread/operator.h"

namespace teaselspread {

const std::vector<ExitCodeInfo>& ExitCodes() {
  static const std::vector<ExitCodeInfo> rows = {
      {ExitCode::kOk, "ok", "done"},
      {ExitCode::kFailed, "failed", "failed for a reason that it prints"},
      {ExitCode::kUsage, "usage", "bad flags or arguments"},
      {ExitCode::kInvalid, "invalid",
       "the files are not valid, nothing changed"},
      {ExitCode::kConflict, "conflict",
       "another publish came first, nothing changed"},
      {ExitCode::kUnreachable, "unreachable",
       "the log or the nodes cannot be reached"},
      {ExitCode::kUnknown, "unknown",
       "it may have taken effect, run the same publish again"},
      {ExitCode::kTimeout, "timeout", "not reached in the time given"},
      {ExitCode::kDifferent, "different", "diff found differences"},
  };
  return rows;
}

ExitCode ExitCodeOf(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::kUsage:
    case ErrorKind::kSettings:
      return ExitCode::kUsage;
    case ErrorKind::kConfigSyntax:
    case ErrorKind::kConfigInvalid:
    case ErrorKind::kDigestMismatch:
      return ExitCode::kInvalid;
    case ErrorKind::kConfigConflict:
    case ErrorKind::kStaleVersion:
    case ErrorKind::kMissingParent:
      return ExitCode::kConflict;
    case ErrorKind::kLogUnavailable:
    case ErrorKind::kLogExpired:
    case ErrorKind::kPeerUnreachable:
    case ErrorKind::kPeerBusy:
    case ErrorKind::kConnectFailed:
      return ExitCode::kUnreachable;
    case ErrorKind::kAppendUnknown:
    case ErrorKind::kOutcomeUnknown:
      return ExitCode::kUnknown;
    case ErrorKind::kTimeout:
      return ExitCode::kTimeout;
    default:
      return ExitCode::kFailed;
  }
}

ExitCode ExitCodeOf(FoldReason reason) {
  switch (reason) {
    case FoldReason::kAccepted:
      return ExitCode::kOk;
    case FoldReason::kConflict:
      return ExitCode::kConflict;
    case FoldReason::kDigestMismatch:
    case FoldReason::kInvalid:
      return ExitCode::kInvalid;
    case FoldReason::kPending:
      return ExitCode::kUnknown;
    default:
      return ExitCode::kFailed;
  }
}

}  // namespace teaselspread
