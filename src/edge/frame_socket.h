// One TCP connection that carries length-prefixed frames in both directions.
#ifndef TEASELSPREAD_SRC_EDGE_FRAME_SOCKET_H_
#define TEASELSPREAD_SRC_EDGE_FRAME_SOCKET_H_

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "edge/frames.h"
#include "edge/link_health.h"
#include "edge/status_feed.h"
#include "teaselspread/types.h"
#include "teaselspread/upstream_speed.h"

namespace teaselspread {

class FrameSocket;

struct FrameSocketHandlers {
  std::function<void(FrameSocket*, LinkFrame)> on_frame;
  // Called once when the connection fails or ends, but not after Close().
  std::function<void(FrameSocket*)> on_closed;
  std::function<void(std::size_t bytes)> on_sent;
  std::function<void(FrameSocket*, FrameKind, std::size_t bytes)> on_queued;
  std::function<void(FrameSocket*, std::size_t bytes)> on_received;
  // There is no memory for the run or the result of this call, which is not
  // delivered.
  std::function<void(FrameSocket*, std::uint64_t call)> on_run_skipped;
  std::function<void(FrameSocket*, std::uint64_t call)> on_result_skipped;
  // Counts large frames; null for no bound.
  MemoryAccount* memory = nullptr;
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
  // Starts reading. Precondition: the socket is connected.
  void Start();
  void Send(const LinkFrame& frame) {
    this->SendEncoded(KindOf(frame), EncodeLinkFrame(frame));
  }
  // As Send, but a large body is not copied.
  void SendRun(const RunFrame& frame);
  // Precondition: `bytes` come from EncodeLinkFrame for a frame of this kind.
  void SendEncoded(FrameKind kind, std::string_view bytes);
  // No handler is called afterwards.
  void Close();

  [[nodiscard]] bool Closed() const { return this->closed; }
  // Whether the connection is established.
  [[nodiscard]] bool Connected() const { return this->connected; }
  // Bytes that the kernel has not accepted yet.
  [[nodiscard]] std::size_t UnsentBytes() const { return this->unsent_bytes; }
  // Bytes that the kernel has accepted and the other end has not acknowledged;
  // 0 if the kernel does not say.
  [[nodiscard]] std::size_t UnacknowledgedBytes();

  // The node at the other end; empty on an accepted socket until its Hello has
  // arrived.
  std::string node;
  // Whether this node opened the connection.
  bool is_initiator = false;
  // Whether the other end is in another data centre; false until known.
  bool in_other_data_center = false;
  LinkTimes times;
  TimePoint opened_at;
  // Calls in flight, by the id that the end which opened the connection gave.
  std::set<std::uint64_t> calls;
  // On an accepted socket: what its caller has received of the status.
  StatusReader status_reader;
  // On an accepted socket: the upstream's speed as its caller assumes it.
  SpeedFactor told_speed;

 private:
  // Bytes to be sent, and a body to be sent behind them; null for none.
  struct Piece {
    std::string bytes;
    RequestBodyPtr body;
  };

  void Read();
  void ParseFrames();
  [[nodiscard]] std::size_t MaxFrame() const;
  // Precondition: kCallIdBytes of it have been received.
  void BeginLargeFrame(std::size_t length);
  // Moves received bytes to `large_frame`. False if bytes are missing.
  bool CollectLargeFrame();
  // Drops received bytes of a frame for which there was no memory. False if
  // bytes are missing.
  bool SkipLargeFrame();
  void HandleFrame(Result<LinkFrame> frame);
  void Queue(std::string_view bytes, RequestBodyPtr body);
  void Flush();
  void Fail();

  boost::asio::ip::tcp::socket socket;
  FrameSocketHandlers handlers;
  boost::beast::flat_buffer buffer;
  // A frame of more than kLargeFrameBytes, while it is being received, and its
  // length; 0 for none.
  std::string large_frame;
  std::size_t large_frame_length = 0;
  MemoryHold large_frame_memory;
  // Bytes of a frame that are still to be dropped.
  std::size_t skipped_bytes = 0;
  std::vector<Piece> output;
  std::vector<Piece> being_written;
  std::size_t unsent_bytes = 0;
  bool connected = false;
  bool writing = false;
  bool closed = false;
};

}  // namespace teaselspread

#endif  // TEASELSPREAD_SRC_EDGE_FRAME_SOCKET_H_
