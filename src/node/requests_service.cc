#include <utility>

#include <yaml-cpp/yaml.h>

#include "base/text.h"
#include "node/crash_watch.h"
#include "node/requests.h"
#include "teaselspread/logging.h"

namespace teaselspread {
namespace {

constexpr Duration kTick = std::chrono::milliseconds(100);

struct RebuildTargets {};

std::vector<Member> MembersOf(const Requests& service) {
  std::vector<Member> members;
  members.reserve(service.members.size());
  for (const auto& [id, member] : service.members)
    members.push_back(member);
  return members;
}

bool IsServing(const Member& member) {
  return member.status == MemberStatus::kAlive &&
         member.upstream.state == UpstreamState::kReady;
}

void TellReadySlots(Requests& service) {
  std::map<std::pair<std::string, std::string>, int> slots;
  for (const auto& [id, member] : service.members) {
    if (IsServing(member))
      slots[{member.upstream.service, member.upstream.version}] +=
          member.upstream.slots;
  }
  SetReadySlots(*service.moves, std::move(slots));
}

// A herd's return changes hundreds of entries in one turn; one rebuild at its
// end serves them all.
void MarkStale(Kernel& kernel, Requests& service) {
  if (service.targets_stale)
    return;
  service.targets_stale = true;
  kernel.Post(kRequestsService, RebuildTargets{});
}

void Rebuild(Requests& service) {
  const std::scoped_lock lock(service.gate);
  service.targets_stale = false;
  if (!service.snapshot)
    return;
  UpdateTargets(service.table, *service.snapshot, MembersOf(service),
                service.settings.vm, service.settings.data_center);
  TellReadySlots(service);
}

void TakeSnapshot(Kernel& kernel,
                  Requests& service,
                  const SnapshotPtr& snapshot) {
  const std::scoped_lock lock(service.gate);
  service.snapshot = snapshot;
  service.retry_budget.settings.retry_ratio = snapshot->limits.retry_budget;
  const auto own =
      snapshot->services.find(service.upstream.announcement.service);
  if (own != snapshot->services.end())
    service.gatekeeper.settings.queue_limit = own->second.queue_limit;
  service.gatekeeper.settings.body_memory_bytes =
      snapshot->limits.body_memory_bytes;
  MarkStale(kernel, service);
}

// Renewals are seconds apart, so a lease of a few of them bears one loss.
void CheckLease(Requests& service, TimePoint now) {
  if (service.upstream.announcement.state == UpstreamState::kNone)
    return;
  if (now - service.upstream.renewed <=
      service.settings.timings.announcement_lease)
    return;
  Log(LogLevel::kWarning, kRequestsService, "announcement-lapsed",
      {{"upstream_service", service.upstream.announcement.service}});
  LoseUpstream(service, now);
}

// The caller holds `gate`.
void TakeLeft(Kernel& kernel, Requests& service) {
  for (OpaqueRumour& rumour : service.rumours)
    kernel.Post(kMembershipService, TellAtOnce{std::move(rumour)});
  service.rumours.clear();
  if (service.announce)
    kernel.Post(kMembershipService, UpstreamAnnounced{*service.announce});
  service.announce.reset();
}

void OnTick(Kernel& kernel, Requests& service) {
  kernel.PostAt(kernel.Now() + kTick, kRequestsService, Tick{});
  const std::scoped_lock lock(service.gate);
  CheckLease(service, kernel.Now());
  ExpireSuspects(service.suspects, kernel.Now());
  Apply(service, Advance(service.gatekeeper, kernel.Now(), service.rng));
  TakeLeft(kernel, service);
}

void OfferToMembership(Requests& service) {
  service.announce = service.upstream.announcement;
  Member& self = service.members[service.settings.vm];
  self.upstream = service.upstream.announcement;
  if (!service.snapshot)
    return;
  // The own upstream counts at once, without the way round by membership.
  UpdateTargets(service.table, *service.snapshot, MembersOf(service),
                service.settings.vm, service.settings.data_center);
  TellReadySlots(service);
}

Result<UpstreamState> StateNamed(const std::string& name) {
  for (const UpstreamState state :
       {UpstreamState::kWarming, UpstreamState::kReady,
        UpstreamState::kLeaving}) {
    if (name == NameOf(state))
      return state;
  }
  return Fail(ErrorKind::kBadRequest,
              "state must be warming, ready or leaving");
}

Result<Announcement> ParseAnnouncement(const std::string& body,
                                       std::string& address) {
  constexpr int kMostSlots = 100000;
  Announcement announcement;
  try {
    const YAML::Node node = YAML::Load(body);
    announcement.service = node["service"].as<std::string>();
    announcement.version = node["version"].as<std::string>();
    announcement.slots = node["slots"].as<int>();
    announcement.connections = node["connections"].as<int>();
    const auto state = StateNamed(node["state"].as<std::string>());
    if (!state)
      return tl::make_unexpected(state.error());
    announcement.state = *state;
    if (node["address"])
      address = node["address"].as<std::string>();
  } catch (const YAML::Exception& error) {
    return Fail(ErrorKind::kBadRequest, Concat("announcement: ", error.what()));
  }
  if (announcement.slots < 1 || announcement.slots > kMostSlots ||
      announcement.connections < 1 || announcement.connections > kMostSlots)
    return Fail(ErrorKind::kBadRequest, "slots and connections: 1 to 100000");
  return announcement;
}

// Only the upstream on this VM is served here: another host's address would
// make this node a gatekeeper beside the real one.
Result<Address> UpstreamAddress(const NodeSettings& settings,
                                const std::string& text) {
  if (text.empty())
    return settings.upstream;
  auto address = ParseAddress(text);
  if (!address)
    return Fail(ErrorKind::kBadRequest, address.error().message);
  if (address->host != settings.upstream.host)
    return Fail(ErrorKind::kBadRequest,
                "the upstream must be at " + settings.upstream.host);
  return address;
}

}  // namespace

Result<void> TakeAnnouncement(Requests& service,
                              const std::string& body,
                              TimePoint now) {
  std::string address_text;
  auto announcement = ParseAnnouncement(body, address_text);
  if (!announcement)
    return tl::make_unexpected(announcement.error());
  const auto address = UpstreamAddress(service.settings, address_text);
  if (!address)
    return tl::make_unexpected(address.error());
  const std::scoped_lock lock(service.gate);
  UpstreamWatch& watch = service.upstream;
  const Announcement before = watch.announcement;
  const bool is_ready = announcement->state == UpstreamState::kReady;
  const bool same_life = before.state == UpstreamState::kReady && is_ready &&
                         before.version == announcement->version &&
                         watch.address == *address;
  announcement->ready_since = same_life ? before.ready_since : now;
  if (!is_ready)
    announcement->ready_since = TimePoint{};
  watch.renewed = now;
  watch.address = *address;
  watch.crashed = false;
  watch.announcement = *announcement;
  if (before == *announcement)
    return {};
  if (is_ready && !same_life)
    RecordUpstreamStart(*service.moves, *announcement);
  Apply(service, SetUpstream(service.gatekeeper, announcement->slots, is_ready,
                             now, service.rng));
  OfferToMembership(service);
  return {};
}

void LoseUpstream(Requests& service, TimePoint now) {
  UpstreamWatch& watch = service.upstream;
  watch.crashed = true;
  if (watch.announcement.state == UpstreamState::kReady)
    RecordUpstreamExit(*service.moves, watch.announcement,
                       now - watch.announcement.ready_since);
  watch.announcement.state = UpstreamState::kNone;
  watch.announcement.ready_since = TimePoint{};
  Apply(service, SetUpstream(service.gatekeeper, 1, false, now, service.rng));
  OfferToMembership(service);
}

void LeaveRequests(Requests& service) {
  const std::scoped_lock lock(service.gate);
  service.leaving = true;
  Apply(service, Leave(service.gatekeeper, SystemNow(), service.rng));
}

void StartRequestsService(Kernel& kernel, Requests& service) {
  kernel.Register<Tick>(kRequestsService,
                        [&](const Tick&) { OnTick(kernel, service); });
  kernel.Register<Flush>(kRequestsService, [&](const Flush&) {
    const std::scoped_lock lock(service.gate);
    TakeLeft(kernel, service);
  });
  kernel.Register<RebuildTargets>(
      kRequestsService, [&](const RebuildTargets&) { Rebuild(service); });
  kernel.Register<SnapshotInForce>(
      kRequestsService, [&](const SnapshotInForce& message) {
        TakeSnapshot(kernel, service, message.snapshot);
      });
  kernel.Register<ReadyChanged>(kRequestsService,
                                [&](const ReadyChanged& message) {
                                  const std::scoped_lock lock(service.gate);
                                  service.ready = message.ready;
                                });
  kernel.Register<MemberChanged>(
      kRequestsService, [&](const MemberChanged& change) {
        const std::scoped_lock lock(service.gate);
        if (change.member.id == service.settings.vm)
          return;
        service.members[change.member.id] = change.member;
        MarkStale(kernel, service);
      });
  kernel.Register<RumourHeard>(kRequestsService, [&](const RumourHeard& heard) {
    TakeSuspects(service, heard.rumour);
  });
  kernel.Post(kRequestsService, Tick{});
}

}  // namespace teaselspread
