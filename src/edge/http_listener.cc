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

constexpr std::array<std::string_view,
                     static_cast<std::size_t>(ListenerEvent::kCount)>
    kNames = {"accepted",         "request",         "bad-request",
              "headers-large",    "body-too-large",  "header-timeout",
              "idle-closed",      "caller-left",     "accept-failed",
              "left-before-read", "partial-refused", "no-memory",
              "body-timeout",     "read-timeout"};

}  // namespace

std::string_view NameOf(ListenerEvent event) {
  return kNames.at(static_cast<std::size_t>(event));
}

HttpListener::HttpListener(asio::io_context& io, ExchangeHandler handler)
    : acceptor(io), sweep(io), on_request(std::move(handler)) {}

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
          this->Accept();
          return;
        }
        this->counters.Add(ListenerEvent::kAccepted);
        boost::system::error_code ignored;  // a reset socket fails at its read
        socket.set_option(tcp::no_delay(true), ignored);
        auto* session = new HttpSession(std::move(socket), *this);
        intrusive_ptr_add_ref(session);
        this->sessions.insert(session);
        session->Start();
        this->Accept();
      });
}

void HttpListener::Sweep() {
  this->sweep.expires_after(kSweepInterval);
  this->sweep.async_wait([this](boost::system::error_code error) {
    if (error)
      return;
    const std::vector<HttpSession*> open(this->sessions.begin(),
                                         this->sessions.end());
    const TimePoint now = SteadyNow();
    for (HttpSession* session : open)
      session->CheckTimeouts(now);
    this->Sweep();
  });
}

void HttpListener::CloseIntake() {
  boost::system::error_code ignored;  // it may be closed already
  this->acceptor.close(ignored);
  const std::vector<HttpSession*> open(this->sessions.begin(),
                                       this->sessions.end());
  for (HttpSession* session : open)
    session->StopReceiving();
}

void HttpListener::RefusePartialRequests(const PartialHandler& refuse) {
  const std::vector<HttpSession*> open(this->sessions.begin(),
                                       this->sessions.end());
  for (HttpSession* session : open)
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
