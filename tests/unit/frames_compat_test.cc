// Frames between nodes of two releases while a fleet is upgraded. The bytes
// were written by a release before this one.
#include "edge/frames.h"
#include "edge/status_notes.h"

#include <criterion/criterion.h>

#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "teaselspread/accounts.h"
#include "teaselspread/version_trial.h"

namespace teaselspread {
namespace {

constexpr std::string_view kStatus =
    "000000a001013f03692d31046465736b02763112000000f4010000070000000000000000"
    "01030000000100000028000000780000000104726561648002000001046465736b027632"
    "000184030000803e000005000000000000000103692d3204726561640104000000010000"
    "0001000000030000002c0100000001010000000000000002000000000000000300000000"
    "000000090000000001047265616405776f726b73";
constexpr std::string_view kMovesOnly =
    "0000003e01010801046465736b027632000184030000803e000005000000000000000103"
    "692d32047265616401040000000100000001000000030000002c01000000";
constexpr std::string_view kLoad = "0000000e0109030000000100000028000000";
constexpr std::string_view kHello =
    "0000001d010006626f6c652d3204626f6c650831302e302e302e32d41cc8000000";

// A request of a route of priority 1, without an account.
constexpr std::string_view kRun =
    "0000005f0102050000000000000004726561640101d00700002c01000003692d31034745"
    "54072f766965772f31030c582d526571756573742d496403712d310d417574686f72697a"
    "6174696f6e08426561726572206b08582d54656e616e7401740162";

std::string FromHex(std::string_view hex) {
  std::string bytes;
  for (std::size_t i = 0; i < hex.size(); i += 2) {
    constexpr int kHexBase = 16;
    bytes += static_cast<char>(
        std::stoi(std::string(hex.substr(i, 2)), nullptr, kHexBase));
  }
  return bytes;
}

template <class Frame>
Frame Decode(std::string_view hex) {
  const std::string bytes = FromHex(hex);
  auto frame =
      DecodeLinkFrame(std::string_view(bytes).substr(kFrameLengthBytes));
  cr_assert(frame.has_value());
  return std::get<Frame>(std::move(*frame));
}

Test(frames_compat, frames_of_the_release_before_are_read) {
  const auto status = Decode<Status>(kStatus);
  cr_assert_eq(status.parts, kAllStatusParts);
  cr_assert(status.status.instance == "i-1");
  cr_assert_eq(status.status.held_version, 7U);
  cr_assert_eq(status.status.trial_statuses.at(0).counters.at(0).bad, 1U);
  cr_assert(status.status.calls.at(0).service == "works");
  const auto moves = Decode<Status>(kMovesOnly);
  cr_assert(moves.status.trial_statuses == status.status.trial_statuses);
  cr_assert_eq(Decode<LoadFrame>(kLoad).queued_ms, 40U);
  cr_assert(Decode<Hello>(kHello).node == "bole-2");
}

// A node of the release before closes the link on bytes that it cannot parse,
// and with it the requests in flight there.
Test(frames_compat, frames_have_the_bytes_of_the_release_before) {
  for (const std::string_view hex : {kStatus, kMovesOnly})
    cr_assert(EncodeLinkFrame(Decode<Status>(hex)) == FromHex(hex));
  cr_assert(EncodeLinkFrame(Decode<LoadFrame>(kLoad)) == FromHex(kLoad));
  cr_assert(EncodeLinkFrame(Decode<Hello>(kHello)) == FromHex(kHello));
}

// Without accounts a request has the same bytes as before. Guards against gates
// of the release before that take its priority for another one.
Test(frames_compat, requests_without_an_account_have_the_same_bytes) {
  const auto run = Decode<RunFrame>(kRun);
  cr_assert(run.route == "read");
  RouteConfig route;
  RunFrame sent = run;
  sent.priority = EncodePriority(EffectivePriority(nullptr, route));
  cr_assert(EncodeLinkFrame(sent) == FromHex(kRun));
  for (const Priority priority :
       {Priority::kInternal, Priority::kNormal, Priority::kBackground}) {
    route.priority = priority;
    const AccountConfig without_priority;
    const auto byte = static_cast<std::uint8_t>(priority);
    cr_assert_eq(EncodePriority(EffectivePriority(nullptr, route)), byte);
    cr_assert_eq(EncodePriority(EffectivePriority(&without_priority, route)),
                 byte);
    cr_assert(DecodePriority(byte).priority == priority);
  }
  cr_assert_eq(EncodePriority(kNestedCallPriority), 0U);
  cr_assert(DecodePriority(0) == kNestedCallPriority);
}

// A node of the release before closes the link on fields that it does not know,
// so the limit travels as a row of a list that it can parse. That node must not
// take the row for a route's time, and this one must not keep it there.
Test(frames_compat, a_limit_travels_in_the_fields_of_the_release_before) {
  const auto before = Decode<Status>(kStatus);
  Status limited = before;
  limited.status.limit_per_second = 34.3;
  limited.status.process_stamp = 77;
  const std::string bytes = EncodeLinkFrame(limited);
  const auto frame =
      DecodeLinkFrame(std::string_view(bytes).substr(kFrameLengthBytes));
  cr_assert(frame.has_value());
  const auto& received = std::get<Status>(*frame).status;
  cr_assert(received == limited.status);
  cr_assert(received.route_times == before.status.route_times);
  const std::vector<RouteTime> rows = TimesWithNotes(limited.status);
  cr_assert_eq(rows.size(), before.status.route_times.size() + 2);
  cr_assert(ReportedTimeOf(rows, "read") ==
            ReportedTimeOf(before.status.route_times, "read"));
  for (const double per_second : {0.0, 0.001, 1e6}) {
    GateStatus status;
    status.limit_per_second = per_second;
    status.route_times = TimesWithNotes(status);
    status.limit_per_second.reset();
    TakeNotes(status);
    cr_assert(status.limit_per_second == per_second);
  }
}

// Guards against a speed that would make an upstream look endlessly slow, or
// infinitely fast: peers are other processes, possibly of another release.
Test(frames_compat, a_speed_out_of_range_is_malformed) {
  for (const std::uint32_t percent : {10U, 100U, 250U, 2000U}) {
    const std::string bytes = EncodeLinkFrame(SpeedFrame{percent});
    const auto frame =
        DecodeLinkFrame(std::string_view(bytes).substr(kFrameLengthBytes));
    cr_assert(frame.has_value());
    cr_assert_eq(std::get<SpeedFrame>(*frame).percent, percent);
  }
  for (const std::uint32_t percent : {0U, 9U, 2001U, 0xffffffffU}) {
    const std::string bytes = EncodeLinkFrame(SpeedFrame{percent});
    const auto frame =
        DecodeLinkFrame(std::string_view(bytes).substr(kFrameLengthBytes));
    cr_assert_not(frame.has_value());
    cr_assert(frame.error().kind == ErrorKind::kFrameMalformed);
  }
}

// Nodes of the release before judge moves by the counters of all peers. The row
// that marks a suspicion must not count there as responses of an upstream.
Test(frames_compat, a_suspicion_adds_no_responses) {
  VersionTrial suspecting;
  suspecting.order = {"desk", "v2", std::chrono::seconds(16)};
  suspecting.finding = TrialFinding::kSuspect;
  const TrialStatus summary = SummaryOf(suspecting, true, TimePoint{});
  cr_assert(ReportsSuspicion(summary));
  VersionTrial trial;
  trial.order = suspecting.order;
  MergeStatus(trial, "bole-2", summary, TimePoint{});
  cr_assert(JudgeTrial(trial) == TrialFinding::kNone);
}

// A node that evaluates a move suspects the version. The others hold its share
// down until the suspicion ends or the evaluator is lost.
Test(frames_compat, a_suspicion_holds_the_share_down_elsewhere) {
  VersionTrial suspecting;
  suspecting.order = {"desk", "v2", std::chrono::seconds(16)};
  suspecting.finding = TrialFinding::kSuspect;
  VersionTrial trial;
  trial.order = suspecting.order;
  const TimePoint start{std::chrono::hours(1)};
  trial.started_at = start;
  MergeStatus(trial, "bole-2", SummaryOf(suspecting, true, start), start);
  const TrialView view{true, false, false, false};
  const TimePoint later = start + std::chrono::seconds(8);
  (void)StepTrial(trial, view, start);
  (void)StepTrial(trial, view, later);
  cr_assert_eq(ShareOf(trial, later), trial.settings.first_share);
  ForgetState(trial, "bole-2");
  (void)StepTrial(trial, view, later);
  cr_assert_gt(ShareOf(trial, later), trial.settings.first_share);
}

// Releases identify a frame by its position in LinkFrame. A kind inserted
// before others, or a changed field, would make the next release misread it.
Test(frames_compat, quota_frames_have_fixed_bytes) {
  constexpr std::string_view kRequest =
      "00000013010b070000000473686f700500000002000000";
  constexpr std::string_view kGrant = "0000000f010c07000000010500000000000000";
  constexpr std::string_view kLeaving = "00000002010d";
  cr_assert(EncodeLinkFrame(TokenRequest{7, "shop", 5, 2}) ==
            FromHex(kRequest));
  cr_assert(EncodeLinkFrame(TokenGrantFrame{7, true, 5, 0}) == FromHex(kGrant));
  cr_assert(EncodeLinkFrame(LeavingFrame{}) == FromHex(kLeaving));
  const auto request = Decode<TokenRequest>(kRequest);
  cr_assert_eq(request.sequence, 7U);
  cr_assert(request.account == "shop");
  cr_assert_eq(request.wanted, 5U);
  cr_assert_eq(request.unspent, 2U);
  const auto grant = Decode<TokenGrantFrame>(kGrant);
  cr_assert(grant.is_lender);
  cr_assert_eq(grant.tokens, 5U);
  (void)Decode<LeavingFrame>(kLeaving);
  cr_assert(NameOf(FrameKind::kTokenRequest) == "token-request");
  cr_assert(NameOf(FrameKind::kTokenGrant) == "token-grant");
  cr_assert(NameOf(FrameKind::kLeaving) == "leaving");
}

bool IsMalformed(const LinkFrame& frame) {
  const std::string bytes = EncodeLinkFrame(frame);
  const auto decoded =
      DecodeLinkFrame(std::string_view(bytes).substr(kFrameLengthBytes));
  return !decoded && decoded.error().kind == ErrorKind::kFrameMalformed;
}

// A faulty peer must not be able to return tokens that were never lent, to take
// all of a limit, or to stop requests for hours by a retry delay.
Test(frames_compat, quota_frames_beyond_their_bounds_are_malformed) {
  constexpr std::uint32_t kMax = kMaxTokensPerFrame;
  cr_assert(!IsMalformed(TokenRequest{1, "shop", kMax, kMax}));
  cr_assert(IsMalformed(TokenRequest{1, "shop", kMax + 1, 0}));
  cr_assert(IsMalformed(TokenRequest{1, "shop", 0, kMax + 1}));
  cr_assert(!IsMalformed(TokenGrantFrame{1, true, kMax, kMaxQuotaRetryMs}));
  cr_assert(IsMalformed(TokenGrantFrame{1, true, kMax + 1, 0}));
  cr_assert(IsMalformed(TokenGrantFrame{1, true, 0, kMaxQuotaRetryMs + 1}));
  const std::string bytes = EncodeLinkFrame(TokenRequest{1, "shop", 1, 0});
  for (std::size_t size = kFrameLengthBytes; size < bytes.size(); ++size) {
    const auto part = std::string_view(bytes).substr(kFrameLengthBytes,
                                                     size - kFrameLengthBytes);
    cr_assert(!DecodeLinkFrame(part).has_value());
  }
}

}  // namespace
}  // namespace teaselspread
