#include "edge/links.h"

#include <criterion/criterion.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <thread>

#include <boost/asio/io_context.hpp>

#include "contract/raw_socket.h"

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
    self->Add(hello);
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
  links.Add(Hello{"b-1", "b", peer.At()});
  const auto end = std::chrono::steady_clock::now() + 10s;
  while (!link_up && std::chrono::steady_clock::now() < end)
    io.run_for(10ms);
  cr_assert(link_up);
  cr_assert(peer.Accepted() == 1, "%d links were opened", peer.Accepted());
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
  borrower.Add(Hello{"b-1", "b", *bound});
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

}  // namespace
}  // namespace teaselspread
