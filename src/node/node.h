// One node: the kernel with its services, the sockets, and the threads that
// drive them.
#ifndef TEASELSPREAD_NODE_NODE_H_
#define TEASELSPREAD_NODE_NODE_H_

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <future>
#include <memory>
#include <optional>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "node/claims_service.h"
#include "node/config_service.h"
#include "node/frame_transport.h"
#include "node/log_service.h"
#include "node/membership_service.h"
#include "node/moves_service.h"
#include "node/requests.h"
#include "node/spread_service.h"
#include "teaselspread/http_server.h"
#include "teaselspread/kernel.h"
#include "teaselspread/settings.h"

namespace teaselspread {

// Built and run by RunNode. The kernel and its services belong to
// the thread in RunNode; `requests` and `moves` have locks of their own.
struct Node {
  explicit Node(const NodeSettings& from);

  NodeSettings settings;
  boost::asio::io_context io;
  boost::asio::steady_timer wake;
  boost::asio::steady_timer prune;
  boost::asio::signal_set signals;
  FrameTransport transport;
  Kernel kernel;
  HttpClientPool clients;
  LogService log;
  MembershipService membership;
  SpreadService spread;
  ConfigService config;
  MovesService moves;
  ClaimsService claims;
  Requests requests;
  std::unique_ptr<HttpServer> server;
  // The pages on the settings' `announce`, where that differs from `http`.
  std::unique_ptr<HttpServer> announce_server;
  TimePoint next_frame_warning;
  // Bytes of the frames sent, by kind of message.
  std::array<std::atomic<std::uint64_t>, kMessageKinds> bytes_by_kind{};
  // Frames that were refused, by kind of error.
  CounterTable<ErrorKind> refused_frames;
  bool stopping = false;
};

// Runs `task` on the kernel's thread and gives its result; none if that thread
// does not come round within a second. Thread safe, not from that thread.
template <class Task>
auto OnKernel(Node& node, Task task) -> std::optional<decltype(task(node))> {
  using Answer = decltype(task(node));
  constexpr std::chrono::seconds kLongest{1};
  auto promise = std::make_shared<std::promise<Answer>>();
  std::future<Answer> future = promise->get_future();
  boost::asio::post(node.io, [&node, promise, task = std::move(task)] {
    promise->set_value(task(node));
  });
  if (future.wait_for(kLongest) != std::future_status::ready)
    return std::nullopt;
  return future.get();
}

}  // namespace teaselspread

#endif  // TEASELSPREAD_NODE_NODE_H_
