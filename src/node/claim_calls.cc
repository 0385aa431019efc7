// The gatekeeper's side of claims: asks the holders and waits for the verdict.
#include <algorithm>
#include <thread>
#include <utility>

#include "node/claims_service.h"
#include "node/requests.h"

namespace teaselspread {
namespace {

// The outcome of a run reaches the holders a moment after its caller. A repeat
// that comes in between is told "in progress" although the answer is at hand.
constexpr int kAttemptsInProgress = 4;
constexpr std::chrono::milliseconds kPauseInProgress{50};

void Decide(ClaimsService& service, std::uint64_t sequence) {
  const auto found = service.pending.find(sequence);
  if (found == service.pending.end())
    return;
  const PendingClaimPtr pending = found->second;
  service.pending.erase(found);
  const std::scoped_lock lock(pending->gate);
  ++service.verdicts.at(static_cast<std::size_t>(pending->attempt.verdict));
  pending->decided = true;
  pending->changed.notify_all();
}

void Begin(ClaimsService& service, const PendingClaimPtr& pending) {
  std::uint64_t sequence = 0;
  bool settled = false;
  {
    const std::scoped_lock lock(pending->gate);
    // The kernel's thread was late and the caller is gone: holders must not be
    // asked for an attempt that nobody would ever release.
    if (pending->abandoned)
      return;
    ClaimAttempt& attempt = pending->attempt;
    sequence = service.next_sequence++;
    const AttemptId id{service.self.id, service.self.boot_id, sequence};
    attempt = BeginClaim(service.keeper, id, attempt.key, attempt.digest,
                         service.kernel->Now());
    settled = attempt.verdict != ClaimVerdict::kPending;
    if (!settled)
      SendToHolders(service, attempt.epoch, RequestOf(attempt));
  }
  service.pending.emplace(sequence, pending);
  if (settled)
    Decide(service, sequence);
  service.kernel->Advance(SystemNow());
}

// The verdict, given up on if none comes in time.
ClaimVerdict Await(ClaimsService& service,
                   const PendingClaimPtr& pending,
                   TimePoint deadline) {
  std::unique_lock lock(pending->gate);
  const bool decided = pending->changed.wait_until(
      lock, deadline, [&] { return pending->decided; });
  if (decided)
    return pending->attempt.verdict;
  pending->abandoned = true;
  const ClaimVerdict verdict = AbandonClaim(pending->attempt);
  service.post(
      [&service, pending] { Decide(service, pending->attempt.id.sequence); });
  return verdict;
}

// One attempt with its verdict.
Result<Claim> ClaimOnce(ClaimsService& service,
                        const ClaimKey& key,
                        const RequestDigest& digest,
                        TimePoint deadline) {
  auto pending = std::make_shared<PendingClaim>();
  pending->attempt.key = key;
  pending->attempt.digest = digest;
  service.post([&service, pending] { Begin(service, pending); });
  const TimePoint limit =
      std::min(deadline, SystemNow() + service.keeper.settings.claim_window);
  const ClaimVerdict verdict = Await(service, pending, limit);
  const std::scoped_lock lock(pending->gate);
  if (verdict == ClaimVerdict::kGranted)
    return Claim{pending->attempt, std::nullopt};
  if (verdict == ClaimVerdict::kDone && pending->attempt.outcome.body_stored)
    return Claim{pending->attempt, pending->attempt.outcome};
  if (verdict == ClaimVerdict::kDone)
    return Fail(ErrorKind::kOutcomeUnknown,
                "it ran, but its answer was too large to be kept");
  // A holder that granted this attempt would keep the key for minutes, although
  // the attempt never runs.
  if (!pending->attempt.epoch.holders.empty())
    ReleaseKey(service, pending->attempt);
  return Fail(ErrorOf(verdict), std::string(NameOf(verdict)));
}

}  // namespace

void SendTo(ClaimsService& service,
            const Address& to,
            const ClaimMessage& message) {
  ModuleFrame frame;
  frame.from.id = service.self.id;
  frame.from.incarnation = service.self.boot_id;
  frame.from.control = service.self.control;
  frame.module = Module::kClaims;
  frame.body = EncodeClaim(message);
  SendMessage send{to, Transport::kDatagram, std::move(frame)};
  send.transport = TransportFor(send.message);
  service.kernel->Post(kTransportService, SendFrame{std::move(send)});
}

void SendToHolders(ClaimsService& service,
                   const ClaimEpoch& epoch,
                   const ClaimMessage& message) {
  for (const Holder& holder : epoch.holders)
    SendTo(service, holder.control, message);
}

// A lost ask or vote is made good by asking again.
void AskAgain(ClaimsService& service) {
  for (const auto& [sequence, pending] : service.pending) {
    const std::scoped_lock lock(pending->gate);
    const ClaimAttempt& attempt = pending->attempt;
    for (const Holder& holder : attempt.epoch.holders) {
      if (!attempt.votes.contains(holder.id))
        SendTo(service, holder.control, RequestOf(attempt));
    }
  }
}

void HearVote(ClaimsService& service, const ClaimVote& vote) {
  const auto found = service.pending.find(vote.attempt.sequence);
  if (found == service.pending.end())
    return;
  ClaimVerdict verdict = ClaimVerdict::kPending;
  {
    const std::scoped_lock lock(found->second->gate);
    verdict = ReceiveVote(found->second->attempt, vote, service.kernel->Now());
  }
  if (verdict != ClaimVerdict::kPending)
    Decide(service, vote.attempt.sequence);
}

Result<Claim> ClaimKeyFor(ClaimsService& service,
                          const std::string& key,
                          const std::string& method,
                          const std::string& path,
                          const std::string& body,
                          TimePoint deadline) {
  const auto parsed = ParseClaimKey(key);
  if (!parsed)
    return tl::make_unexpected(parsed.error());
  const RequestDigest digest = DigestOf(method, path, body);
  for (int attempt = 1;; ++attempt) {
    auto claim = ClaimOnce(service, *parsed, digest, deadline);
    const bool in_progress =
        !claim && claim.error().kind == ErrorKind::kInProgress;
    if (!in_progress || attempt == kAttemptsInProgress ||
        SystemNow() + kPauseInProgress >= deadline)
      return claim;
    std::this_thread::sleep_for(kPauseInProgress);
  }
}

void ReleaseKey(ClaimsService& service, const ClaimAttempt& attempt) {
  service.post([&service, attempt] {
    SendToHolders(service, attempt.epoch, ReleaseOf(attempt));
    service.kernel->Advance(SystemNow());
  });
}

void RecordKey(ClaimsService& service,
               const ClaimAttempt& attempt,
               const ClaimOutcome& outcome) {
  service.post([&service, attempt, outcome] {
    SendToHolders(service, attempt.epoch,
                  CompletionOf(service.keeper.settings, attempt, outcome));
    service.kernel->Advance(SystemNow());
  });
}

}  // namespace teaselspread
