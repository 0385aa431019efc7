#include "edge/frame_socket.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>

#include <algorithm>
#include <chrono>
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
// Frames from this length on are received into memory of their own, which their
// body takes over. In the buffer, which doubles as it grows, they would take a
// multiple of their length.
constexpr std::size_t kLargeFrameBytes = 131072;
// Bodies from this length on are sent from where they are. Shorter ones are
// copied, which costs less than another buffer in each write.
constexpr std::size_t kMinSharedBody = 16384;
// The connection ends if sent bytes stay unacknowledged for this long. Without
// the limit, a connection to a VM without power stays open for many minutes.
constexpr auto kUserTimeout =
    std::chrono::duration_cast<std::chrono::milliseconds>(kBusyLinkTimeout);
constexpr unsigned kBitsPerByte = 8;

std::size_t DecodeLength(const char* bytes) {
  std::size_t length = 0;
  for (std::size_t i = 0; i < kFrameLengthBytes; ++i)
    length = (length << kBitsPerByte) | static_cast<unsigned char>(bytes[i]);
  return length;
}

void SetOptions(tcp::socket& socket) {
  boost::system::error_code ignored;  // a failed socket errs at its next use
  socket.set_option(tcp::no_delay(true), ignored);
  const int timeout = static_cast<int>(kUserTimeout.count());
  ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout,
               sizeof timeout);
}

}  // namespace

FrameSocket::FrameSocket(tcp::socket from, FrameSocketHandlers on)
    : socket(std::move(from)),
      handlers(std::move(on)),
      large_frame_memory(this->handlers.memory) {
  this->times.last_received = SteadyNow();
  this->times.last_sent = this->times.last_received;
  this->opened_at = this->times.last_received;
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
  this->times.last_received = SteadyNow();
  this->Read();
  this->Flush();
}

void FrameSocket::SendEncoded(FrameKind kind, std::string_view bytes) {
  if (this->closed)
    return;
  this->handlers.on_queued(this, kind, bytes.size());
  this->Queue(bytes, nullptr);
}

void FrameSocket::SendRun(const RunFrame& frame) {
  if (BytesOf(frame.body).size() < kMinSharedBody) {
    this->Send(frame);
    return;
  }
  if (this->closed)
    return;
  const std::string bytes = EncodeWithoutBody(frame);
  this->handlers.on_queued(this, FrameKind::kRun,
                           bytes.size() + frame.body->bytes.size());
  this->Queue(bytes, frame.body);
}

void FrameSocket::Queue(std::string_view bytes, RequestBodyPtr body) {
  this->times.last_sent = SteadyNow();
  this->unsent_bytes += bytes.size() + BytesOf(body).size();
  if (this->output.empty() || this->output.back().body)
    this->output.emplace_back();
  this->output.back().bytes += bytes;
  this->output.back().body = std::move(body);
  if (this->connected)
    this->Flush();
}

void FrameSocket::Flush() {
  if (this->writing || this->output.empty() || this->closed)
    return;
  this->writing = true;
  this->being_written = std::exchange(this->output, {});
  std::vector<asio::const_buffer> buffers;
  for (const Piece& piece : this->being_written) {
    buffers.push_back(asio::buffer(piece.bytes));
    if (piece.body)
      buffers.push_back(asio::buffer(piece.body->bytes));
  }
  asio::async_write(
      this->socket, buffers,
      [self = Self(this)](boost::system::error_code error, std::size_t bytes) {
        self->writing = false;
        if (self->closed)
          return;
        if (error) {
          self->Fail();
          return;
        }
        self->being_written.clear();
        self->unsent_bytes -= bytes;
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
        self->times.last_received = SteadyNow();
        self->times.response_due_since = TimePoint{};
        self->handlers.on_received(self.get(), bytes);
        self->ParseFrames();
        if (!self->closed)
          self->Read();
      });
}

void FrameSocket::ParseFrames() {
  while (!this->closed) {
    if (this->skipped_bytes > 0) {
      if (!this->SkipLargeFrame())
        return;
      continue;
    }
    if (this->large_frame_length > 0) {
      if (!this->CollectLargeFrame())
        return;
      continue;
    }
    if (this->buffer.size() < kFrameLengthBytes)
      return;
    const auto* bytes = static_cast<const char*>(this->buffer.cdata().data());
    const std::size_t length = DecodeLength(bytes);
    if (length > this->MaxFrame()) {
      Log(LogLevel::kWarning, "links", "frame-too-long",
          {{"node", this->node}, {"bytes", length}});
      this->Fail();
      return;
    }
    if (length >= kLargeFrameBytes) {
      if (this->buffer.size() < kFrameLengthBytes + kCallIdBytes)
        return;
      this->buffer.consume(kFrameLengthBytes);
      this->BeginLargeFrame(length);
      continue;
    }
    if (this->buffer.size() < kFrameLengthBytes + length)
      return;
    auto frame = DecodeLinkFrame({bytes + kFrameLengthBytes, length});
    this->buffer.consume(kFrameLengthBytes + length);
    this->HandleFrame(std::move(frame));
  }
}

std::size_t FrameSocket::MaxFrame() const {
  const bool unknown = !this->is_initiator && this->node.empty();
  return unknown ? kMaxFrameBeforeHello : kMaxLinkFrame;
}

void FrameSocket::BeginLargeFrame(std::size_t length) {
  const auto* bytes = static_cast<const char*>(this->buffer.cdata().data());
  const auto skippable = CallOf({bytes, kCallIdBytes});
  const bool held = this->large_frame_memory.GrowTo(length);
  if (!held && skippable) {
    this->skipped_bytes = length;
    const bool is_run = skippable->kind == FrameKind::kRun;
    (is_run ? this->handlers.on_run_skipped : this->handlers.on_result_skipped)(
        this, skippable->call);
    return;
  }
  // Frames of other kinds come from nodes, and are few.
  this->large_frame_memory.GrowAnywayTo(length);
  this->large_frame_length = length;
  this->large_frame.reserve(length);
}

bool FrameSocket::SkipLargeFrame() {
  const std::size_t dropped =
      std::min(this->skipped_bytes, this->buffer.size());
  this->buffer.consume(dropped);
  this->skipped_bytes -= dropped;
  return this->skipped_bytes == 0;
}

bool FrameSocket::CollectLargeFrame() {
  const std::size_t missing =
      this->large_frame_length - this->large_frame.size();
  const std::size_t taken = std::min(missing, this->buffer.size());
  this->large_frame.append(
      static_cast<const char*>(this->buffer.cdata().data()), taken);
  this->buffer.consume(taken);
  if (taken < missing)
    return false;
  this->large_frame_length = 0;
  auto frame = DecodeOwnedLinkFrame(std::exchange(this->large_frame, {}));
  MemoryHold memory = std::move(this->large_frame_memory);
  if (auto* run = frame ? std::get_if<RunFrame>(&*frame) : nullptr) {
    run->body = MakeRequestBody(std::exchange(run->request.body, {}),
                                std::move(memory));
  }
  this->HandleFrame(std::move(frame));
  return true;
}

void FrameSocket::HandleFrame(Result<LinkFrame> frame) {
  if (!frame) {
    Log(LogLevel::kWarning, "links", "frame-refused",
        {{"node", this->node}, {"message", frame.error().message}});
    this->Fail();
    return;
  }
  this->handlers.on_frame(this, std::move(*frame));
}

std::size_t FrameSocket::UnacknowledgedBytes() {
  int bytes = 0;
  if (this->closed ||
      ::ioctl(this->socket.native_handle(), SIOCOUTQ, &bytes) != 0)
    return 0;
  return static_cast<std::size_t>(bytes);
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
