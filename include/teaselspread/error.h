// All error kinds, and the HTTP status and retry rules of each.
#ifndef TEASELSPREAD_ERROR_H_
#define TEASELSPREAD_ERROR_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include <tl/expected.hpp>

namespace teaselspread {

// Whether the upstream did the work. Callers decide on a retry by this alone.
enum class Execution : std::uint8_t { kNotRun, kRan, kUnknown };

// All kinds of errors. Add a row to kErrorTable with each new kind.
enum class ErrorKind : std::uint8_t {
  // The request itself.
  kBadRequest,
  kNoRoute,
  kHeadersTooLarge,
  kBodyTooLarge,
  kKeyMissing,
  kKeyMismatch,
  // Refused before the request ran.
  kNotReady,
  kLeaving,
  kNoUpstream,
  kConnectionLimit,
  kQueueFull,
  kDeadlineTooShort,
  kQueueTimeout,
  kMemoryBudget,
  kRetryBudget,
  kCrashSuspect,
  // A service that the request would call has no capacity left.
  kDependencyFull,
  kClaimUnavailable,
  kInProgress,
  // After the run began.
  kConnectFailed,
  kUpstreamShed,
  kUpstreamFailed,
  kTruncated,
  kWrongResponse,
  kTimeout,
  kSilentConnection,
  kCancelled,
  kOutcomeUnknown,
  // Configuration.
  kSettings,
  kConfigSyntax,
  kConfigInvalid,
  kConfigConflict,
  kDigestMismatch,
  kStaleVersion,
  kMissingParent,
  // Between processes.
  kFrameMalformed,
  kFrameVersion,
  kPeerBusy,
  kPeerUnreachable,
  kLogUnavailable,
  kLogExpired,
  kAppendUnknown,
  // Command line and other.
  kUsage,
  kInternal,
  // Client accounts. Appended, as nodes of different releases exchange the
  // numbers of the other kinds.
  kUnauthorized,
  kQuotaExceeded,
  // The caller did not send the request in time.
  kRequestTimeout,
  kCount,
};

// One row of kErrorTable: what an error of `kind` means to the caller.
struct ErrorTraits {
  ErrorKind kind;
  std::string_view name;
  int http_status;
  Execution execution;
  // The response has a Retry-After header, with random jitter.
  bool retry_after;
  // Another upstream may be tried at once, even for a non-idempotent request.
  bool retry_elsewhere;
};

// The row of `kind`. Precondition: kind < kCount. Thread safe.
[[nodiscard]] const ErrorTraits& TraitsOf(ErrorKind kind);

// Short stable name of `kind`, used as a counter label. Thread safe.
[[nodiscard]] std::string_view NameOf(ErrorKind kind);

// The kind of that name, nullopt if there is none. Thread safe.
[[nodiscard]] std::optional<ErrorKind> ErrorKindNamed(std::string_view name);

// "not-run", "ran" or "unknown": the value of the response header that says
// whether the request ran. Thread safe.
[[nodiscard]] std::string_view NameOf(Execution execution);

// An error as a value: its kind and one human-readable line.
struct [[nodiscard]] Error {
  ErrorKind kind = ErrorKind::kInternal;
  std::string message;
};

template <class T>
using Result = tl::expected<T, Error>;

// A failed Result of any type. Thread safe.
[[nodiscard]] inline tl::unexpected<Error> Fail(ErrorKind kind,
                                                std::string message) {
  return tl::make_unexpected(Error{kind, std::move(message)});
}

}  // namespace teaselspread

#endif  // TEASELSPREAD_ERROR_H_
