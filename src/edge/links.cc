#include "edge/links.h"

#include <array>
#include <random>
#include <utility>
#include <vector>

#include <boost/smart_ptr/intrusive_ptr.hpp>

#include "base/clock.h"
#include "edge/endpoint.h"
#include "edge/frame_socket.h"
#include "edge/link_health.h"
#include "teaselspread/logging.h"
#include "teaselspread/settings.h"

namespace teaselspread {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using SocketPtr = boost::intrusive_ptr<FrameSocket>;

constexpr std::chrono::milliseconds kTickInterval{100};
// Initial and maximum delay between attempts to connect to a node.
constexpr Duration kMinRetryDelay = std::chrono::milliseconds(100);
constexpr Duration kMaxRetryDelay = std::chrono::seconds(1);
// A connection attempt that is still pending after this long may have been sent
// to a VM without power. It gets no response, or one only a second after the VM
// is back.
constexpr Duration kStaleAttemptAfter = std::chrono::milliseconds(100);

constexpr std::array<std::string_view,
                     static_cast<std::size_t>(LinkEvent::kCount)>
    kNames = {"opened", "accepted",        "connect-failed", "lost",
              "silent", "frames-received", "bytes-sent",     "bytes-received"};

bool UpstreamChanged(const GateStatus& a, const GateStatus& b) {
  return a.state != b.state || a.instance != b.instance ||
         a.service != b.service || a.version != b.version || a.slots != b.slots;
}

// A start time of 0 is not known yet.
bool IsAnotherProcess(const GateStatus& a, const GateStatus& b) {
  return a.instance != b.instance ||
         (a.process_stamp != 0 && b.process_stamp != 0 &&
          a.process_stamp != b.process_stamp);
}

LoadFrame LoadOf(const GateStatus& status) {
  return {status.running, status.waiting, status.queued_ms};
}

void SetLoad(GateStatus& status, const LoadFrame& load) {
  status.running = load.running;
  status.waiting = load.waiting;
  status.queued_ms = load.queued_ms;
}

void ApplyLoad(Peer& peer, const LoadFrame& load) {
  SetLoad(peer.status, load);
  peer.sent_since_status = 0;
  peer.status_received_at = SteadyNow();
}

template <class Handler>
void IfAlive(const std::shared_ptr<bool>& alive, Handler handler) {
  if (*alive)
    handler();
}

}  // namespace

std::string_view NameOf(LinkEvent event) {
  return kNames.at(static_cast<std::size_t>(event));
}

std::string_view NameOf(LinkEndReason end) {
  static constexpr std::array<std::string_view, 3> kEndNames = {
      "closed", "silent", "moved"};
  return kEndNames.at(static_cast<std::size_t>(end));
}

Links::Links(asio::io_context& io, LinkHandlers on)
    : loop(io),
      handlers(std::move(on)),
      acceptor(io),
      tick(io),
      rng(std::random_device{}()) {}

Links::~Links() {
  *this->alive = false;
  for (auto& [name, peer] : this->peers) {
    if (peer.socket == nullptr)
      continue;
    peer.socket->Close();
    intrusive_ptr_release(peer.socket);
  }
  for (FrameSocket* caller : this->callers) {
    caller->Close();
    intrusive_ptr_release(caller);
  }
}

Result<Address> Links::Listen(const Address& address) {
  auto bound = ListenOn(this->acceptor, address);
  if (!bound)
    return bound;
  this->self.link = *bound;
  this->Accept();
  this->Tick();
  return bound;
}

FrameSocketHandlers Links::SocketHandlers() {
  const auto lives = this->alive;
  FrameSocketHandlers on;
  on.on_frame = [this, lives](FrameSocket* from, LinkFrame frame) {
    IfAlive(lives, [&] { this->OnFrame(from, std::move(frame)); });
  };
  on.on_closed = [this, lives](FrameSocket* socket) {
    IfAlive(lives, [&] { this->OnClosed(socket, LinkEndReason::kClosed); });
  };
  on.on_sent = [this, lives](std::size_t bytes) {
    IfAlive(lives, [&] { this->counters.Add(LinkEvent::kBytesSent, bytes); });
  };
  on.on_queued = [this, lives](const FrameSocket* to, FrameKind kind,
                               std::size_t bytes) {
    IfAlive(lives, [&] {
      const bool far = to->in_other_data_center;
      (far ? this->sent_far : this->sent_near).Add(kind, bytes);
      (far ? this->frames_far : this->frames_near).Add(kind);
    });
  };
  on.on_received = [this, lives](std::size_t bytes) {
    IfAlive(lives,
            [&] { this->counters.Add(LinkEvent::kBytesReceived, bytes); });
  };
  return on;
}

void Links::Accept() {
  this->acceptor.async_accept([this, lives = this->alive](
                                  boost::system::error_code error,
                                  tcp::socket socket) {
    if (!*lives || error == asio::error::operation_aborted)
      return;
    if (!error) {
      auto* caller = new FrameSocket(std::move(socket), this->SocketHandlers());
      intrusive_ptr_add_ref(caller);
      this->callers.insert(caller);
      this->counters.Add(LinkEvent::kAccepted);
      caller->Start();
      caller->Send(this->StatusFrame(kAllStatusParts, false));
      MarkSent(this->status_feed, caller->status_reader,
               TopicsCarried(kAllTopics, false), SteadyNow());
    }
    this->Accept();
  });
}

void Links::Add(const Hello& node) {
  if (node.node == this->self.node)
    return;
  // The address comes from another process. If it is no IP number it has no
  // endpoint, and every attempt to connect would fail.
  if (const auto endpoint = TcpEndpointOf(node.link); !endpoint) {
    Log(LogLevel::kWarning, "links", "node-refused",
        {{"node", node.node}, {"message", endpoint.error().message}});
    return;
  }
  const auto [found, added] = this->peers.try_emplace(node.node);
  Peer& peer = found->second;
  peer.node = node.node;
  peer.data_center = node.data_center;
  // 0 if the node is known from the store, which does not hold the bandwidth.
  if (node.line_mbit > 0)
    peer.line_mbit = node.line_mbit;
  peer.backoff.base = kMinRetryDelay;
  peer.backoff.cap = kMaxRetryDelay;
  const bool address_changed = !added && peer.link != node.link;
  peer.link = node.link;
  if (address_changed && peer.socket != nullptr) {
    const SocketPtr old(peer.socket);
    old->Close();
    this->OnClosed(old.get(), LinkEndReason::kAddressChanged);
    return;
  }
  // The node may have just come back. Requests for it are refused until this
  // end has a link to it, so the backoff ends here, and an attempt that may
  // have been sent while the node was down is replaced. An attempt that the
  // node has accepted is kept: it only lacks the first status.
  if (peer.socket != nullptr && !peer.socket->Connected() &&
      SteadyNow() - peer.socket->times.response_due_since >
          kStaleAttemptAfter) {
    peer.socket->Close();
    intrusive_ptr_release(std::exchange(peer.socket, nullptr));
  }
  if (peer.socket == nullptr) {
    Reset(peer.backoff);
    this->Connect(peer);
  }
}

void Links::Remove(const std::string& node) {
  const auto found = this->peers.find(node);
  if (found == this->peers.end())
    return;
  FrameSocket* socket = std::exchange(found->second.socket, nullptr);
  if (socket != nullptr) {
    socket->Close();
    intrusive_ptr_release(socket);
    this->handlers.on_link_lost(node);
  }
  this->peers.erase(node);
}

Peer* Links::Find(const std::string& node) {
  const auto found = this->peers.find(node);
  return found == this->peers.end() ? nullptr : &found->second;
}

void Links::Connect(Peer& peer) {
  auto* socket =
      new FrameSocket(tcp::socket(this->loop), this->SocketHandlers());
  intrusive_ptr_add_ref(socket);
  socket->node = peer.node;
  socket->is_initiator = true;
  socket->in_other_data_center = peer.data_center != this->self.data_center;
  socket->times.response_due_since = SteadyNow();
  peer.socket = socket;
  peer.connected = false;
  socket->Connect(*TcpEndpointOf(peer.link),
                  [this, lives = this->alive, socket, name = peer.node] {
                    if (!*lives)
                      return;
                    this->counters.Add(LinkEvent::kOpened);
                    socket->Send(this->self);
                    socket->Start();
                    socket->times.response_due_since = SteadyNow();
                  });
}

void Links::Retry(const std::string& node) {
  Peer* peer = this->Find(node);
  if (peer == nullptr)
    return;
  const Duration wait = NextDelay(peer->backoff, this->rng);
  auto timer = std::make_shared<asio::steady_timer>(this->loop);
  timer->expires_after(wait);
  timer->async_wait([this, lives = this->alive, timer,
                     node](boost::system::error_code error) {
    if (error || !*lives)
      return;
    Peer* waiting = this->Find(node);
    if (waiting != nullptr && waiting->socket == nullptr)
      this->Connect(*waiting);
  });
}

void Links::OnClosed(FrameSocket* socket, LinkEndReason end) {
  const SocketPtr keep(socket);
  if (this->callers.erase(socket) > 0) {
    intrusive_ptr_release(socket);
    this->handlers.on_caller_disconnected(socket);
    return;
  }
  Peer* peer = this->Find(socket->node);
  if (peer == nullptr || peer->socket != socket)
    return;
  peer->socket = nullptr;
  intrusive_ptr_release(socket);
  const bool was_connected = std::exchange(peer->connected, false);
  peer->in_flight = 0;
  peer->sent_since_status = 0;
  peer->speed = {};
  this->counters.Add(was_connected ? LinkEvent::kLost
                                   : LinkEvent::kConnectFailed);
  const std::string name = peer->node;
  if (was_connected) {
    Log(LogLevel::kWarning, "links", "link-lost",
        {{"node", name},
         {"reason", NameOf(end)},
         {"unsent", socket->UnsentBytes()}});
    this->handlers.on_link_lost(name);
  }
  this->Retry(name);
}

void Links::OnFrame(FrameSocket* from, LinkFrame frame) {
  this->counters.Add(LinkEvent::kFramesReceived);
  if (from->is_initiator)
    this->HandleServerFrame(from->node, std::move(frame));
  else
    this->HandleCallerFrame(from, std::move(frame));
}

void Links::HandleServerFrame(const std::string& name, LinkFrame frame) {
  Peer* peer = this->Find(name);
  if (peer == nullptr)
    return;
  if (auto* status_frame = std::get_if<Status>(&frame)) {
    if (!peer->connected)
      Log(LogLevel::kInfo, "links", "link-up", {{"node", name}});
    const bool has_load = Has(*status_frame, StatusPart::kLoad);
    const std::uint8_t parts = status_frame->parts;
    const GateStatus before = peer->status;
    ApplyStatus(peer->status, std::move(*status_frame));
    const bool changed =
        !peer->connected || UpstreamChanged(before, peer->status);
    if (IsAnotherProcess(before, peer->status))
      peer->speed = {};
    peer->connected = true;
    Reset(peer->backoff);
    peer->sent_since_status = has_load ? 0 : peer->sent_since_status;
    peer->status_received_at = SteadyNow();
    this->handlers.on_status(name, changed, parts);
  } else if (auto* result = std::get_if<ResultFrame>(&frame)) {
    if (peer->in_flight > 0)
      --peer->in_flight;
    ApplyLoad(*peer, result->load);
    this->handlers.on_result(name, std::move(*result));
  } else if (const auto* load = std::get_if<LoadFrame>(&frame)) {
    ApplyLoad(*peer, *load);
  } else if (const auto* speed = std::get_if<SpeedFrame>(&frame)) {
    HearSpeed(peer->speed, speed->percent, SteadyNow());
  } else if (auto* config = std::get_if<ConfigFrame>(&frame)) {
    this->handlers.on_config(name, std::move(*config));
  } else if (std::holds_alternative<ConfigBusy>(frame)) {
    this->handlers.on_config_busy(name);
  } else if (const auto* pong = std::get_if<PongFrame>(&frame)) {
    if (pong->sequence == peer->config_request_sequence)
      this->handlers.on_config_busy(name);
  } else if (const auto* grant = std::get_if<TokenGrantFrame>(&frame)) {
    this->handlers.on_token_grant(name, *grant);
  } else if (std::holds_alternative<LeavingFrame>(frame)) {
    this->handlers.on_node_leaving(name);
  }
}

void Links::HandleCallerFrame(FrameSocket* from, LinkFrame frame) {
  if (auto* run = std::get_if<RunFrame>(&frame)) {
    from->status_reader.last_request_at = SteadyNow();
    this->handlers.on_run(from, std::move(*run));
  } else if (const auto* cancel = std::get_if<CancelFrame>(&frame)) {
    this->handlers.on_cancel(from, cancel->call_id);
  } else if (const auto* ping = std::get_if<PingFrame>(&frame)) {
    from->Send(PongFrame{ping->sequence});
  } else if (const auto* hello = std::get_if<Hello>(&frame)) {
    from->node = hello->node;
    from->in_other_data_center = hello->data_center != this->self.data_center;
    from->status_reader.in_own_data_center = !from->in_other_data_center;
    from->status_reader.evaluates_moves =
        this->move_evaluators.contains(hello->node);
    this->handlers.on_hello(*hello);
  } else if (const auto* config_request = std::get_if<ConfigRequest>(&frame)) {
    from->Send(
        this->handlers.on_config_request(from->node, config_request->digest));
  } else if (const auto* tokens = std::get_if<TokenRequest>(&frame)) {
    from->Send(this->handlers.on_token_request(from->node, *tokens));
  }
}

bool Links::IsLinkUnresponsive(const Peer& peer, TimePoint now) {
  return peer.socket == nullptr || IsUnresponsive(peer.socket->times, now);
}

void Links::SetStatus(const GateStatus& new_status) {
  if (new_status == this->status)
    return;
  const TopicSet changed = ChangedTopics(this->status, new_status);
  this->status = new_status;
  RecordChanges(this->status_feed, changed);
  if ((changed & kUrgentTopics) != 0)
    this->SendDueStatus();
}

void Links::SetReadsOrders(bool reads) {
  this->reads_orders = reads;
}

void Links::SetMoveEvaluators(std::set<std::string, std::less<>> nodes,
                              bool evaluates) {
  this->self_evaluates = evaluates;
  if (nodes == this->move_evaluators)
    return;
  this->move_evaluators = std::move(nodes);
  for (FrameSocket* caller : this->callers) {
    caller->status_reader.evaluates_moves =
        this->move_evaluators.contains(caller->node);
  }
}

StatusAudience Links::Audience() const {
  StatusAudience audience;
  audience.evaluates_moves = this->self_evaluates;
  audience.reads_orders = this->reads_orders;
  for (const FrameSocket* caller : this->callers)
    ++(caller->status_reader.in_own_data_center ? audience.near_callers
                                                : audience.far_callers);
  return audience;
}

Status Links::StatusFrame(std::uint8_t parts, bool evaluator) const {
  Status frame{parts, this->status};
  GateStatus& sent = frame.status;
  if (!evaluator)
    sent.trial_statuses = sent.trial_summaries;
  sent.suspects.insert(sent.suspects.end(), sent.relayed_suspects.begin(),
                       sent.relayed_suspects.end());
  return frame;
}

void Links::SendDueStatus() {
  const TimePoint now = SteadyNow();
  const StatusAudience audience = this->Audience();
  // Callers that get the same parts share the encoded frame.
  std::map<std::pair<TopicSet, bool>, std::pair<FrameKind, std::string>> frames;
  for (FrameSocket* caller : this->callers) {
    StatusReader& reader = caller->status_reader;
    const TopicSet due = TopicsDue(this->status_feed, reader, audience, now);
    if (due == 0)
      continue;
    for (std::size_t i = 0; i < kStatusTopics; ++i) {
      const auto topic = static_cast<StatusTopic>(i);
      this->topics_sent.Add(topic, (due & BitOf(topic)) != 0 ? 1 : 0);
    }
    if ((due & kLoadTopics) != 0)
      this->SendSpeedIfChanged(*caller, now);
    const bool evaluator = reader.evaluates_moves;
    MarkSent(this->status_feed, reader, TopicsCarried(due, evaluator), now);
    const auto [found, added] = frames.try_emplace({due, evaluator});
    auto& [kind, bytes] = found->second;
    if (added) {
      const LinkFrame frame =
          (due & ~kLoadTopics) == 0
              ? LinkFrame(LoadOf(this->status))
              : LinkFrame(this->StatusFrame(PartsOf(due), evaluator));
      kind = KindOf(frame);
      bytes = EncodeLinkFrame(frame);
    }
    caller->SendEncoded(kind, bytes);
  }
}

void Links::SendSpeedIfChanged(FrameSocket& caller, TimePoint now) {
  const SpeedFactor speed = this->handlers.own_speed();
  if (!NeedsReport(caller.told_speed, speed, now))
    return;
  const std::uint32_t percent = PercentAt(speed, now);
  caller.Send(SpeedFrame{percent});
  HearSpeed(caller.told_speed, percent, now);
}

bool Links::Run(const std::string& node, const RunFrame& frame) {
  Peer* peer = this->Find(node);
  if (peer == nullptr || !peer->connected)
    return false;
  ++peer->in_flight;
  ++peer->sent_since_status;
  peer->socket->Send(frame);
  this->SendPing(*peer);
  return true;
}

// A run may take long, so a missing result does not show that the link failed;
// a missing response to a ping does.
void Links::SendPing(Peer& peer) {
  if (peer.socket->times.response_due_since != TimePoint{})
    return;
  peer.socket->times.response_due_since = SteadyNow();
  peer.socket->Send(PingFrame{peer.next_ping_sequence++});
}

void Links::Cancel(const std::string& node, std::uint64_t call) {
  Peer* peer = this->Find(node);
  if (peer == nullptr || !peer->connected)
    return;
  // No result is sent for a cancelled call.
  if (peer->in_flight > 0)
    --peer->in_flight;
  peer->socket->Send(CancelFrame{call});
}

void Links::RequestConfig(const std::string& node, std::uint64_t digest) {
  Peer* peer = this->Find(node);
  if (peer == nullptr || !peer->connected)
    return;
  peer->socket->Send(ConfigRequest{digest});
  peer->config_request_sequence = peer->next_ping_sequence++;
  peer->socket->Send(PingFrame{peer->config_request_sequence});
  if (TimePoint& due_since = peer->socket->times.response_due_since;
      due_since == TimePoint{})
    due_since = SteadyNow();
}

bool Links::RequestTokens(const std::string& node,
                          const TokenRequest& request) {
  Peer* peer = this->Find(node);
  if (peer == nullptr || !peer->connected)
    return false;
  peer->socket->Send(request);
  // The answer comes at once, so its absence shows that the link failed.
  if (TimePoint& due_since = peer->socket->times.response_due_since;
      due_since == TimePoint{})
    due_since = SteadyNow();
  return true;
}

void Links::SendToCallers(const LinkFrame& frame) {
  const std::string bytes = EncodeLinkFrame(frame);
  for (FrameSocket* caller : this->callers)
    caller->SendEncoded(KindOf(frame), bytes);
}

void Links::SendToCaller(const std::string& node, const LinkFrame& frame) {
  for (FrameSocket* caller : this->callers) {
    if (caller->node == node)
      caller->Send(frame);
  }
}

void Links::SendResult(FrameSocket* to, const ResultFrame& result) {
  if (!this->callers.contains(to))
    return;
  this->SendSpeedIfChanged(*to, SteadyNow());
  to->Send(result);
}

// In the order of `peers`.
std::vector<Duration> Links::PingDelays(TimePoint now) const {
  std::set<std::string_view> suspected;
  std::size_t near_links = 0;
  for (const auto& [name, peer] : this->peers) {
    near_links += peer.data_center == this->self.data_center ? 1 : 0;
    if (peer.connected && IsLinkUnresponsive(peer, now))
      suspected.insert(peer.data_center);
  }
  std::vector<Duration> delays;
  delays.reserve(this->peers.size());
  for (const auto& [name, peer] : this->peers) {
    LinkUse use;
    use.similar_links = peer.data_center == this->self.data_center
                            ? near_links
                            : this->peers.size() - near_links;
    use.has_requests_in_flight = peer.in_flight > 0;
    use.data_center_suspected = suspected.contains(peer.data_center);
    delays.push_back(PingAfter(use));
  }
  return delays;
}

void Links::CheckTimeouts() {
  const TimePoint now = SteadyNow();
  const std::vector<Duration> ping_delays = this->PingDelays(now);
  auto ping_after = ping_delays.begin();
  std::vector<SocketPtr> timed_out;
  for (auto& [name, peer] : this->peers) {
    const Duration delay = *ping_after++;
    if (peer.socket == nullptr)
      continue;
    const LinkAction action =
        CheckOpened(peer.socket->times, peer.connected, now, delay);
    if (action == LinkAction::kClose)
      timed_out.emplace_back(peer.socket);
    else if (action == LinkAction::kPing)
      this->SendPing(peer);
  }
  for (FrameSocket* caller : this->callers) {
    if (CheckAccepted(caller->times, now) == LinkAction::kClose)
      timed_out.emplace_back(caller);
  }
  for (const SocketPtr& socket : timed_out) {
    this->counters.Add(LinkEvent::kTimedOut);
    socket->Close();
    this->OnClosed(socket.get(), LinkEndReason::kTimedOut);
  }
}

void Links::Tick() {
  this->tick.expires_after(kTickInterval);
  this->tick.async_wait([this](boost::system::error_code error) {
    if (error)
      return;
    this->SendDueStatus();
    this->CheckTimeouts();
    this->Tick();
  });
}

}  // namespace teaselspread
