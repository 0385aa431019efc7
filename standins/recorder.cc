// Collects the records that stand-ins post, so that the history of a run
// outlives a stand-in that crashes. POST /record, GET /records, POST /clear.

#include <cstdint>
#include <iostream>
#include <mutex>
#include <string>
#include <vector>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/strings/str_join.h>

#include "http_server.h"

ABSL_FLAG(std::string, host, "127.0.0.1", "address to listen on");
ABSL_FLAG(std::uint16_t, port, 0, "port; 0 takes any free one");

namespace {

// Thread safe.
class Recorder {
 public:
  void Handle(const standin::Request& request,
              standin::Connection& connection) {
    connection.Send(this->Answer(request));
  }

 private:
  standin::Response Answer(const standin::Request& request) {
    const std::string path = standin::PathOf(request);
    const std::scoped_lock lock(this->gate);
    if (path == "/record") {
      this->records.push_back(request.body());
      return standin::TextAnswer(200, "ok\n");
    }
    if (path == "/records")
      return standin::TextAnswer(
          200, "[" + absl::StrJoin(this->records, ",\n") + "]\n");
    if (path == "/clear") {
      this->records.clear();
      return standin::TextAnswer(200, "ok\n");
    }
    return standin::TextAnswer(404, "no such path\n");
  }

  std::mutex gate;
  std::vector<std::string> records;
};

}  // namespace

int main(int argc, char** argv) {
  const sigset_t signals = standin::BlockStopSignals();
  absl::ParseCommandLine(argc, argv);
  Recorder recorder;
  const standin::Server server(absl::GetFlag(FLAGS_host),
                               absl::GetFlag(FLAGS_port),
                               [&recorder](const standin::Request& request,
                                           standin::Connection& connection) {
                                 recorder.Handle(request, connection);
                               });
  std::cout << "listening " << server.Port() << std::endl;
  standin::WaitForStop(signals);
  standin::Leave(0);
}
