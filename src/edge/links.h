// Links between nodes: this node calls the gates of others over the links that
// it opens, and serves the calls of those that open one to it.
//
// A link is also how nodes learn of each other: each side tells its status at
// once and whenever it changes, so a gate that leaves is known within one way.
//
// Everything here belongs to the thread that runs the loop.
#ifndef TEASELSPREAD_SRC_EDGE_LINKS_H_
#define TEASELSPREAD_SRC_EDGE_LINKS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "edge/frames.h"
#include "teaselspread/backoff.h"
#include "teaselspread/counters.h"
#include "teaselspread/error.h"
#include "teaselspread/types.h"

namespace teaselspread {

enum class LinkEvent : std::uint8_t {
  kOpened,
  kAccepted,
  kConnectFailed,
  kLost,
  kSilent,
  kFramesReceived,
  kBytesSent,
  kBytesReceived,
  kCount,
};

// Stable name of a counter. Thread safe.
[[nodiscard]] std::string_view NameOf(LinkEvent event);

// Why a link ended.
enum class LinkEnd : std::uint8_t {
  // The other end closed or reset it, or the connection failed.
  kClosed,
  // A question had no answer in time.
  kSilent,
  // The node takes links elsewhere now.
  kMoved,
};

// Stable name for logs. Thread safe.
[[nodiscard]] std::string_view NameOf(LinkEnd end);

class FrameSocket;
struct FrameSocketHandlers;

// What this node knows of another one.
struct Peer {
  std::string node;
  std::string data_center;
  Address link;
  std::uint32_t line_mbit = 0;
  // The link that this node opened; null while there is none.
  FrameSocket* socket = nullptr;
  bool connected = false;
  GateStatus status;
  TimePoint status_at;
  // Requests of this node that are under way there.
  std::uint32_t in_flight = 0;
  // Those that were sent after `status` came, which it does not hold yet.
  std::uint32_t sent_since = 0;
  Backoff backoff;
  std::uint32_t next_sequence = 1;
  // The ping behind the last ask for a configuration. A link keeps the order,
  // so the answer to that ask comes before the answer to this ping or not at
  // all.
  std::uint32_t ask_sequence = 0;
};

struct LinkHandlers {
  // A request for the own gate; answer with SendResult on the same socket.
  std::function<void(FrameSocket*, RunFrame)> on_run;
  std::function<void(FrameSocket*, std::uint64_t call)> on_cancel;
  // The socket of runs that are under way is gone.
  std::function<void(FrameSocket*)> on_caller_gone;
  std::function<void(const std::string& node, ResultFrame)> on_result;
  // The link to `node` is gone; the results of its calls will not come.
  std::function<void(const std::string& node)> on_lost;
  // `upstream_changed`: in more than its load.
  std::function<void(const std::string& node, bool upstream_changed)> on_status;
  // Another node introduced itself.
  std::function<void(const Hello&)> on_hello;
  // Gives the answer to a node that holds the record with this digest.
  std::function<LinkFrame(const std::string& node, std::uint64_t digest)>
      on_config_ask;
  // The node sends none now, or sent one before this.
  std::function<void(const std::string& node)> on_config_busy;
  std::function<void(const std::string& node, ConfigFrame)> on_config;
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

  // Keeps a link to this node from now on; a new address replaces the old one.
  void Add(const Hello& node);
  // Ends the link and forgets the node.
  void Remove(const std::string& node);

  // Told to every node whenever it differs from what was told last.
  void SetStatus(const GateStatus& status);

  // False when there is no link to the node. Precondition: `frame.call` is not
  // under way.
  bool Run(const std::string& node, const RunFrame& frame);
  void Cancel(const std::string& node, std::uint64_t call);
  // `digest`: of the configuration that is held; 0 asks for a whole one.
  void AskConfig(const std::string& node, std::uint64_t digest);
  // To a caller that sent RunFrame; one that is gone is ignored.
  void SendResult(FrameSocket* to, const ResultFrame& result);

  [[nodiscard]] const std::map<std::string, Peer>& Peers() const {
    return this->peers;
  }
  // Whether the link to a connected peer may have stopped working.
  [[nodiscard]] static bool LinkInDoubt(const Peer& peer, TimePoint now);
  [[nodiscard]] Peer* Find(const std::string& node);

  Hello self;
  CounterTable<LinkEvent> counters;
  // Bytes sent, by kind of frame, to nodes of the own data centre and of
  // others.
  CounterTable<FrameKind> sent_near;
  CounterTable<FrameKind> sent_far;

 private:
  friend class FrameSocket;

  void Accept();
  void Tick();
  void Connect(Peer& peer);
  void Retry(const std::string& node);
  void OnFrame(FrameSocket* from, LinkFrame frame);
  void OnClosed(FrameSocket* socket, LinkEnd end);
  [[nodiscard]] FrameSocketHandlers SocketHandlers();
  void TakeServerFrame(const std::string& node, LinkFrame frame);
  void TakeCallerFrame(FrameSocket* from, LinkFrame frame);
  void TellAll();
  void CheckSilence();
  void Ask(Peer& peer);

  boost::asio::io_context& loop;
  LinkHandlers handlers;
  boost::asio::ip::tcp::acceptor acceptor;
  boost::asio::steady_timer tick;
  std::map<std::string, Peer> peers;
  std::set<FrameSocket*> callers;
  GateStatus status;
  // What every node was told last.
  GateStatus told;
  bool status_changed = false;
  // Ticks since the status was told last.
  int ticks_untold = 0;
  Rng rng;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace teaselspread

#endif  // TEASELSPREAD_SRC_EDGE_LINKS_H_
