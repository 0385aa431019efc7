#include "edge/frame_socket.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <utility>

#include <boost/asio/write.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>

#include "base/clock.h"
#include "teaselspread/logging.h"

namespace teaselspread {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using Self = boost::intrusive_ptr<FrameSocket>;

constexpr std::size_t kReadBytes = 32768;
// Bytes that were sent and never acknowledged end the connection after this
// long; without it a peer without power holds them for many minutes.
constexpr int kUserTimeoutMs = 3000;
constexpr unsigned kBitsPerByte = 8;

std::size_t LengthIn(const char* bytes) {
  std::size_t length = 0;
  for (std::size_t i = 0; i < kFrameLengthBytes; ++i)
    length = (length << kBitsPerByte) | static_cast<unsigned char>(bytes[i]);
  return length;
}

void SetOptions(tcp::socket& socket) {
  boost::system::error_code ignored;  // a dead socket fails at its next use
  socket.set_option(tcp::no_delay(true), ignored);
  const int timeout = kUserTimeoutMs;
  ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout,
               sizeof timeout);
}

}  // namespace

FrameSocket::FrameSocket(tcp::socket from, FrameSocketHandlers on)
    : socket(std::move(from)), handlers(std::move(on)) {
  this->times.heard = SteadyNow();
  this->times.spoke = this->times.heard;
}

void FrameSocket::Connect(const tcp::endpoint& to,
                          std::function<void()> on_connected) {
  this->socket.async_connect(
      to, [self = Self(this), on_connected = std::move(on_connected)](
              boost::system::error_code error) {
        if (self->closed)
          return;
        if (error) {
          self->Fail();
          return;
        }
        on_connected();
      });
}

void FrameSocket::Start() {
  SetOptions(this->socket);
  this->connected = true;
  this->times.heard = SteadyNow();
  this->Read();
  this->Flush();
}

void FrameSocket::SendEncoded(FrameKind kind, std::string_view bytes) {
  if (this->closed)
    return;
  this->handlers.on_queued(this, kind, bytes.size());
  this->times.spoke = SteadyNow();
  this->output += bytes;
  if (this->connected)
    this->Flush();
}

void FrameSocket::Flush() {
  if (this->writing || this->output.empty() || this->closed)
    return;
  this->writing = true;
  this->in_write = std::exchange(this->output, {});
  asio::async_write(
      this->socket, asio::buffer(this->in_write),
      [self = Self(this)](boost::system::error_code error, std::size_t bytes) {
        self->writing = false;
        if (self->closed)
          return;
        if (error) {
          self->Fail();
          return;
        }
        self->in_write.clear();
        self->handlers.on_sent(bytes);
        self->Flush();
      });
}

void FrameSocket::Read() {
  this->socket.async_read_some(
      this->buffer.prepare(kReadBytes),
      [self = Self(this)](boost::system::error_code error, std::size_t bytes) {
        if (self->closed)
          return;
        if (error) {
          self->Fail();
          return;
        }
        self->buffer.commit(bytes);
        self->times.heard = SteadyNow();
        self->times.asked = TimePoint{};
        self->handlers.on_received(bytes);
        self->TakeFrames();
        if (!self->closed)
          self->Read();
      });
}

void FrameSocket::TakeFrames() {
  while (!this->closed && this->buffer.size() >= kFrameLengthBytes) {
    const auto* bytes = static_cast<const char*>(this->buffer.cdata().data());
    const std::size_t length = LengthIn(bytes);
    if (length > kMaxLinkFrame) {
      Log(LogLevel::kWarning, "links", "frame-too-long",
          {{"node", this->node}, {"bytes", length}});
      this->Fail();
      return;
    }
    if (this->buffer.size() < kFrameLengthBytes + length)
      return;
    auto frame = DecodeLinkFrame({bytes + kFrameLengthBytes, length});
    this->buffer.consume(kFrameLengthBytes + length);
    if (!frame) {
      Log(LogLevel::kWarning, "links", "frame-refused",
          {{"node", this->node}, {"message", frame.error().message}});
      this->Fail();
      return;
    }
    this->handlers.on_frame(this, std::move(*frame));
  }
}

void FrameSocket::Fail() {
  if (this->closed)
    return;
  const Self keep(this);
  const auto on_closed = this->handlers.on_closed;
  this->Close();
  on_closed(this);
}

void FrameSocket::Close() {
  if (this->closed)
    return;
  this->closed = true;
  boost::system::error_code ignored;  // the peer may have closed already
  this->socket.close(ignored);
}

}  // namespace teaselspread
