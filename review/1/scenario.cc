// Case 1: uploads that are on their way when a node stops as planned.
// Started by run.sh from the repository's root; the argument is the record.
#include "review/fleet.h"

namespace {

using review::Answer;
using review::Clock;
using review::End;
using review::kDeadlineMs;
using review::Millis;

// Bounds and figures of the customer's sheet.
constexpr Millis kGrace{6000};
constexpr Millis kLost{200};
constexpr std::size_t kBodyBytes = 360'000;
// Six clients share the machine's line of 11 Mbit/s.
constexpr std::size_t kClients = 6;
constexpr std::size_t kBytesPerSecond = 11'000'000 / 8 / kClients;
constexpr Millis kPlanned{9000};
// Mean work of an upload.
constexpr Millis kWork{420};

// One upload, as its client saw it.
struct Upload {
  std::string id;
  Clock::time_point begun;
  Clock::time_point sent;
  Clock::time_point ended;
  bool whole = false;
  Answer answer;
};

struct Stage {
  explicit Stage(const std::string& path) : fleet(path) {}

  review::Fleet fleet;
  review::Record& record = fleet.record;
  // The platform's view of the first node, by its readiness.
  std::atomic<bool> takes_clients{true};
  std::atomic<bool> over{false};
  std::mutex gate;
  std::vector<Upload> uploads;
};

// The platform asks once a second; after two misses in a row the machine's
// clients send no new work.
void AskReadiness(Stage& stage) {
  int misses = 0;
  while (!stage.over) {
    const bool ready = stage.fleet.nodes.front()->Ready();
    misses = ready ? 0 : misses + 1;
    stage.takes_clients = misses < 2;
    stage.record.Line(std::string("platform: GET /ready -> ") +
                      (ready ? "200" : "no 200"));
    std::this_thread::sleep_for(Millis(1000));
  }
}

Upload SendUpload(Stage& stage, const std::string& id) {
  const std::string body(kBodyBytes, 'u');
  const std::uint16_t port = stage.fleet.nodes.front()->outbound;
  Upload upload;
  upload.id = id;
  upload.begun = Clock::now();
  stage.record.Line("client: " + id + " begun");
  review::Client client(port);
  upload.whole =
      client.Connected() &&
      client.Send(review::TextOf({"POST", "/upload/x", id, kDeadlineMs}, body),
                  kBytesPerSecond);
  upload.sent = Clock::now();
  if (upload.whole) {
    stage.record.Line("client: " + id + " sent whole");
    upload.answer = client.Read(upload.begun + Millis(kDeadlineMs));
  } else {
    upload.answer.end = End::kReset;
  }
  upload.ended = Clock::now();
  stage.record.Line("client: " + id + " " + NameOf(upload.answer.end) + " " +
                    std::to_string(upload.answer.status));
  return upload;
}

// One client after another upload, while the platform sends work here.
void Use(Stage& stage, std::size_t number) {
  std::this_thread::sleep_for(Millis(330) * number);
  for (int turn = 1; stage.takes_clients && !stage.over; ++turn) {
    const std::string id =
        "up-" + std::to_string(number) + "-" + std::to_string(turn);
    Upload upload = SendUpload(stage, id);
    const std::scoped_lock lock(stage.gate);
    stage.uploads.push_back(std::move(upload));
  }
}

int CountRuns(Stage& stage, const std::string& id) {
  int runs = 0;
  for (standin::MeshUpstream* target : stage.fleet.targets)
    runs += target->CountRuns(id);
  return runs;
}

// LOST: the process has read the whole request, and the connection ends without
// an answer later than lostMs after its last byte. Closed in order, not reset:
// nothing that the client sent was left unread.
bool IsLost(const Upload& upload) {
  return upload.whole && upload.answer.end == End::kClosed &&
         upload.ended - upload.sent > kLost &&
         upload.ended < upload.begun + Millis(kDeadlineMs);
}

int Judge(Stage& stage, Clock::time_point stopped) {
  review::RecordRuns(stage.fleet);
  int lost = 0;
  int answered = 0;
  for (const Upload& upload : stage.uploads) {
    answered += upload.answer.end == End::kAnswered ? 1 : 0;
    const bool planned = stopped != Clock::time_point{} &&
                         upload.sent > stopped &&
                         upload.begun < stopped + kGrace + Millis(1000);
    if (!IsLost(upload) || !planned)
      continue;
    ++lost;
    stage.record.Line(
        "LOST: " + upload.id + " ran " +
        std::to_string(CountRuns(stage, upload.id)) + " times; begun " +
        std::to_string(
            std::chrono::duration_cast<Millis>(upload.begun - stopped)
                .count()) +
        " ms, whole " +
        std::to_string(
            std::chrono::duration_cast<Millis>(upload.sent - stopped).count()) +
        " ms, closed " +
        std::to_string(
            std::chrono::duration_cast<Millis>(upload.ended - stopped)
                .count()) +
        " ms after SIGTERM");
  }
  stage.record.Line("uploads " + std::to_string(stage.uploads.size()) +
                    ", answered " + std::to_string(answered) + ", lost " +
                    std::to_string(lost));
  std::cout << "uploads " << stage.uploads.size() << ", answered " << answered
            << ", lost " << lost << "\n";
  return lost > 0 ? review::kBroken : review::kHeld;
}

int Run(const std::string& path) {
  Stage stage(path);
  if (!review::StartFour(stage.fleet, kWork)) {
    stage.record.Line("the nodes did not serve");
    return review::kCouldNotRun;
  }
  std::thread platform([&stage] { AskReadiness(stage); });
  std::vector<std::thread> clients;
  for (std::size_t i = 0; i < kClients; ++i)
    clients.emplace_back([&stage, i] { Use(stage, i); });
  std::this_thread::sleep_for(Millis(5200));
  Clock::time_point stopped;
  if (review::WithTrouble()) {
    stopped = Clock::now();
    stage.record.Line("platform: SIGTERM to bole-1");
    stage.fleet.nodes.front()->Signal(SIGTERM);
  }
  std::this_thread::sleep_for(kPlanned);
  stage.over = true;
  for (std::thread& client : clients)
    client.join();
  platform.join();
  return Judge(stage, stopped);
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2)
    return review::kCouldNotRun;
  (void)::signal(SIGPIPE, SIG_IGN);
  const int code = Run(argv[1]);
  standin::Leave(code);
}
