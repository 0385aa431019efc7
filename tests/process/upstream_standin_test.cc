#include <criterion/criterion.h>

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "process/harness.h"
#include "teaselspread/http_server.h"

namespace teaselspread {
namespace {

using namespace std::chrono_literals;

Result<HttpResponse> Ask(HttpClientPool& pool,
                         const Address& upstream,
                         const HttpHeaders& more = {},
                         const std::string& target = "/cases") {
  HttpRequest request;
  request.target = target;
  request.headers = more;
  SetHeader(request.headers, kHeaderRequestId, "r1");
  CallOptions options;
  options.timeout = 2s;
  options.silence = 300ms;
  options.expected_request_id = "r1";
  return pool.Send(upstream, request, options);
}

struct Switch {
  const char* control;
  // kCount: an answer with `status`.
  ErrorKind error;
  int status;
};

// Each fault of the stand-in shows at the client as the brief tells it; tests
// of the product that switch one on rely on it.
Test(upstream_standin, each_switch_shows) {
  constexpr auto kAnswer = ErrorKind::kCount;
  const Switch rows[] = {
      {"{work_ms: 1}", kAnswer, 200},
      {"{fail_ratio: 1}", kAnswer, 500},
      {"{fail_ratio: 1, route: /other}", kAnswer, 200},
      {"{fail_ratio: 1, after_s: 3600}", kAnswer, 200},
      {"{fail_ratio: 1, min_load: 0.9}", kAnswer, 200},
      {"{hang: 1}", ErrorKind::kSilentConnection, 0},
      {"{truncate: 1}", ErrorKind::kTruncated, 0},
      {"{cut: 1}", ErrorKind::kTruncated, 0},
      {"{wrong_id: 1}", ErrorKind::kWrongResponse, 0},
      {"{slow_factor: 400, work_ms: 1, work_sigma: 0}",
       ErrorKind::kSilentConnection, 0},
  };
  for (const Switch& row : rows) {
    Program upstream("upstream_standin", {});
    HttpClientPool pool(4);
    cr_assert(Control(upstream.At(), row.control), "%s", row.control);
    const auto answer = Ask(pool, upstream.At());
    if (row.error == kAnswer) {
      cr_assert(answer && answer->status == row.status, "%s", row.control);
      cr_assert(!FindHeader(answer->headers, kHeaderLoad).empty());
    } else {
      cr_assert(!answer && answer.error().kind == row.error, "%s: %s",
                row.control, answer ? "" : NameOf(answer.error().kind).data());
    }
  }
}

// Every slot is taken, the upstream drains, or the deadline has passed: it
// refuses before the run and says so.
Test(upstream_standin, refusals_say_not_run) {
  Program upstream("upstream_standin",
                   {"--slots=1", "--switches={work_ms: 300, work_sigma: 0}"});
  const Address at = upstream.At();
  HttpClientPool pool(4);
  const auto refused = [&](const HttpHeaders& headers) {
    const auto answer = Ask(pool, at, headers);
    return answer && answer->status == 503 &&
           FindHeader(answer->headers, kHeaderNotRun) == "1" &&
           !FindHeader(answer->headers, kHeaderRetryAfter).empty();
  };
  cr_assert(refused({{"X-Deadline-Ms", "0"}}));
  std::thread busy([&] { CallOnce(at, "GET", "/long"); });
  cr_assert(WaitUntil(
      [&] { return CallOnce(at, "GET", "/load").body.rfind('1', 0) == 0; }));
  cr_assert(refused({{"Idempotency-Key", "k1"}}));
  busy.join();
  cr_assert(CallOnce(at, "POST", "/drain").status == 200);
  cr_assert(refused({{"Idempotency-Key", "k2"}}));
  // A key is listed for what ran only.
  const std::string ran = CallOnce(at, "GET", "/executions").body;
  cr_assert(ran == "[]\n");
}

// A request crashes the upstream that runs it. The execution must still be in
// the history, else a second run would go unseen.
Test(upstream_standin, a_crash_leaves_its_execution_at_the_recorder) {
  Program recorder("recorder", {});
  Program upstream("upstream_standin", {"--recorder=127.0.0.1:" +
                                        std::to_string(recorder.PortAfter())});
  HttpClientPool pool(1);
  const auto answer = Ask(pool, upstream.At(),
                          {{"X-Crash", "1"}, {"Idempotency-Key", "fatal"}});
  cr_assert(!answer &&
            TraitsOf(answer.error().kind).execution == Execution::kUnknown);
  cr_assert(upstream.WaitExit() == 3);
  const std::string records = CallOnce(recorder.At(), "GET", "/records").body;
  cr_assert(records.find("\"fatal\"") != std::string::npos);
}

// The upstream tells its node what it is, again and again, and at once when it
// starts to leave; a planned stop answers what runs.
Test(upstream_standin, announces_itself_and_stops_gracefully) {
  std::mutex gate;
  std::string last;
  HttpServerOptions options;
  options.listen = {"127.0.0.1", 0};
  auto node = HttpServer::Start(options, [&](HttpRequest request) {
    const std::scoped_lock lock(gate);
    last = std::move(request.body);
    return HttpResponse{};
  });
  const auto announced = [&](const std::string& text) {
    return WaitUntil([&] {
      const std::scoped_lock lock(gate);
      return last.find(text) != std::string::npos;
    });
  };
  Program upstream(
      "upstream_standin",
      {"--version=v2", "--renew_ms=50", "--switches={work_ms: 200}",
       "--node=127.0.0.1:" + std::to_string((*node)->LocalAddress().port)});
  const Address at = upstream.At();
  cr_assert(announced("\"version\":\"v2\",\"state\":\"ready\""));
  HttpResponse answer;
  std::thread running([&] { answer = CallOnce(at, "GET", "/x"); });
  cr_assert(WaitUntil(
      [&] { return CallOnce(at, "GET", "/load").body.rfind("0.0", 0) == 0; }));
  upstream.Signal(SIGTERM);
  cr_assert(announced("leaving"));
  running.join();
  cr_assert(answer.status == 200);
  cr_assert(upstream.WaitExit() == 0);
}

// Every open connection goes silent while new ones work.
Test(upstream_standin, silence_spares_new_connections) {
  Program upstream("upstream_standin", {});
  HttpClientPool pool(4);
  cr_assert(Ask(pool, upstream.At()).has_value());
  cr_assert(Control(upstream.At(), "{silence: 1}"));
  const auto lost = Ask(pool, upstream.At());
  cr_assert(!lost && lost.error().kind == ErrorKind::kSilentConnection);
  cr_assert(Ask(pool, upstream.At()).has_value());
}

}  // namespace
}  // namespace teaselspread
