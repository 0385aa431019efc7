// A planned stop under callers that use their connections until they end.
#include "contract/raw_socket.h"
#include "process/edge_fleet.h"

#include <criterion/criterion.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace teaselspread {
namespace {

using Ms = std::chrono::milliseconds;

// Requests that were sent, and those that got a whole response. Thread safe.
class Ledger {
 public:
  std::string NextId() {
    const std::scoped_lock lock(this->gate);
    std::string id = "s-" + std::to_string(this->sent.size());
    this->sent.insert(id);
    return id;
  }
  void MarkAnswered(const std::string& id) {
    const std::scoped_lock lock(this->gate);
    this->answered.insert(id);
  }
  [[nodiscard]] std::size_t CountAnswered() {
    const std::scoped_lock lock(this->gate);
    return this->answered.size();
  }
  // Requests that ran at one of the upstreams, but got no response.
  std::vector<std::string> RunWithoutAnswer(EdgeFleet& fleet) {
    const std::scoped_lock lock(this->gate);
    std::vector<std::string> ids;
    for (const auto& vm : fleet.vms) {
      for (const standin::MeshRun& run : vm->upstream.Runs()) {
        if (this->sent.contains(run.id) && !this->answered.contains(run.id))
          ids.push_back(run.id);
      }
    }
    return ids;
  }

 private:
  std::mutex gate;
  std::set<std::string> sent;
  std::set<std::string> answered;
};

HttpRequest UploadOf(const std::string& id) {
  HttpRequest request;
  request.method = "POST";
  request.target = "/load/1";
  request.body = "body";
  request.headers = {{"X-Request-Id", id}, {"X-Deadline-Ms", "2000"}};
  return request;
}

// The next request follows each response at once.
void CallOnKeptConnection(const EdgeVm& vm,
                          Ledger& ledger,
                          const std::atomic<bool>& stopping) {
  HttpClientPool pool(1);
  while (!stopping) {
    const std::string id = ledger.NextId();
    CallOptions options;
    options.timeout = Ms(3000);
    if (pool.Send(vm.Outbound(), UploadOf(id), options))
      ledger.MarkAnswered(id);
    else
      std::this_thread::sleep_for(Ms(20));
  }
}

std::size_t CountResponses(const std::string& bytes) {
  std::size_t count = 0;
  for (std::size_t at = bytes.find("HTTP/1.1 "); at != std::string::npos;
       at = bytes.find("HTTP/1.1 ", at + 1))
    ++count;
  return count;
}

// Two requests are sent before the first response.
void CallPipelined(const EdgeVm& vm,
                   Ledger& ledger,
                   const std::atomic<bool>& stopping) {
  while (!stopping) {
    const std::string first = ledger.NextId();
    const std::string second = ledger.NextId();
    const RawSocket socket = RawSocket::ConnectTo(vm.ports.outbound);
    for (const std::string& id : {first, second}) {
      socket.Send(
          "POST /load/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Request-Id: " + id +
          "\r\nX-Deadline-Ms: 2000\r\nContent-Length: 4\r\n\r\n" + "body");
    }
    const std::string got = socket.ReadUntil(
        [](const std::string& bytes) { return CountResponses(bytes) == 2; },
        Ms(3000));
    const std::size_t responses = CountResponses(got);
    if (responses > 0)
      ledger.MarkAnswered(first);
    if (responses > 1)
      ledger.MarkAnswered(second);
    std::this_thread::sleep_for(Ms(20));
  }
}

// Guards against requests that are passed on during a stop and cut at its end:
// on connections that are never idle, and from other nodes.
Test(busy_stop, what_runs_is_answered) {
  EdgeFleet fleet;
  cr_assert(fleet.WaitUntilReady());
  EdgeVm& stopped = fleet.At(1);
  stopped.upstream.SetWork(Ms(400));
  Ledger ledger;
  std::atomic<bool> stopping{false};
  std::vector<std::thread> callers;
  for (int i = 0; i < 2; ++i) {
    callers.emplace_back(
        [&] { CallOnKeptConnection(stopped, ledger, stopping); });
    callers.emplace_back(
        [&] { CallOnKeptConnection(fleet.At(0), ledger, stopping); });
    callers.emplace_back([&] { CallPipelined(stopped, ledger, stopping); });
  }
  std::this_thread::sleep_for(Ms(1000));
  const std::size_t before = ledger.CountAnswered();
  stopped.node->Signal(SIGTERM);
  cr_expect_eq(stopped.node->WaitExit(Ms(6500)), 0);
  // What other nodes had sent there is answered by then.
  std::this_thread::sleep_for(Ms(500));
  stopping = true;
  for (std::thread& caller : callers)
    caller.join();
  const std::vector<std::string> lost = ledger.RunWithoutAnswer(fleet);
  cr_expect(lost.empty(), "%zu requests, the first is %s", lost.size(),
            lost.empty() ? "" : lost.front().c_str());
  cr_expect_gt(before, 5U);
  cr_expect_gt(ledger.CountAnswered(), before);
}

}  // namespace
}  // namespace teaselspread
