#include "contract/raw_socket.h"
#include "edge/config_copy.h"
#include "edge/frames.h"
#include "process/edge_fleet.h"

#include <criterion/criterion.h>

#include <atomic>
#include <string>

namespace teaselspread {
namespace {

using Ms = std::chrono::milliseconds;

constexpr Ms kSlicePause{50};
constexpr int kSlices = 40;

// A node that holds the configuration `version` and sends it so slowly that one
// copy takes two seconds.
class SlowPeer {
 public:
  // Ignores the first `ignored` requests for the configuration and responds to
  // the next one.
  SlowPeer(std::string name,
           ConfigVersion held_version,
           std::string text,
           int ignored = 0)
      : node(std::move(name)),
        version(held_version),
        config_text(std::move(text)),
        ignored_asks(ignored),
        peer([this](const RawSocket& socket, int) { this->Serve(socket); }) {}

  [[nodiscard]] int ConfigAsks() const { return this->asks; }
  [[nodiscard]] int Pings() const { return this->pings; }
  [[nodiscard]] std::string Record() const {
    return "a " + ToString(this->peer.At());
  }

 private:
  void Serve(const RawSocket& socket) {
    std::string bytes;
    while (!this->peer.Stopping()) {
      bytes += socket.ReadUntil(
          [](const std::string& received) { return !received.empty(); },
          Ms(20));
      while (this->HandleFrame(socket, bytes)) {
      }
      if (this->peer.Stopping() || !this->Connected(socket))
        return;
    }
  }

  [[nodiscard]] bool Connected(const RawSocket& socket) const {
    pollfd entry{socket.Fd(), POLLRDHUP, 0};
    return ::poll(&entry, 1, 0) == 0 || (entry.revents & POLLRDHUP) == 0;
  }

  bool HandleFrame(const RawSocket& socket, std::string& bytes) {
    if (bytes.size() < kFrameLengthBytes)
      return false;
    std::size_t length = 0;
    for (std::size_t i = 0; i < kFrameLengthBytes; ++i)
      length = length << 8U | static_cast<unsigned char>(bytes[i]);
    if (bytes.size() < kFrameLengthBytes + length)
      return false;
    const auto frame = DecodeLinkFrame(
        std::string_view(bytes).substr(kFrameLengthBytes, length));
    bytes.erase(0, kFrameLengthBytes + length);
    if (!frame)
      return true;
    if (std::holds_alternative<Hello>(*frame)) {
      GateStatus status;
      status.held_version = this->version;
      socket.Send(EncodeLinkFrame(Status{kAllStatusParts, status}));
    } else if (const auto* ping = std::get_if<PingFrame>(&*frame)) {
      socket.Send(EncodeLinkFrame(PongFrame{ping->sequence}));
      ++this->pings;
    } else if (std::holds_alternative<ConfigRequest>(*frame)) {
      if (this->asks++ == this->ignored_asks)
        this->SendSlowly(socket);
    }
    return true;
  }

  void SendSlowly(const RawSocket& socket) const {
    const std::string copy = EncodeLinkFrame(
        *PackCopy(this->version, {"config", this->config_text}, ""));
    const std::size_t slice = copy.size() / kSlices + 1;
    for (std::size_t at = 0; at < copy.size(); at += slice) {
      if (!socket.Send(copy.substr(at, slice)))
        return;
      std::this_thread::sleep_for(kSlicePause);
    }
  }

  std::string node;
  ConfigVersion version;
  std::string config_text;
  int ignored_asks;
  std::atomic<int> asks{0};
  std::atomic<int> pings{0};
  ScriptedPeer peer;
};

bool HasVersion(const EdgeVm& vm, const std::string& version) {
  return vm.Metrics().find("teaselspread_config_version " + version + "\n") !=
         std::string::npos;
}

// Guards against several copies of one configuration that a node requests while
// the first one still arrives over a narrow line.
Test(slow_copies, a_copy_in_flight_is_not_requested_again) {
  SlowPeer peer("a-0", 2, ConfigText("00000002"));
  auto& store = *new standin::StoreService;
  store.Put("keyed.op", "config", ConfigText("00000001"));
  store.Put("keyed.nodes", "a-0", peer.Record());
  const EdgeVm vm("a-1", "a", {"i-a1", "desk"}, store.Port());
  cr_assert(WaitUntil([&] { return HasVersion(vm, "2"); }));
  // When a ping is answered, all frames sent before it have been read; some
  // pings may have been queued behind the copy.
  constexpr int kExtraPings = 3;
  const int min_pings = peer.Pings() + kExtraPings;
  cr_assert(WaitUntil([&] { return peer.Pings() >= min_pings; }));
  cr_assert(peer.ConfigAsks() == 1, "asked %d times", peer.ConfigAsks());
}

// Guards against a node that keeps its old configuration because the peer that
// it asked answers pings but never the request for the configuration.
Test(slow_copies, an_ignored_request_is_sent_again) {
  SlowPeer peer("a-0", 2, ConfigText("00000002"), 1);
  auto& store = *new standin::StoreService;
  store.Put("keyed.op", "config", ConfigText("00000001"));
  store.Put("keyed.nodes", "a-0", peer.Record());
  const EdgeVm vm("a-1", "a", {"i-a1", "desk"}, store.Port());
  cr_assert(WaitUntil([&] { return HasVersion(vm, "2"); }));
  cr_assert(peer.ConfigAsks() == 2, "asked %d times", peer.ConfigAsks());
}

// Guards against reads that time out and are retried while their response
// arrives over a narrow line: each retry delays the other responses.
Test(slow_copies, a_store_response_in_flight_is_not_requested_again) {
  auto& store = *new standin::StoreService;
  constexpr int kBytesPerSecond = 200'000;
  const std::string long_path = "/" + std::string(350'000, 'x') + "/";
  store.Put("keyed.op", "config", ConfigText("00000001", long_path));
  store.SetPace("keyed.op", kBytesPerSecond);
  const EdgeVm vm("a-1", "a", {"i-a1", "desk"}, store.Port());
  cr_assert(WaitUntil([&] { return HasVersion(vm, "1"); }));
  const int reads = store.CallsOf("/log-newest", "keyed.op");
  cr_assert(reads == 1, "read %d times", reads);
}

}  // namespace
}  // namespace teaselspread
