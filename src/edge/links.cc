#include "edge/links.h"

#include <algorithm>
#include <array>
#include <random>
#include <utility>
#include <vector>

#include <boost/smart_ptr/intrusive_ptr.hpp>

#include "base/clock.h"
#include "edge/endpoint.h"
#include "edge/frame_socket.h"
#include "edge/link_health.h"
#include "http/response_head.h"
#include "teaselspread/logging.h"
#include "teaselspread/settings.h"

namespace teaselspread {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using SocketPtr = boost::intrusive_ptr<FrameSocket>;

constexpr std::chrono::milliseconds kTickInterval{100};
constexpr std::array<std::string_view,
                     static_cast<std::size_t>(LinkEvent::kCount)>
    kNames = {"opened",          "accepted",   "connect-failed", "lost",
              "silent",          "responded",  "replaced",       "other-node",
              "frames-received", "bytes-sent", "bytes-received"};

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

void LogNoMemory(std::string_view event,
                 const std::string& node,
                 std::uint64_t call,
                 const MemoryAccount& memory) {
  Log(LogLevel::kWarning, "links", event,
      {{"node", node},
       {"call", call},
       {"reason", NameOf(ErrorKind::kMemoryBudget)},
       {"held_bytes", memory.Used()}});
}

}  // namespace

std::string_view NameOf(LinkEvent event) {
  return kNames.at(static_cast<std::size_t>(event));
}

std::string_view NameOf(LinkEndReason end) {
  static constexpr std::array<std::string_view, 5> kEndNames = {
      "closed", "silent", "moved", "drained", "not-needed"};
  return kEndNames.at(static_cast<std::size_t>(end));
}

Links::Links(asio::io_context& io, LinkHandlers on)
    : loop(io),
      handlers(std::move(on)),
      acceptor(io),
      tick(io),
      accept_retry(io),
      rng(std::random_device{}()) {}

Links::~Links() {
  *this->alive = false;
  std::set<FrameSocket*> all = this->callers;
  all.merge(this->replaced);
  for (const auto& [name, peer] : this->peers)
    all.insert({peer.socket, peer.attempt});
  all.erase(nullptr);
  for (FrameSocket* socket : all) {
    socket->Close();
    intrusive_ptr_release(socket);
  }
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
  on.on_run_skipped = [this, lives](FrameSocket* from, std::uint64_t call) {
    IfAlive(lives, [&] { this->RefuseForMemory(from, call); });
  };
  on.on_result_skipped = [this, lives](FrameSocket* from, std::uint64_t call) {
    IfAlive(lives, [&] { this->FailForMemory(from, call); });
  };
  on.memory = this->memory;
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
  on.on_received = [this, lives](FrameSocket* from, std::size_t bytes) {
    IfAlive(lives, [&] {
      this->counters.Add(LinkEvent::kBytesReceived, bytes);
      this->OnReceived(from);
    });
  };
  return on;
}

Peer* Links::Find(const std::string& node) {
  const auto found = this->peers.find(node);
  return found == this->peers.end() ? nullptr : &found->second;
}

void Links::OnFrame(FrameSocket* from, LinkFrame frame) {
  this->counters.Add(LinkEvent::kFramesReceived);
  if (from->is_initiator)
    this->HandleServerFrame(from, std::move(frame));
  else
    this->HandleCallerFrame(from, std::move(frame));
}

// On a connection that another one has replaced, only results are of use.
void Links::HandleServerFrame(FrameSocket* from, LinkFrame frame) {
  Peer* peer = this->Find(from->node);
  if (peer == nullptr)
    return;
  if (const auto* hello = std::get_if<Hello>(&frame)) {
    if (from == peer->attempt)
      this->HandleAcceptorHello(peer->node, *hello);
    return;
  }
  if (from == peer->attempt && std::holds_alternative<Status>(frame))
    this->UseAttempt(*peer);
  if (auto* result = std::get_if<ResultFrame>(&frame)) {
    this->HandleResult(*peer, from, std::move(*result));
    return;
  }
  if (from != peer->socket)
    return;
  const std::string name = peer->node;
  if (auto* status_frame = std::get_if<Status>(&frame)) {
    this->HandleStatus(*peer, std::move(*status_frame));
  } else if (const auto* load = std::get_if<LoadFrame>(&frame)) {
    ApplyLoad(*peer, *load);
  } else if (const auto* speed = std::get_if<SpeedFrame>(&frame)) {
    HearSpeed(peer->speed, speed->percent, SteadyNow());
  } else if (auto* config = std::get_if<ConfigFrame>(&frame)) {
    this->handlers.on_config(name, std::move(*config));
  } else if (std::holds_alternative<ConfigBusy>(frame)) {
    this->handlers.on_config_busy(name);
  } else if (const auto* pong = std::get_if<PongFrame>(&frame)) {
    if (pong->sequence == kStoppingPong)
      peer->stopping_since = SteadyNow();
    else if (pong->sequence == peer->config_request_sequence)
      this->handlers.on_config_busy(name);
  } else if (const auto* grant = std::get_if<TokenGrantFrame>(&frame)) {
    this->handlers.on_token_grant(name, *grant);
  } else if (std::holds_alternative<LeavingFrame>(frame)) {
    this->handlers.on_node_leaving(name);
  }
}

void Links::HandleStatus(Peer& peer, Status frame) {
  const bool has_load = Has(frame, StatusPart::kLoad);
  const std::uint8_t parts = frame.parts;
  const GateStatus before = peer.status;
  ApplyStatus(peer.status, std::move(frame));
  const bool changed = !peer.connected || UpstreamChanged(before, peer.status);
  if (IsAnotherProcess(before, peer.status))
    peer.speed = {};
  peer.connected = true;
  Reset(peer.backoff);
  peer.sent_since_status = has_load ? 0 : peer.sent_since_status;
  peer.status_received_at = SteadyNow();
  this->handlers.on_status(std::string(peer.node), changed, parts);
}

void Links::HandleResult(Peer& peer, FrameSocket* from, ResultFrame result) {
  const std::string name = peer.node;
  this->EndCall(peer, *from, result.call_id);
  if (from == peer.socket)
    ApplyLoad(peer, result.load);
  // A gate of another release may pass on what this one would not.
  if (result.has_response &&
      !IsFinalStatus(static_cast<unsigned>(result.response.status))) {
    result.has_response = false;
    result.error = ErrorKind::kWrongResponse;
    result.execution = Execution::kUnknown;
  }
  this->handlers.on_result(name, std::move(result));
}

void Links::EndCall(Peer& peer, FrameSocket& socket, std::uint64_t call) {
  if (socket.calls.erase(call) > 0 && peer.in_flight > 0)
    --peer.in_flight;
}

FrameSocket* Links::SocketOf(const Peer& peer, std::uint64_t call) const {
  if (peer.socket != nullptr && peer.socket->calls.contains(call))
    return peer.socket;
  const auto found = std::find_if(
      this->replaced.begin(), this->replaced.end(), [&](FrameSocket* socket) {
        return socket->node == peer.node && socket->calls.contains(call);
      });
  return found == this->replaced.end() ? nullptr : *found;
}

void Links::HandleCallerFrame(FrameSocket* from, LinkFrame frame) {
  if (auto* run = std::get_if<RunFrame>(&frame)) {
    from->status_reader.last_request_at = SteadyNow();
    if (!this->HoldBody(*run)) {
      this->RefuseForMemory(from, run->call_id);
      return;
    }
    from->calls.insert(run->call_id);
    this->handlers.on_run(from, std::move(*run));
  } else if (const auto* cancel = std::get_if<CancelFrame>(&frame)) {
    from->calls.erase(cancel->call_id);
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

bool Links::HoldBody(RunFrame& run) {
  if (run.request.body.empty())
    return true;
  MemoryHold body_memory(this->memory);
  if (!body_memory.GrowTo(run.request.body.size()))
    return false;
  run.body = MakeRequestBody(std::exchange(run.request.body, {}),
                             std::move(body_memory));
  return true;
}

void Links::RefuseForMemory(FrameSocket* to, std::uint64_t call) {
  LogNoMemory("run-refused", to->node, call, *this->memory);
  ResultFrame result;
  result.call_id = call;
  result.error = ErrorKind::kMemoryBudget;
  result.execution = Execution::kNotRun;
  result.retry_after_ms = static_cast<std::uint32_t>(
      kMemoryRetryAfter / std::chrono::milliseconds(1));
  result.load = LoadOf(this->status);
  to->Send(result);
}

void Links::FailForMemory(FrameSocket* from, std::uint64_t call) {
  LogNoMemory("result-dropped", from->node, call, *this->memory);
  Peer* peer = this->Find(from->node);
  if (peer == nullptr)
    return;
  ResultFrame failed;
  failed.call_id = call;
  failed.error = ErrorKind::kTruncated;
  failed.execution = Execution::kUnknown;
  failed.load = LoadOf(peer->status);
  this->HandleResult(*peer, from, std::move(failed));
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
  peer->socket->calls.insert(frame.call_id);
  peer->socket->SendRun(frame);
  if (peer->socket->times.response_due_since == TimePoint{})
    this->SendPing(*peer, *peer->socket);
  return true;
}

void Links::Cancel(const std::string& node, std::uint64_t call) {
  Peer* peer = this->Find(node);
  FrameSocket* socket = peer == nullptr ? nullptr : this->SocketOf(*peer, call);
  if (socket == nullptr)
    return;
  // No result is sent for a cancelled call.
  this->EndCall(*peer, *socket, call);
  socket->Send(CancelFrame{call});
}

void Links::RequestConfig(const std::string& node, std::uint64_t digest) {
  Peer* peer = this->Find(node);
  if (peer == nullptr || !peer->connected)
    return;
  peer->socket->Send(ConfigRequest{digest});
  peer->config_request_sequence = peer->next_ping_sequence;
  this->SendPing(*peer, *peer->socket);
}

bool Links::RequestTokens(const std::string& node,
                          const TokenRequest& request) {
  Peer* peer = this->Find(node);
  if (peer == nullptr || !peer->connected)
    return false;
  peer->socket->Send(request);
  // The answer comes at once, so its absence shows that the link failed.
  MarkResponseDue(peer->socket->times, SteadyNow());
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
  to->calls.erase(result.call_id);
  to->Send(result);
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
