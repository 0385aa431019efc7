#include "node/frame_transport.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/intrusive/list.hpp>

#include <algorithm>
#include <memory>
#include <utility>

namespace teaselspread {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;
using ErrorCode = boost::system::error_code;

constexpr std::array<std::string_view,
                     static_cast<std::size_t>(TransportEvent::kCount)>
    kEventNames = {
        "datagram-sent",    "datagram-received", "datagram-send-failed",
        "stream-sent",      "stream-received",   "stream-connect-failed",
        "stream-timed-out", "stream-too-long",   "stream-refused-too-many",
        "stream-no-memory", "bytes-sent",        "bytes-received"};

// A stream that has gone silent must not hold its buffer for ever. One whose
// bytes come is waited for: broken off, all of them would have to come again.
constexpr std::chrono::seconds kStreamSilenceLimit{5};
constexpr std::size_t kMaxStreamBytes = 16U << 20;
constexpr std::size_t kFirstStreamBuffer = 16U << 10;
constexpr std::size_t kMaxStreamsIn = 32;
// Of all streams that are not whole yet: one of the largest, and some others.
constexpr std::size_t kMaxStreamBytesInAll = 24U << 20;
constexpr int kBindAttempts = 20;

template <class Protocol>
Result<typename Protocol::endpoint> EndpointOf(const Address& address) {
  ErrorCode error;
  const auto ip = asio::ip::make_address(address.host, error);
  if (error)
    return Fail(ErrorKind::kSettings, address.host + " is no IP number");
  return typename Protocol::endpoint(ip, address.port);
}

}  // namespace

std::string_view NameOf(TransportEvent event) {
  return kEventNames.at(static_cast<std::size_t>(event));
}

// Calls `on_silent` unless it is moved on or ended for kStreamSilenceLimit.
class SilenceTimer {
 public:
  explicit SilenceTimer(asio::io_context& io) : timer(io) {}

  template <class Handler>
  void MoveOn(Handler on_silent) {
    this->timer.expires_after(kStreamSilenceLimit);
    this->timer.async_wait([on_silent = std::move(on_silent)](ErrorCode error) {
      if (!error)
        on_silent();
    });
  }
  void End() { this->timer.cancel(); }

 private:
  asio::steady_timer timer;
};

struct FrameTransport::Incoming : std::enable_shared_from_this<Incoming>,
                                  boost::intrusive::list_base_hook<> {
  Incoming(FrameTransport& owner, tcp::socket accepted);
  ~Incoming();
  Incoming(const Incoming&) = delete;
  Incoming& operator=(const Incoming&) = delete;

  void Read() {
    this->silence.MoveOn([self = this->shared_from_this()] {
      self->transport.counters.Add(TransportEvent::kStreamTimedOut);
      ErrorCode ignored;
      self->socket.close(ignored);
    });
    const std::size_t wanted = std::min(
        kMaxStreamBytes + 1, std::max(kFirstStreamBuffer, this->filled * 2));
    if (wanted > this->frame.size() && !this->transport.MakeRoom(*this, wanted))
      return;
    this->frame.resize(wanted);
    this->socket.async_read_some(
        asio::buffer(this->frame.data() + this->filled,
                     this->frame.size() - this->filled),
        [self = this->shared_from_this()](ErrorCode error, std::size_t bytes) {
          self->filled += bytes;
          self->Continue(error);
        });
  }

  // Its pending read ends with an error, and its memory is freed then.
  void EndForMemory() {
    this->transport.counters.Add(TransportEvent::kStreamNoMemory);
    this->silence.End();
    this->ended = true;
    ErrorCode ignored;
    this->socket.close(ignored);
  }

  void Continue(ErrorCode error) {
    if (this->ended)
      return;
    if (this->filled > kMaxStreamBytes) {
      this->transport.counters.Add(TransportEvent::kStreamTooLong);
      this->silence.End();
      return;
    }
    if (!error) {
      this->transport.on_stream_bytes(this->host);
      this->Read();
      return;
    }
    this->silence.End();
    // Anything but a clean end is a broken stream: its frame is not whole.
    if (error != asio::error::eof)
      return;
    this->transport.counters.Add(TransportEvent::kStreamReceived);
    this->transport.counters.Add(TransportEvent::kBytesReceived, this->filled);
    this->transport.handler(Address{},
                            std::string_view(this->frame.data(), this->filled));
  }

  FrameTransport& transport;
  std::shared_ptr<IncomingList> list;
  tcp::socket socket;
  SilenceTimer silence;
  std::string host;
  std::string frame;
  std::size_t filled = 0;
  bool ended = false;
};

struct FrameTransport::IncomingList {
  boost::intrusive::list<Incoming> streams;
};

FrameTransport::Incoming::Incoming(FrameTransport& owner, tcp::socket accepted)
    : transport(owner),
      list(owner.incoming),
      socket(std::move(accepted)),
      silence(owner.io) {
  this->list->streams.push_back(*this);
  ErrorCode ignored;  // no host is known then
  this->host = this->socket.remote_endpoint(ignored).address().to_string();
}

FrameTransport::Incoming::~Incoming() {
  this->list->streams.erase(this->list->streams.iterator_to(*this));
}

struct FrameTransport::Outgoing : std::enable_shared_from_this<Outgoing> {
  Outgoing(FrameTransport& owner, std::string bytes)
      : transport(owner),
        socket(owner.io),
        silence(owner.io),
        frame(std::move(bytes)) {}

  void Start(const tcp::endpoint& to) {
    this->MoveOn();
    this->socket.async_connect(
        to, [self = this->shared_from_this()](ErrorCode error) {
          if (error) {
            self->transport.counters.Add(TransportEvent::kStreamConnectFailed);
            self->silence.End();
            return;
          }
          self->Write();
        });
  }

  void MoveOn() {
    this->silence.MoveOn([self = this->shared_from_this()] {
      self->transport.counters.Add(TransportEvent::kStreamTimedOut);
      ErrorCode ignored;
      self->socket.close(ignored);
    });
  }

  void Write() {
    this->MoveOn();
    this->socket.async_write_some(
        asio::buffer(this->frame.data() + this->written,
                     this->frame.size() - this->written),
        [self = this->shared_from_this()](ErrorCode error, std::size_t bytes) {
          self->written += bytes;
          self->transport.counters.Add(TransportEvent::kBytesSent, bytes);
          if (!error && self->written < self->frame.size()) {
            self->Write();
            return;
          }
          self->silence.End();
          if (error)
            return;
          self->transport.counters.Add(TransportEvent::kStreamSent);
          ErrorCode ignored;
          self->socket.shutdown(tcp::socket::shutdown_send, ignored);
        });
  }

  FrameTransport& transport;
  tcp::socket socket;
  SilenceTimer silence;
  std::string frame;
  std::size_t written = 0;
};

FrameTransport::FrameTransport(asio::io_context& loop,
                               FrameHandler frame_handler)
    : io(loop),
      handler(std::move(frame_handler)),
      datagram_socket(loop),
      acceptor(loop),
      incoming(std::make_shared<IncomingList>()) {}

FrameTransport::~FrameTransport() = default;

bool FrameTransport::MakeRoom(Incoming& stream, std::size_t wanted) {
  const auto size_of = [&](const Incoming& each) -> std::size_t {
    if (each.ended)
      return 0;
    return &each == &stream ? wanted : each.frame.size();
  };
  while (true) {
    std::size_t total = 0;
    Incoming* largest = &stream;
    for (Incoming& each : this->incoming->streams) {
      total += size_of(each);
      if (size_of(each) > size_of(*largest))
        largest = &each;
    }
    if (total <= kMaxStreamBytesInAll)
      return true;
    largest->EndForMemory();
    if (largest == &stream)
      return false;
  }
}

Result<Address> FrameTransport::Listen(const Address& address) {
  const auto wanted = EndpointOf<udp>(address);
  if (!wanted)
    return tl::make_unexpected(wanted.error());
  ErrorCode error;
  // With port 0 the UDP port is the kernel's choice and TCP must get the same
  // number; another program may hold it, so a few draws are made.
  for (int attempt = 0; attempt < kBindAttempts; ++attempt) {
    ErrorCode ignored;
    this->datagram_socket.close(ignored);
    this->acceptor.close(ignored);
    this->datagram_socket.open(wanted->protocol(), error);
    if (!error)
      this->datagram_socket.bind(*wanted, error);
    if (error)
      continue;
    const auto bound = this->datagram_socket.local_endpoint();
    const tcp::endpoint stream_end(bound.address(), bound.port());
    this->acceptor.open(stream_end.protocol(), ignored);
    this->acceptor.set_option(tcp::acceptor::reuse_address(true), ignored);
    this->acceptor.bind(stream_end, error);
    if (!error)
      this->acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error)
      continue;
    this->ReceiveDatagram();
    this->AcceptStream();
    return Address{bound.address().to_string(), bound.port()};
  }
  return Fail(ErrorKind::kSettings, "cannot listen on " + address.host + ":" +
                                        std::to_string(address.port) + ": " +
                                        error.message());
}

void FrameTransport::SendDatagram(const Address& to, std::string_view frame) {
  const auto endpoint = EndpointOf<udp>(to);
  ErrorCode error = asio::error::invalid_argument;
  if (endpoint)
    this->datagram_socket.send_to(asio::buffer(frame.data(), frame.size()),
                                  *endpoint, 0, error);
  if (error) {
    this->counters.Add(TransportEvent::kDatagramSendFailed);
    return;
  }
  this->counters.Add(TransportEvent::kDatagramSent);
  this->counters.Add(TransportEvent::kBytesSent, frame.size());
}

void FrameTransport::SendStream(const Address& to, std::string frame) {
  const auto endpoint = EndpointOf<tcp>(to);
  if (!endpoint) {
    this->counters.Add(TransportEvent::kStreamConnectFailed);
    return;
  }
  std::make_shared<Outgoing>(*this, std::move(frame))->Start(*endpoint);
}

void FrameTransport::Close() {
  ErrorCode ignored;
  this->datagram_socket.close(ignored);
  this->acceptor.close(ignored);
}

void FrameTransport::ReceiveDatagram() {
  this->datagram_socket.async_receive_from(
      asio::buffer(this->datagram), this->datagram_from,
      [this](ErrorCode error, std::size_t bytes) {
        if (error == asio::error::operation_aborted ||
            !this->datagram_socket.is_open())
          return;
        // An error here is an ICMP answer to an earlier send: the peer's port
        // is closed. Membership finds that out by itself.
        if (!error) {
          this->counters.Add(TransportEvent::kDatagramReceived);
          this->counters.Add(TransportEvent::kBytesReceived, bytes);
          this->handler(Address{this->datagram_from.address().to_string(),
                                this->datagram_from.port()},
                        std::string_view(this->datagram.data(), bytes));
        }
        this->ReceiveDatagram();
      });
}

void FrameTransport::AcceptStream() {
  this->acceptor.async_accept([this](ErrorCode error, tcp::socket socket) {
    if (error == asio::error::operation_aborted || !this->acceptor.is_open())
      return;
    // An error here is a lack of descriptors, most likely: the streams under
    // way free them.
    if (error || this->incoming->streams.size() >= kMaxStreamsIn)
      this->counters.Add(TransportEvent::kStreamRefusedTooMany);
    else
      std::make_shared<Incoming>(*this, std::move(socket))->Read();
    this->AcceptStream();
  });
}

}  // namespace teaselspread
