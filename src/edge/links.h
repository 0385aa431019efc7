// Links between nodes: this node calls the gates of others over the links that
// it opens, and serves the calls of nodes that open a link to it.
//
// The accepting side sends its status at once, and later each part of it when
// it is due at the caller (status_feed.h); callers know of a leaving gate after
// one network trip.
//
// Everything here must be used on the thread that runs the loop.
#ifndef TEASELSPREAD_SRC_EDGE_LINKS_H_
#define TEASELSPREAD_SRC_EDGE_LINKS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>

#include "edge/frames.h"
#include "edge/link_health.h"
#include "edge/status_feed.h"
#include "teaselspread/backoff.h"
#include "teaselspread/counters.h"
#include "teaselspread/error.h"
#include "teaselspread/types.h"
#include "teaselspread/upstream_speed.h"

namespace teaselspread {

enum class LinkEvent : std::uint8_t {
  kOpened,
  kAccepted,
  kConnectFailed,
  kLost,
  kTimedOut,
  // A silent link responded, or was replaced by another connection.
  kResponded,
  kReplaced,
  // Another node than the wanted one answered.
  kOtherNode,
  kFramesReceived,
  kBytesSent,
  kBytesReceived,
  kCount,
};

// Stable name of a counter. Thread safe.
[[nodiscard]] std::string_view NameOf(LinkEvent event);

// Why a link ended.
enum class LinkEndReason : std::uint8_t {
  // The other end closed or reset it, or the connection failed.
  kClosed,
  // Nothing was received within the time-out.
  kTimedOut,
  // The node now accepts links on another address.
  kAddressChanged,
  // The node stops, and no call was in flight.
  kDrained,
  // The link that it was to replace responds again.
  kNotNeeded,
};

// Stable name for logs. Thread safe.
[[nodiscard]] std::string_view NameOf(LinkEndReason end);

class FrameSocket;
struct FrameSocketHandlers;

// Where the name and address of a node come from.
enum class NodeSource : std::uint8_t {
  // The node itself, over a connection.
  kHello,
  // The store, or a list that another node sent. It may be out of date.
  kRecord,
};

// State that this node keeps of another one.
struct Peer {
  std::string node;
  std::string data_center;
  Address link;
  std::uint32_t line_mbit = 0;
  // The link that this node opened; null while there is none.
  FrameSocket* socket = nullptr;
  // A connection that becomes the link when its first status arrives; null if
  // there is none.
  FrameSocket* attempt = nullptr;
  // There is a link, and it is not silent.
  bool connected = false;
  // When bytes were last received on a link that has fallen silent.
  TimePoint silent_since;
  // When the node said that it stops; the epoch if it did not.
  TimePoint stopping_since;
  GateStatus status;
  TimePoint status_received_at;
  // Speed of its upstream's process, as it was told over this link.
  SpeedFactor speed;
  // Requests of this node that are in flight there.
  std::uint32_t in_flight = 0;
  // Requests sent after `status` was received, which it does not count yet.
  std::uint32_t sent_since_status = 0;
  Backoff backoff;
  std::uint32_t next_ping_sequence = 1;
  // Sequence number of the ping sent after the last configuration request. A
  // link keeps the order, so the response to that request comes before the
  // response to this ping or not at all.
  std::uint32_t config_request_sequence = 0;
};

using CallIds = std::vector<std::uint64_t>;

struct LinkHandlers {
  // A request for the own gate; respond with SendResult on the same socket.
  std::function<void(FrameSocket*, RunFrame)> on_run;
  std::function<void(FrameSocket*, std::uint64_t call)> on_cancel;
  // The socket of a caller closed; it may have requests in flight here.
  std::function<void(FrameSocket*)> on_caller_disconnected;
  std::function<void(const std::string& node, ResultFrame)> on_result;
  // The link to `node` closed or fell silent. Calls that are in flight may
  // still get their results.
  std::function<void(const std::string& node)> on_link_lost;
  // These calls to `node` will get no result.
  std::function<void(const std::string& node, const CallIds& calls)>
      on_calls_lost = [](const std::string&, const CallIds&) {};
  // The link of these calls to `node` is silent. Called repeatedly while it is.
  std::function<void(const std::string& node, const CallIds& calls)>
      on_calls_silent = [](const std::string&, const CallIds&) {};
  // `upstream_changed`: the link came up or responds again, or the upstream's
  // state, identity or slots changed. `parts`: bits of StatusPart that were
  // received.
  std::function<
      void(const std::string& node, bool upstream_changed, std::uint8_t parts)>
      on_status;
  // The address of `node` is now that of another one, which said so. All
  // connections to `node` are closed.
  std::function<void(const std::string& node, const Hello& by)>
      on_node_replaced = [](const std::string&, const Hello&) {};
  // Another node opened a link and sent its Hello.
  std::function<void(const Hello&)> on_hello;
  // Returns the response for a node that holds the record with this digest.
  std::function<LinkFrame(const std::string& node, std::uint64_t digest)>
      on_config_request;
  // The node sends no configuration now, or has sent one before this.
  std::function<void(const std::string& node)> on_config_busy;
  std::function<void(const std::string& node, ConfigFrame)> on_config;
  // Speed of the own upstream, of which callers are told.
  std::function<SpeedFactor()> own_speed = [] { return SpeedFactor{}; };
  // Returns the answer, which is sent on the socket of the request.
  std::function<TokenGrantFrame(const std::string& node, const TokenRequest&)>
      on_token_request;
  std::function<void(const std::string& node, const TokenGrantFrame&)>
      on_token_grant;
  // The node begins a planned stop.
  std::function<void(const std::string& node)> on_node_leaving =
      [](const std::string&) {};
};

// Not thread safe.
class Links {
 public:
  Links(boost::asio::io_context& io, LinkHandlers on);
  Links(const Links&) = delete;
  Links& operator=(const Links&) = delete;
  ~Links();

  // Errors: kSettings when the address cannot be bound.
  [[nodiscard]] Result<Address> Listen(const Address& address);

  // The node stops: no new connection is accepted, and callers close theirs
  // once they have the results of their calls.
  void BeginStop();

  // Connections that other nodes opened.
  [[nodiscard]] std::size_t CountCallers() const {
    return this->callers.size();
  }

  // Keeps a link open to this node; a new address replaces the old one. A
  // record is ignored if a connection has shown that it is out of date.
  void Add(const Hello& node, NodeSource source);
  // Closes all connections to the node and removes it.
  void Remove(const std::string& node);

  // Sends what changed to the callers, each part when it is due there
  // (status_feed.h).
  void SetStatus(const GateStatus& status);

  // Whether this node reads the operators' stream; it then tells other data
  // centres of new versions sooner.
  void SetReadsOrders(bool reads);

  // Nodes that evaluate moves, as this node selects them; `self_evaluates` if
  // it is one of them.
  void SetMoveEvaluators(std::set<std::string, std::less<>> nodes,
                         bool self_evaluates);

  // False when there is no link to the node. Precondition: `frame.call_id` is
  // not in flight.
  bool Run(const std::string& node, const RunFrame& frame);
  void Cancel(const std::string& node, std::uint64_t call);
  // `digest`: of the configuration that is held; 0 requests a full copy.
  void RequestConfig(const std::string& node, std::uint64_t digest);
  // False when there is no link to the node.
  bool RequestTokens(const std::string& node, const TokenRequest& request);
  // Sends to all nodes that have a link to this one, or to one of them.
  void SendToCallers(const LinkFrame& frame);
  void SendToCaller(const std::string& node, const LinkFrame& frame);
  // Sends to a caller that sent RunFrame; does nothing if it has disconnected.
  void SendResult(FrameSocket* to, const ResultFrame& result);

  [[nodiscard]] const std::map<std::string, Peer>& Peers() const {
    return this->peers;
  }
  // Whether there is no link to the peer, or it has not responded for
  // kUnresponsiveAfter.
  [[nodiscard]] static bool IsLinkUnresponsive(const Peer& peer, TimePoint now);
  [[nodiscard]] Peer* Find(const std::string& node);

  Hello self;
  // Counts the bodies of runs that other nodes send; null for no bound. Set it
  // before Listen. It must outlive the loop's handlers.
  MemoryAccount* memory = nullptr;
  CounterTable<LinkEvent> counters;
  // Bytes and frames sent, by kind of frame, to nodes of the own data centre
  // and to those of other data centres.
  CounterTable<FrameKind> sent_near;
  CounterTable<FrameKind> sent_far;
  CounterTable<FrameKind> frames_near;
  CounterTable<FrameKind> frames_far;
  // How often each topic of the status was due at a caller.
  CounterTable<StatusTopic> topics_sent;

 private:
  friend class FrameSocket;

  struct DueAction {
    boost::intrusive_ptr<FrameSocket> socket;
    LinkAction action;
  };

  void Accept();
  void AcceptLater();
  void Tick();
  void Connect(Peer& peer);
  // Opens a connection to a node that has no responsive link.
  void ConnectIfNeeded(const std::string& node);
  void Retry(const std::string& node);
  void OnFrame(FrameSocket* from, LinkFrame frame);
  void OnReceived(FrameSocket* from);
  void OnClosed(FrameSocket* socket, LinkEndReason end);
  void OnAttemptClosed(Peer& peer);
  void OnLinkClosed(Peer& peer, FrameSocket& socket, LinkEndReason end);
  // Its calls will get no result.
  void LoseCalls(FrameSocket& socket);
  void CloseSocket(FrameSocket* socket, LinkEndReason end);
  [[nodiscard]] FrameSocketHandlers SocketHandlers();
  void HandleServerFrame(FrameSocket* from, LinkFrame frame);
  // The node that accepted a connection says which one it is.
  void HandleAcceptorHello(const std::string& wanted, const Hello& hello);
  // Another node has the address of `node`.
  void Replace(const std::string& node, const Hello& by);
  [[nodiscard]] bool IsOutdated(const Hello& record) const;
  void HandleResult(Peer& peer, FrameSocket* from, ResultFrame result);
  void HandleStatus(Peer& peer, Status frame);
  // The first status has arrived on the attempt.
  void UseAttempt(Peer& peer);
  void MarkSilent(Peer& peer);
  void OnLinkResponds(Peer& peer);
  void EndCall(Peer& peer, FrameSocket& socket, std::uint64_t call);
  // The connection on which the result of the call is due; null if there is
  // none.
  [[nodiscard]] FrameSocket* SocketOf(const Peer& peer,
                                      std::uint64_t call) const;
  void HandleCallerFrame(FrameSocket* from, LinkFrame frame);
  // Takes memory for the run's body, unless it is counted already; false if
  // there is none.
  [[nodiscard]] bool HoldBody(RunFrame& run);
  void RefuseForMemory(FrameSocket* to, std::uint64_t call);
  // Ends the call, whose result has been dropped for lack of memory.
  void FailForMemory(FrameSocket* from, std::uint64_t call);
  // Closes the oldest of too many connections whose other ends have not said
  // which nodes they are.
  void LimitUnknownCallers();
  void SendDueStatus();
  // To be called before a result or a load is sent to `caller`.
  void SendSpeedIfChanged(FrameSocket& caller, TimePoint now);
  [[nodiscard]] StatusAudience Audience() const;
  // The status for a caller that evaluates moves, or for another one.
  [[nodiscard]] Status StatusFrame(std::uint8_t parts, bool evaluator) const;
  void CheckTimeouts();
  [[nodiscard]] std::vector<DueAction> DueActions(TimePoint now) const;
  void Perform(LinkAction action, FrameSocket* socket);
  // Closes links to nodes that stop, if no call is in flight on them.
  void CloseDrained(TimePoint now);
  void ReportSilentCalls();
  [[nodiscard]] std::vector<Duration> PingDelays(TimePoint now) const;
  void SendPing(Peer& peer, FrameSocket& socket);

  boost::asio::io_context& loop;
  LinkHandlers handlers;
  boost::asio::ip::tcp::acceptor acceptor;
  boost::asio::steady_timer tick;
  boost::asio::steady_timer accept_retry;
  std::map<std::string, Peer> peers;
  // Nodes that have been replaced at these addresses.
  std::map<std::string, Address> replaced_nodes;
  std::set<FrameSocket*> callers;
  // Silent connections that another one has replaced, until no call is in
  // flight on them.
  std::set<FrameSocket*> replaced;
  GateStatus status;
  StatusFeed status_feed;
  std::set<std::string, std::less<>> move_evaluators;
  bool self_evaluates = false;
  bool reads_orders = false;
  Rng rng;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace teaselspread

#endif  // TEASELSPREAD_SRC_EDGE_LINKS_H_
