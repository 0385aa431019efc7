#include "node/membership_service.h"

#include <utility>

#include "teaselspread/logging.h"

namespace teaselspread {
namespace {

void LogChange(const Member& member) {
  Log(LogLevel::kInfo, kMembershipService, "member-changed",
      {{"member", member.id},
       {"status", NameOf(member.status)},
       {"incarnation", member.incarnation},
       {"upstream", NameOf(member.upstream.state)}});
}

bool IsGone(const Member& member) {
  return member.status == MemberStatus::kDead ||
         member.status == MemberStatus::kLeft;
}

void Perform(Kernel& kernel,
             MembershipService& service,
             MembershipActions actions) {
  if (const std::uint64_t own = service.state.self.incarnation;
      own != service.told_incarnation) {
    service.told_incarnation = own;
    kernel.Post(kSpreadService, IncarnationChanged{own});
  }
  for (SendMessage& send : actions.sends)
    kernel.Post(kTransportService, SendFrame{std::move(send)});
  for (const Member& member : actions.changes) {
    LogChange(member);
    kernel.Post(kSpreadService, MemberChanged{member});
    kernel.Post(kRequestsService, MemberChanged{member});
    kernel.Post(kClaimsService, MemberChanged{member});
    if (IsGone(member) && service.on_gone)
      service.on_gone(member);
  }
  for (const PeerVersion& peer : actions.versions)
    kernel.Post(kSpreadService, PeerVersionSeen{peer});
  for (const OpaqueRumour& rumour : actions.rumours) {
    const std::string_view owner =
        rumour.topic == Topic::kCrashSuspect ? kRequestsService : kMovesService;
    kernel.Post(owner, RumourHeard{rumour});
  }
}

// One timer at a time: a wake that is earlier than the one set replaces it, and
// the later one then finds nothing due.
void SetWake(Kernel& kernel, MembershipService& service) {
  const TimePoint wake = NextWake(service.state);
  if (service.wake_set && service.wake_at <= wake)
    return;
  service.wake_set = true;
  service.wake_at = wake;
  kernel.PostAt(wake, kMembershipService, Tick{});
}

void OnTick(Kernel& kernel, MembershipService& service) {
  if (kernel.Now() >= service.wake_at)
    service.wake_set = false;
  if (kernel.Now() >= NextWake(service.state))
    Perform(kernel, service,
            TickMembership(service.state, kernel.Now(), service.rng));
  SetWake(kernel, service);
}

void SpreadOne(Kernel& kernel,
               MembershipService& service,
               const OpaqueRumour& rumour) {
  auto actions = Spread(service.state, rumour, kernel.Now(), service.rng);
  if (!actions) {
    Log(LogLevel::kError, kMembershipService, "rumour-refused",
        {{"key", rumour.key}, {"reason", NameOf(actions.error().kind)}});
    return;
  }
  Perform(kernel, service, std::move(*actions));
  SetWake(kernel, service);
}

// A rumour takes some hundred milliseconds to reach everyone. A caller whose
// request crashed an upstream sends it again sooner, and each node that has not
// heard yet lets it crash one more.
void TellMembers(Kernel& kernel,
                 MembershipService& service,
                 const OpaqueRumour& rumour) {
  const Sender self = SenderOf(service.state, kernel.Now());
  for (const Member& member : LiveMembers(service.state)) {
    kernel.Post(kTransportService,
                SendFrame{{member.control, Transport::kDatagram,
                           Gossip{self, {rumour}}}});
  }
}

}  // namespace

void StartMembershipService(Kernel& kernel, MembershipService& service) {
  kernel.Register<Tick>(kMembershipService,
                        [&](const Tick&) { OnTick(kernel, service); });
  kernel.Register<FrameArrived>(
      kMembershipService, [&](const FrameArrived& frame) {
        Perform(kernel, service,
                ReceiveMembership(service.state, frame.message, kernel.Now(),
                                  service.rng));
        SetWake(kernel, service);
      });
  kernel.Register<UpstreamAnnounced>(
      kMembershipService, [&](const UpstreamAnnounced& announced) {
        if (announced.announcement == service.state.self.upstream)
          return;
        Perform(kernel, service,
                SetAnnouncement(service.state, announced.announcement,
                                kernel.Now(), service.rng));
        SetWake(kernel, service);
      });
  kernel.Register<SpreadRumour>(kMembershipService,
                                [&](const SpreadRumour& message) {
                                  SpreadOne(kernel, service, message.rumour);
                                });
  kernel.Register<TellAtOnce>(kMembershipService,
                              [&](const TellAtOnce& message) {
                                SpreadOne(kernel, service, message.rumour);
                                TellMembers(kernel, service, message.rumour);
                              });
  kernel.Register<HeldChanged>(
      kMembershipService, [&](const HeldChanged& held) {
        SetHeldVersion(service.state, held.held, held.fresh_as_of);
      });
  kernel.Post(kMembershipService, Tick{});
}

void AnnounceLeave(Kernel& kernel, MembershipService& service) {
  Perform(kernel, service, Leave(service.state, kernel.Now(), service.rng));
}

}  // namespace teaselspread
