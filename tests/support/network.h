// An in-memory message network on a virtual clock, for nodes made of the
// membership and spread modules. It drops, duplicates, delays and reorders
// messages, and partitions, pauses, kills and restarts nodes; a run is
// reproducible from its seed.
#ifndef TEASELSPREAD_TESTS_SUPPORT_NETWORK_H_
#define TEASELSPREAD_TESTS_SUPPORT_NETWORK_H_

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <utility>
#include <vector>

#include "teaselspread/membership.h"
#include "teaselspread/spread.h"
#include "teaselspread/wire.h"

namespace teaselspread::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct NetworkSettings {
  double loss = 0;
  double duplication = 0;
  Duration latency = std::chrono::microseconds(500);
  // Upper bound of a random extra delay, which reorders messages.
  Duration jitter = milliseconds(2);
  Duration log_poll = milliseconds(250);
  Duration log_latency = milliseconds(5);
  std::size_t delta_bytes = 600;
  std::size_t snapshot_bytes = 20000;
  // The log serves whole configurations instead of deltas.
  bool full_updates = false;
  // Each message is encoded and decoded in transit.
  bool encode_messages = true;
};

// One VM across its restarts.
struct Node {
  std::string id;
  std::string data_center;
  Address address;
  bool up = false;
  bool paused = false;
  int partition = 0;
  int starts = 0;
  Membership membership;
  SpreadState spread;
  Rng rng;
  TimePoint wake;
  TimePoint next_poll;
  ConfigVersion log_position = 0;
  // Highest version ever in force on this VM, across its restarts.
  ConfigVersion highest_held = 0;
  std::vector<Message> inbox;
  std::map<std::string, std::uint64_t> sent_bytes;
  std::vector<OpaqueRumour> rumours;
};

class Network {
 public:
  Network(NetworkSettings settings, std::uint64_t seed)
      : settings(settings), rng(seed) {}

  NetworkSettings settings;
  MembershipSettings membership_settings;
  SpreadSettings spread_settings;
  Rng rng;
  TimePoint now{seconds(1000)};
  std::vector<std::unique_ptr<Node>> nodes;
  std::vector<ConfigVersion> log;
  bool log_up = true;
  // Data centres and nodes that cannot reach the log.
  std::vector<std::string> cut_from_log;
  std::uint64_t log_reads = 0;
  std::uint64_t messages = 0;
  // Descriptions of violated invariants; empty when all hold.
  std::vector<std::string> violations;
  // Called for each change that one node sees in another.
  std::function<void(const Node&, const Member&)> on_change;
  // Called when a version comes into force on a node.
  std::function<void(const Node&, ConfigVersion)> on_applied;

  std::size_t Add(const std::string& data_center) {
    auto node = std::make_unique<Node>();
    const std::size_t index = this->nodes.size();
    node->id = "vm-" + std::to_string(index);
    node->data_center = data_center;
    node->address = {"10.0." + std::to_string(index / 250) + "." +
                         std::to_string(index % 250),
                     7000};
    this->by_address[KeyOf(node->address)] = index;
    this->nodes.push_back(std::move(node));
    return index;
  }

  // Starts or restarts a VM without any state.
  void Start(std::size_t index, Duration clock_back = Duration::zero()) {
    Node& node = *this->nodes[index];
    node.up = true;
    ++node.starts;
    node.paused = false;
    node.inbox.clear();
    node.log_position = 0;
    node.rng.seed(this->rng());
    Member self;
    self.id = node.id;
    self.data_center = node.data_center;
    self.control = node.address;
    self.http = {node.address.host, 8000};
    self.incarnation = IncarnationAt(this->now - clock_back);
    self.upstream.service = "registry-desk";
    self.upstream.version = "v1";
    self.upstream.state = UpstreamState::kReady;
    SpreadSettings spread = this->spread_settings;
    spread.remotes = this->Remotes(node.data_center);
    node.membership = MakeMembership(this->membership_settings, self,
                                     this->Seeds(node.data_center), this->now);
    node.spread = MakeSpread(spread, self, this->now);
    node.next_poll =
        this->now + Duration{static_cast<std::int64_t>(
                        this->rng() % this->settings.log_poll.count())};
    this->ScheduleWake(index, this->now);
  }

  void StartAll() {
    for (std::size_t i = 0; i < this->nodes.size(); ++i)
      this->Start(i);
  }

  void Kill(std::size_t index) { this->nodes[index]->up = false; }

  void Pause(std::size_t index, Duration time) {
    this->nodes[index]->paused = true;
    this->At(this->now + time, [this, index] { this->Resume(index); });
  }

  void At(TimePoint when, std::function<void()> action) {
    this->events.push({when, this->order++, std::move(action)});
  }

  ConfigVersion Publish() {
    const ConfigVersion last = this->log.empty() ? 0 : this->log.back();
    this->log.push_back(last + 1 + this->rng() % 5);
    return this->log.back();
  }

  void Run(Duration time) {
    const TimePoint end = this->now + time;
    while (!this->events.empty() && this->events.top().when <= end) {
      Event event = this->events.top();
      this->events.pop();
      this->now = event.when;
      event.action();
    }
    this->now = end;
  }

  void Leave(std::size_t index) {
    Node& node = *this->nodes[index];
    LeaveSpread(node.spread);
    this->Execute(index,
                  teaselspread::Leave(node.membership, this->now, node.rng));
  }

  Node* FindNode(const std::string& id) {
    for (const auto& node : this->nodes) {
      if (node->id == id)
        return node.get();
    }
    return nullptr;
  }

  // Fraction of the running nodes for which `matches` is true.
  [[nodiscard]] double FractionOf(
      const std::function<bool(const Node&)>& matches) const {
    double up = 0;
    double matching = 0;
    for (const auto& node : this->nodes) {
      up += node->up ? 1 : 0;
      matching += node->up && matches(*node) ? 1 : 0;
    }
    return up == 0 ? 1 : matching / up;
  }

  // Fraction of running nodes that hold at least `version`.
  [[nodiscard]] double FractionHolding(ConfigVersion version) const {
    return this->FractionOf(
        [version](const Node& node) { return node.spread.held >= version; });
  }

  void Announce(std::size_t index, UpstreamState state) {
    Node& node = *this->nodes[index];
    Announcement announcement = node.membership.self.upstream;
    announcement.state = state;
    this->Execute(index, SetAnnouncement(node.membership, announcement,
                                         this->now, node.rng));
  }

  void Execute(std::size_t index, MembershipActions actions) {
    Node& node = *this->nodes[index];
    SetIncarnation(node.spread, node.membership.self.incarnation);
    for (SendMessage& send : actions.sends)
      this->Transmit(index, std::move(send));
    for (const Member& member : actions.changes) {
      if (this->on_change)
        this->on_change(node, member);
      this->Execute(index,
                    ObserveMember(node.spread, member, this->now, node.rng));
    }
    for (const PeerVersion& version : actions.versions)
      this->Execute(index,
                    ObserveVersion(node.spread, version, this->now, node.rng));
    std::move(actions.rumours.begin(), actions.rumours.end(),
              std::back_inserter(node.rumours));
    this->ScheduleNext(index);
  }

  void Execute(std::size_t index, SpreadActions actions) {
    Node& node = *this->nodes[index];
    for (SendMessage& send : actions.sends)
      this->Transmit(index, std::move(send));
    if (!actions.apply.empty())
      this->Apply(index, actions.apply);
    SetHeldVersion(node.membership, node.spread.held, node.spread.fresh_as_of);
    this->ScheduleNext(index);
  }

 private:
  struct Event {
    TimePoint when;
    std::uint64_t order = 0;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return std::tie(other.when, other.order) <
             std::tie(this->when, this->order);
    }
  };

  [[nodiscard]] std::vector<Address> Seeds(
      const std::string& data_center) const {
    constexpr std::size_t kSeeds = 3;
    std::vector<Address> seeds;
    for (const auto& node : this->nodes) {
      if (node->data_center == data_center && seeds.size() < kSeeds)
        seeds.push_back(node->address);
    }
    return seeds;
  }

  [[nodiscard]] std::map<std::string, std::vector<Address>> Remotes(
      const std::string& own) const {
    std::map<std::string, std::vector<Address>> remotes;
    for (const auto& node : this->nodes) {
      if (node->data_center != own)
        remotes[node->data_center] = this->Seeds(node->data_center);
    }
    return remotes;
  }

  static std::string KeyOf(const Address& address) {
    return address.host + ':' + std::to_string(address.port);
  }

  bool RandomEvent(double probability) {
    return std::uniform_real_distribution<double>(0, 1)(this->rng) <
           probability;
  }

  Duration Delay() {
    return this->settings.latency +
           Duration{static_cast<std::int64_t>(
               this->rng() % (this->settings.jitter.count() + 1))};
  }

  void Transmit(std::size_t from, SendMessage send) {
    Node& sender = *this->nodes[from];
    std::string frame;
    frame = Encode(send.message);
    const bool datagram = send.transport == Transport::kDatagram;
    if (datagram && frame.size() > kMaxDatagramBytes)
      this->violations.push_back("datagram too large: " +
                                 std::string(KindOf(send.message)));
    // IP and UDP headers, or a TCP connection's packets.
    const std::size_t overhead = datagram ? 28 : 400;
    sender.sent_bytes[std::string(KindOf(send.message))] +=
        frame.size() + overhead;
    ++this->messages;
    const auto found = this->by_address.find(KeyOf(send.to));
    if (found == this->by_address.end())
      return;
    if (datagram && this->RandomEvent(this->settings.loss))
      return;
    auto message = std::make_shared<Message>(std::move(send.message));
    if (this->settings.encode_messages) {
      Result<Message> decoded = Decode(frame);
      if (!decoded)
        this->violations.push_back(decoded.error().message);
      else
        *message = std::move(*decoded);
    }
    const int copies =
        datagram && this->RandomEvent(this->settings.duplication) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      this->At(this->now + this->Delay(),
               [this, from, to = found->second, message] {
                 this->Deliver(from, to, *message);
               });
    }
  }

  void Deliver(std::size_t from, std::size_t to, const Message& message) {
    Node& node = *this->nodes[to];
    if (!node.up || node.partition != this->nodes[from]->partition)
      return;
    if (node.paused) {
      node.inbox.push_back(message);
      return;
    }
    this->Execute(
        to, ReceiveMembership(node.membership, message, this->now, node.rng));
    this->Execute(to, ReceiveSpread(node.spread, message, this->now, node.rng));
  }

  void Resume(std::size_t index) {
    Node& node = *this->nodes[index];
    if (!node.up || !node.paused)
      return;
    node.paused = false;
    // Timers or unread messages may come first.
    if (this->RandomEvent(0.5))
      this->Wake(index);
    for (const Message& message : std::exchange(node.inbox, {}))
      this->Deliver(index, index, message);
    this->Wake(index);
  }

  void ScheduleNext(std::size_t index) {
    Node& node = *this->nodes[index];
    const TimePoint next = std::min(
        {NextWake(node.membership), NextWake(node.spread), node.next_poll});
    this->ScheduleWake(index, std::max(next, this->now + milliseconds(1)));
  }

  void ScheduleWake(std::size_t index, TimePoint when) {
    Node& node = *this->nodes[index];
    if (node.wake > this->now && node.wake <= when)
      return;
    node.wake = when;
    this->At(when, [this, index, when] {
      if (this->nodes[index]->wake == when)
        this->Wake(index);
    });
  }

  void Wake(std::size_t index) {
    Node& node = *this->nodes[index];
    if (!node.up || node.paused)
      return;
    node.wake = TimePoint{};
    if (NextWake(node.membership) <= this->now)
      this->Execute(index,
                    TickMembership(node.membership, this->now, node.rng));
    if (NextWake(node.spread) <= this->now)
      this->Execute(index, TickSpread(node.spread, this->now, node.rng));
    if (node.next_poll <= this->now)
      this->PollLog(index);
    this->ScheduleNext(index);
  }

  void PollLog(std::size_t index) {
    Node& node = *this->nodes[index];
    node.next_poll = this->now + this->settings.log_poll;
    const bool cut =
        std::any_of(this->cut_from_log.begin(), this->cut_from_log.end(),
                    [&node](const std::string& name) {
                      return name == node.data_center || name == node.id;
                    });
    if (!IsReader(node.spread, this->now))
      return;
    ++this->log_reads;
    if (!this->log_up || cut)
      return;
    std::vector<ConfigUpdate> updates;
    // A first read starts at the newest checkpoint.
    if (node.log_position == 0 && !this->log.empty())
      updates.push_back(this->FullUpdate(this->log.back()));
    ConfigVersion parent = node.log_position;
    for (const ConfigVersion version : this->log) {
      if (node.log_position != 0 && version > node.log_position)
        updates.push_back(this->UpdateAfter(version, parent));
      parent = version;
    }
    const TimePoint read_started = this->now;
    const int start = node.starts;
    this->At(this->now + this->settings.log_latency,
             [this, index, updates, read_started, start] {
               this->DeliverLogRead(index, updates, read_started, start);
             });
  }

  void DeliverLogRead(std::size_t index,
                      const std::vector<ConfigUpdate>& updates,
                      TimePoint read_started,
                      int start) {
    Node& node = *this->nodes[index];
    if (!node.up || node.paused || node.starts != start)
      return;
    if (!updates.empty())
      node.log_position = std::max(node.log_position, updates.back().version);
    this->Execute(index, ObserveLogRead(node.spread, updates, read_started,
                                        true, this->now, node.rng));
  }

  [[nodiscard]] ConfigUpdate FullUpdate(ConfigVersion version) const {
    return {version, 0, version, true,
            std::string(this->settings.snapshot_bytes, 'f')};
  }

  [[nodiscard]] ConfigUpdate UpdateAfter(ConfigVersion version,
                                         ConfigVersion parent) const {
    if (this->settings.full_updates)
      return this->FullUpdate(version);
    return {version, parent, version, false,
            std::string(this->settings.delta_bytes, 'd')};
  }

  // Replaces the config module: checks the chain of parents and applies all
  // updates in one step.
  void Apply(std::size_t index, const std::vector<ConfigUpdate>& updates) {
    Node& node = *this->nodes[index];
    ConfigVersion at = node.spread.held;
    for (const ConfigUpdate& update : updates) {
      if (!update.full && update.parent != at)
        return this->Execute(index,
                             RejectUpdate(node.spread, this->now, node.rng));
      at = update.version;
    }
    if (at < node.highest_held) {
      this->violations.push_back(node.id + " went back from " +
                                 std::to_string(node.highest_held) + " to " +
                                 std::to_string(at));
    }
    node.highest_held = std::max(node.highest_held, at);
    if (this->on_applied)
      this->on_applied(node, at);
    this->Execute(index, ConfirmApplied(node.spread, this->FullUpdate(at),
                                        this->now, node.rng));
  }

  // By "host:port".
  std::map<std::string, std::size_t> by_address;
  std::priority_queue<Event> events;
  std::uint64_t order = 0;
};

}  // namespace teaselspread::test

#endif  // TEASELSPREAD_TESTS_SUPPORT_NETWORK_H_
