// What the HTTP client and server of cxxtools do with cut, lengthless and
// foreign messages: the trial behind docs/design/0006-http.md.

#include <chrono>
#include <cstdint>
#include <exception>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

#include <cxxtools/eventloop.h>
#include <cxxtools/http/client.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>

#include "../tests/contract/raw_socket.h"

namespace {

using namespace std::chrono_literals;
using teaselspread::RawSocket;
using teaselspread::ScriptedPeer;

constexpr std::uint16_t kServerPort = 19600;

struct Case {
  const char* name;
  std::string bytes;
};

class EchoResponder : public cxxtools::http::Responder {
 public:
  explicit EchoResponder(cxxtools::http::Service& service)
      : Responder(service) {}

  void reply(std::ostream& out,
             cxxtools::http::Request& request,
             cxxtools::http::Reply& /*reply*/) override {
    out << request.bodyStr().size();
  }
};

void TryClient(const Case& answer) {
  const ScriptedPeer peer([&](const RawSocket& socket, int) {
    ScriptedPeer::ReadHead(socket);
    socket.Send(answer.bytes);
  });
  std::cout << "client: " << answer.name << ": ";
  try {
    cxxtools::http::Client client("127.0.0.1", peer.At().port);
    client.get("/", cxxtools::Seconds(2));
    std::cout << client.header().httpReturnCode() << " body '" << client.body()
              << "'\n";
  } catch (const std::exception& error) {
    std::cout << "exception " << error.what() << "\n";
  }
}

void TryServer(const Case& request) {
  const RawSocket caller = RawSocket::ConnectTo(kServerPort);
  caller.Send(request.bytes);
  const std::string answer = caller.ReadUntil(
      [](const std::string& bytes) {
        return bytes.find("\r\n\r\n") != std::string::npos;
      },
      2000ms);
  std::cout << "server: " << request.name << ": '"
            << answer.substr(0, answer.find('\r')) << "'\n";
}

}  // namespace

int main() {
  const std::string head = "HTTP/1.1 200 OK\r\n";
  const std::vector<Case> answers = {
      {"short body", head + "Content-Length: 10\r\n\r\nhalf"},
      {"chunks cut", head + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"},
      {"chunk cut", head + "Transfer-Encoding: chunked\r\n\r\n8\r\nhalf"},
      {"no length", head + "\r\nhalf"},
      {"closed without a byte", ""},
      {"cut in the headers", head},
      {"whole", head + "Content-Length: 4\r\n\r\ngood"},
  };
  for (const Case& answer : answers)
    TryClient(answer);

  cxxtools::EventLoop loop;
  cxxtools::http::Server server(loop, "127.0.0.1", kServerPort);
  cxxtools::http::CachedService<EchoResponder> service;
  server.addService("/", service);
  std::thread running([&loop] { loop.run(); });
  std::this_thread::sleep_for(200ms);
  const std::string big(5000, 'x');
  const std::vector<Case> requests = {
      {"whole", "POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc"},
      {"nonsense", "nonsense\r\n\r\n"},
      {"headers too large", "GET / HTTP/1.1\r\nX-Big: " + big + "\r\n\r\n"},
      {"length is no number",
       "POST / HTTP/1.1\r\nContent-Length: many\r\n\r\n"},
      {"two lengths",
       "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd"},
      {"length and chunks",
       "POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: "
       "chunked\r\n\r\n0\r\n\r\n"},
      {"length far too large",
       "POST / HTTP/1.1\r\nContent-Length: 999999999999\r\n\r\nabc"},
  };
  for (const Case& request : requests)
    TryServer(request);
  std::cout << std::flush;
  std::_Exit(0);
}
