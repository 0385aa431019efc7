// Case 2: uploads whose Transfer-Encoding is not "chunked".
// Started by run.sh from the repository's root; the argument is the record.
#include <set>

#include "review/fleet.h"

namespace {

using review::Answer;
using review::Clock;
using review::Fleet;
using review::kDeadlineMs;
using review::Millis;

constexpr Millis kWork{50};
constexpr int kUploads = 10;

// What a client uploads: the text of a filing that it has not sent.
std::string Enclosed(int number) {
  return review::TextOf({"POST", "/lodge/enclosed",
                         "enclosed-" + std::to_string(number), kDeadlineMs},
                        "");
}

// The upload, with its length or with a coding that gives none.
std::string UploadText(int number, bool with_length) {
  const std::string body = Enclosed(number);
  std::string text = "POST /upload/x HTTP/1.1\r\nHost: mesh.example\r\n";
  text += "X-Request-Id: upload-" + std::to_string(number) + "\r\n";
  text += "X-Deadline-Ms: " + std::to_string(kDeadlineMs) + "\r\n";
  text += with_length
              ? "Content-Length: " + std::to_string(body.size()) + "\r\n"
              : std::string("Transfer-Encoding: ") +
                    (number % 2 == 0 ? "gzip" : "identity") + "\r\n";
  return text + "\r\n" + body;
}

void SendUpload(Fleet& fleet, int number) {
  const std::string id = "upload-" + std::to_string(number);
  review::Client client(fleet.nodes.front()->outbound);
  const bool sent = client.Connected() &&
                    client.Send(UploadText(number, !review::WithTrouble()));
  fleet.record.Line("client: " + id + (sent ? " sent" : " not sent"));
  const Answer answer = client.Read(Clock::now() + Millis(kDeadlineMs));
  fleet.record.Line("client: " + id + " " + NameOf(answer.end) + " " +
                    std::to_string(answer.status));
  // A second answer on this connection belongs to no request of the client.
  const Answer second = client.Read(Clock::now() + Millis(300));
  if (second.end == review::End::kAnswered)
    fleet.record.Line("client: " + id + " got a second answer " +
                      std::to_string(second.status));
}

// UNASKED: a target has run a request whose id no client sent, or one with its
// body changed.
int Judge(Fleet& fleet) {
  std::set<std::string> sent = {"settle"};
  for (int number = 1; number <= kUploads; ++number)
    sent.insert("upload-" + std::to_string(number));
  int unasked = 0;
  int changed = 0;
  for (standin::MeshUpstream* target : fleet.targets) {
    for (const standin::MeshRun& run : target->Runs()) {
      const bool known = sent.contains(run.id);
      const bool empty = run.id.starts_with("upload-") && run.body.empty();
      unasked += known ? 0 : 1;
      changed += empty ? 1 : 0;
      if (run.id != "settle")
        fleet.record.Line("target ran " + run.id + " " + run.target + ", " +
                          std::to_string(run.body.size()) + " bytes" +
                          (known ? "" : " (UNASKED: no client sent it)") +
                          (empty ? " (UNASKED: its body is gone)" : ""));
    }
  }
  std::cout << "uploads " << kUploads << ", runs that no client sent "
            << unasked << ", runs without their body " << changed << "\n";
  return unasked > 0 || changed > 0 ? review::kBroken : review::kHeld;
}

int Run(const std::string& path) {
  Fleet fleet(path);
  if (!review::StartFour(fleet, kWork)) {
    fleet.record.Line("the nodes did not serve");
    return review::kCouldNotRun;
  }
  for (int number = 1; number <= kUploads; ++number)
    SendUpload(fleet, number);
  return Judge(fleet);
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2)
    return review::kCouldNotRun;
  (void)::signal(SIGPIPE, SIG_IGN);
  const int code = Run(argv[1]);
  standin::Leave(code);
}
