#include "node/node.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <memory>
#include <random>
#include <thread>
#include <utility>

#include <xxhash.h>
#include <boost/asio/executor_work_guard.hpp>

#include "base/machine_limits.h"
#include "node/module_frames.h"
#include "node/pages.h"
#include "teaselspread/logging.h"
#include "teaselspread/node.h"

namespace teaselspread {
namespace {

constexpr std::size_t kConnectionsPerTarget = 130;
// Room for the headers that nodes add to a request.
constexpr std::size_t kNodeHeaderBytes = 4096;
constexpr std::size_t kAnnounceConnections = 16;
constexpr std::size_t kMaxAnnouncement = 16384;
constexpr std::size_t kMaxBody = 64U << 20;
// Others learn within this time that the node is leaving; until then it goes
// on serving what they still send.
constexpr std::chrono::milliseconds kLeaveNotice{1500};
constexpr Duration kFrameWarningEvery = std::chrono::seconds(10);
// Idle connections are looked through this often; one that was idle for the
// whole time is closed. Otherwise each node would keep one to every node that
// it ever sent to.
constexpr Duration kIdleConnections = std::chrono::seconds(30);
// The loop looks at least this often for work of callers' threads.
constexpr std::chrono::milliseconds kLongestSleep{100};

Rng FreshRng() {
  std::random_device device;
  return Rng{(std::uint64_t{device()} << 32U) | device()};
}

Member SelfOf(const NodeSettings& settings) {
  Member self;
  self.id = settings.vm;
  self.data_center = settings.data_center;
  self.control = settings.control;
  self.http = settings.http;
  self.incarnation = IncarnationAt(SystemNow());
  return self;
}

void Advance(Node& node) {
  node.kernel.Advance(SystemNow());
}

void Sleep(Node& node) {
  auto delay = std::chrono::duration_cast<Duration>(kLongestSleep);
  if (const auto due = node.kernel.NextWake())
    delay = std::clamp(*due - SystemNow(), Duration{0}, delay);
  node.wake.expires_after(delay);
  node.wake.async_wait([&node](boost::system::error_code error) {
    if (error)
      return;
    Advance(node);
    Sleep(node);
  });
}

void HandleModuleFrame(Node& node, const ModuleFrame& frame) {
  const std::string_view owner =
      frame.module == Module::kMoves ? kMovesService : kClaimsService;
  node.kernel.Post(owner, ModuleBody{frame.from, frame.body});
}

// Each refusal is counted. The first, and one every ten seconds, is a warning:
// an operator who mixes releases must see why two nodes do not hear each other,
// while a flood of rubbish must not fill the log.
void RefuseFrame(Node& node, const Error& error) {
  node.refused_frames.Add(error.kind);
  const TimePoint now = SystemNow();
  const bool loud = now >= node.next_frame_warning;
  if (loud)
    node.next_frame_warning = now + kFrameWarningEvery;
  Log(loud ? LogLevel::kWarning : LogLevel::kDebug, kTransportService,
      "frame-refused",
      {{"reason", NameOf(error.kind)}, {"message", error.message}});
}

void HandleFrame(Node& node, std::string_view bytes) {
  const auto message = Decode(bytes);
  if (!message) {
    RefuseFrame(node, message.error());
    return;
  }
  if (const auto* frame = std::get_if<ModuleFrame>(&*message)) {
    HandleModuleFrame(node, *frame);
  } else {
    node.kernel.Post(kMembershipService, FrameArrived{*message});
    node.kernel.Post(kSpreadService, FrameArrived{*message});
  }
  Advance(node);
}

void Send(Node& node, const SendMessage& send) {
  std::string frame = Encode(send.message);
  node.bytes_by_kind.at(send.message.index()) += frame.size();
  if (send.transport == Transport::kDatagram &&
      frame.size() <= kMaxDatagramBytes)
    node.transport.SendDatagram(send.to, frame);
  else
    node.transport.SendStream(send.to, std::move(frame));
}

void StartServices(Node& node) {
  node.kernel.Register<SendFrame>(
      kTransportService,
      [&node](const SendFrame& frame) { Send(node, frame.send); });
  node.transport.on_stream_bytes = [&node](const std::string& host) {
    node.kernel.Post(kSpreadService, StreamBytesCame{host});
    Advance(node);
  };
  StartLogService(node.kernel, node.log, node.io, [&node] { Advance(node); });
  StartConfigService(node.kernel, node.config);
  StartMembershipService(node.kernel, node.membership);
  StartSpreadService(node.kernel, node.spread);
  StartMovesService(node.kernel, node.moves);
  StartClaimsService(node.kernel, node.claims);
  StartRequestsService(node.kernel, node.requests);
}

bool HasAnnounceServer(const Node& node) {
  return node.settings.announce != node.settings.http;
}

HttpResponse NotFound() {
  return ErrorResponse(Error{ErrorKind::kNoRoute, "no such page here"});
}

// Announcements come from the VM itself. Where callers reach the node on
// another address, they must not be able to move its traffic elsewhere.
HttpResponse ServeCaller(Node& node, HttpRequest request) {
  if (!IsPage(request))
    return HandleRequest(node.requests, std::move(request));
  if (PathOf(request) == kAnnouncePath && HasAnnounceServer(node))
    return NotFound();
  return ServePage(node, request);
}

Result<void> StartAnnounceServer(Node& node) {
  if (!HasAnnounceServer(node))
    return {};
  HttpServerOptions options;
  options.listen = node.settings.announce;
  options.max_connections = kAnnounceConnections;
  options.spare_threads = 1;
  options.max_body_bytes = kMaxAnnouncement;
  auto server = HttpServer::Start(options, [&node](const HttpRequest& request) {
    return IsPage(request) ? ServePage(node, request) : NotFound();
  });
  if (!server)
    return tl::make_unexpected(server.error());
  node.announce_server = std::move(*server);
  return {};
}

std::size_t HeadBytes(const HttpRequest& request) {
  // "METHOD TARGET HTTP/1.1", its line end, and the empty line.
  constexpr std::size_t kAroundLine = 14;
  constexpr std::size_t kAroundHeader = 4;
  std::size_t bytes =
      request.method.size() + request.target.size() + kAroundLine;
  for (const auto& [name, value] : request.headers)
    bytes += name.size() + value.size() + kAroundHeader;
  return bytes;
}

// Another node adds headers of its own to a request that was within the limit;
// refused here, it would fail at random, depending on the node it came to. So
// the server leaves room for them, and only a caller's request is held to the
// limit itself.
Result<std::size_t> CheckCallersHead(Node& node, const HttpRequest& request) {
  const bool from_node = !FindHeader(request.headers, kHeaderHop).empty();
  if (!from_node && HeadBytes(request) > node.config.max_header_bytes)
    return Fail(ErrorKind::kHeadersTooLarge, "the headers are too large");
  return CheckHead(node.requests, request);
}

Result<void> StartServer(Node& node) {
  HttpServerOptions options;
  options.listen = node.settings.http;
  options.max_body_bytes = kMaxBody;
  options.budget = node.requests.budget;
  options.head_limit = [&node] {
    return node.config.max_header_bytes + kNodeHeaderBytes;
  };
  auto server = HttpServer::Start(
      options,
      [&node](HttpRequest request) {
        return ServeCaller(node, std::move(request));
      },
      [&node](const HttpRequest& request) {
        return CheckCallersHead(node, request);
      });
  if (!server)
    return tl::make_unexpected(server.error());
  node.server = std::move(*server);
  return {};
}

// A planned stop cuts nothing: the others hear of it first, then new work is
// refused, then the server waits for what runs. A second signal changes
// nothing.
void BeginStop(Node& node) {
  if (node.stopping)
    return;
  node.stopping = true;
  Log(LogLevel::kInfo, "node", "stopping", {});
  AnnounceLeave(node.kernel, node.membership);
  LeaveSpread(node.spread.state);
  Advance(node);
  auto notice = std::make_shared<boost::asio::steady_timer>(node.io);
  notice->expires_after(kLeaveNotice);
  notice->async_wait([&node, notice](boost::system::error_code) {
    LeaveRequests(node.requests);
    std::thread([&node] {
      node.server->Stop();
      if (node.announce_server)
        node.announce_server->Stop();
      boost::asio::post(node.io, [&node] { node.io.stop(); });
    }).detach();
  });
}

void WaitForSignals(Node& node) {
  node.signals.async_wait([&node](boost::system::error_code error, int) {
    if (error)
      return;
    BeginStop(node);
    WaitForSignals(node);
  });
}

void PruneConnections(Node& node) {
  node.prune.expires_after(kIdleConnections);
  node.prune.async_wait([&node](boost::system::error_code error) {
    if (error)
      return;
    node.clients.Prune(kIdleConnections);
    PruneConnections(node);
  });
}

SpreadSettings SpreadSettingsOf(const NodeSettings& settings) {
  SpreadSettings spread;
  spread.remotes = settings.remote_seeds;
  spread.notice_interval = settings.timings.exchange_interval;
  return spread;
}

void SetUpRequests(Node& node, const Member& self) {
  Requests& requests = node.requests;
  requests.settings = node.settings;
  requests.incarnation = self.incarnation;
  requests.moves = &node.moves;
  requests.claims = &node.claims;
  requests.clients = &node.clients;
  requests.upstream.address = node.settings.upstream;
  requests.members[self.id] = self;
  requests.gatekeeper.ready = false;
  requests.suspects.origin =
      XXH3_64bits_withSeed(self.id.data(), self.id.size(), self.incarnation);
  requests.rng = FreshRng();
}

void SetUpServices(Node& node, const Member& self) {
  const TimePoint now = SystemNow();
  node.membership.state =
      MakeMembership(MembershipSettings{}, self, node.settings.seeds, now);
  node.membership.rng = FreshRng();
  node.membership.on_gone = [&node](const Member& member) {
    node.clients.Forget(member.http);
  };
  node.spread.state = MakeSpread(SpreadSettingsOf(node.settings), self, now);
  node.spread.rng = FreshRng();
  node.config.data_center = node.settings.data_center;
  node.config.checkpoint_rule.retention = node.settings.log.retention;
  node.config.rng = FreshRng();
  node.moves.rng = FreshRng();
  node.moves.node = self.id;
  node.moves.incarnation = StartOf(self.incarnation);
  node.moves.data_center = self.data_center;
  node.moves.state.node = self.id;
  node.moves.state.data_center = self.data_center;
  node.claims.self = {self.id, self.data_center, StartOf(self.incarnation),
                      self.control};
  node.claims.keeper.self = node.claims.self;
  node.claims.retention = node.settings.log.retention;
  node.claims.rng = FreshRng();
  node.claims.post = [&node](std::function<void()> task) {
    boost::asio::post(node.io, std::move(task));
  };
  SetUpRequests(node, self);
  node.requests.flush = [&node] {
    boost::asio::post(node.io, [&node] {
      node.kernel.Post(kRequestsService, Flush{});
      Advance(node);
    });
  };
}

}  // namespace

Node::Node(const NodeSettings& from)
    : settings(from),
      wake(this->io),
      prune(this->io),
      signals(this->io, SIGTERM, SIGINT),
      transport(this->io,
                [this](const Address&, std::string_view frame) {
                  HandleFrame(*this, frame);
                }),
      clients(kConnectionsPerTarget) {
  this->log.settings = from.log;
  this->log.timings = from.timings;
  this->log.deployment = from.deployment;
  this->log.vm = from.vm;
  this->log.data_center = from.data_center;
}

namespace {

Result<void> Run(Node& node) {
  const auto control = node.transport.Listen(node.settings.control);
  if (!control)
    return tl::make_unexpected(control.error());
  node.settings.control = *control;
  // The server takes its port first: members must learn the real one.
  const std::size_t memory = MachineMemory(node.settings.memory_mb);
  node.requests.budget =
      MemoryBudgetPtr(new MemoryBudget(BodyMemoryOf(memory)));
  if (auto served = StartServer(node); !served)
    return served;
  if (auto served = StartAnnounceServer(node); !served)
    return served;
  const bool one_address = !HasAnnounceServer(node);
  node.settings.http = node.server->LocalAddress();
  if (one_address)
    node.settings.announce = node.settings.http;
  const Member self = SelfOf(node.settings);
  {
    const std::scoped_lock lock(node.requests.gate);
    SetUpServices(node, self);
  }
  StartServices(node);
  WaitForSignals(node);
  PruneConnections(node);
  Advance(node);
  Sleep(node);
  Log(LogLevel::kInfo, "node", "started",
      {{"http_port", node.settings.http.port},
       {"control_port", node.settings.control.port},
       {"incarnation", self.incarnation}});
  std::printf("listening %u\n", unsigned{node.settings.http.port});
  std::fflush(stdout);
  node.io.run();
  StopLogService(node.log);
  Log(LogLevel::kInfo, "node", "stopped", {});
  return {};
}

}  // namespace

Result<void> RunNode(const NodeSettings& settings) {
  ReturnLargeBlocks();
  const auto node = std::make_unique<Node>(settings);
  return Run(*node);
}

}  // namespace teaselspread
