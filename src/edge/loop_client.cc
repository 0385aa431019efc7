#include "edge/loop_client.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <exception>
#include <memory>
#include <optional>
#include <string_view>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "base/clock.h"
#include "edge/http_text.h"
#include "http/beast_convert.h"
#include "http/response_head.h"
#include "teaselspread/logging.h"
#include "teaselspread/settings.h"

namespace teaselspread {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using Parser = http::response_parser<http::string_body>;

constexpr std::size_t kReadBytes = 16384;
constexpr std::uint32_t kMaxHeaderBytes = 65536;
// A running server accepts a connection within a few milliseconds; one lost SYN
// packet is retransmitted within this time.
constexpr std::chrono::milliseconds kConnectTimeout{1000};
// A process on the same VM accepts or refuses at once unless its queue of new
// connections is full.
constexpr std::chrono::milliseconds kCheckTimeout{100};
// Margin before the idle time-out that a server announces. A request sent while
// the server closes the connection may or may not have run.
constexpr std::chrono::milliseconds kKeepAliveMargin{1000};

constexpr std::array<std::string_view,
                     static_cast<std::size_t>(CallEvent::kCount)>
    kNames = {"opened",      "reused",        "connect-failed",
              "idle-closed", "unasked-bytes", "foreign-answer",
              "truncated",   "bad-answer",    "cancelled",
              "too-large"};

// The time-out in a Keep-Alive value such as "timeout=5, max=100"; none without
// an integer.
std::optional<Duration> KeepAliveOf(std::string_view value) {
  constexpr std::string_view kName = "timeout=";
  const std::size_t at = value.find(kName);
  if (at == std::string_view::npos)
    return std::nullopt;
  const std::string_view digits = value.substr(at + kName.size());
  int seconds = 0;
  const auto [end, error] =
      std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  if (error != std::errc{})
    return std::nullopt;
  return std::chrono::seconds(seconds);
}

}  // namespace

std::string_view NameOf(CallEvent event) {
  return kNames.at(static_cast<std::size_t>(event));
}

// One connection; it carries one call at a time.
class LoopConnection
    : public boost::intrusive_ref_counter<LoopConnection,
                                          boost::thread_unsafe_counter> {
 public:
  LoopConnection(asio::io_context& io, LoopClient& owner)
      : pool(&owner), socket(io), connect_timer(io) {}

  void Open(const Address& to);
  void Begin(std::string text,
             RequestBodyPtr body,
             std::string id,
             bool head,
             CallHandler handler,
             std::function<void()> on_bytes);
  void Close();
  // Closes with a reset, which discards what the server has not read yet.
  void Abort();
  void DetachPool() { this->pool = nullptr; }
  // False if the server has closed the connection or sent unexpected bytes that
  // the loop has not processed yet. A request sent now would fail in a way that
  // does not show whether it ran.
  [[nodiscard]] bool IsReusable();
  [[nodiscard]] bool Connected() const { return this->connected; }
  // Bytes of the response's body that have been received.
  [[nodiscard]] std::size_t HeldBytes() const { return this->held; }
  void FailTooLarge();

  TimePoint idle_since;
  // Idle time after which the upstream closes the connection.
  std::optional<Duration> keep_alive;

 private:
  using Self = boost::intrusive_ptr<LoopConnection>;

  void Write();
  void Read();
  void OnReadError(boost::system::error_code error);
  void OnBytes(std::size_t bytes);
  void Parse();
  // False if the call has failed, since the head that was received as `text`
  // can't be trusted.
  bool TakeHead(std::string_view text);
  // Whether a response without a length ends with the connection. A cut looks
  // the same once a failed write has consumed the socket's error.
  [[nodiscard]] bool BodyMayEndHere(boost::system::error_code error) const;
  // False if the call has failed for its response's length.
  bool CheckLength();
  void SetHeld(std::size_t bytes);
  void NewParser();
  bool HandleResponse();
  void Complete();
  void FailCall(ErrorKind kind, Execution execution, CallEvent event);
  void ReleaseIfIdle();

  LoopClient* pool;
  tcp::socket socket;
  asio::steady_timer connect_timer;
  boost::beast::flat_buffer buffer;
  std::optional<Parser> parser;
  // Fields of the response's head. The parser adds trailers to its own, which
  // would then pass for those of the head.
  HttpHeaders response_headers;
  std::string request_text;
  // Sent behind `request_text`; null for none.
  RequestBodyPtr request_body;
  std::string request_id;
  CallHandler done;
  std::function<void()> on_response_bytes;
  std::size_t held = 0;
  bool head_only = false;
  bool connected = false;
  bool reading = false;
  bool writing = false;
  bool write_failed = false;
  bool busy = false;
  bool must_close = false;
  bool closed = false;
};

void LoopConnection::Open(const Address& to) {
  const tcp::endpoint endpoint(asio::ip::make_address(to.host), to.port);
  this->connect_timer.expires_after(kConnectTimeout);
  this->connect_timer.async_wait(
      [self = Self(this)](boost::system::error_code error) {
        if (!error && !self->connected)
          self->FailCall(ErrorKind::kConnectFailed, Execution::kNotRun,
                         CallEvent::kConnectFailed);
      });
  this->socket.async_connect(
      endpoint, [self = Self(this)](boost::system::error_code error) {
        if (self->closed)
          return;
        self->connect_timer.cancel();
        if (error) {
          self->FailCall(ErrorKind::kConnectFailed, Execution::kNotRun,
                         CallEvent::kConnectFailed);
          return;
        }
        self->connected = true;
        boost::system::error_code ignored;  // affects latency only
        self->socket.set_option(tcp::no_delay(true), ignored);
        self->Write();
        self->Read();
      });
}

void LoopConnection::Begin(std::string text,
                           RequestBodyPtr body,
                           std::string id,
                           bool head,
                           CallHandler handler,
                           std::function<void()> on_bytes) {
  this->request_text = std::move(text);
  this->request_body = std::move(body);
  this->request_id = std::move(id);
  this->head_only = head;
  this->done = std::move(handler);
  this->on_response_bytes = std::move(on_bytes);
  this->busy = true;
  this->NewParser();
  if (this->connected)
    this->Write();
}

void LoopConnection::NewParser() {
  this->SetHeld(0);
  this->parser.emplace();
  this->response_headers.clear();
  // Stops after the headers, so that the length is checked before memory for
  // the body is taken.
  this->parser->eager(false);
  this->parser->skip(this->head_only);
  this->parser->header_limit(kMaxHeaderBytes);
  this->parser->body_limit(kMaxResponseBytes);
}

void LoopConnection::Write() {
  this->writing = true;
  const std::string_view body = BytesOf(this->request_body);
  const std::array<asio::const_buffer, 2> buffers = {
      asio::buffer(this->request_text), asio::buffer(body.data(), body.size())};
  asio::async_write(
      this->socket, buffers,
      [self = Self(this)](boost::system::error_code error, std::size_t) {
        self->writing = false;
        self->request_body = nullptr;
        if (self->closed)
          return;
        // A failed write does not end the call: a response that explains the
        // failure may follow. The read decides.
        self->write_failed = bool{error};
        self->must_close = self->must_close || self->write_failed;
        self->ReleaseIfIdle();
      });
}

void LoopConnection::Read() {
  if (this->reading || this->closed)
    return;
  this->reading = true;
  this->socket.async_read_some(
      this->buffer.prepare(kReadBytes),
      [self = Self(this)](boost::system::error_code error, std::size_t bytes) {
        self->reading = false;
        if (self->closed)
          return;
        if (error) {
          self->OnReadError(error);
          return;
        }
        self->OnBytes(bytes);
        self->Read();
      });
}

// What one upstream sends must not end the process.
void LoopConnection::OnBytes(std::size_t bytes) {
  const Self keep(this);
  this->buffer.commit(bytes);
  if (this->busy && this->on_response_bytes)
    this->on_response_bytes();
  try {
    this->Parse();
  } catch (const std::exception& thrown) {
    Log(LogLevel::kError, "calls", "response-threw",
        {{"id", this->request_id}, {"message", thrown.what()}});
    this->FailTooLarge();
  }
}

void LoopConnection::OnReadError(boost::system::error_code error) {
  if (!this->busy) {
    if (this->pool != nullptr)
      this->pool->counters.Add(CallEvent::kClosedWhileIdle);
    this->Close();
    return;
  }
  this->must_close = true;
  if (this->BodyMayEndHere(error)) {
    boost::system::error_code parse_error;
    this->parser->put_eof(parse_error);
    if (!parse_error && this->parser->is_done() && this->HandleResponse())
      return;
  }
  const bool response_started = this->parser->got_some();
  this->FailCall(
      response_started ? ErrorKind::kTruncated : ErrorKind::kUpstreamFailed,
      Execution::kUnknown, CallEvent::kTruncated);
}

bool LoopConnection::BodyMayEndHere(boost::system::error_code error) const {
  const bool request_sent = !this->writing && !this->write_failed;
  return error == asio::error::eof && request_sent && this->parser->got_some();
}

bool LoopConnection::TakeHead(std::string_view text) {
  const auto& message = this->parser->get();
  const HeadFault fault = HasFoldedLine(text)
                              ? HeadFault::kFoldedLine
                              : FaultOf(message.result_int(), message);
  if (fault == HeadFault::kNone) {
    this->response_headers = HeadersOf(message);
    return true;
  }
  Log(LogLevel::kWarning, "calls", "response-malformed",
      {{"id", this->request_id},
       {"fault", NameOf(fault)},
       {"status", message.result_int()}});
  this->FailCall(ErrorKind::kWrongResponse, Execution::kUnknown,
                 CallEvent::kMalformedResponse);
  return false;
}

void LoopConnection::Parse() {
  while (this->busy && this->buffer.size() > 0) {
    boost::system::error_code error;
    const bool in_head = !this->parser->is_header_done();
    const auto received = this->buffer.cdata();
    const std::size_t used = this->parser->put(received, error);
    const std::string_view text(static_cast<const char*>(received.data()),
                                used);
    if (in_head && this->parser->is_header_done() && !this->TakeHead(text))
      return;
    this->buffer.consume(used);
    if (error && error != http::error::need_more) {
      this->FailCall(ErrorKind::kWrongResponse, Execution::kUnknown,
                     CallEvent::kMalformedResponse);
      return;
    }
    if (this->parser->is_done()) {
      if (this->HandleResponse())
        break;
      continue;
    }
    if (!this->CheckLength())
      return;
    if (used == 0)
      return;
  }
  if (!this->busy && this->buffer.size() > 0 && !this->closed) {
    // Bytes after a complete response belong to no request.
    if (this->pool != nullptr)
      this->pool->counters.Add(CallEvent::kUnexpectedBytes);
    this->Close();
  }
}

bool LoopConnection::CheckLength() {
  if (!this->parser->is_header_done())
    return true;
  this->parser->eager(true);
  if (this->parser->content_length().value_or(0) > kMaxResponseBytes) {
    this->FailTooLarge();
    return false;
  }
  this->SetHeld(this->parser->get().body().size());
  if (this->pool != nullptr)
    this->pool->EndLargestAboveLimit();
  return !this->closed;
}

void LoopConnection::SetHeld(std::size_t bytes) {
  if (this->pool != nullptr)
    this->pool->held = this->pool->held - this->held + bytes;
  this->held = bytes;
}

void LoopConnection::FailTooLarge() {
  Log(LogLevel::kWarning, "calls", "response-too-large",
      {{"id", this->request_id},
       {"held_bytes", this->held},
       {"held_by_all", this->pool == nullptr ? 0 : this->pool->held}});
  this->FailCall(ErrorKind::kWrongResponse, Execution::kUnknown,
                 CallEvent::kTooLarge);
}

// Returns whether the call has ended. A response to another request and an
// interim one are dropped, since the expected one may follow.
bool LoopConnection::HandleResponse() {
  constexpr unsigned kFirstNonSuccess = 300;
  const unsigned status = this->parser->get().result_int();
  if (IsInterimStatus(status)) {
    this->NewParser();
    return false;
  }
  const std::string_view echoed =
      FindHeader(this->response_headers, kHeaderRequestId);
  const bool success = status < kFirstNonSuccess;
  const bool id_differs = echoed.empty() ? success : echoed != this->request_id;
  const bool mismatched = !this->request_id.empty() && id_differs;
  if (mismatched) {
    if (this->pool != nullptr)
      this->pool->counters.Add(CallEvent::kMismatchedResponse);
    this->must_close = true;
    this->NewParser();
    return false;
  }
  this->Complete();
  return true;
}

void LoopConnection::Complete() {
  auto& message = this->parser->get();
  CallResult result;
  result.has_response = true;
  result.execution = Execution::kRan;
  result.response.status = static_cast<int>(message.result_int());
  result.response.headers = std::move(this->response_headers);
  this->must_close = this->must_close || !message.keep_alive();
  this->keep_alive =
      KeepAliveOf(FindHeader(result.response.headers, "Keep-Alive"));
  result.response.body = std::move(message.body());
  this->SetHeld(0);
  this->busy = false;
  this->idle_since = SteadyNow();
  this->on_response_bytes = nullptr;
  const CallHandler handler = std::exchange(this->done, nullptr);
  const Self keep(this);
  this->ReleaseIfIdle();
  handler(std::move(result));
}

void LoopConnection::FailCall(ErrorKind kind,
                              Execution execution,
                              CallEvent event) {
  if (this->pool != nullptr)
    this->pool->counters.Add(event);
  const CallHandler handler = std::exchange(this->done, nullptr);
  this->busy = false;
  const Self keep(this);
  this->Close();
  CallResult result;
  result.error = kind;
  result.execution = execution;
  if (handler)
    handler(std::move(result));
}

// A response may arrive before the whole request was sent; the connection is
// idle only when the rest of the request is written, too.
void LoopConnection::ReleaseIfIdle() {
  if (this->busy || this->writing || this->closed || this->pool == nullptr)
    return;
  if (this->must_close || this->buffer.size() > 0) {
    this->Close();
    return;
  }
  auto& idle = this->pool->idle;
  if (std::find(idle.begin(), idle.end(), this) == idle.end())
    idle.push_back(this);
}

void LoopConnection::Close() {
  if (this->closed)
    return;
  this->closed = true;
  this->SetHeld(0);
  this->done = nullptr;
  this->on_response_bytes = nullptr;
  this->connect_timer.cancel();
  boost::system::error_code ignored;  // the peer may have closed already
  this->socket.close(ignored);
  if (this->pool != nullptr) {
    std::erase(this->pool->idle, this);
    this->pool->all.erase(this);
    intrusive_ptr_release(this);
  }
}

bool LoopConnection::IsReusable() {
  char byte = 0;
  const ssize_t got =
      ::recv(this->socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void LoopConnection::Abort() {
  boost::system::error_code ignored;  // the peer may have closed already
  this->socket.set_option(asio::socket_base::linger(true, 0), ignored);
  this->Close();
}

LoopClient::~LoopClient() {
  const std::set<LoopConnection*> open = std::move(this->all);
  this->all.clear();
  for (LoopConnection* connection : open) {
    connection->DetachPool();
    connection->Close();
    intrusive_ptr_release(connection);
  }
}

void LoopClient::SetAddress(const Address& to) {
  if (this->address == to)
    return;
  this->address = to;
  this->Prune(Duration{0});
}

LoopConnection* LoopClient::TakeIdle(Duration reuse_within) {
  while (!this->idle.empty()) {
    LoopConnection* connection = this->idle.back();
    const Duration idle_time = SteadyNow() - connection->idle_since;
    const auto& server_timeout = connection->keep_alive;
    const bool about_to_close =
        server_timeout && idle_time + kKeepAliveMargin > *server_timeout;
    if (idle_time <= reuse_within && !about_to_close &&
        connection->IsReusable()) {
      this->idle.pop_back();
      return connection;
    }
    connection->Close();
  }
  return nullptr;
}

LoopConnection* LoopClient::Call(const HttpRequest& request,
                                 std::string request_id,
                                 Duration reuse_within,
                                 CallHandler done,
                                 std::function<void()> on_bytes) {
  return this->CallWithBody(request, MakeRequestBody(request.body),
                            std::move(request_id), reuse_within,
                            std::move(done), std::move(on_bytes));
}

LoopConnection* LoopClient::CallWithBody(const HttpRequest& request,
                                         RequestBodyPtr body,
                                         std::string request_id,
                                         Duration reuse_within,
                                         CallHandler done,
                                         std::function<void()> on_bytes) {
  std::string head =
      HeadTextOf(request, ToString(this->address), BytesOf(body).size());
  LoopConnection* connection = this->TakeIdle(reuse_within);
  const bool fresh = connection == nullptr;
  this->counters.Add(fresh ? CallEvent::kOpened : CallEvent::kReused);
  if (fresh) {
    connection = new LoopConnection(this->loop, *this);
    intrusive_ptr_add_ref(connection);
    this->all.insert(connection);
  }
  connection->Begin(std::move(head), std::move(body), std::move(request_id),
                    request.method == "HEAD", std::move(done),
                    std::move(on_bytes));
  if (fresh)
    connection->Open(this->address);
  return connection;
}

// The largest is the one that does not end; the others are not made to pay for
// it.
void LoopClient::EndLargestAboveLimit() {
  if (this->held <= kMaxResponseBytes)
    return;
  LoopConnection* const largest =
      *std::max_element(this->all.begin(), this->all.end(),
                        [](const LoopConnection* a, const LoopConnection* b) {
                          return a->HeldBytes() < b->HeldBytes();
                        });
  largest->FailTooLarge();
}

void LoopClient::Cancel(LoopConnection* call) {
  this->counters.Add(CallEvent::kCancelled);
  call->Abort();
}

void LoopClient::CheckListening(std::function<void(bool)> done) {
  auto socket = std::make_shared<tcp::socket>(this->loop);
  auto timer = std::make_shared<asio::steady_timer>(this->loop, kCheckTimeout);
  // Ends the attempt, so that its handler is called.
  timer->async_wait([socket, timer](boost::system::error_code error) {
    boost::system::error_code ignored;  // it may have ended already
    if (!error)
      socket->close(ignored);
  });
  const tcp::endpoint endpoint(asio::ip::make_address(this->address.host),
                               this->address.port);
  socket->async_connect(endpoint, [socket, timer, done = std::move(done)](
                                      boost::system::error_code error) {
    timer->cancel();
    done(error != asio::error::connection_refused);
  });
}

bool LoopClient::MayHaveSent(const LoopConnection* call) {
  return call->Connected();
}

void LoopClient::Prune(Duration longer_than) {
  const std::vector<LoopConnection*> idle_connections = this->idle;
  const TimePoint now = SteadyNow();
  for (LoopConnection* connection : idle_connections) {
    if (now - connection->idle_since >= longer_than)
      connection->Close();
  }
}

}  // namespace teaselspread
