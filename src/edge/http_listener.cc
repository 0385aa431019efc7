#include "edge/http_listener.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "edge/endpoint.h"
#include "edge/http_session.h"

namespace teaselspread {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

// How often all connections are checked for time-outs. A timer for each
// connection would have to be set and cleared with each request.
constexpr std::chrono::milliseconds kSweepInterval{500};
// Bytes that the kernel receives for a connection before it is read. They count
// toward the memory of the VM, and a crowd fills the buffers of all
// connections.
constexpr int kFirstReceiveBuffer = 16 * 1024;
// Connections at which one search for a dispensable one looks. A crowd makes up
// most of them, and a longer search would cost more than the crowd itself.
constexpr std::size_t kExamined = 32;

constexpr std::array<std::string_view,
                     static_cast<std::size_t>(ListenerEvent::kCount)>
    kNames = {"accepted",         "request",         "bad-request",
              "headers-large",    "body-too-large",  "header-timeout",
              "idle-closed",      "caller-left",     "accept-failed",
              "left-before-read", "partial-refused", "no-memory",
              "body-timeout",     "read-timeout",    "crowded-out"};

}  // namespace

std::string_view NameOf(ListenerEvent event) {
  return kNames.at(static_cast<std::size_t>(event));
}

HttpListener::HttpListener(asio::io_context& io, ExchangeHandler handler)
    : acceptor(io),
      sweep(io),
      accept_retry(io),
      on_request(std::move(handler)) {}

HttpListener::~HttpListener() {
  const std::set<HttpSession*> open_sessions = std::move(this->sessions);
  this->sessions.clear();
  for (HttpSession* session : open_sessions) {
    session->DetachListener();
    session->Close();
    intrusive_ptr_release(session);
  }
}

Result<Address> HttpListener::Listen(const Address& address) {
  auto bound = ListenOn(this->acceptor, address);
  if (!bound)
    return bound;
  boost::system::error_code ignored;  // the kernel's own size does as well
  this->acceptor.set_option(
      asio::socket_base::receive_buffer_size(kFirstReceiveBuffer), ignored);
  this->Accept();
  this->Sweep();
  return bound;
}

void HttpListener::Accept() {
  this->acceptor.async_accept(
      [this](boost::system::error_code error, tcp::socket socket) {
        if (error == asio::error::operation_aborted)
          return;
        if (error) {
          this->counters.Add(ListenerEvent::kAcceptFailed);
          this->CloseDispensable();
          this->AcceptLater();
          return;
        }
        this->counters.Add(ListenerEvent::kAccepted);
        this->Admit(std::move(socket));
        this->Accept();
      });
}

void HttpListener::AcceptLater() {
  this->accept_retry.expires_after(kAcceptRetry);
  this->accept_retry.async_wait([this](boost::system::error_code error) {
    if (!error)
      this->Accept();
  });
}

// A connection that finds no place ends with its socket.
void HttpListener::Admit(tcp::socket socket) {
  if (this->sessions.size() >= this->max_connections) {
    this->counters.Add(ListenerEvent::kCrowdedOut);
    if (!this->CloseDispensable())
      return;
  }
  boost::system::error_code ignored;  // a reset socket fails at its read
  socket.set_option(tcp::no_delay(true), ignored);
  auto* session = new HttpSession(std::move(socket), *this);
  intrusive_ptr_add_ref(session);
  this->sessions.insert(session);
  session->Start();
}

bool HttpListener::CloseDispensable() {
  const TimePoint now = SteadyNow();
  HttpSession* best = nullptr;
  std::pair best_rank{Dispensable::kNo, TimePoint::min()};
  auto at = this->sessions.upper_bound(this->last_examined);
  const std::size_t count = std::min(kExamined, this->sessions.size());
  for (std::size_t i = 0; i < count; ++i, ++at) {
    if (at == this->sessions.end())
      at = this->sessions.begin();
    HttpSession* session = *at;
    this->last_examined = session;
    const ConnectionState state = session->State();
    const std::pair rank{DispensableAs(state, now), state.since};
    if (rank >= best_rank)
      continue;
    best = session;
    best_rank = rank;
  }
  if (best == nullptr)
    return false;
  best->Close();
  return true;
}

void HttpListener::Sweep() {
  this->sweep.expires_after(kSweepInterval);
  this->sweep.async_wait([this](boost::system::error_code error) {
    if (error)
      return;
    const TimePoint now = SteadyNow();
    for (const SessionPtr& session : this->OpenSessions())
      session->CheckTimeouts(now);
    this->Sweep();
  });
}

std::vector<HttpListener::SessionPtr> HttpListener::OpenSessions() const {
  return {this->sessions.begin(), this->sessions.end()};
}

void HttpListener::CloseIntake() {
  boost::system::error_code ignored;  // it may be closed already
  this->accept_retry.cancel();
  this->acceptor.close(ignored);
  for (const SessionPtr& session : this->OpenSessions())
    session->StopReceiving();
}

void HttpListener::RefusePartialRequests(const PartialHandler& refuse) {
  for (const SessionPtr& session : this->OpenSessions())
    session->RefusePartial(refuse);
}

bool HttpListener::EndLargestSlow() {
  const TimePoint now = SteadyNow();
  HttpSession* largest = nullptr;
  std::size_t most = 0;
  for (HttpSession* session : this->sessions) {
    const std::size_t bytes = session->SlowBytes(now);
    if (bytes <= most)
      continue;
    largest = session;
    most = bytes;
  }
  if (largest == nullptr)
    return false;
  largest->EndSlow(now);
  return true;
}

std::size_t HttpListener::CountPending() const {
  std::size_t open = 0;
  for (const HttpSession* session : this->sessions)
    open += session->CountPending();
  return open;
}

std::size_t HttpListener::CountPartial() const {
  return static_cast<std::size_t>(std::count_if(
      this->sessions.begin(), this->sessions.end(),
      [](const HttpSession* session) { return session->IsReceiving(); }));
}

}  // namespace teaselspread
