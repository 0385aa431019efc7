#include "node/claims_service.h"

#include <algorithm>
#include <utility>

#include "node/module_frames.h"
#include "node/requests.h"
#include "teaselspread/logging.h"

namespace teaselspread {
namespace {

constexpr Duration kTick = std::chrono::milliseconds(100);
constexpr Duration kProposalEvery = std::chrono::seconds(2);
// Holders hear this of every reader of every data centre, 48 of them at the
// size of the first letter: each second, that alone took over twice a node's
// budget (docs/CAPACITY.md). Once an epoch is active, the notice only says that
// the log still shows it, which a holder needs within minutes.
constexpr Duration kNoticeEvery = std::chrono::seconds(1);
constexpr Duration kQuietNoticeEvery = std::chrono::seconds(10);
// Three offers within kAliveWithin: two may be lost.
constexpr Duration kOfferEvery = std::chrono::seconds(3);
constexpr Duration kActivationEvery = std::chrono::seconds(1);
constexpr Duration kHandoverEvery = std::chrono::milliseconds(500);
// Members that were alive so lately still count: a short suspicion must not
// change the epoch.
constexpr Duration kAliveWithin = std::chrono::seconds(10);
// A proposal is made only with the log's end in sight.
constexpr Duration kFreshRead = std::chrono::seconds(5);
// Time for other nodes to say which epoch holds.
constexpr Duration kRestartAfter = std::chrono::seconds(60);
// Offers go to every other data centre: no more than a change of holders needs.
constexpr std::size_t kOffered = 2;
constexpr int kCheckpointsPerRetention = 3;

void SendSeals(ClaimsService& service, const HandoverRequests& asks) {
  for (const Holder& holder : asks.recipients)
    SendTo(service, holder.control,
           SealRequest{asks.request, holder.id, holder.boot_id});
}

void Learn(ClaimsService& service, const ClaimEpoch& epoch) {
  if (epoch.number <= service.keeper.epoch.number)
    return;
  Log(LogLevel::kInfo, kClaimsService, "epoch",
      {{"number", epoch.number}, {"holders", epoch.holders.size()}});
  SendSeals(service, LearnEpoch(service.keeper, epoch, service.kernel->Now()));
}

// After a restart record the active epoch has the new number but no holders,
// until it is activated: the number alone would say too much.
void LearnActive(ClaimsService& service, const ClaimEpoch& active) {
  if (active.holders == service.keeper.epoch.holders)
    LearnActivation(service.keeper, active.number, service.kernel->Now());
}

EpochNotice NoticeOf(const ClaimsService& service) {
  EpochNotice notice;
  notice.epoch = service.epochs.log.current;
  notice.active = service.epochs.log.active;
  notice.through = service.epochs.through;
  notice.confirmed_at_us = service.end_read_at.time_since_epoch().count();
  return notice;
}

// Whoever cannot read the log is told by those that do.
void SendNotices(ClaimsService& service, bool to_all) {
  if (!service.reader || !service.epochs.log.has_base)
    return;
  const EpochNotice notice = NoticeOf(service);
  SendToHolders(service, service.epochs.log.current, notice);
  if (!to_all)
    return;
  for (const auto& [id, known] : service.local)
    SendTo(service, known.holder.control, notice);
}

bool IsSettled(const ClaimsService& service) {
  const EpochLog& log = service.epochs.log;
  return log.has_base && log.current.number == log.active.number;
}

// A member counts until it is said to be gone and for a while after; an offer
// from another data centre counts while it is fresh.
bool IsAlive(const KnownHolder& known, TimePoint now) {
  return known.member_alive || now - known.seen <= kAliveWithin;
}

bool IsKnown(const ClaimsService& service, const Holder& holder) {
  return holder.id == service.self.id || service.local.contains(holder.id) ||
         service.remote.contains(holder.id);
}

// A holder that another data centre has chosen among its own nodes is unknown
// here until its next offer. Taken for gone, it would be replaced by every
// reader in turn, and the epoch would never come to rest.
void AddNewHolders(const ClaimsService& service,
                   std::vector<Holder>& candidates) {
  if (service.kernel->Now() - service.epoch_changed_at > kAliveWithin)
    return;
  for (const Holder& holder : service.epochs.log.current.holders) {
    if (!IsKnown(service, holder))
      candidates.push_back(holder);
  }
}

std::vector<Holder> Candidates(const ClaimsService& service) {
  const TimePoint now = service.kernel->Now();
  std::vector<Holder> candidates = {service.self};
  for (const auto* group : {&service.local, &service.remote}) {
    for (const auto& [id, known] : *group) {
      if (IsAlive(known, now))
        candidates.push_back(known.holder);
    }
  }
  AddNewHolders(service, candidates);
  return candidates;
}

void AppendEpoch(ClaimsService& service, const EpochRecord& record) {
  service.kernel->Post(kLogService,
                       AppendToLog{EncodeRecord(OpaqueRecord{
                           std::string(kEpochRecord), EncodeEpoch(record)})});
}

EpochRecord RecordOf(EpochRecordKind kind, const ClaimEpoch& epoch) {
  EpochRecord record;
  record.kind = kind;
  record.epoch = epoch;
  return record;
}

// The log has lost every epoch, or this reader began behind it and no other
// node could say which one holds. A new beginning is safe but slow: its holders
// wait until those of any lost epoch have stopped by themselves.
void RestartIfLost(ClaimsService& service) {
  const TimePoint now = service.kernel->Now();
  if (!service.reader || service.epochs.log.has_base) {
    service.unknown_since = now;
    return;
  }
  if (now - service.unknown_since < kRestartAfter ||
      now - service.end_read_at > kFreshRead)
    return;
  service.unknown_since = now;
  if (const auto record = ProposeRestart(Candidates(service), now, service.rng))
    AppendEpoch(service, *record);
}

void ProposeIfNeeded(ClaimsService& service) {
  const TimePoint now = service.kernel->Now();
  if (!service.reader || !service.epochs.log.has_base ||
      now - service.end_read_at > kFreshRead || now < service.next_proposal)
    return;
  // Spread at random, so that the readers of all data centres do not all
  // propose in the same moment; the log settles those that do.
  const Duration wait =
      kProposalEvery +
      Duration(service.rng() % std::uint64_t(kProposalEvery.count()));
  service.next_proposal = now + wait;
  const auto candidates = Candidates(service);
  if (const auto epoch =
          ProposeEpoch(service.epochs.log, candidates, service.rng))
    AppendEpoch(service, RecordOf(EpochRecordKind::kPropose, *epoch));
}

void CheckpointIfDue(ClaimsService& service) {
  const TimePoint now = service.kernel->Now();
  if (!service.reader || !service.epochs.log.has_base ||
      service.epochs.log.current.number == 0 || now < service.next_checkpoint)
    return;
  const Duration third = service.retention / kCheckpointsPerRetention;
  const bool first = service.next_checkpoint == TimePoint{};
  service.next_checkpoint =
      now + third / 2 + Duration(service.rng() % std::uint64_t(third.count()));
  if (first)
    return;
  EpochRecord record =
      RecordOf(EpochRecordKind::kCheckpoint, service.epochs.log.current);
  record.active = service.epochs.log.active;
  record.folded_up_to = service.epochs.through;
  AppendEpoch(service, record);
}

void OfferHolders(ClaimsService& service) {
  if (!service.reader)
    return;
  const TimePoint now = service.kernel->Now();
  HolderOffer offer{service.self.data_center, {service.self}};
  const auto& holders = service.epochs.log.current.holders;
  // Those that hold already come first: they must not be taken for gone.
  for (const bool holding : {true, false}) {
    for (const auto& [id, known] : service.local) {
      const std::string& name = id;
      const bool is_holder =
          std::any_of(holders.begin(), holders.end(),
                      [&](const Holder& each) { return each.id == name; });
      if (is_holder == holding && IsAlive(known, now) &&
          (holding || offer.holders.size() < kOffered))
        offer.holders.push_back(known.holder);
    }
  }
  service.kernel->Post(kSpreadService,
                       ToOtherDataCenters{Module::kClaims, EncodeClaim(offer)});
}

void AskForEpoch(ClaimsService& service) {
  if (service.keeper.epoch.number != 0 || service.local.empty())
    return;
  auto peer = service.local.begin();
  std::advance(peer, service.rng() % service.local.size());
  SendTo(service, peer->second.holder.control, EpochQuery{});
}

void OnTick(ClaimsService& service) {
  Kernel& kernel = *service.kernel;
  const TimePoint now = kernel.Now();
  kernel.PostAt(now + kTick, kClaimsService, Tick{});
  TickClaims(service.keeper, now);
  AskAgain(service);
  ProposeIfNeeded(service);
  RestartIfLost(service);
  CheckpointIfDue(service);
  if (now >= service.next_handover) {
    service.next_handover = now + kHandoverEvery;
    SendSeals(service, OpenHandovers(service.keeper));
  }
  if (now >= service.next_activation && WantsActivation(service.keeper, now)) {
    service.next_activation = now + kActivationEvery;
    AppendEpoch(
        service,
        EpochRecord{EpochRecordKind::kActivate, service.keeper.epoch, {}});
  }
  if (now >= service.next_offer) {
    service.next_offer = now + kOfferEvery;
    OfferHolders(service);
  }
  if (now >= service.next_query) {
    service.next_query = now + kNoticeEvery;
    AskForEpoch(service);
  }
  if (now >= service.next_notice) {
    service.next_notice =
        now + (IsSettled(service) ? kQuietNoticeEvery : kNoticeEvery);
    SendNotices(service, false);
  }
}

void HearNotice(ClaimsService& service, const EpochNotice& notice) {
  AdoptEpochs(service.epochs, {true, notice.epoch, notice.active},
              notice.through);
  Learn(service, notice.epoch);
  LearnActive(service, notice.active);
  if (notice.epoch.number == service.keeper.epoch.number)
    ConfirmEpoch(service.keeper, TimePoint(Duration(notice.confirmed_at_us)) -
                                     service.keeper.settings.max_clock_skew);
}

void HearSeal(ClaimsService& service, const SealRequest& request) {
  Learn(service, request.ask.epoch);
  if (auto answer = MakeHandoverResponse(
          service.keeper, request.ask, request.asked_id, request.asked_boot_id))
    SendTo(service, request.ask.from.control, std::move(*answer));
}

void HearOffer(ClaimsService& service, const HolderOffer& offer) {
  if (offer.data_center == service.self.data_center)
    return;
  for (const Holder& holder : offer.holders) {
    if (const auto old = service.remote.find(holder.id);
        old != service.remote.end() &&
        old->second.holder.boot_id < holder.boot_id)
      MarkHolderGone(service.keeper, holder.id, old->second.holder.boot_id,
                     service.kernel->Now());
    service.remote[holder.id] = {holder, service.kernel->Now(), false};
  }
}

void Hear(ClaimsService& service, const ModuleBody& body) {
  const auto message = DecodeClaim(body.body);
  if (!message)
    return;
  const TimePoint now = service.kernel->Now();
  const Address from = body.from.control;
  if (const auto* ask = std::get_if<ClaimRequest>(&*message))
    SendTo(service, from, VoteOn(service.keeper, *ask, now));
  else if (const auto* vote = std::get_if<ClaimVote>(&*message))
    HearVote(service, *vote);
  else if (const auto* release = std::get_if<ClaimRelease>(&*message))
    ReleaseClaim(service.keeper, *release);
  else if (const auto* done = std::get_if<ClaimCompletion>(&*message))
    RecordOutcome(service.keeper, *done, now);
  else if (const auto* seal = std::get_if<SealRequest>(&*message))
    HearSeal(service, *seal);
  else if (const auto* answer = std::get_if<HandoverResponse>(&*message))
    ReceiveHandover(service.keeper, *answer, now);
  else if (const auto* notice = std::get_if<EpochNotice>(&*message))
    HearNotice(service, *notice);
  else if (std::holds_alternative<EpochQuery>(*message) &&
           service.epochs.log.has_base &&
           service.epochs.log.current.number != 0)
    SendTo(service, from, NoticeOf(service));
  else if (const auto* offer = std::get_if<HolderOffer>(&*message))
    HearOffer(service, *offer);
}

void HearMember(ClaimsService& service, const Member& member) {
  if (member.id == service.self.id)
    return;
  const Holder holder{member.id, member.data_center,
                      StartOf(member.incarnation), member.control};
  if (const auto old = service.local.find(member.id);
      old != service.local.end() && old->second.holder.boot_id < holder.boot_id)
    MarkHolderGone(service.keeper, member.id, old->second.holder.boot_id,
                   service.kernel->Now());
  // One that leaves counts no more at once: two holders that stop within the
  // time of grace would leave keys without a majority.
  if (member.status == MemberStatus::kLeft) {
    service.local.erase(member.id);
    return;
  }
  service.local[member.id] = {holder, service.kernel->Now(),
                              member.status == MemberStatus::kAlive};
}

void HearFolded(ClaimsService& service, const LogFolded& folded) {
  FinishEpochs(service.epochs, folded.through);
  if (folded.reached_end)
    service.end_read_at = folded.read_started;
  if (!service.epochs.log.has_base)
    return;
  if (service.epochs.log.current.number != service.newest_epoch) {
    service.newest_epoch = service.epochs.log.current.number;
    service.epoch_changed_at = service.kernel->Now();
  }
  if (service.epochs.log.current.number > 0)
    Learn(service, service.epochs.log.current);
  LearnActive(service, service.epochs.log.active);
  if (folded.reached_end &&
      service.epochs.log.current.number == service.keeper.epoch.number)
    ConfirmEpoch(service.keeper, folded.read_started);
  if (service.epochs.log.current.number > service.announced_epoch) {
    service.announced_epoch = service.epochs.log.current.number;
    SendNotices(service, true);
  }
  if (service.epochs.log.active.number > service.announced_activation) {
    service.announced_activation = service.epochs.log.active.number;
    SendNotices(service, false);
    // Once more soon: the first may get lost.
    service.next_notice = service.kernel->Now() + kNoticeEvery;
  }
}

void HearRecord(ClaimsService& service, const OpaqueRecordFound& found) {
  if (found.record.kind != kEpochRecord)
    return;
  if (const auto epoch = DecodeEpoch(found.record.bytes))
    ReadEpoch(service.epochs, found.offset, *epoch);
}

}  // namespace

void StartClaimsService(Kernel& kernel, ClaimsService& service) {
  service.kernel = &kernel;
  kernel.Register<Tick>(kClaimsService, [&](const Tick&) { OnTick(service); });
  kernel.Register<ModuleBody>(
      kClaimsService, [&](const ModuleBody& body) { Hear(service, body); });
  kernel.Register<MemberChanged>(
      kClaimsService,
      [&](const MemberChanged& change) { HearMember(service, change.member); });
  kernel.Register<RoleChanged>(kClaimsService, [&](const RoleChanged& role) {
    service.reader = role.reader;
    if (!role.reader)
      service.epochs.first_read = 0;
  });
  kernel.Register<ReadingFrom>(kClaimsService, [&](const ReadingFrom& from) {
    BeginEpochs(service.epochs, from.first);
  });
  kernel.Register<OpaqueRecordFound>(
      kClaimsService,
      [&](const OpaqueRecordFound& found) { HearRecord(service, found); });
  kernel.Register<LogFolded>(kClaimsService, [&](const LogFolded& folded) {
    HearFolded(service, folded);
  });
  // Before any caller is let in: a pause between the start and the first tick
  // must be noticed like any other.
  TickClaims(service.keeper, SystemNow());
  kernel.Post(kClaimsService, Tick{});
}

}  // namespace teaselspread
