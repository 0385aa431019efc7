#include "teaselspread/http_server.h"

#include <criterion/criterion.h>

#include <atomic>
#include <future>
#include <random>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "contract/raw_socket.h"
#include "teaselspread/http_client.h"

namespace teaselspread {
namespace {

using namespace std::chrono_literals;

HttpServerOptions SmallLimits() {
  HttpServerOptions options;
  options.listen = {"127.0.0.1", 0};
  options.max_header_bytes = 1024;
  options.max_body_bytes = 2048;
  options.head_timeout = 300ms;
  options.silence = 300ms;
  options.stop_grace = 50ms;
  return options;
}

HttpResponse Echo(HttpRequest request) {
  HttpResponse response;
  response.body = std::move(request.body);
  return response;
}

std::unique_ptr<HttpServer> StartOrFail(const HttpServerOptions& options,
                                        HttpHandler handler,
                                        HeadCheck check = {}) {
  auto server =
      HttpServer::Start(options, std::move(handler), std::move(check));
  cr_assert(server.has_value());
  return std::move(*server);
}

bool AnswersWell(std::uint16_t port) {
  HttpClientPool pool(4);
  HttpRequest request;
  request.method = "POST";
  request.body = "hello";
  const auto answer = pool.Send({"127.0.0.1", port}, request, {});
  return answer && answer->status == 200 && answer->body == "hello";
}

struct BadInput {
  const char* name;
  std::string bytes;
  // "" means that the connection just ends.
  const char* status;
  ServerEvent counted;
};

std::vector<BadInput> BadInputs() {
  const std::string big(5000, 'x');
  return {
      {"request line", "nonsense\r\n\r\n", "400", ServerEvent::kMalformed},
      {"no target", "GET HTTP/1.1\r\n\r\n", "400", ServerEvent::kMalformed},
      {"version", "GET / HTTP/9.9\r\n\r\n", "400", ServerEvent::kMalformed},
      {"header line", "GET / HTTP/1.1\r\nno colon\r\n\r\n", "400",
       ServerEvent::kMalformed},
      {"length is no number", "POST / HTTP/1.1\r\nContent-Length: many\r\n\r\n",
       "400", ServerEvent::kMalformed},
      {"two lengths",
       "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
       "400", ServerEvent::kMalformed},
      {"length and chunks",
       "POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: "
       "chunked\r\n\r\n0\r\n\r\n",
       "400", ServerEvent::kMalformed},
      {"chunk size",
       "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n",
       "400", ServerEvent::kMalformed},
      {"headers too large", "GET / HTTP/1.1\r\nX-Big: " + big + "\r\n\r\n",
       "431", ServerEvent::kHeadersTooLarge},
      {"target too large", "GET /" + big + " HTTP/1.1\r\n\r\n", "431",
       ServerEvent::kHeadersTooLarge},
      {"length too large",
       "POST / HTTP/1.1\r\nContent-Length: 999999999999\r\n\r\n", "413",
       ServerEvent::kBodyTooLarge},
      {"chunks too large",
       "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1388\r\n" + big +
           "\r\n0\r\n\r\n",
       "413", ServerEvent::kBodyTooLarge},
      {"stops in the headers", "GET / HTTP/1.1\r\nX-Half: ", "400",
       ServerEvent::kCallerSilent},
      {"stops in the body", "POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc",
       "400", ServerEvent::kCallerSilent},
      {"zero bytes", std::string(64, '\0'), "400", ServerEvent::kMalformed},
  };
}

// A broken or hostile caller sends what is no request, too much of one, or half
// of one and then nothing. It gets a plain error that says that nothing ran,
// and the other callers notice nothing.
Test(http_server, bad_input_is_refused_and_others_are_served) {
  for (const BadInput& input : BadInputs()) {
    std::atomic<int> ran{0};
    const auto server = StartOrFail(SmallLimits(), [&](HttpRequest request) {
      ++ran;
      return Echo(std::move(request));
    });
    const std::uint16_t port = server->LocalAddress().port;
    const RawSocket caller = RawSocket::ConnectTo(port);
    caller.Send(input.bytes);
    const std::string answer = caller.ReadToEnd();
    cr_assert(answer.rfind(std::string("HTTP/1.1 ") + input.status, 0) == 0,
              "%s: %s", input.name, answer.c_str());
    cr_assert(answer.find("X-Execution: not-run") != std::string::npos, "%s",
              input.name);
    cr_assert(ran == 0, "%s", input.name);
    cr_assert(server->Counters().Get(input.counted) == 1, "%s", input.name);
    cr_assert(AnswersWell(port), "%s", input.name);
  }
}

// Random bytes arrive on the port, as from a scan or a caller of another
// protocol. The process stays up and serves the next caller.
Test(http_server, random_bytes_leave_the_server_up) {
  const auto server = StartOrFail(SmallLimits(), Echo);
  const std::uint16_t port = server->LocalAddress().port;
  Rng rng(20240817);
  for (int round = 0; round < 200; ++round) {
    std::string bytes(1 + rng() % 3000, '\0');
    for (char& byte : bytes)
      byte = static_cast<char>(rng());
    const RawSocket caller = RawSocket::ConnectTo(port);
    caller.Send(bytes);
    caller.Shutdown(SHUT_WR);
    caller.ReadToEnd();
  }
  cr_assert(AnswersWell(port));
}

// The handler throws on one request. Its caller learns that the outcome is
// unknown; the process goes on.
Test(http_server, a_throwing_handler_ends_only_its_request) {
  const auto server =
      StartOrFail(SmallLimits(), [](HttpRequest request) -> HttpResponse {
        if (request.target == "/throw")
          throw std::runtime_error("boom");
        return Echo(std::move(request));
      });
  HttpClientPool pool(2);
  HttpRequest request;
  request.target = "/throw";
  const auto answer = pool.Send(server->LocalAddress(), request, {});
  cr_assert(answer && answer->status == 500);
  cr_assert(FindHeader(answer->headers, kHeaderExecution) == "unknown");
  cr_assert(AnswersWell(server->LocalAddress().port));
}

// A node that is leaving must refuse uploads before it holds their bytes, and
// so must one whose memory is used up: a small VM would be ended by the kernel.
Test(http_server, bodies_are_refused_before_they_are_read) {
  HttpServerOptions options = SmallLimits();
  options.max_body_bytes = 64U << 20;
  options.budget.reset(new MemoryBudget(2U << 20));
  const auto server = StartOrFail(
      options, Echo, [](const HttpRequest& head) -> Result<std::size_t> {
        if (head.target == "/leaving")
          return Fail(ErrorKind::kLeaving, "on its way out");
        return std::size_t{32U << 20};
      });
  struct Row {
    const char* head;
    const char* reason;
  };
  for (const Row& row :
       {Row{"POST /leaving HTTP/1.1\r\nContent-Length: 9000000\r\n\r\n",
            "X-Reason: leaving"},
        Row{"POST / HTTP/1.1\r\nContent-Length: 9000000\r\n\r\n",
            "X-Reason: memory-budget"},
        Row{"POST / HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n",
            "X-Reason: body-too-large"}}) {
    const RawSocket caller = RawSocket::ConnectTo(server->LocalAddress().port);
    caller.Send(row.head);
    cr_assert(caller.ReadToEnd().find(row.reason) != std::string::npos, "%s",
              row.reason);
  }
  cr_assert(options.budget->Used() == 0);
  cr_assert(AnswersWell(server->LocalAddress().port));
}

// A planned stop comes while a request runs, another one lies unread in a fresh
// connection, and a caller holds an idle connection. Each gets its answer.
Test(http_server, stop_cuts_no_request) {
  std::promise<void> entered;
  std::promise<void> release;
  std::shared_future<void> released(release.get_future());
  auto server = StartOrFail(SmallLimits(), [&](HttpRequest request) {
    if (request.target == "/long") {
      entered.set_value();
      released.wait();
    }
    return Echo(std::move(request));
  });
  const std::uint16_t port = server->LocalAddress().port;
  const RawSocket idle = RawSocket::ConnectTo(port);
  idle.Send("GET /first HTTP/1.1\r\n\r\n");
  idle.ReadUntil([](const std::string& bytes) { return !bytes.empty(); });
  const RawSocket running = RawSocket::ConnectTo(port);
  running.Send("POST /long HTTP/1.1\r\nContent-Length: 4\r\n\r\nlong");
  entered.get_future().wait();
  const RawSocket fresh = RawSocket::ConnectTo(port);
  fresh.Send("POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nfresh");
  std::thread stopping([&] { server->Stop(); });
  idle.Send("POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\nidle");
  cr_assert(fresh.ReadToEnd().find("\r\n\r\nfresh") != std::string::npos);
  cr_assert(idle.ReadToEnd().find("\r\n\r\nidle") != std::string::npos);
  release.set_value();
  cr_assert(running.ReadToEnd().find("\r\n\r\nlong") != std::string::npos);
  stopping.join();
  cr_assert(server->Connections() == 0);
  const RawSocket late = RawSocket::ConnectTo(port);
  cr_assert(!late.Send("GET / HTTP/1.1\r\n\r\n"));
}

// More callers connect than the process may hold. The surplus is told so at
// once instead of waiting for a thread that never comes.
Test(http_server, surplus_connections_are_refused) {
  HttpServerOptions options = SmallLimits();
  options.max_connections = 1;
  std::promise<void> running;
  std::promise<void> finish;
  const auto server = StartOrFail(options, [&](const HttpRequest& request) {
    running.set_value();
    finish.get_future().wait();
    return Echo(request);
  });
  const RawSocket first = RawSocket::ConnectTo(server->LocalAddress().port);
  first.Send("GET / HTTP/1.1\r\n\r\n");
  running.get_future().wait();
  const RawSocket second = RawSocket::ConnectTo(server->LocalAddress().port);
  cr_assert(second.ReadToEnd().find("X-Reason: connection-limit") !=
            std::string::npos);
  finish.set_value();
  cr_assert(
      !first.ReadUntil([](const std::string& bytes) { return !bytes.empty(); })
           .empty());
}

// Guards against connections without a request that keep all others out.
Test(http_server, idle_connections_give_way_to_new_ones) {
  HttpServerOptions options = SmallLimits();
  options.max_connections = 1;
  const auto server = StartOrFail(options, Echo);
  const RawSocket idle = RawSocket::ConnectTo(server->LocalAddress().port);
  idle.Send("GET / HTTP/1.1\r\n\r\n");
  idle.ReadUntil([](const std::string& bytes) { return !bytes.empty(); });
  // Its thread may not wait for the next request yet.
  bool served = false;
  for (int attempt = 0; attempt < 100 && !served; ++attempt)
    served = AnswersWell(server->LocalAddress().port);
  cr_assert(served);
  (void)idle.ReadToEnd();
  cr_assert(server->Counters().Get(ServerEvent::kCrowdedOut) == 1);
}

// A body comes in by one byte now and then, never silent for long. It would
// hold its memory and its connection for hours.
Test(http_server, trickling_bodies_end) {
  HttpServerOptions options = SmallLimits();
  options.body_timeout = 300ms;
  const auto server = StartOrFail(options, Echo);
  const RawSocket caller = RawSocket::ConnectTo(server->LocalAddress().port);
  caller.Send("POST / HTTP/1.1\r\nContent-Length: 1000\r\n\r\n");
  bool open = true;
  for (int sent = 0; open && sent < 500; ++sent) {
    caller.Send("x");
    open =
        caller
            .ReadUntil([](const std::string& bytes) { return !bytes.empty(); },
                       50ms)
            .empty();
  }
  cr_assert(!open);
  cr_assert(server->Counters().Get(ServerEvent::kCallerSilent) == 1);
}

// Eight paralegals upload 30 MB at once through a node that may hold 100 MB.
// Whoever is refused is told that nothing ran; nobody gets a short answer.
Test(http_server, large_bodies_stay_whole_within_the_budget) {
  constexpr std::size_t kBody = 30U << 20;
  HttpServerOptions options;
  options.listen = {"127.0.0.1", 0};
  const auto upstream = StartOrFail(options, Echo);
  options.budget.reset(new MemoryBudget(100U << 20));
  HttpClientPool onward(8);
  const auto node = StartOrFail(options, [&](const HttpRequest& request) {
    CallOptions call;
    call.budget = options.budget;
    auto answer = onward.Send(upstream->LocalAddress(), request, call);
    return answer ? std::move(*answer) : ErrorResponse(answer.error());
  });
  std::atomic<int> whole{0};
  std::atomic<int> refused{0};
  std::vector<std::thread> callers;
  callers.reserve(8);
  for (int i = 0; i < 8; ++i) {
    callers.emplace_back([&, i] {
      HttpClientPool pool(1);
      HttpRequest upload;
      upload.method = "POST";
      upload.body.assign(kBody, static_cast<char>('a' + i));
      const auto answer = pool.Send(node->LocalAddress(), upload, {});
      if (answer && answer->status == 200)
        whole += answer->body == upload.body ? 1 : 0;
      else if (answer &&
               FindHeader(answer->headers, kHeaderExecution) == "not-run")
        ++refused;
    });
  }
  for (std::thread& caller : callers)
    caller.join();
  cr_assert(whole + refused == 8, "%d whole, %d refused", whole.load(),
            refused.load());
  cr_assert(whole >= 1);
  cr_assert(options.budget->Used() == 0);
}

// Guards against bytes of a body that run as a request of their own.
Test(http_server, bodies_of_unknown_framing_are_no_requests) {
  std::atomic<int> requests{0};
  const auto server =
      StartOrFail(SmallLimits(), [&requests](const HttpRequest& request) {
        ++requests;
        return Echo(request);
      });
  for (const char* coding :
       {"gzip", "identity", "xchunked", "chunked, identity", "gzip, chunked",
        "chunked\r\nTransfer-Encoding: gzip", ""}) {
    const RawSocket caller = RawSocket::ConnectTo(server->LocalAddress().port);
    caller.Send(std::string("POST /a HTTP/1.1\r\nTransfer-Encoding: ") +
                coding + "\r\n\r\nGET /smuggled HTTP/1.1\r\n\r\n");
    const std::string got = caller.ReadToEnd();
    cr_expect(got.starts_with("HTTP/1.1 400 "), "%s: %s", coding, got.c_str());
  }
  cr_expect_eq(requests, 0);
}

struct Framing {
  const char* name;
  std::string request;
  const char* in_answer;
  const char* not_in_answer;
  bool closes;
};

// Older and unusual callers must find the end of their answers too.
Test(http_server, answers_are_framed_for_each_caller) {
  const Framing rows[] = {
      {"keep-alive", "GET / HTTP/1.1\r\n\r\n", "Content-Length: 4", "close",
       false},
      {"close", "GET / HTTP/1.1\r\nConnection: close\r\n\r\n",
       "Connection: close", "keep", true},
      {"HTTP/1.0", "GET / HTTP/1.0\r\n\r\n", "Content-Length: 4", "chunked",
       true},
      {"HEAD", "HEAD / HTTP/1.1\r\nConnection: close\r\n\r\n",
       "Content-Length: 4", "good", true},
      {"no content", "GET /empty HTTP/1.1\r\nConnection: close\r\n\r\n", "204",
       "good", true},
      {"pipelined", "GET / HTTP/1.1\r\n\r\nGET /empty HTTP/1.1\r\n\r\n",
       "HTTP/1.1 204", "400", false},
  };
  const auto server = StartOrFail(SmallLimits(), [](const HttpRequest& asked) {
    HttpResponse response;
    response.status = asked.target == "/empty" ? 204 : 200;
    response.body = "good";
    return response;
  });
  for (const Framing& row : rows) {
    const RawSocket caller = RawSocket::ConnectTo(server->LocalAddress().port);
    caller.Send(row.request);
    const std::string answer =
        row.closes ? caller.ReadToEnd()
                   : caller.ReadUntil([&](const std::string& bytes) {
                       return bytes.find(row.in_answer) != std::string::npos &&
                              bytes.find("\r\n\r\n") != std::string::npos;
                     });
    cr_assert(answer.find(row.in_answer) != std::string::npos, "%s: %s",
              row.name, answer.c_str());
    cr_assert(answer.find(row.not_in_answer) == std::string::npos, "%s: %s",
              row.name, answer.c_str());
  }
}

// Tools such as curl send a large body only after "100 Continue".
Test(http_server, expect_continue_is_answered) {
  const auto server = StartOrFail(SmallLimits(), Echo);
  const RawSocket caller = RawSocket::ConnectTo(server->LocalAddress().port);
  caller.Send(
      "POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
  const std::string first = caller.ReadUntil([](const std::string& bytes) {
    return bytes.find("\r\n\r\n") != std::string::npos;
  });
  cr_assert(first.rfind("HTTP/1.1 100", 0) == 0);
  caller.Send("ok");
  const std::string answer = caller.ReadUntil([](const std::string& bytes) {
    return bytes.find("\r\n\r\nok") != std::string::npos;
  });
  cr_assert(answer.rfind("HTTP/1.1 200", 0) == 0);
}

}  // namespace
}  // namespace teaselspread
