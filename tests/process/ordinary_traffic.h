// Callers that keep to the limits and repeat refused requests as clients do.
// Tests only.
#ifndef TEASELSPREAD_TESTS_PROCESS_ORDINARY_TRAFFIC_H_
#define TEASELSPREAD_TESTS_PROCESS_ORDINARY_TRAFFIC_H_

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdlib>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "process/edge_fleet.h"

namespace teaselspread {

// Where ordinary callers send their requests.
struct TrafficTarget {
  Address address;
  std::string view_path;
  std::string upload_path;
};

// Requests of ordinary callers at one node. A request counts as served if it
// got a 200 within its deadline, repeats included.
struct OrdinaryOutcome {
  std::size_t requests = 0;
  std::size_t served = 0;
  // Status of those that were not served; 0 for none.
  std::map<int, std::size_t> failures;

  [[nodiscard]] double ServedRatio() const {
    return this->requests == 0 ? 1
                               : static_cast<double>(this->served) /
                                     static_cast<double>(this->requests);
  }
};

// Some 40 requests a second at one node, while it lives. Thread safe.
class OrdinaryTraffic {
 public:
  explicit OrdinaryTraffic(const EdgeVm& node)
      : OrdinaryTraffic({node.Outbound(), "/view/x", "/load/x"}) {}
  explicit OrdinaryTraffic(TrafficTarget sent_to) : target(std::move(sent_to)) {
    for (int i = 0; i < kCallers; ++i)
      this->callers.emplace_back([this, i] { this->Call(i); });
  }
  ~OrdinaryTraffic() { (void)this->Stop(); }
  OrdinaryTraffic(const OrdinaryTraffic&) = delete;
  OrdinaryTraffic& operator=(const OrdinaryTraffic&) = delete;

  OrdinaryOutcome Stop() {
    this->stopping = true;
    for (std::thread& caller : this->callers) {
      if (caller.joinable())
        caller.join();
    }
    const std::scoped_lock lock(this->gate);
    return this->outcome;
  }

 private:
  static constexpr int kCallers = 4;
  static constexpr std::chrono::milliseconds kPause{90};
  static constexpr std::chrono::milliseconds kDeadline{2000};
  static constexpr std::size_t kUploadBytes = 20'000;
  // Attempts that a client makes at a request.
  static constexpr int kAttempts = 5;

  // Every other caller opens a connection for each request.
  void Call(int caller) {
    auto pool = std::make_unique<HttpClientPool>(1);
    for (int i = 0; !this->stopping; ++i) {
      const std::string id =
          "ordinary-" + std::to_string(caller) + "-" + std::to_string(i);
      if (caller % 2 == 1)
        pool = std::make_unique<HttpClientPool>(1);
      const int status = this->SendWithRepeats(*pool, i % 4 == 3, id);
      {
        const std::scoped_lock lock(this->gate);
        ++this->outcome.requests;
        if (status == 200)
          ++this->outcome.served;
        else
          ++this->outcome.failures[status];
      }
      std::this_thread::sleep_for(kPause);
    }
  }

  int SendWithRepeats(HttpClientPool& pool,
                      bool upload,
                      const std::string& id) {
    const auto end = std::chrono::steady_clock::now() + kDeadline;
    int status = 0;
    for (int attempt = 0; attempt < kAttempts; ++attempt) {
      const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
          end - std::chrono::steady_clock::now());
      if (left.count() <= 0)
        break;
      HttpRequest request;
      request.method = upload ? "POST" : "GET";
      request.target =
          upload ? this->target.upload_path : this->target.view_path;
      request.headers = {{"X-Request-Id", id + "-" + std::to_string(attempt)},
                         {"X-Deadline-Ms", std::to_string(left.count())}};
      if (upload)
        request.body = std::string(kUploadBytes, 'o');
      CallOptions options;
      options.timeout = left;
      const auto answer = pool.Send(this->target.address, request, options);
      status = answer ? answer->status : 0;
      // An upload is repeated after a promise that it did not run, or if its
      // connection was closed unread; a view after any failure.
      if (status == 200)
        break;
      const std::string after =
          answer ? std::string(FindHeader(answer->headers, "Retry-After")) : "";
      const std::chrono::milliseconds wait(
          static_cast<std::int64_t>(std::atof(after.c_str()) * 1000));
      std::this_thread::sleep_for(
          std::min(std::max(wait, std::chrono::milliseconds(5)), left / 3));
    }
    return status;
  }

  TrafficTarget target;
  std::atomic<bool> stopping{false};
  std::mutex gate;
  OrdinaryOutcome outcome;
  std::vector<std::thread> callers;
};

// Asks a node's readiness check four times a second, each time on a connection
// of its own. Thread safe.
class ReadinessProbe {
 public:
  explicit ReadinessProbe(const EdgeVm& node)
      : ReadinessProbe({"127.0.0.1", node.ports.readiness}, "/ready") {}
  ReadinessProbe(Address checked, std::string path)
      : address(std::move(checked)), target(std::move(path)) {
    this->thread = std::thread([this] { this->Probe(); });
  }
  ~ReadinessProbe() { (void)this->Stop(); }
  ReadinessProbe(const ReadinessProbe&) = delete;
  ReadinessProbe& operator=(const ReadinessProbe&) = delete;

  // Fraction of the checks that said within a second that the node is ready.
  double Stop() {
    this->stopping = true;
    if (this->thread.joinable())
      this->thread.join();
    return static_cast<double>(this->ready) /
           static_cast<double>(std::max<std::size_t>(this->checks, 1));
  }

 private:
  void Probe() {
    while (!this->stopping) {
      HttpClientPool pool(1);
      HttpRequest request;
      request.target = this->target;
      CallOptions options;
      options.timeout = std::chrono::seconds(1);
      const auto answer = pool.Send(this->address, request, options);
      ++this->checks;
      this->ready += answer && answer->status == 200 ? 1 : 0;
      std::this_thread::sleep_for(std::chrono::milliseconds(250));
    }
  }

  Address address;
  std::string target;
  std::atomic<bool> stopping{false};
  std::size_t checks = 0;
  std::size_t ready = 0;
  std::thread thread;
};

}  // namespace teaselspread

#endif  // TEASELSPREAD_TESTS_PROCESS_ORDINARY_TRAFFIC_H_
