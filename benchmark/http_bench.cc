// Latency and memory of the HTTP plumbing over 0, 1 and 2 forwarding hops, for
// our own server and client and for those of cxxtools.

#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <fstream>
#include <functional>
#include <iostream>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <cxxtools/eventloop.h>
#include <cxxtools/http/client.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>

#include "latency.h"
#include "teaselspread/http_client.h"
#include "teaselspread/http_server.h"

ABSL_FLAG(std::string, stack, "own", "own or cxxtools");
ABSL_FLAG(int, hops, 2, "forwarding hops between caller and upstream");
ABSL_FLAG(int, connections, 16, "callers, each with one connection");
ABSL_FLAG(int, requests, 2000, "requests for each caller");
ABSL_FLAG(double,
          rps,
          0,
          "requests a second over all callers; 0 = closed loop");
ABSL_FLAG(std::uint64_t, body_bytes, 200, "bytes of request and answer");
ABSL_FLAG(int, warm_up, 20, "first requests of a caller, which don't count");
ABSL_FLAG(int, port, 19500, "first port, for cxxtools only");

namespace {

using namespace teaselspread;
using namespace std::chrono_literals;

constexpr std::size_t kConnectionsPerTarget = 256;

CallOptions LongCall() {
  CallOptions options;
  options.timeout = 60s;
  options.silence = 60s;
  options.max_body_bytes = 256U << 20;
  return options;
}

// Makes one request and says whether it was answered whole.
using Caller = std::function<bool(const std::string& body)>;

// A chain of servers, the last of which echoes.
class Chain {
 public:
  virtual ~Chain() = default;
  virtual Caller NewCaller() = 0;
};

class OwnChain : public Chain {
 public:
  explicit OwnChain(int hops) {
    this->Add([](HttpRequest request) {
      HttpResponse response;
      response.body = std::move(request.body);
      return response;
    });
    for (int i = 0; i < hops; ++i) {
      const Address next = this->servers.back()->LocalAddress();
      this->Add([this, next](const HttpRequest& request) {
        auto answer = this->pool.Send(next, request, LongCall());
        return answer ? std::move(*answer) : ErrorResponse(answer.error());
      });
    }
  }

  Caller NewCaller() override {
    auto client = std::make_shared<HttpClientPool>(1);
    const Address first = this->servers.back()->LocalAddress();
    return [client, first](const std::string& body) {
      HttpRequest request;
      request.method = "POST";
      request.body = body;
      const auto answer = client->Send(first, request, LongCall());
      return answer && answer->status == 200 &&
             answer->body.size() == body.size();
    };
  }

 private:
  void Add(HttpHandler handler) {
    HttpServerOptions options;
    options.listen = {"127.0.0.1", 0};
    options.max_body_bytes = 256U << 20;
    auto server = HttpServer::Start(options, std::move(handler));
    if (!server) {
      std::cerr << server.error().message << "\n";
      std::exit(1);
    }
    this->servers.push_back(std::move(*server));
  }

  HttpClientPool pool{kConnectionsPerTarget};
  std::vector<std::unique_ptr<HttpServer>> servers;
};

class CxxtoolsResponder : public cxxtools::http::Responder {
 public:
  CxxtoolsResponder(cxxtools::http::Service& service, std::uint16_t next_port)
      : Responder(service), next(next_port) {
    if (next_port != 0)
      this->client.prepareConnect("127.0.0.1", next_port);
  }

  void reply(std::ostream& out,
             cxxtools::http::Request& request,
             cxxtools::http::Reply& /*reply*/) override {
    if (this->next == 0) {
      out << request.bodyStr();
      return;
    }
    cxxtools::http::Request forwarded(request.url());
    forwarded.method("POST");
    forwarded.body() << request.bodyStr();
    this->client.execute(forwarded, cxxtools::Seconds(60));
    this->client.readBody();
    out << this->client.body();
  }

 private:
  std::uint16_t next;
  cxxtools::http::Client client;
};

class CxxtoolsService : public cxxtools::http::CachedServiceBase {
 public:
  explicit CxxtoolsService(std::uint16_t next_port) : next(next_port) {}

 protected:
  cxxtools::http::Responder* newResponder() override {
    return new CxxtoolsResponder(*this, this->next);
  }

 private:
  std::uint16_t next;
};

class CxxtoolsChain : public Chain {
 public:
  explicit CxxtoolsChain(int hops) : first(absl::GetFlag(FLAGS_port)) {
    std::uint16_t next = 0;
    for (int i = 0; i <= hops; ++i) {
      auto* loop = new cxxtools::EventLoop;
      auto* server =
          new cxxtools::http::Server(*loop, "127.0.0.1", ++this->first);
      server->minThreads(32);
      server->maxThreads(64);
      server->addService("/", *new CxxtoolsService(next));
      std::thread([loop] { loop->run(); }).detach();
      next = this->first;
    }
    std::this_thread::sleep_for(300ms);
  }

  Caller NewCaller() override {
    auto client =
        std::make_shared<cxxtools::http::Client>("127.0.0.1", this->first);
    return [client](const std::string& body) {
      cxxtools::http::Request request("/");
      request.method("POST");
      request.body() << body;
      client->execute(request, cxxtools::Seconds(60));
      client->readBody();
      return client->body().size() == body.size();
    };
  }

 private:
  std::uint16_t first;
};

std::string PeakMemory() {
  std::ifstream status("/proc/self/status");
  for (std::string line; std::getline(status, line);) {
    if (line.rfind("VmHWM:", 0) == 0)
      return line.substr(line.find_first_of("0123456789"));
  }
  return "unknown";
}

std::vector<double> Run(const Caller& call, std::atomic<int>& failures) {
  const std::string body(absl::GetFlag(FLAGS_body_bytes), 'b');
  const double rate = absl::GetFlag(FLAGS_rps);
  const auto pause = std::chrono::duration_cast<std::chrono::nanoseconds>(
      std::chrono::duration<double>(
          rate > 0 ? absl::GetFlag(FLAGS_connections) / rate : 0));
  std::vector<double> latencies;
  const int warm_up = absl::GetFlag(FLAGS_warm_up);
  const int requests = absl::GetFlag(FLAGS_requests) + warm_up;
  latencies.reserve(static_cast<std::size_t>(requests));
  auto due = std::chrono::steady_clock::now();
  for (int i = 0; i < requests; ++i) {
    std::this_thread::sleep_until(due += pause);
    const auto begun = std::chrono::steady_clock::now();
    if (!call(body))
      ++failures;
    else if (i >= warm_up)
      latencies.push_back(MillisecondsSince(begun));
  }
  return latencies;
}

}  // namespace

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  const int hops = absl::GetFlag(FLAGS_hops);
  std::unique_ptr<Chain> chain;
  if (absl::GetFlag(FLAGS_stack) == "own")
    chain = std::make_unique<OwnChain>(hops);
  else
    chain = std::make_unique<CxxtoolsChain>(hops);
  std::atomic<int> failures{0};
  std::mutex gate;
  std::vector<double> all;
  std::vector<std::thread> callers;
  const int connections = absl::GetFlag(FLAGS_connections);
  callers.reserve(static_cast<std::size_t>(connections));
  for (int i = 0; i < connections; ++i) {
    callers.emplace_back([&] {
      const std::vector<double> latencies = Run(chain->NewCaller(), failures);
      const std::scoped_lock lock(gate);
      all.insert(all.end(), latencies.begin(), latencies.end());
    });
  }
  for (std::thread& caller : callers)
    caller.join();
  std::cout << R"({"stack":")" << absl::GetFlag(FLAGS_stack) << R"(","hops":)"
            << hops << R"(,"failures":)" << failures << R"(,"peak_memory":")"
            << PeakMemory() << R"(","latency":)" << JsonOf(Summarize(all))
            << "}\n"
            << std::flush;
  std::_Exit(0);
}
