#include "teaselspread/error.h"

#include <algorithm>
#include <array>

namespace teaselspread {
namespace {

constexpr auto kErrorKindCount = static_cast<std::size_t>(ErrorKind::kCount);
using K = ErrorKind;
using E = Execution;

constexpr std::array<ErrorTraits, kErrorKindCount> kErrorTable = {{
    {K::kBadRequest, "bad-request", 400, E::kNotRun, false, false},
    {K::kNoRoute, "no-route", 404, E::kNotRun, false, false},
    {K::kHeadersTooLarge, "headers-too-large", 431, E::kNotRun, false, false},
    {K::kBodyTooLarge, "body-too-large", 413, E::kNotRun, false, false},
    {K::kKeyMissing, "key-missing", 400, E::kNotRun, false, false},
    {K::kKeyMismatch, "key-mismatch", 422, E::kNotRun, false, false},
    {K::kNotReady, "not-ready", 503, E::kNotRun, true, true},
    {K::kLeaving, "leaving", 503, E::kNotRun, true, true},
    {K::kNoUpstream, "no-upstream", 503, E::kNotRun, true, false},
    {K::kConnectionLimit, "connection-limit", 503, E::kNotRun, true, true},
    {K::kQueueFull, "queue-full", 503, E::kNotRun, true, true},
    {K::kDeadlineTooShort, "deadline-too-short", 503, E::kNotRun, true, true},
    {K::kQueueTimeout, "queue-timeout", 503, E::kNotRun, true, false},
    {K::kMemoryBudget, "memory-budget", 503, E::kNotRun, true, true},
    {K::kRetryBudget, "retry-budget", 503, E::kNotRun, true, false},
    {K::kCrashSuspect, "crash-suspect", 503, E::kNotRun, true, false},
    {K::kDependencyFull, "dependency-full", 503, E::kNotRun, true, false},
    {K::kClaimUnavailable, "claim-unavailable", 503, E::kNotRun, true, false},
    {K::kInProgress, "in-progress", 409, E::kUnknown, true, false},
    {K::kConnectFailed, "connect-failed", 503, E::kNotRun, true, true},
    {K::kUpstreamShed, "upstream-shed", 503, E::kNotRun, true, true},
    {K::kUpstreamFailed, "upstream-failed", 502, E::kUnknown, false, false},
    {K::kTruncated, "truncated", 502, E::kUnknown, false, false},
    {K::kWrongResponse, "wrong-answer", 502, E::kUnknown, false, false},
    {K::kTimeout, "timeout", 504, E::kUnknown, false, false},
    {K::kSilentConnection, "silent-connection", 504, E::kUnknown, false, false},
    {K::kCancelled, "cancelled", 499, E::kUnknown, false, false},
    {K::kOutcomeUnknown, "outcome-unknown", 502, E::kUnknown, true, false},
    {K::kSettings, "settings", 500, E::kNotRun, false, false},
    {K::kConfigSyntax, "config-syntax", 422, E::kNotRun, false, false},
    {K::kConfigInvalid, "config-invalid", 422, E::kNotRun, false, false},
    {K::kConfigConflict, "config-conflict", 409, E::kNotRun, false, false},
    {K::kDigestMismatch, "digest-mismatch", 422, E::kNotRun, false, false},
    {K::kStaleVersion, "stale-version", 409, E::kNotRun, false, false},
    {K::kMissingParent, "missing-parent", 409, E::kNotRun, false, false},
    {K::kFrameMalformed, "frame-malformed", 400, E::kNotRun, false, false},
    {K::kFrameVersion, "frame-version", 400, E::kNotRun, false, false},
    {K::kPeerBusy, "peer-busy", 503, E::kNotRun, true, true},
    {K::kPeerUnreachable, "peer-unreachable", 503, E::kNotRun, true, true},
    {K::kLogUnavailable, "log-unavailable", 503, E::kNotRun, true, false},
    {K::kLogExpired, "log-expired", 410, E::kNotRun, false, false},
    {K::kAppendUnknown, "append-unknown", 504, E::kUnknown, true, false},
    {K::kUsage, "usage", 400, E::kNotRun, false, false},
    {K::kInternal, "internal", 500, E::kUnknown, false, false},
    {K::kUnauthorized, "unauthorized", 401, E::kNotRun, false, false},
    {K::kQuotaExceeded, "quota-exceeded", 429, E::kNotRun, true, false},
    {K::kRequestTimeout, "request-timeout", 408, E::kNotRun, false, false},
}};

constexpr bool TableIsInOrder() {
  for (std::size_t i = 0; i < kErrorTable.size(); ++i) {
    if (static_cast<std::size_t>(kErrorTable[i].kind) != i)
      return false;
  }
  return true;
}
static_assert(TableIsInOrder(), "kErrorTable must follow ErrorKind");

constexpr std::array<std::string_view, 3> kExecutionNames = {"not-run", "ran",
                                                             "unknown"};

}  // namespace

const ErrorTraits& TraitsOf(ErrorKind kind) {
  return kErrorTable.at(static_cast<std::size_t>(kind));
}

std::string_view NameOf(ErrorKind kind) {
  return TraitsOf(kind).name;
}

std::optional<ErrorKind> ErrorKindNamed(std::string_view name) {
  const auto* row =
      std::find_if(kErrorTable.begin(), kErrorTable.end(),
                   [&](const ErrorTraits& each) { return each.name == name; });
  if (row == kErrorTable.end())
    return std::nullopt;
  return row->kind;
}

std::string_view NameOf(Execution execution) {
  return kExecutionNames.at(static_cast<std::size_t>(execution));
}

}  // namespace teaselspread
