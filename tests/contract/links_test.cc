#include "edge/links.h"

#include <criterion/criterion.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "base/clock.h"
#include "contract/frame_reader.h"
#include "contract/raw_socket.h"
#include "contract/run_until.h"
#include "teaselspread/upstream_speed.h"

namespace teaselspread {
namespace {

using namespace std::chrono_literals;

// Two nodes open links to each other over a line whose queueing delay exceeds
// the age at which a connection attempt counts as stale. If each drops its own
// link when the Hello of the other arrives, no link ever comes up.
Test(links, a_link_that_waits_for_its_first_status_is_kept) {
  boost::asio::io_context io;
  std::atomic<bool> hello_received{false};
  bool link_up = false;
  Address own;
  Links* self = nullptr;
  LinkHandlers on;
  on.on_hello = [&](const Hello& hello) {
    self->Add(hello, NodeSource::kHello);
    hello_received = true;
  };
  on.on_status = [&](const std::string&, bool, std::uint8_t) {
    link_up = true;
  };
  on.on_link_lost = [](const std::string&) {};
  on.on_caller_disconnected = [](FrameSocket*) {};
  Links links(io, on);
  self = &links;
  ScriptedPeer peer([&](const RawSocket& socket, int) {
    // The Hello of the other direction arrives late, and the status later.
    std::this_thread::sleep_for(150ms);
    const RawSocket other = RawSocket::ConnectTo(own.port);
    other.Send(EncodeLinkFrame(Hello{"b-1", "b", peer.At()}));
    while (!hello_received && !peer.Stopping())
      std::this_thread::yield();
    socket.Send(EncodeLinkFrame(Status{kAllStatusParts, {}}));
    peer.StaySilent(socket);
  });
  links.self = {"a-1", "a", {}};
  const auto bound = links.Listen({"127.0.0.1", 0});
  cr_assert(bound.has_value());
  own = *bound;
  links.Add(Hello{"b-1", "b", peer.At()}, NodeSource::kRecord);
  const auto end = std::chrono::steady_clock::now() + 10s;
  while (!link_up && std::chrono::steady_clock::now() < end)
    io.run_for(10ms);
  cr_assert(link_up);
  cr_assert(peer.Accepted() == 1, "%d links were opened", peer.Accepted());
}

// Two nodes; "a-1" opens a link to "b-1", whose upstream reports `speed`.
struct SpeedLink {
  boost::asio::io_context io;
  SpeedFactor speed;
  // Speed that "a-1" knew when the result came.
  std::optional<SpeedFactor> at_result;
  std::unique_ptr<Links> caller;
  std::unique_ptr<Links> server;

  SpeedLink() {
    this->caller = std::make_unique<Links>(this->io, this->CallerHandlers());
    this->server = std::make_unique<Links>(this->io, this->ServerHandlers());
    this->caller->self = {"a-1", "a", {}};
    this->server->self = {"b-1", "b", {}};
    cr_assert(this->caller->Listen({"127.0.0.1", 0}).has_value());
    const auto bound = this->server->Listen({"127.0.0.1", 0});
    cr_assert(bound.has_value());
    this->SetProcess("i-1", 7);
    this->caller->Add(Hello{"b-1", "b", *bound}, NodeSource::kRecord);
    cr_assert(this->RunUntil([this] { return this->Known().connected; }));
  }

  LinkHandlers CallerHandlers() {
    LinkHandlers on;
    on.on_status = [](const std::string&, bool, std::uint8_t) {};
    on.on_link_lost = [](const std::string&) {};
    on.on_result = [this](const std::string&, const ResultFrame&) {
      this->at_result = this->Known().speed;
    };
    return on;
  }

  LinkHandlers ServerHandlers() {
    LinkHandlers on;
    on.on_hello = [](const Hello&) {};
    on.on_caller_disconnected = [](FrameSocket*) {};
    on.own_speed = [this] { return this->speed; };
    on.on_run = [this](FrameSocket* from, const RunFrame& frame) {
      ResultFrame result;
      result.call_id = frame.call_id;
      this->server->SendResult(from, result);
    };
    return on;
  }

  [[nodiscard]] const Peer& Known() const { return *this->caller->Find("b-1"); }

  void SetProcess(const std::string& instance, std::uint32_t stamp) {
    GateStatus status;
    status.instance = instance;
    status.process_stamp = stamp;
    status.state = LeaseState::kReady;
    this->server->SetStatus(status);
  }

  bool RunUntil(const std::function<bool()>& condition) {
    return teaselspread::RunUntil(this->io, condition);
  }

  // What the caller knew of the speed when the result came.
  SpeedFactor Call() {
    this->at_result.reset();
    RunFrame frame;
    frame.call_id = 1;
    cr_assert(this->caller->Run("b-1", frame));
    cr_assert(this->RunUntil([this] { return this->at_result.has_value(); }));
    return *this->at_result;
  }

  [[nodiscard]] std::uint64_t SpeedFrames() const {
    return this->server->frames_near.Get(FrameKind::kSpeed) +
           this->server->frames_far.Get(FrameKind::kSpeed);
  }
};

// Guards against an entry that places its next request by the load of a result
// and the speed before it, and against a frame with each result.
Test(links, the_speed_comes_before_the_result_and_only_when_it_differs) {
  SpeedLink link;
  HearSpeed(link.speed, 250, SteadyNow());
  const SpeedFactor first = link.Call();
  cr_assert(first.reported.has_value());
  cr_assert_gt(FactorAt(first, SteadyNow()), 2.0);
  const std::uint64_t frames = link.SpeedFrames();
  for (int i = 0; i < 20; ++i)
    (void)link.Call();
  cr_assert_eq(link.SpeedFrames(), frames);
  HearSpeed(link.speed, 100, SteadyNow());
  cr_assert_eq(FactorAt(link.Call(), SteadyNow()), 1.0);
  cr_assert_eq(link.SpeedFrames(), frames + 1);
}

// Guards against frames that a node of an earlier release cannot parse, in
// deployments whose upstreams report no speed.
Test(links, without_a_figure_no_speed_is_sent) {
  SpeedLink link;
  for (int i = 0; i < 20; ++i)
    cr_assert_not(link.Call().reported.has_value());
  cr_assert_eq(link.SpeedFrames(), 0U);
}

// Guards against a new process that is taken for slow, as the one before it
// was, and against a speed that outlives the link that told it.
Test(links, a_speed_ends_with_the_process_and_with_the_link) {
  SpeedLink link;
  const auto known = [&link] {
    return link.Known().speed.reported.has_value();
  };
  HearSpeed(link.speed, 250, SteadyNow());
  (void)link.Call();
  cr_assert(known());
  link.speed = {};
  link.SetProcess("i-2", 8);
  cr_assert(link.RunUntil([&] { return !known(); }));
  HearSpeed(link.speed, 400, SteadyNow());
  (void)link.Call();
  cr_assert(known());
  link.server.reset();
  cr_assert(link.RunUntil([&] { return !link.Known().connected; }));
  cr_assert_not(known());
}

// Handlers of a node that only keeps links.
LinkHandlers QuietHandlers() {
  LinkHandlers on;
  on.on_hello = [](const Hello&) {};
  on.on_status = [](const std::string&, bool, std::uint8_t) {};
  on.on_link_lost = [](const std::string&) {};
  on.on_caller_disconnected = [](FrameSocket*) {};
  return on;
}

void SendFrame(const RawSocket& socket, const LinkFrame& frame) {
  socket.Send(EncodeLinkFrame(frame));
}

ResultFrame ResultOf(std::uint64_t call) {
  ResultFrame result;
  result.call_id = call;
  result.has_response = true;
  return result;
}

constexpr std::uint64_t kCall = 7;
// Longer than the ping interval and the time-out of a ping together.
constexpr auto kLongSilence = 1600ms;

// A node with one call at a peer that follows a script.
struct CallingNode {
  boost::asio::io_context io;
  int results = 0;
  bool has_response = false;
  int silent_reports = 0;
  bool link_lost = false;
  CallIds lost;
  std::unique_ptr<Links> links;

  explicit CallingNode(const ScriptedPeer& peer) {
    LinkHandlers on = QuietHandlers();
    on.on_result = [this](const std::string&, const ResultFrame& result) {
      this->results += result.call_id == kCall ? 1 : 0;
      this->has_response = result.has_response;
    };
    on.on_link_lost = [this](const std::string&) { this->link_lost = true; };
    on.on_calls_lost = [this](const std::string&, const CallIds& calls) {
      this->lost = calls;
    };
    on.on_calls_silent = [this](const std::string&, const CallIds& calls) {
      this->silent_reports += calls == CallIds{kCall} ? 1 : 0;
    };
    this->links = std::make_unique<Links>(this->io, on);
    this->links->self = {"a-1", "a", {}};
    cr_assert(this->links->Listen({"127.0.0.1", 0}).has_value());
    this->links->Add(Hello{"b-1", "b", peer.At()}, NodeSource::kRecord);
    cr_assert(this->RunUntil([this] { return this->Target().connected; }));
    RunFrame run;
    run.call_id = kCall;
    cr_assert(this->links->Run("b-1", run));
  }

  [[nodiscard]] const Peer& Target() const { return *this->links->Find("b-1"); }

  bool RunUntil(const std::function<bool()>& condition) {
    return teaselspread::RunUntil(this->io, condition);
  }
};

// Guards against a request that fails because its link was silent for a second,
// as it is behind uploads on a full line, though its upstream was at work.
Test(links, a_call_outlives_the_silence_of_its_link) {
  ScriptedPeer peer([&peer](const RawSocket& socket, int number) {
    if (number == 0) {
      SendFrame(socket, Status{kAllStatusParts, {}});
      std::this_thread::sleep_for(kLongSilence);
      SendFrame(socket, ResultOf(kCall));
    }
    peer.StaySilent(socket);
  });
  CallingNode node(peer);
  cr_assert(node.RunUntil([&] { return node.results > 0 || node.link_lost; }));
  cr_expect(node.link_lost, "the link was in use for all of the silence");
  cr_assert(node.RunUntil([&] { return node.results > 0; }));
  cr_expect(node.lost.empty());
  cr_expect_gt(node.silent_reports, 0);
  cr_expect(node.Target().connected);
  cr_expect_eq(node.Target().in_flight, 0U);
}

// Guards against a request that fails because another connection has replaced
// its silent one.
Test(links, a_call_outlives_the_replacement_of_its_link) {
  ScriptedPeer peer([&peer](const RawSocket& socket, int number) {
    SendFrame(socket, Status{kAllStatusParts, {}});
    if (number == 0) {
      std::this_thread::sleep_for(kLongSilence);
      SendFrame(socket, ResultOf(kCall));
    }
    peer.StaySilent(socket);
  });
  CallingNode node(peer);
  cr_assert(node.RunUntil([&] { return peer.Accepted() == 2; }));
  cr_assert(node.RunUntil([&] { return node.Target().connected; }));
  cr_expect_eq(node.results, 0);
  cr_assert(node.RunUntil([&] { return node.results > 0; }));
  cr_expect(node.lost.empty());
  cr_expect_eq(node.results, 1);
  cr_expect_eq(node.Target().in_flight, 0U);
}

// Guards against a process that is taken for slow since a link before said so.
Test(links, a_speed_ends_with_the_link_that_told_it) {
  ScriptedPeer peer([&peer](const RawSocket& socket, int number) {
    SendFrame(socket, Status{kAllStatusParts, {}});
    if (number == 0)
      SendFrame(socket, SpeedFrame{250});
    peer.StaySilent(socket);
  });
  CallingNode node(peer);
  cr_assert(
      node.RunUntil([&] { return node.Target().speed.reported.has_value(); }));
  cr_assert(node.RunUntil([&] { return node.link_lost; }));
  cr_assert(node.RunUntil([&] { return node.Target().connected; }));
  cr_expect_not(node.Target().speed.reported.has_value());
}

// Guards against upstreams that go on with a request that nobody waits for any
// more, since the cancel was sent on the wrong connection.
Test(links, a_cancel_is_sent_on_the_connection_of_its_call) {
  std::atomic<bool> cancelled{false};
  ScriptedPeer peer([&](const RawSocket& socket, int number) {
    SendFrame(socket, Status{kAllStatusParts, {}});
    FrameReader reader{socket, {}};
    if (number == 0) {
      const auto cancel = reader.Next<CancelFrame>();
      cancelled = cancel && cancel->call_id == kCall;
    }
    peer.StaySilent(socket);
  });
  CallingNode node(peer);
  cr_assert(node.RunUntil([&] { return peer.Accepted() == 2; }));
  cr_assert(node.RunUntil([&] { return node.Target().connected; }));
  node.links->Cancel("b-1", kCall);
  cr_assert(node.RunUntil([&] { return cancelled.load(); }));
  cr_expect_eq(node.Target().in_flight, 0U);
}

// Guards against a request that waits for a result until its deadline although
// its connection has ended.
Test(links, the_calls_of_a_silent_link_are_lost_when_it_ends) {
  ScriptedPeer peer([](const RawSocket& socket, int number) {
    if (number > 0)
      return;
    SendFrame(socket, Status{kAllStatusParts, {}});
    std::this_thread::sleep_for(kLongSilence);
  });
  CallingNode node(peer);
  cr_assert(node.RunUntil([&] { return !node.lost.empty(); }));
  cr_expect(node.lost == CallIds{kCall});
  cr_expect_gt(node.silent_reports, 0);
  cr_expect_eq(node.Target().in_flight, 0U);
}

// Guards against a status that no client knows, from a gate of a release that
// passes it on.
Test(links, a_result_with_an_unknown_status_is_no_response) {
  for (const int status : {0, 199, 200, 599, 600}) {
    ScriptedPeer peer([&peer, status](const RawSocket& socket, int) {
      SendFrame(socket, Status{kAllStatusParts, {}});
      ResultFrame result = ResultOf(kCall);
      result.response.status = status;
      SendFrame(socket, result);
      peer.StaySilent(socket);
    });
    CallingNode node(peer);
    cr_assert(node.RunUntil([&] { return node.results > 0; }));
    const bool known = status >= 200 && status < 600;
    cr_expect_eq(node.has_response, known, "%d", status);
  }
}

// A request that waits for tokens must not wait for anything but the answer,
// and a link must not end because of the frames.
Test(links, a_token_request_is_answered_and_a_leave_arrives) {
  boost::asio::io_context io;
  LinkHandlers lends = QuietHandlers();
  std::string asked_by;
  lends.on_token_request = [&](const std::string& node,
                               const TokenRequest& request) {
    asked_by = node;
    return TokenGrantFrame{request.sequence, true, request.wanted, 0};
  };
  Links lender(io, lends);
  lender.self = {"b-1", "b", {}};
  const auto bound = lender.Listen({"127.0.0.1", 0});
  cr_assert(bound.has_value());
  std::optional<TokenGrantFrame> granted;
  std::string left;
  bool lost = false;
  LinkHandlers borrows = QuietHandlers();
  borrows.on_token_grant = [&](const std::string& node,
                               const TokenGrantFrame& grant) {
    cr_assert(node == "b-1");
    granted = grant;
  };
  borrows.on_node_leaving = [&](const std::string& node) { left = node; };
  borrows.on_link_lost = [&](const std::string&) { lost = true; };
  Links borrower(io, borrows);
  borrower.self = {"a-1", "a", {}};
  cr_assert(!borrower.RequestTokens("b-1", {1, "shop", 3, 0}));
  borrower.Add(Hello{"b-1", "b", *bound}, NodeSource::kRecord);
  cr_assert(!borrower.RequestTokens("b-1", {1, "shop", 3, 0}));
  const auto run_until = [&](const std::function<bool()>& done) {
    const auto end = std::chrono::steady_clock::now() + 10s;
    while (!done() && std::chrono::steady_clock::now() < end)
      io.run_for(10ms);
    return done();
  };
  cr_assert(run_until([&] { return borrower.Find("b-1")->connected; }));
  cr_assert(borrower.RequestTokens("b-1", {7, "shop", 3, 0}));
  cr_assert(run_until([&] { return granted.has_value(); }));
  cr_assert_eq(granted->sequence, 7U);
  cr_assert_eq(granted->tokens, 3U);
  cr_assert(asked_by == "a-1");
  lender.SendToCallers(LeavingFrame{});
  cr_assert(run_until([&] { return !left.empty(); }));
  cr_assert(left == "b-1");
  cr_assert(!lost);
  // A count beyond the bound ends the link.
  cr_assert(
      borrower.RequestTokens("b-1", {8, "shop", kMaxTokensPerFrame + 1, 0}));
  cr_assert(run_until([&] { return lost; }));
}

// A node whose memory for bodies is 100 KB, and a caller that has a link to it.
struct FullNode {
  boost::asio::io_context io;
  MemoryAccount account{{100'000, 100'000, 100'000}};
  std::vector<RunFrame> runs;
  std::unique_ptr<Links> links;
  std::thread thread;
  std::optional<RawSocket> link;

  FullNode() {
    LinkHandlers on = QuietHandlers();
    on.on_run = [this](FrameSocket*, RunFrame run) {
      this->runs.push_back(std::move(run));
    };
    this->links = std::make_unique<Links>(this->io, on);
    this->links->memory = &this->account;
    this->links->self = {"b-1", "b", {}};
    const auto bound = this->links->Listen({"127.0.0.1", 0});
    this->thread = std::thread([this] { this->io.run(); });
    this->link.emplace(RawSocket::ConnectTo(bound->port));
  }
  ~FullNode() {
    this->io.stop();
    this->thread.join();
  }
  FullNode(const FullNode&) = delete;
  FullNode& operator=(const FullNode&) = delete;

  void SendRun(std::uint64_t call, std::size_t body_bytes) const {
    RunFrame run;
    run.call_id = call;
    run.request.method = "POST";
    run.request.body = std::string(body_bytes, 'b');
    SendFrame(*this->link, run);
  }
};

// Guards against a gate that takes more bodies than its VM has memory, and
// against one that closes the link of a sound node, with all its calls.
Test(links, a_run_without_room_is_refused_as_not_run_and_the_next_one_taken) {
  FullNode node;
  FrameReader reader{*node.link, {}};
  SendFrame(*node.link, Hello{"a-1", "a", {"127.0.0.1", 9}, 0});
  for (const std::size_t bytes : {120'000, 1'000'000}) {
    node.SendRun(bytes, bytes);
    const auto refused = reader.Next<ResultFrame>();
    cr_assert(refused.has_value());
    cr_expect_eq(refused->call_id, bytes);
    cr_expect(refused->error == ErrorKind::kMemoryBudget);
    cr_expect(refused->execution == Execution::kNotRun);
  }
  node.SendRun(3, 50'000);
  SendFrame(*node.link, PingFrame{1});
  cr_assert(reader.Next<PongFrame>().has_value());
  node.io.stop();
  cr_assert_eq(node.runs.size(), 1U);
  cr_expect_eq(node.runs.front().call_id, 3U);
  cr_expect_eq(BodyOf(node.runs.front()).size(), 50'000U);
  cr_expect_eq(node.account.Used(), 50'000U);
}

// Guards against memory that anybody can take who reaches the link's port.
Test(links, a_large_frame_before_the_hello_ends_the_connection) {
  FullNode node;
  node.SendRun(1, 1'000'000);
  (void)node.link->ReadToEnd();
  node.io.stop();
  cr_expect(node.runs.empty());
}

}  // namespace
}  // namespace teaselspread
