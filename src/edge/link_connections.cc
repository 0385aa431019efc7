// How links come up, fall silent, are replaced and end.
#include "edge/links.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

#include <boost/smart_ptr/intrusive_ptr.hpp>

#include "base/clock.h"
#include "edge/endpoint.h"
#include "edge/frame_socket.h"
#include "edge/link_health.h"
#include "teaselspread/logging.h"

namespace teaselspread {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using SocketPtr = boost::intrusive_ptr<FrameSocket>;

// Initial and maximum delay between attempts to connect to a node.
constexpr Duration kMinRetryDelay = std::chrono::milliseconds(100);
constexpr Duration kMaxRetryDelay = std::chrono::seconds(1);
// A connection attempt that is still pending after this long may have been sent
// to a VM without power. It gets no response, or one only a second after the VM
// is back.
constexpr Duration kStaleAttemptAfter = std::chrono::milliseconds(100);
// Connections whose other ends have not said which nodes they are. After a
// start all nodes of a large fleet may connect before the first Hello is read.
constexpr std::size_t kMaxUnknownCallers = 1024;
constexpr std::int64_t kMicrosPerMilli = 1000;

std::int64_t MillisSince(TimePoint then) {
  return (SteadyNow() - then).count() / kMicrosPerMilli;
}

CallIds CallsOf(const FrameSocket& socket) {
  return {socket.calls.begin(), socket.calls.end()};
}

}  // namespace

Result<Address> Links::Listen(const Address& address) {
  auto bound = ListenOn(this->acceptor, address);
  if (!bound)
    return bound;
  this->self.link = *bound;
  this->Accept();
  this->Tick();
  return bound;
}

void Links::BeginStop() {
  boost::system::error_code ignored;  // it may be closed already
  this->accept_retry.cancel();
  this->acceptor.close(ignored);
  this->SendToCallers(PongFrame{kStoppingPong});
}

void Links::Accept() {
  this->acceptor.async_accept([this, lives = this->alive](
                                  boost::system::error_code error,
                                  tcp::socket socket) {
    if (!*lives || error == asio::error::operation_aborted)
      return;
    if (error) {
      this->AcceptLater();
      return;
    }
    auto* caller = new FrameSocket(std::move(socket), this->SocketHandlers());
    intrusive_ptr_add_ref(caller);
    this->callers.insert(caller);
    this->counters.Add(LinkEvent::kAccepted);
    caller->Start();
    caller->Send(this->self);
    caller->Send(this->StatusFrame(kAllStatusParts, false));
    MarkSent(this->status_feed, caller->status_reader,
             TopicsCarried(kAllTopics, false), SteadyNow());
    this->LimitUnknownCallers();
    this->Accept();
  });
}

void Links::AcceptLater() {
  this->accept_retry.expires_after(kAcceptRetry);
  this->accept_retry.async_wait(
      [this, lives = this->alive](boost::system::error_code error) {
        if (*lives && !error)
          this->Accept();
      });
}

void Links::LimitUnknownCallers() {
  FrameSocket* oldest = nullptr;
  std::size_t unknown = 0;
  for (FrameSocket* caller : this->callers) {
    if (!caller->node.empty())
      continue;
    ++unknown;
    if (oldest == nullptr || caller->opened_at < oldest->opened_at)
      oldest = caller;
  }
  if (unknown > kMaxUnknownCallers)
    this->CloseSocket(oldest, LinkEndReason::kNotNeeded);
}

void Links::Add(const Hello& node, NodeSource source) {
  if (node.node == this->self.node)
    return;
  if (source == NodeSource::kRecord && this->IsOutdated(node))
    return;
  // The address comes from another process. If it is no IP number it has no
  // endpoint, and every attempt to connect would fail.
  if (const auto endpoint = TcpEndpointOf(node.link); !endpoint) {
    Log(LogLevel::kWarning, "links", "node-refused",
        {{"node", node.node}, {"message", endpoint.error().message}});
    return;
  }
  this->replaced_nodes.erase(node.node);
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
  if (address_changed) {
    for (FrameSocket* old : {peer.attempt, peer.socket}) {
      if (old != nullptr)
        this->CloseSocket(old, LinkEndReason::kAddressChanged);
    }
  }
  // The node may have just come back. Requests for it are refused until this
  // end has a link to it, so the backoff ends here, and an attempt that may
  // have been sent while the node was down is replaced. An attempt that the
  // node has accepted is kept: it only lacks the first status.
  if (peer.attempt != nullptr && !peer.attempt->Connected() &&
      SteadyNow() - peer.attempt->times.response_due_since >
          kStaleAttemptAfter) {
    peer.attempt->Close();
    intrusive_ptr_release(std::exchange(peer.attempt, nullptr));
  }
  if (!peer.connected && peer.attempt == nullptr) {
    Reset(peer.backoff);
    this->Connect(peer);
  }
}

void Links::Remove(const std::string& node) {
  const auto found = this->peers.find(node);
  if (found == this->peers.end())
    return;
  std::set<FrameSocket*> open{found->second.socket, found->second.attempt};
  for (FrameSocket* socket : this->replaced) {
    if (socket->node == node)
      open.insert(socket);
  }
  open.erase(nullptr);
  if (std::exchange(found->second.connected, false))
    this->handlers.on_link_lost(node);
  this->peers.erase(node);
  for (FrameSocket* socket : open) {
    const SocketPtr keep(socket);
    this->replaced.erase(socket);
    intrusive_ptr_release(socket);
    socket->Close();
    this->LoseCalls(*socket);
  }
}

bool Links::IsOutdated(const Hello& record) const {
  if (const auto known = this->peers.find(record.node);
      known != this->peers.end())
    return known->second.connected && known->second.link != record.link;
  const auto replaced = this->replaced_nodes.find(record.node);
  return replaced != this->replaced_nodes.end() &&
         replaced->second == record.link;
}

// An address belongs to one node, the one that answers there. Without this, a
// node that is gone would count as connected as soon as another one had its
// address.
void Links::HandleAcceptorHello(const std::string& wanted, const Hello& hello) {
  Peer& peer = this->peers.at(wanted);
  if (hello.node == wanted) {
    peer.data_center = hello.data_center;
    peer.line_mbit = hello.line_mbit;
  }
  std::vector<std::string> replaced_here;
  for (const auto& [name, other] : this->peers) {
    if (name != hello.node && other.link == peer.link)
      replaced_here.push_back(name);
  }
  for (const std::string& name : replaced_here)
    this->Replace(name, hello);
}

void Links::Replace(const std::string& node, const Hello& by) {
  const Address address = this->peers.at(node).link;
  this->counters.Add(LinkEvent::kOtherNode);
  Log(LogLevel::kWarning, "links", "node-replaced",
      {{"node", node}, {"by", by.node}, {"address", ToString(address)}});
  this->replaced_nodes[node] = address;
  this->Remove(node);
  this->handlers.on_node_replaced(node, by);
}

void Links::Connect(Peer& peer) {
  auto* socket =
      new FrameSocket(tcp::socket(this->loop), this->SocketHandlers());
  intrusive_ptr_add_ref(socket);
  socket->node = peer.node;
  socket->is_initiator = true;
  socket->in_other_data_center = peer.data_center != this->self.data_center;
  socket->times.response_due_since = SteadyNow();
  peer.attempt = socket;
  socket->Connect(*TcpEndpointOf(peer.link),
                  [this, lives = this->alive, socket] {
                    if (!*lives)
                      return;
                    this->counters.Add(LinkEvent::kOpened);
                    socket->Send(this->self);
                    socket->Start();
                    socket->times.response_due_since = SteadyNow();
                  });
}

void Links::ConnectIfNeeded(const std::string& node) {
  Peer* peer = this->Find(node);
  if (peer != nullptr && peer->attempt == nullptr && !peer->connected)
    this->Connect(*peer);
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
    if (!error && *lives)
      this->ConnectIfNeeded(node);
  });
}

void Links::UseAttempt(Peer& peer) {
  FrameSocket* old = peer.socket;
  peer.socket = std::exchange(peer.attempt, nullptr);
  peer.stopping_since = TimePoint{};
  peer.speed = {};
  Log(LogLevel::kInfo, "links", "link-up", {{"node", peer.node}});
  if (old == nullptr)
    return;
  Log(LogLevel::kInfo, "links", "link-replaced",
      {{"node", peer.node},
       {"silent_ms", MillisSince(old->times.last_received)},
       {"calls", old->calls.size()}});
  this->counters.Add(LinkEvent::kReplaced);
  this->replaced.insert(old);
}

// Calls on the link go on: the other end may be sound, and their results queue
// on a full line.
void Links::MarkSilent(Peer& peer) {
  FrameSocket& socket = *peer.socket;
  peer.connected = false;
  peer.silent_since = socket.times.last_received;
  peer.sent_since_status = 0;
  this->counters.Add(LinkEvent::kTimedOut);
  Log(LogLevel::kWarning, "links", "link-silent",
      {{"node", peer.node},
       {"silent_ms", MillisSince(socket.times.last_received)},
       {"unsent", socket.UnsentBytes()},
       {"unacknowledged", socket.UnacknowledgedBytes()},
       {"calls", socket.calls.size()}});
  const std::string name = peer.node;
  this->handlers.on_link_lost(name);
  this->ConnectIfNeeded(name);
}

void Links::OnReceived(FrameSocket* from) {
  Peer* peer = from->is_initiator ? this->Find(from->node) : nullptr;
  if (peer != nullptr && peer->socket == from && !peer->connected)
    this->OnLinkResponds(*peer);
}

void Links::OnLinkResponds(Peer& peer) {
  peer.connected = true;
  this->counters.Add(LinkEvent::kResponded);
  Log(LogLevel::kInfo, "links", "link-responds",
      {{"node", peer.node},
       {"silent_ms", MillisSince(peer.silent_since)},
       {"calls", peer.socket->calls.size()}});
  if (peer.attempt != nullptr)
    this->CloseSocket(peer.attempt, LinkEndReason::kNotNeeded);
  Reset(peer.backoff);
  this->handlers.on_status(std::string(peer.node), true, kAllStatusParts);
}

void Links::CloseSocket(FrameSocket* socket, LinkEndReason end) {
  const SocketPtr keep(socket);
  socket->Close();
  this->OnClosed(socket, end);
}

void Links::OnClosed(FrameSocket* socket, LinkEndReason end) {
  const SocketPtr keep(socket);
  if (this->callers.erase(socket) > 0) {
    intrusive_ptr_release(socket);
    this->handlers.on_caller_disconnected(socket);
    return;
  }
  if (this->replaced.erase(socket) > 0) {
    intrusive_ptr_release(socket);
    this->LoseCalls(*socket);
    return;
  }
  Peer* peer = this->Find(socket->node);
  if (peer == nullptr)
    return;
  if (peer->attempt == socket)
    this->OnAttemptClosed(*peer);
  else if (peer->socket == socket)
    this->OnLinkClosed(*peer, *socket, end);
}

void Links::OnAttemptClosed(Peer& peer) {
  intrusive_ptr_release(std::exchange(peer.attempt, nullptr));
  if (peer.connected)
    return;
  this->counters.Add(LinkEvent::kConnectFailed);
  this->Retry(std::string(peer.node));
}

void Links::OnLinkClosed(Peer& peer, FrameSocket& socket, LinkEndReason end) {
  intrusive_ptr_release(std::exchange(peer.socket, nullptr));
  const bool was_connected = std::exchange(peer.connected, false);
  peer.sent_since_status = 0;
  peer.speed = {};
  this->counters.Add(LinkEvent::kLost);
  const std::string name = peer.node;
  Log(end == LinkEndReason::kDrained ? LogLevel::kInfo : LogLevel::kWarning,
      "links", "link-lost",
      {{"node", name},
       {"reason", NameOf(end)},
       {"unsent", socket.UnsentBytes()},
       {"calls", socket.calls.size()}});
  if (was_connected)
    this->handlers.on_link_lost(name);
  this->LoseCalls(socket);
  this->Retry(name);
}

void Links::LoseCalls(FrameSocket& socket) {
  const CallIds calls = CallsOf(socket);
  socket.calls.clear();
  if (Peer* peer = this->Find(socket.node); peer != nullptr) {
    const auto lost = static_cast<std::uint32_t>(calls.size());
    peer->in_flight -= std::min(peer->in_flight, lost);
  }
  if (!calls.empty())
    this->handlers.on_calls_lost(socket.node, calls);
}

bool Links::IsLinkUnresponsive(const Peer& peer, TimePoint now) {
  return !peer.connected || IsUnresponsive(peer.socket->times, now);
}

// A run may take long, so a missing result does not show that the link failed;
// a missing response to a ping does. One that is due already stays due.
void Links::SendPing(Peer& peer, FrameSocket& socket) {
  MarkResponseDue(socket.times, SteadyNow());
  socket.Send(PingFrame{peer.next_ping_sequence++});
}

// In the order of `peers`.
std::vector<Duration> Links::PingDelays(TimePoint now) const {
  std::set<std::string_view> suspected;
  std::size_t near_links = 0;
  for (const auto& [name, peer] : this->peers) {
    near_links += peer.data_center == this->self.data_center ? 1 : 0;
    if (peer.socket != nullptr && IsLinkUnresponsive(peer, now))
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

std::vector<Links::DueAction> Links::DueActions(TimePoint now) const {
  std::vector<DueAction> due;
  const auto check = [&](FrameSocket* socket, LinkState state,
                         Duration ping_after) {
    if (socket == nullptr)
      return;
    const LinkAction action = CheckOpened(
        socket->times, state, !socket->calls.empty(), now, ping_after);
    if (action != LinkAction::kNone)
      due.push_back({SocketPtr(socket), action});
  };
  const std::vector<Duration> ping_delays = this->PingDelays(now);
  auto ping_after = ping_delays.begin();
  for (const auto& [name, peer] : this->peers) {
    const Duration delay = *ping_after++;
    const LinkState state =
        peer.connected ? LinkState::kUp : LinkState::kSilent;
    check(peer.socket, state, delay);
    check(peer.attempt, LinkState::kConnecting, delay);
  }
  for (FrameSocket* socket : this->replaced)
    check(socket, LinkState::kReplaced, kPingAfter);
  for (FrameSocket* caller : this->callers) {
    const LinkAction action =
        CheckAccepted(caller->times, !caller->calls.empty(), now);
    if (action != LinkAction::kNone)
      due.push_back({SocketPtr(caller), action});
  }
  return due;
}

void Links::CheckTimeouts() {
  const TimePoint now = SteadyNow();
  // Actions call handlers, which may add and remove connections.
  for (const auto& [socket, action] : this->DueActions(now)) {
    if (!socket->Closed())
      this->Perform(action, socket.get());
  }
  this->CloseDrained(now);
  this->ReportSilentCalls();
}

void Links::Perform(LinkAction action, FrameSocket* socket) {
  switch (action) {
    case LinkAction::kNone:
      break;
    case LinkAction::kPing:
      this->SendPing(this->peers.at(socket->node), *socket);
      break;
    case LinkAction::kMarkSilent:
      this->MarkSilent(this->peers.at(socket->node));
      break;
    case LinkAction::kClose:
      this->CloseSocket(socket, LinkEndReason::kTimedOut);
      break;
  }
}

void Links::CloseDrained(TimePoint now) {
  std::vector<FrameSocket*> drained;
  for (const auto& [name, peer] : this->peers) {
    if (peer.connected &&
        IsDrained(peer.stopping_since, !peer.socket->calls.empty(), now))
      drained.push_back(peer.socket);
  }
  for (FrameSocket* socket : drained)
    this->CloseSocket(socket, LinkEndReason::kDrained);
}

void Links::ReportSilentCalls() {
  std::vector<SocketPtr> silent(this->replaced.begin(), this->replaced.end());
  for (const auto& [name, peer] : this->peers) {
    if (peer.socket != nullptr && !peer.connected)
      silent.emplace_back(peer.socket);
  }
  for (const SocketPtr& socket : silent) {
    if (!socket->Closed() && !socket->calls.empty())
      this->handlers.on_calls_silent(socket->node, CallsOf(*socket));
  }
}

}  // namespace teaselspread
