// Stand-in for the platform's append-only log; docs/standins.md has its
// protocol.

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <iostream>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/strip.h>
#include <yaml-cpp/yaml.h>

#include "http_server.h"
#include "log_store.h"

ABSL_FLAG(std::string, host, "127.0.0.1", "address to listen on");
ABSL_FLAG(std::uint16_t, port, 0, "port; 0 takes any free one");
ABSL_FLAG(std::uint16_t, control_port, 0, "port of /control during outages");
ABSL_FLAG(std::int64_t, retention_ms, 0, "age at which records go; 0 = never");
ABSL_FLAG(std::uint64_t, retention_count, 0, "records kept; 0 = all");
ABSL_FLAG(double, appends_per_second, 400, "cap on appends; 0 = none");

namespace {

using standin::Connection;
using standin::Request;
using standin::Response;
using standin::TextAnswer;

constexpr std::int64_t kDefaultMaxRecords = 1000;
constexpr std::int64_t kMaxWaitMs = 30000;
constexpr char kStreams[] = "/streams/";

// Faults that /control switches on.
struct Switches {
  bool refuse = false;
  bool hang = false;
  std::int64_t slow_ms = 0;
  // Appends that take effect although their answer is lost.
  int lost_answers = 0;
  // Appends that take effect and are never answered.
  int lost_hangs = 0;
  std::set<std::string> cut;
};

// Reads and appends by the X-VM of the caller.
struct Metrics {
  std::map<std::string, std::uint64_t> reads;
  std::map<std::string, std::uint64_t> appends;
  std::uint64_t refused = 0;
  std::uint64_t bytes_in = 0;
  std::uint64_t bytes_out = 0;
};

// Allows `rate` appends a second, in bursts of up to one second's worth.
class RateCap {
 public:
  explicit RateCap(double appends_per_second)
      : rate(appends_per_second), tokens(appends_per_second) {}

  void SetRate(double appends_per_second) {
    this->rate = appends_per_second;
    this->tokens = std::min(this->tokens, appends_per_second);
  }

  bool Take() {
    const auto now = standin::Clock::now();
    const std::chrono::duration<double> passed = now - this->last;
    this->last = now;
    this->tokens =
        std::min(this->rate, this->tokens + passed.count() * this->rate);
    if (this->rate > 0 && this->tokens < 1)
      return false;
    this->tokens -= 1;
    return true;
  }

 private:
  double rate;
  double tokens;
  standin::Clock::time_point last = standin::Clock::now();
};

std::string BigEndian(std::uint64_t value, int bytes) {
  std::string text;
  for (int i = bytes - 1; i >= 0; --i)
    text.push_back(static_cast<char>((value >> (8 * i)) & 0xFFU));
  return text;
}

std::string Encode(const standin::LogBatch& batch) {
  std::string body;
  for (const standin::LogRecord& record : batch.records) {
    body += BigEndian(record.offset, 8);
    body += BigEndian(record.bytes.size(), 4);
    body += record.bytes;
  }
  return body;
}

std::string JsonOf(const std::map<std::string, std::uint64_t>& counts) {
  std::string text;
  std::uint64_t total = 0;
  for (const auto& [name, count] : counts) {
    absl::StrAppend(&text, text.empty() ? "" : ",", "\"", name, "\":", count);
    total += count;
  }
  return absl::StrCat("{\"total\":", total, ",\"by_vm\":{", text, "}}");
}

class LogStandin {
 public:
  explicit LogStandin(standin::Retention retention, double append_rate)
      : store(retention), cap(append_rate) {}

  void Handle(const Request& request, Connection& connection) {
    const std::string path = standin::PathOf(request);
    if (path == "/control")
      return this->Control(request, connection);
    if (path == "/metrics")
      return connection.Send(TextAnswer(200, this->MetricsText()));
    if (!absl::StartsWith(path, kStreams))
      return connection.Send(TextAnswer(404, "no such path\n"));
    if (this->Fault(request, connection))
      return;
    const std::string stream(absl::StripPrefix(path, kStreams));
    if (request.method() == standin::http::verb::post)
      return this->Append(request, connection, stream);
    this->Read(request, connection, stream);
  }

  // Serves /control alone, so that an outage can be ended.
  void HandleControl(const Request& request, Connection& connection) {
    if (standin::PathOf(request) == "/metrics")
      return connection.Send(TextAnswer(200, this->MetricsText()));
    this->Control(request, connection);
  }

  // The listener that an outage closes. Call before the first request.
  void SetServer(standin::Server& main_server) { this->server = &main_server; }

 private:
  // True when the request was swallowed: nothing of it took effect.
  bool Fault(const Request& request, Connection& connection) {
    Switches now;
    {
      const std::scoped_lock lock(this->gate);
      now = this->switches;
      if (now.hang ||
          now.cut.count(standin::HeaderOf(request, "X-Data-Center")))
        ++this->metrics.refused;
    }
    if (now.cut.count(standin::HeaderOf(request, "X-Data-Center"))) {
      connection.open = false;
      return true;
    }
    if (now.hang) {
      connection.WaitForPeer();
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(now.slow_ms));
    return false;
  }

  void Append(const Request& request,
              Connection& connection,
              const std::string& stream) {
    std::unique_lock lock(this->gate);
    if (!this->cap.Take()) {
      ++this->metrics.refused;
      lock.unlock();
      Response busy = TextAnswer(429, "too many appends\n");
      busy.set("Retry-After", "1");
      return connection.Send(busy);
    }
    ++this->metrics.appends[standin::HeaderOf(request, "X-VM")];
    this->metrics.bytes_in += request.body().size();
    const std::uint64_t offset = this->store.Append(stream, request.body());
    const bool hang = this->switches.lost_hangs > 0;
    const bool lose = !hang && this->switches.lost_answers > 0;
    this->switches.lost_hangs -= hang ? 1 : 0;
    this->switches.lost_answers -= lose ? 1 : 0;
    lock.unlock();
    if (hang)
      return connection.WaitForPeer();
    if (lose) {
      connection.open = false;
      return;
    }
    Response answer = TextAnswer(200, absl::StrCat(offset, "\n"));
    answer.set("X-Offset", std::to_string(offset));
    connection.Send(answer);
  }

  void Read(const Request& request,
            Connection& connection,
            const std::string& stream) {
    const auto from = static_cast<std::uint64_t>(
        std::max<std::int64_t>(1, standin::QueryNumber(request, "from", 1)));
    const auto max = static_cast<std::size_t>(std::max<std::int64_t>(
        1, standin::QueryNumber(request, "max", kDefaultMaxRecords)));
    const std::chrono::milliseconds wait(std::clamp<std::int64_t>(
        standin::QueryNumber(request, "wait_ms", 0), 0, kMaxWaitMs));
    const standin::LogBatch batch = this->store.Read(stream, from, max, wait);
    const bool expired = from < batch.first_kept;
    Response answer =
        TextAnswer(expired ? 410 : 200, expired ? "expired\n" : Encode(batch));
    answer.set("X-First-Offset", std::to_string(batch.first_kept));
    answer.set("X-Next-Offset", std::to_string(batch.next));
    {
      const std::scoped_lock lock(this->gate);
      ++this->metrics.reads[standin::HeaderOf(request, "X-VM")];
      this->metrics.bytes_out += answer.body().size();
    }
    connection.Send(answer);
  }

  void Control(const Request& request, Connection& connection) {
    try {
      this->Apply(YAML::Load(request.body()));
    } catch (const YAML::Exception& error) {
      return connection.Send(TextAnswer(400, error.what()));
    }
    connection.Send(TextAnswer(200, "ok\n"));
  }

  void Apply(const YAML::Node& body) {
    std::unique_lock lock(this->gate);
    if (const YAML::Node outage = body["outage"]) {
      const auto kind = outage.as<std::string>();
      this->switches.refuse = kind == "refuse";
      this->switches.hang = kind == "hang";
    }
    if (const YAML::Node slow = body["slow_ms"])
      this->switches.slow_ms = slow.as<std::int64_t>();
    if (const YAML::Node lost = body["lost_answers"])
      this->switches.lost_answers = lost.as<int>();
    if (const YAML::Node lost = body["lost_hangs"])
      this->switches.lost_hangs = lost.as<int>();
    if (const YAML::Node rate = body["appends_per_second"])
      this->cap.SetRate(rate.as<double>());
    if (const YAML::Node cut = body["cut"]) {
      this->switches.cut.clear();
      for (const YAML::Node& name : cut)
        this->switches.cut.insert(name.as<std::string>());
    }
    const bool refuse = this->switches.refuse;
    lock.unlock();
    refuse ? this->server->Close() : this->server->Open();
  }

  std::string MetricsText() {
    const std::scoped_lock lock(this->gate);
    return absl::StrCat("{\"reads\":", JsonOf(this->metrics.reads),
                        ",\"appends\":", JsonOf(this->metrics.appends),
                        ",\"refused\":", this->metrics.refused,
                        ",\"bytes_in\":", this->metrics.bytes_in,
                        ",\"bytes_out\":", this->metrics.bytes_out, "}\n");
  }

  standin::LogStore store;
  std::mutex gate;
  Switches switches;
  Metrics metrics;
  RateCap cap;
  standin::Server* server = nullptr;
};

}  // namespace

int main(int argc, char** argv) {
  const sigset_t signals = standin::BlockStopSignals();
  absl::ParseCommandLine(argc, argv);
  const standin::Retention retention{
      std::chrono::milliseconds(absl::GetFlag(FLAGS_retention_ms)),
      static_cast<std::size_t>(absl::GetFlag(FLAGS_retention_count))};
  LogStandin log(retention, absl::GetFlag(FLAGS_appends_per_second));
  const std::string host = absl::GetFlag(FLAGS_host);
  standin::Server server(
      host, absl::GetFlag(FLAGS_port),
      [&log](const Request& request, Connection& connection) {
        log.Handle(request, connection);
      });
  log.SetServer(server);
  const standin::Server control(
      host, absl::GetFlag(FLAGS_control_port),
      [&log](const Request& request, Connection& connection) {
        log.HandleControl(request, connection);
      });
  std::cout << "control " << control.Port() << "\nlistening " << server.Port()
            << std::endl;
  standin::WaitForStop(signals);
  standin::Leave(0);
}
