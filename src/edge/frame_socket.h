// One TCP connection that carries length-prefixed frames both ways.
#ifndef TEASELSPREAD_SRC_EDGE_FRAME_SOCKET_H_
#define TEASELSPREAD_SRC_EDGE_FRAME_SOCKET_H_

#include <functional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "edge/frames.h"
#include "edge/link_health.h"
#include "teaselspread/types.h"

namespace teaselspread {

class FrameSocket;

struct FrameSocketHandlers {
  std::function<void(FrameSocket*, LinkFrame)> on_frame;
  // Called once, unless Close() was called before.
  std::function<void(FrameSocket*)> on_closed;
  std::function<void(std::size_t bytes)> on_sent;
  std::function<void(FrameSocket*, FrameKind, std::size_t bytes)> on_queued;
  std::function<void(std::size_t bytes)> on_received;
};

// Not thread safe.
class FrameSocket
    : public boost::intrusive_ref_counter<FrameSocket,
                                          boost::thread_unsafe_counter> {
 public:
  FrameSocket(boost::asio::ip::tcp::socket connected,
              FrameSocketHandlers handlers);

  void Connect(const boost::asio::ip::tcp::endpoint& to,
               std::function<void()> on_connected);
  // Begins to read. Precondition: the socket is connected.
  void Start();
  void Send(const LinkFrame& frame) {
    this->SendEncoded(KindOf(frame), EncodeLinkFrame(frame));
  }
  // Precondition: `bytes` come from EncodeLinkFrame for a frame of this kind.
  void SendEncoded(FrameKind kind, std::string_view bytes);
  // Calls none of the handlers any more.
  void Close();

  [[nodiscard]] bool Closed() const { return this->closed; }
  // Whether the other end has taken the connection.
  [[nodiscard]] bool Connected() const { return this->connected; }
  // Bytes that the kernel has not taken yet.
  [[nodiscard]] std::size_t Unsent() const {
    return this->output.size() + this->in_write.size();
  }

  // The node at the other end; empty on a socket that has not said hello.
  std::string node;
  // Whether this node opened the connection.
  bool opened_here = false;
  // The other end is in another data centre, as far as is known.
  bool far = false;
  LinkTimes times;

 private:
  void Read();
  void TakeFrames();
  void Flush();
  void Fail();

  boost::asio::ip::tcp::socket socket;
  FrameSocketHandlers handlers;
  boost::beast::flat_buffer buffer;
  std::string output;
  std::string in_write;
  bool connected = false;
  bool writing = false;
  bool closed = false;
};

}  // namespace teaselspread

#endif  // TEASELSPREAD_SRC_EDGE_FRAME_SOCKET_H_
