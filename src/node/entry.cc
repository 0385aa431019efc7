// The entry's side of the request path: checks a request, chooses upstreams for
// it and answers the caller.
#include <algorithm>
#include <charconv>
#include <chrono>
#include <cmath>
#include <utility>

#include "base/text.h"
#include "node/crash_watch.h"
#include "node/pages.h"
#include "node/requests.h"
#include "teaselspread/logging.h"

namespace teaselspread {
namespace {

constexpr int kServerError = 500;
constexpr std::int64_t kLongestAskMs = 86'400'000;
constexpr Duration kFirstRetryAfter = std::chrono::milliseconds(500);

Rng& ThreadRng() {
  thread_local Rng rng{std::random_device{}()};
  return rng;
}

struct ChosenTarget {
  std::string id;
  std::string version;
  Address http;
  bool own = false;
};

// One attempt at one target and what is known of it.
struct Attempt {
  Result<HttpResponse> answer = Fail(ErrorKind::kInternal, "not tried");
  AttemptNotes notes;
};

Result<Call> MakeCall(Requests& service, HttpRequest request) {
  Call call;
  {
    const std::scoped_lock lock(service.gate);
    if (!service.ready || !service.snapshot)
      return Fail(ErrorKind::kNotReady, "no configuration is in force yet");
    call.snapshot = service.snapshot;
  }
  call.route = MatchRoute(*call.snapshot, request.method, PathOf(request));
  if (call.route == nullptr)
    return Fail(ErrorKind::kNoRoute, "no route for this method and path");
  if (request.body.size() > call.route->max_body_bytes)
    return Fail(ErrorKind::kBodyTooLarge, "body above the route's limit");
  call.deadline = SystemNow() + call.route->deadline;
  if (const auto asked_ms = ParseNumberText<std::int64_t>(
          FindHeader(request.headers, kHeaderDeadline))) {
    // Cut off before the multiplication, which could overflow.
    const auto bounded = std::clamp<std::int64_t>(*asked_ms, 0, kLongestAskMs);
    const Duration asked = std::chrono::milliseconds(bounded);
    call.deadline = SystemNow() + std::min(asked, call.route->deadline);
  }
  call.id = std::string(FindHeader(request.headers, kHeaderRequestId));
  if (call.id.empty())
    call.id = service.settings.vm + "-" + std::to_string(service.next_id++);
  call.key = std::string(FindHeader(request.headers, kHeaderIdempotencyKey));
  if (!call.route->idempotent && call.key.empty())
    return Fail(ErrorKind::kKeyMissing, "this route needs an Idempotency-Key");
  call.request = std::move(request);
  return call;
}

// The share's version first; the others that may stand in for it after that.
Result<ChosenTarget> Choose(Requests& service,
                            const Call& call,
                            const std::vector<std::string>& tried) {
  const std::string& name = call.route->service;
  const std::string picked =
      PickVersion(*service.moves, *call.snapshot, name, ThreadRng());
  std::vector<std::string> versions = {picked};
  for (std::string& other :
       OtherVersions(*service.moves, *call.snapshot, name, picked))
    versions.push_back(std::move(other));
  const std::scoped_lock lock(service.gate);
  for (const std::string& version : versions) {
    const auto target = ChooseUpstream(service.table, name, version, tried,
                                       SystemNow(), ThreadRng());
    if (!target)
      continue;
    ChosenTarget chosen{(*target)->id, version, (*target)->http,
                        (*target)->is_own};
    OnRequestSent(service.table, name, version, chosen.id);
    return chosen;
  }
  return Fail(ErrorKind::kNoUpstream, "no upstream of " + name + " is ready");
}

// What another node's answer means: its refusals are errors again, so that
// they can be retried and counted by reason.
Result<HttpResponse> ReadHopAnswer(HttpResponse answer, Duration& retry_after) {
  const auto reason = ErrorKindNamed(FindHeader(answer.headers, kHeaderReason));
  if (!reason)
    return answer;
  if (const auto seconds = ParseNumberText<std::uint32_t>(
          FindHeader(answer.headers, kHeaderRetryAfter)))
    retry_after = std::chrono::seconds(*seconds);
  return Fail(*reason, answer.body.empty() ? "refused by the gatekeeper"
                                           : std::move(answer.body));
}

Result<HttpResponse> SendToGate(Requests& service,
                                const Call& call,
                                const ChosenTarget& target,
                                AttemptNotes& notes) {
  HttpRequest request = HeadOf(call.request);
  SetHeader(request.headers, kHeaderHop, "1");
  SetHeader(request.headers, kHeaderRequestId, call.id);
  SetHeader(request.headers, kHeaderTargetVersion, target.version);
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      call.deadline - SystemNow());
  SetHeader(request.headers, kHeaderDeadline,
            std::to_string(std::max<std::int64_t>(left.count(), 0)));
  CallOptions options;
  options.timeout = std::max(call.deadline - SystemNow(), Duration{1});
  options.silence = SilenceFor(call, options.timeout);
  options.reuse_within = call.route->idempotent ? std::chrono::seconds(15)
                                                : std::chrono::seconds(1);
  options.expected_request_id = call.id;
  options.max_body_bytes = call.snapshot->limits.max_body_bytes;
  options.budget = service.budget;
  options.caller_fd = call.request.caller_fd;
  options.body = call.request.body;
  const Fingerprint fingerprint = RequestFingerprint(call);
  if (const std::string known = SuspectsText(service, fingerprint);
      !known.empty())
    SetHeader(request.headers, kHeaderSuspects, known);
  auto answer = service.clients->Send(target.http, request, options);
  if (!answer)
    return tl::make_unexpected(answer.error());
  TakeSuspectsText(service, fingerprint,
                   FindHeader(answer->headers, kHeaderSuspects));
  return ReadHopAnswer(std::move(*answer), notes.retry_after);
}

ResponseKind KindOf(const Result<HttpResponse>& answer) {
  if (answer)
    return answer->status >= kServerError ? ResponseKind::kFailed
                                          : ResponseKind::kSucceeded;
  const ErrorKind kind = answer.error().kind;
  if (kind == ErrorKind::kTimeout || kind == ErrorKind::kSilentConnection)
    return ResponseKind::kTimedOut;
  // A gatekeeper's refusal is load or policy, not a fault of the upstream.
  if (TraitsOf(kind).execution == Execution::kNotRun &&
      kind != ErrorKind::kConnectFailed)
    return ResponseKind::kShed;
  if (kind == ErrorKind::kCancelled || kind == ErrorKind::kOutcomeUnknown ||
      kind == ErrorKind::kInProgress)
    return ResponseKind::kShed;
  return ResponseKind::kFailed;
}

int LoadIn(const Result<HttpResponse>& answer) {
  if (!answer)
    return -1;
  return ParseNumberText<int>(FindHeader(answer->headers, kHeaderLoad))
      .value_or(-1);
}

Attempt TryOnce(Requests& service, const Call& call, const ChosenTarget& to) {
  Attempt attempt;
  const auto began = std::chrono::steady_clock::now();
  attempt.answer = to.own ? RunAtGate(service, call, to.version, attempt.notes)
                          : SendToGate(service, call, to, attempt.notes);
  const std::scoped_lock lock(service.gate);
  OnResponse(service.table, call.route->service, to.version, to.id,
             KindOf(attempt.answer), LoadIn(attempt.answer), SystemNow(),
             std::chrono::duration_cast<Duration>(
                 std::chrono::steady_clock::now() - began));
  return attempt;
}

// A bad answer of the upstream itself is an error for the retry decision only:
// the caller gets the answer as it is if no other attempt is made.
ErrorKind FailureOf(const Attempt& attempt) {
  return attempt.answer ? ErrorKind::kUpstreamFailed
                        : attempt.answer.error().kind;
}

bool MayTryAgain(Requests& service,
                 const Call& call,
                 const Attempt& attempt,
                 std::size_t attempts) {
  FailedAttempt failed;
  failed.kind = FailureOf(attempt);
  failed.not_run = TraitsOf(failed.kind).execution == Execution::kNotRun;
  failed.idempotent = call.route->idempotent;
  failed.attempts_made = static_cast<int>(attempts);
  failed.deadline = call.deadline;
  const std::scoped_lock lock(service.gate);
  failed.min_attempt_time =
      ExpectedServiceTime(service.gatekeeper, call.route->name);
  return IsRetry(DecideRetry(service.retry_budget, failed, SystemNow()));
}

HttpResponse Answer(Requests& service, const Call& call, Attempt attempt) {
  if (!attempt.answer)
    return Refuse(service, attempt.answer.error(), call.route,
                  attempt.notes.retry_after);
  service.answered.fetch_add(1, std::memory_order_relaxed);
  HttpResponse response = std::move(*attempt.answer);
  RemoveHopHeaders(response.headers);
  return response;
}

HttpResponse Gatekept(Requests& service, const Call& call) {
  Attempt attempt;
  const std::string version(
      FindHeader(call.request.headers, kHeaderTargetVersion));
  attempt.answer = RunAtGate(service, call, version, attempt.notes);
  const std::string suspects = attempt.notes.suspects;
  HttpResponse response = Answer(service, call, std::move(attempt));
  if (!suspects.empty())
    SetHeader(response.headers, kHeaderSuspects, suspects);
  return response;
}

}  // namespace

HttpResponse ForwardCall(Requests& service, Call& call) {
  {
    const std::scoped_lock lock(service.gate);
    OnFirstAttempt(service.retry_budget);
  }
  std::vector<std::string> tried;
  Attempt last;
  last.answer = Fail(ErrorKind::kNoUpstream, "no upstream is ready");
  last.notes.retry_after = kFirstRetryAfter;
  while (true) {
    const auto target = Choose(service, call, tried);
    if (!target) {
      if (tried.empty())
        last.answer = tl::make_unexpected(target.error());
      break;
    }
    tried.push_back(target->id);
    last = TryOnce(service, call, *target);
    if (last.answer && last.answer->status < kServerError)
      break;
    if (!MayTryAgain(service, call, last, tried.size()))
      break;
  }
  return Answer(service, call, std::move(last));
}

HttpResponse Refuse(Requests& service,
                    const Error& error,
                    const RouteConfig* route,
                    Duration retry_after) {
  service.answers_by_error.Add(error.kind);
  if (route != nullptr) {
    const std::scoped_lock lock(service.gate);
    ++service.refusals[route->name].by_kind.at(
        static_cast<std::size_t>(error.kind));
  }
  const Duration spread =
      JitteredRetryAfter(std::max(retry_after, kFirstRetryAfter), ThreadRng());
  return ErrorResponse(error, std::chrono::ceil<std::chrono::seconds>(spread));
}

Result<std::size_t> CheckHead(Requests& service, const HttpRequest& request) {
  SnapshotPtr snapshot;
  {
    const std::scoped_lock lock(service.gate);
    snapshot = service.snapshot;
  }
  // An error here closes the connection, since the body stays unread. So only
  // sizes are judged; everything else is refused with the body taken in.
  constexpr std::size_t kMaxPageBody = 16384;
  if (!snapshot || IsPage(request))
    return kMaxPageBody;
  const RouteConfig* route =
      MatchRoute(*snapshot, request.method, PathOf(request));
  return route == nullptr ? kMaxPageBody : route->max_body_bytes;
}

HttpResponse HandleRequest(Requests& service, HttpRequest request) {
  const bool from_node = !FindHeader(request.headers, kHeaderHop).empty();
  const std::string asked_id(FindHeader(request.headers, kHeaderRequestId));
  Result<Call> call = MakeCall(service, std::move(request));
  HttpResponse response;
  if (!call) {
    response = Refuse(service, call.error(), nullptr, Duration{});
    if (!asked_id.empty())
      SetHeader(response.headers, kHeaderRequestId, asked_id);
    return response;
  }
  response = from_node ? Gatekept(service, *call) : ForwardCall(service, *call);
  SetHeader(response.headers, kHeaderRequestId, call->id);
  SetHeader(response.headers, kHeaderConfigVersion,
            std::to_string(call->snapshot->version));
  return response;
}

}  // namespace teaselspread
