#include "node/spread_service.h"

#include <algorithm>
#include <utility>

#include "node/module_frames.h"
#include "teaselspread/logging.h"

namespace teaselspread {
namespace {

void SetWake(Kernel& kernel, SpreadService& service) {
  const TimePoint wake = NextWake(service.state);
  if (service.wake_set && service.wake_at <= wake)
    return;
  service.wake_set = true;
  service.wake_at = wake;
  kernel.PostAt(wake, kSpreadService, Tick{});
}

void TellRole(Kernel& kernel, SpreadService& service) {
  const RoleChanged role{IsReader(service.state, kernel.Now())};
  kernel.Post(kConfigService, role);
  kernel.Post(kMovesService, role);
  kernel.Post(kClaimsService, role);
}

void TellReady(Kernel& kernel, SpreadService& service) {
  const ReadyChanged ready{IsReady(service.state)};
  Log(LogLevel::kInfo, kSpreadService, "ready-changed",
      {{"ready", ready.ready ? "yes" : "no"},
       {"held", service.state.held},
       {"floor", service.state.floor}});
  kernel.Post(kRequestsService, ready);
}

void Perform(Kernel& kernel, SpreadService& service, SpreadActions actions) {
  for (SendMessage& send : actions.sends)
    kernel.Post(kTransportService, SendFrame{std::move(send)});
  if (!actions.apply.empty())
    kernel.Post(kConfigService, ApplyUpdates{std::move(actions.apply)});
  if (actions.reader_changed)
    TellRole(kernel, service);
  if (actions.ready_changed)
    TellReady(kernel, service);
  kernel.Post(kMembershipService,
              HeldChanged{service.state.held, service.state.fresh_as_of});
  SetWake(kernel, service);
}

void OnTick(Kernel& kernel, SpreadService& service) {
  if (kernel.Now() >= service.wake_at)
    service.wake_set = false;
  if (kernel.Now() < NextWake(service.state)) {
    SetWake(kernel, service);
    return;
  }
  Perform(kernel, service,
          TickSpread(service.state, kernel.Now(), service.rng));
}

// Two random addresses of each other data centre: one may be gone, and what
// gets through to one spreads there as a rumour.
void SendAcross(Kernel& kernel,
                SpreadService& service,
                const ToOtherDataCenters& message) {
  constexpr std::size_t kCopies = 2;
  SpreadState& state = service.state;
  for (const auto& [data_center, seeds] : state.settings.remotes) {
    std::vector<Address> known;
    for (const SpeakerAddress& speaker : state.remote_speakers[data_center])
      known.push_back(speaker.control);
    if (known.empty())
      known = seeds;
    std::shuffle(known.begin(), known.end(), service.rng);
    known.resize(std::min(known.size(), kCopies));
    for (const Address& to : known) {
      SendMessage send{to, Transport::kDatagram,
                       ModuleFrame{SenderOf(state, kernel.Now()),
                                   message.module, message.body}};
      send.transport = TransportFor(send.message);
      kernel.Post(kTransportService, SendFrame{std::move(send)});
    }
  }
}

}  // namespace

void StartSpreadService(Kernel& kernel, SpreadService& service) {
  SpreadState& state = service.state;
  Rng& rng = service.rng;
  kernel.Register<Tick>(kSpreadService,
                        [&](const Tick&) { OnTick(kernel, service); });
  kernel.Register<FrameArrived>(kSpreadService, [&](const FrameArrived& frame) {
    Perform(kernel, service,
            ReceiveSpread(state, frame.message, kernel.Now(), rng));
  });
  kernel.Register<StreamBytesCame>(
      kSpreadService, [&](const StreamBytesCame& came) {
        ObserveStreamBytes(state, came.host, kernel.Now());
        SetWake(kernel, service);
      });
  kernel.Register<IncarnationChanged>(
      kSpreadService, [&](const IncarnationChanged& changed) {
        SetIncarnation(state, changed.incarnation);
      });
  kernel.Register<MemberChanged>(
      kSpreadService, [&](const MemberChanged& change) {
        Perform(kernel, service,
                ObserveMember(state, change.member, kernel.Now(), rng));
      });
  kernel.Register<PeerVersionSeen>(
      kSpreadService, [&](const PeerVersionSeen& seen) {
        Perform(kernel, service,
                ObserveVersion(state, seen.peer, kernel.Now(), rng));
      });
  kernel.Register<LogFindings>(kSpreadService, [&](const LogFindings& found) {
    Perform(kernel, service,
            ObserveLogRead(state, found.updates, found.read_started,
                           found.reached_end, kernel.Now(), rng));
  });
  kernel.Register<UpdatesApplied>(
      kSpreadService, [&](const UpdatesApplied& applied) {
        Perform(kernel, service,
                ConfirmApplied(state, applied.full, kernel.Now(), rng));
      });
  kernel.Register<UpdatesRejected>(kSpreadService, [&](const UpdatesRejected&) {
    Perform(kernel, service, RejectUpdate(state, kernel.Now(), rng));
  });
  kernel.Register<ToOtherDataCenters>(kSpreadService,
                                      [&](const ToOtherDataCenters& message) {
                                        SendAcross(kernel, service, message);
                                      });
  kernel.Post(kSpreadService, Tick{});
}

}  // namespace teaselspread
