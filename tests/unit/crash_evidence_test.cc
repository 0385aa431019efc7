// Which requests one node blames for a crash of its upstream.
#include "edge/crash_evidence.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <cstdint>
#include <vector>

#include "base/clock.h"

namespace teaselspread {
namespace {

constexpr Fingerprint kBrokenFirst = 1;
constexpr Fingerprint kBrokenLast = 2;
constexpr Fingerprint kAbandoned = 3;

// Crashes counted against the request, as reported to other nodes.
std::uint32_t ReportedCrashes(CrashEvidence& evidence,
                              Fingerprint fingerprint) {
  std::uint32_t crashes = 0;
  for (const SuspectNote& note : evidence.Reported(SteadyNow())) {
    if (note.fingerprint == fingerprint)
      crashes += note.crashes - note.cleared;
  }
  return crashes;
}

// Guards against a request that is never blamed, since the crash is noticed by
// other connections before its own breaks, and against one that is blamed twice
// for one crash.
Test(crash_evidence, requests_in_flight_are_blamed_once) {
  CrashEvidence evidence;
  evidence.SetOrigin(1);
  const TimePoint started = SteadyNow();
  evidence.OnBrokenRun(kBrokenFirst, started);
  const std::vector<Fingerprint> in_flight = {kBrokenLast};
  cr_assert(
      evidence.OnUpstreamGone({CrashSign::kNotListening, "i-1"}, in_flight));
  evidence.OnBrokenRun(kBrokenLast, started);
  cr_assert_not(evidence.OnUpstreamGone({CrashSign::kNoConnection, "i-1"}, {}));
  cr_assert_eq(ReportedCrashes(evidence, kBrokenFirst), 1U);
  cr_assert_eq(ReportedCrashes(evidence, kBrokenLast), 1U);
}

// Guards against blame without a crash: the upstream left, or one connection
// broke.
Test(crash_evidence,
     an_upstream_that_is_gone_without_a_broken_run_blames_none) {
  CrashEvidence evidence;
  const std::vector<Fingerprint> in_flight = {kBrokenLast};
  cr_assert_not(
      evidence.OnUpstreamGone({CrashSign::kNotListening, "i-1"}, in_flight));
  evidence.OnBrokenRun(kBrokenFirst, SteadyNow());
  cr_assert(evidence.IsEmpty());
}

AbandonedRun AbandonedNow(Fingerprint fingerprint) {
  const TimePoint now = SteadyNow();
  return {fingerprint, "q-1", now, now + std::chrono::milliseconds(400)};
}

// Guards against a request whose callers leave before it crashes the upstream:
// what runs beside it would be blamed in its place.
Test(crash_evidence, an_abandoned_run_is_blamed_with_those_in_flight) {
  CrashEvidence evidence;
  evidence.SetOrigin(1);
  evidence.OnAbandonedRun(AbandonedNow(kAbandoned));
  evidence.OnBrokenRun(kBrokenFirst, SteadyNow());
  cr_assert(evidence.OnUpstreamGone({CrashSign::kNotListening, "i-1"}, {}));
  cr_assert_eq(ReportedCrashes(evidence, kAbandoned), 1U);
  cr_assert_eq(ReportedCrashes(evidence, kBrokenFirst), 1U);
}

// Guards against taking a planned stop for a crash: callers left while the
// upstream was leaving.
Test(crash_evidence, an_announced_end_blames_no_abandoned_run) {
  CrashEvidence evidence;
  evidence.OnAbandonedRun(AbandonedNow(kAbandoned));
  cr_assert_not(
      evidence.OnUpstreamGone({CrashSign::kNoConnection, "i-1", true}, {}));
  cr_assert(evidence.IsEmpty());
  evidence.OnAbandonedRun(AbandonedNow(kAbandoned));
  cr_assert(evidence.OnUpstreamGone({CrashSign::kReplaced, "i-1"}, {}));
}

// Guards against refusing a proper request whose callers often leave: it ran
// beside three crashes, and a response shows that it is harmless.
Test(crash_evidence, a_clean_run_clears_what_abandoned_runs_were_blamed_for) {
  CrashEvidence evidence;
  for (int i = 0; i < 3; ++i) {
    evidence.OnAbandonedRun(AbandonedNow(kAbandoned));
    (void)evidence.OnUpstreamGone({CrashSign::kNoConnection, "i-1"}, {});
    evidence.OnResponse(kAbandoned, "q-2", 200);
  }
  cr_assert_not(evidence.Refuses(kAbandoned, "q-3"));
}

// Guards against rows that live on: a node that starts gets the notes of
// the last change, however long ago, and takes their remaining time from then.
Test(crash_evidence, expired_rows_are_not_reported) {
  CrashEvidence evidence;
  const TimePoint now = SteadyNow();
  for (int i = 0; i < 3; ++i) {
    evidence.OnBrokenRun(kBrokenFirst, SteadyNow());
    (void)evidence.OnUpstreamGone({CrashSign::kNotListening, "i-1"}, {});
  }
  cr_assert_not(evidence.Reported(now).empty());
  evidence.Tick(now + std::chrono::minutes(3));
  cr_assert(evidence.Reported(now + std::chrono::minutes(3)).empty());
  cr_assert_eq(evidence.Relayed(now + std::chrono::minutes(3)).size(), 1U);
  evidence.Tick(now + std::chrono::minutes(11));
  cr_assert(evidence.Relayed(now + std::chrono::minutes(11)).empty());
}

// Guards against proper requests that are taken for one that crashes upstreams,
// as they have the path of one that does: at another host it is another
// request.
Test(crash_evidence, requests_differ_by_caller_host_path_and_body) {
  HttpRequest request;
  request.target = "/view/1";
  SetHeader(request.headers, "Host", "desk.example");
  const Fingerprint own = FingerprintOf(request, "desk");
  cr_assert_eq(own, FingerprintOf(request, "desk"));
  cr_assert_neq(own, FingerprintOf(request, "works"));
  HttpRequest other = request;
  SetHeader(other.headers, "Host", "works.example");
  cr_assert_neq(own, FingerprintOf(other, "desk"));
  other = request;
  other.body = "b";
  cr_assert_neq(own, FingerprintOf(other, "desk"));
  other = request;
  other.target = "/view/2";
  cr_assert_neq(own, FingerprintOf(other, "desk"));
  other = request;
  SetHeader(other.headers, "X-Deadline-Ms", "5");
  SetHeader(other.headers, "Host", "Desk.example:8147");
  cr_assert_eq(own, FingerprintOf(other, "desk"), "a retry is the same");
}

}  // namespace
}  // namespace teaselspread
