// Frames between nodes: datagrams over UDP, larger ones over TCP.
#ifndef TEASELSPREAD_NODE_FRAME_TRANSPORT_H_
#define TEASELSPREAD_NODE_FRAME_TRANSPORT_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

#include "teaselspread/counters.h"
#include "teaselspread/error.h"
#include "teaselspread/types.h"

namespace teaselspread {

enum class TransportEvent : std::uint8_t {
  kDatagramSent,
  kDatagramReceived,
  kDatagramSendFailed,
  kStreamSent,
  kStreamReceived,
  kStreamConnectFailed,
  kStreamTimedOut,
  kStreamTooLong,
  kStreamRefusedTooMany,
  kStreamNoMemory,
  kBytesSent,
  kBytesReceived,
  kCount,
};

// Stable name of a transport counter. Thread safe.
[[nodiscard]] std::string_view NameOf(TransportEvent event);

// Carries opaque frames. A stream carries one frame and ends: the answer, if
// any, is a frame of its own to the sender's control address. This keeps every
// exchange one-way, so that no half-open connection is ever waited on.
//
// Boost.Asio stands in for cxxtools here: its UdpReceiver is no Selectable and
// cannot share a loop with timers and TCP.
//
// Not thread safe: belongs to the thread that runs `io`.
class FrameTransport {
 public:
  using FrameHandler =
      std::function<void(const Address& from, std::string_view frame)>;

  FrameTransport(boost::asio::io_context& io, FrameHandler handler);
  ~FrameTransport();
  FrameTransport(const FrameTransport&) = delete;
  FrameTransport& operator=(const FrameTransport&) = delete;

  // Called with the sender's IP number whenever bytes of a stream that is not
  // whole yet have come.
  std::function<void(const std::string& host)> on_stream_bytes =
      [](const std::string&) {};

  // Binds UDP and TCP to `address`; a port of 0 takes a free one for both.
  // Errors: kSettings when the address cannot be bound.
  [[nodiscard]] Result<Address> Listen(const Address& address);

  // Sends one frame without waiting; losses are the receiver's to repair.
  void SendDatagram(const Address& to, std::string_view frame);
  void SendStream(const Address& to, std::string frame);

  // Closes the listening sockets. Streams under way end when they are whole or
  // silent.
  void Close();

  // Thread safe.
  [[nodiscard]] const CounterTable<TransportEvent>& Counters() const {
    return this->counters;
  }

 private:
  struct Incoming;
  struct IncomingList;
  struct Outgoing;

  // Ends the largest streams until `stream` can grow to `wanted` bytes. False
  // if that is one of them.
  [[nodiscard]] bool MakeRoom(Incoming& stream, std::size_t wanted);
  void ReceiveDatagram();
  void AcceptStream();

  static constexpr std::size_t kReceiveBytes = 65536;

  boost::asio::io_context& io;
  FrameHandler handler;
  boost::asio::ip::udp::socket datagram_socket;
  boost::asio::ip::tcp::acceptor acceptor;
  boost::asio::ip::udp::endpoint datagram_from;
  std::array<char, kReceiveBytes> datagram{};
  // Streams that are not whole yet. They may outlive the transport in handlers
  // of the loop.
  std::shared_ptr<IncomingList> incoming;
  CounterTable<TransportEvent> counters;
};

}  // namespace teaselspread

#endif  // TEASELSPREAD_NODE_FRAME_TRANSPORT_H_
