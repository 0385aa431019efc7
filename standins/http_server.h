// A small HTTP server for the stand-ins: one thread for each connection, and
// control over the bytes of an answer, so that answers can be cut, held back or
// left out. It is no part of the product.
#ifndef TEASELSPREAD_STANDINS_HTTP_SERVER_H_
#define TEASELSPREAD_STANDINS_HTTP_SERVER_H_

#include <poll.h>
#include <signal.h>
#include <sys/socket.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <iostream>
#include <list>
#include <memory>
#include <mutex>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace standin {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;
using Clock = std::chrono::steady_clock;
using Tcp = asio::ip::tcp;

constexpr std::uint64_t kMaxBodyBytes = 128U << 20;

// The value of header `name`, or "". Thread safe.
inline std::string HeaderOf(const Request& request, std::string_view name) {
  const auto value = request[boost::string_view(name.data(), name.size())];
  return {value.data(), value.size()};
}

// Path without its query. Thread safe.
inline std::string PathOf(const Request& request) {
  const std::string target(request.target().data(), request.target().size());
  return target.substr(0, target.find('?'));
}

// Number `key` of the query string, or `fallback`. Thread safe.
inline std::int64_t QueryNumber(const Request& request,
                                const std::string& key,
                                std::int64_t fallback) {
  const std::string target(request.target().data(), request.target().size());
  const std::size_t question = target.find('?');
  if (question == std::string::npos)
    return fallback;
  std::istringstream query(target.substr(question + 1));
  for (std::string pair; std::getline(query, pair, '&');) {
    if (pair.rfind(key + "=", 0) == 0)
      return std::strtoll(pair.c_str() + key.size() + 1, nullptr, 10);
  }
  return fallback;
}

// An answer with a text body. Thread safe.
inline Response TextAnswer(unsigned status, std::string body) {
  Response response;
  response.result(status);
  response.set(http::field::content_type, "text/plain");
  response.body() = std::move(body);
  return response;
}

// One accepted connection. Only its own thread reads and writes; `Break` and
// `silent` may be used by others.
class Connection {
 public:
  explicit Connection(Tcp::socket accepted) : socket(std::move(accepted)) {
    this->socket.set_option(Tcp::no_delay(true));
  }

  // Sends the whole answer, unless this connection fell silent meanwhile.
  void Send(Response response) {
    if (this->silent)
      return this->WaitForPeer();
    response.prepare_payload();
    boost::system::error_code error;
    http::write(this->socket, response, error);
    if (error || !response.keep_alive())
      this->open = false;
  }

  // Sends the whole answer at this many bytes a second.
  void SendAtPace(Response response, std::size_t bytes_per_second) {
    constexpr std::size_t kSlicesPerSecond = 20;
    response.prepare_payload();
    std::ostringstream text;
    text << response;
    const std::string bytes = text.str();
    const std::size_t slice = bytes_per_second / kSlicesPerSecond + 1;
    boost::system::error_code error;
    for (std::size_t at = 0; at < bytes.size() && !error; at += slice) {
      const std::size_t length = std::min(slice, bytes.size() - at);
      asio::write(this->socket, asio::buffer(bytes.data() + at, length), error);
      std::this_thread::sleep_for(
          std::chrono::milliseconds(1000 / kSlicesPerSecond));
    }
    if (error || !response.keep_alive())
      this->open = false;
  }

  // Sends only `share` (0..1) of the body that Content-Length promises.
  void SendCut(Response response, double share) {
    response.prepare_payload();
    std::ostringstream text;
    text << response;
    const std::string bytes = text.str();
    const std::size_t head = bytes.size() - response.body().size();
    const auto kept = static_cast<std::size_t>(
        static_cast<double>(response.body().size()) * share);
    boost::system::error_code error;
    asio::write(this->socket, asio::buffer(bytes, head + kept), error);
    this->open = false;
  }

  // Holds the connection open without a byte until the peer closes it.
  void WaitForPeer() {
    char byte = 0;
    boost::system::error_code error;
    while (!error)
      this->socket.read_some(asio::buffer(&byte, 1), error);
    this->open = false;
  }

  // True when the peer has closed its side. Thread safe.
  [[nodiscard]] bool PeerGone() {
    pollfd entry{this->socket.native_handle(), POLLRDHUP, 0};
    return ::poll(&entry, 1, 0) > 0;
  }

  // Ends whatever the connection's thread waits for. Thread safe.
  void Break() { ::shutdown(this->socket.native_handle(), SHUT_RDWR); }

  Tcp::socket socket;
  boost::beast::flat_buffer buffer;
  std::atomic<bool> open{true};
  std::atomic<bool> silent{false};
};

// Listens on one port. Thread safe.
class Server {
 public:
  using Handler = std::function<void(const Request&, Connection&)>;

  Server(const std::string& host, std::uint16_t port, Handler handle_request)
      : endpoint(asio::ip::make_address(host), port),
        handler(std::move(handle_request)) {
    this->Open();
  }

  ~Server() { this->Close(); }
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  [[nodiscard]] std::uint16_t Port() const { return this->endpoint.port(); }

  // Listens again after `Close`, on the same port.
  void Open() {
    const std::scoped_lock lock(this->gate);
    if (this->acceptor)
      return;
    this->acceptor = this->Listen();
    this->endpoint = this->acceptor->local_endpoint();
    std::thread([this, listening = this->acceptor] {
      this->Accept(listening);
    }).detach();
  }

  // Refuses new connections and breaks the open ones, `last` some time after
  // the others.
  void Close(Connection* last = nullptr) {
    {
      const std::scoped_lock lock(this->gate);
      if (this->acceptor)
        ::shutdown(this->acceptor->native_handle(), SHUT_RDWR);
      this->acceptor.reset();
      for (const auto& connection : this->connections) {
        if (connection.get() != last)
          connection->Break();
      }
    }
    if (last == nullptr)
      return;
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    last->open = false;
    last->Break();
  }

  // Every connection open now stops answering for good; new ones work.
  void SilenceOpenConnections() {
    const std::scoped_lock lock(this->gate);
    for (const auto& connection : this->connections)
      connection->silent = true;
  }

 private:
  // The port may be in use for a moment, until the thread of a closed acceptor
  // has let go of it. Ends the process when it stays in use.
  std::shared_ptr<Tcp::acceptor> Listen() {
    constexpr int kAttempts = 100;
    for (int attempt = 0; attempt < kAttempts; ++attempt) {
      try {
        return std::make_shared<Tcp::acceptor>(this->context, this->endpoint,
                                               true);
      } catch (const boost::system::system_error& error) {
        std::cerr << "can't listen: " << error.what() << "\n";
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
      }
    }
    std::_Exit(1);
  }

  void Accept(const std::shared_ptr<Tcp::acceptor>& listening) {
    while (true) {
      boost::system::error_code error;
      Tcp::socket socket = listening->accept(error);
      if (error)
        return;
      auto connection = std::make_shared<Connection>(std::move(socket));
      const std::scoped_lock lock(this->gate);
      this->connections.push_back(connection);
      std::thread([this, connection] { this->Serve(connection); }).detach();
    }
  }

  void Serve(const std::shared_ptr<Connection>& connection) {
    while (connection->open) {
      http::request_parser<http::string_body> parser;
      parser.body_limit(kMaxBodyBytes);
      boost::system::error_code error;
      http::read(connection->socket, connection->buffer, parser, error);
      if (error)
        break;
      if (connection->silent) {
        connection->WaitForPeer();
        break;
      }
      this->handler(parser.get(), *connection);
    }
    const std::scoped_lock lock(this->gate);
    this->connections.remove(connection);
  }

  asio::io_context context;
  Tcp::endpoint endpoint;
  Handler handler;
  std::mutex gate;
  std::shared_ptr<Tcp::acceptor> acceptor;
  std::list<std::shared_ptr<Connection>> connections;
};

// Blocks SIGTERM and SIGINT in this thread and in those started after it.
// Call first in main.
inline sigset_t BlockStopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  (void)signal(SIGPIPE, SIG_IGN);
  return signals;
}

// Waits for SIGTERM or SIGINT. Precondition: BlockStopSignals was called.
inline void WaitForStop(const sigset_t& signals) {
  int received = 0;
  sigwait(&signals, &received);
}

// Ends the process without waiting for connection threads.
[[noreturn]] inline void Leave(int code) {
  std::cout << std::flush;
  std::_Exit(code);
}

}  // namespace standin

#endif  // TEASELSPREAD_STANDINS_HTTP_SERVER_H_
