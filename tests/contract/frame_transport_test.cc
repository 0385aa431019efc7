#include "node/frame_transport.h"

#include <criterion/criterion.h>

#include <atomic>
#include <chrono>
#include <string>
#include <thread>

#include <boost/asio/io_context.hpp>

#include "contract/raw_socket.h"

namespace teaselspread {
namespace {

using namespace std::chrono_literals;

// Longer than a stream may be silent for, in pauses that are much shorter.
constexpr int kSlices = 32;
constexpr auto kPause = 250ms;

// A configuration comes over a narrow line for longer than a silent stream
// would be kept. Broken off, it would begin again and never be whole.
Test(frame_transport, a_slow_stream_is_taken_whole) {
  boost::asio::io_context io;
  std::string received;
  FrameTransport transport(io, [&](const Address&, std::string_view frame) {
    received = std::string(frame);
    io.stop();
  });
  int heard = 0;
  transport.on_stream_bytes = [&](const std::string& host) {
    heard += host == "127.0.0.1" ? 1 : 0;
  };
  const auto bound = transport.Listen({"127.0.0.1", 0});
  cr_assert(bound.has_value());
  const std::string slice(1000, 's');
  std::thread sender([&] {
    const RawSocket socket = RawSocket::ConnectTo(bound->port);
    for (int i = 0; i < kSlices && socket.Send(slice); ++i)
      std::this_thread::sleep_for(kPause);
  });
  io.run_for(20s);
  sender.join();
  cr_assert(received.size() == kSlices * slice.size());
  cr_assert(heard >= kSlices / 2);
}

// The same at the sending end: the line takes the bytes slowly.
Test(frame_transport, a_stream_that_is_read_slowly_is_sent_whole) {
  constexpr std::size_t kBytes = 15U << 20;
  boost::asio::io_context io;
  FrameTransport transport(io, [](const Address&, std::string_view) {});
  std::atomic<std::size_t> read{0};
  std::atomic<bool> ended{false};
  ScriptedPeer peer([&](const RawSocket& socket, int) {
    // Small, so that the rest waits at the sender.
    const int window = 1 << 16;
    ::setsockopt(socket.Fd(), SOL_SOCKET, SO_RCVBUF, &window, sizeof window);
    std::string buffer(kBytes / kSlices, ' ');
    while (true) {
      const ssize_t count =
          ::recv(socket.Fd(), buffer.data(), buffer.size(), MSG_WAITALL);
      if (count <= 0)
        break;
      read += static_cast<std::size_t>(count);
      std::this_thread::sleep_for(kPause);
    }
    ended = true;
  });
  transport.SendStream(peer.At(), std::string(kBytes, 's'));
  const auto end = std::chrono::steady_clock::now() + 30s;
  while (!ended && std::chrono::steady_clock::now() < end)
    io.run_for(50ms);
  cr_assert(read == kBytes);
}

// The sender of a stream falls silent in the middle of it. Its buffer is freed.
Test(frame_transport, a_silent_stream_is_given_up) {
  boost::asio::io_context io;
  FrameTransport transport(io, [](const Address&, std::string_view) {});
  const auto bound = transport.Listen({"127.0.0.1", 0});
  cr_assert(bound.has_value());
  const RawSocket silent = RawSocket::ConnectTo(bound->port);
  cr_assert(silent.Send("begin"));
  const auto end = std::chrono::steady_clock::now() + 20s;
  while (transport.Counters().Get(TransportEvent::kStreamTimedOut) == 0 &&
         std::chrono::steady_clock::now() < end)
    io.run_for(50ms);
  cr_assert(transport.Counters().Get(TransportEvent::kStreamTimedOut) == 1);
}

}  // namespace
}  // namespace teaselspread
