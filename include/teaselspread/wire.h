// Typed messages between the system's own processes and their frames.
//
// A frame is: magic, format version, message kind, payload length, XXH3-64 of
// the payload, payload (cereal, portable binary). Datagrams and streams carry
// the same frames. Free functions are thread safe; a FrameReader belongs to one
// connection.
#ifndef TEASELSPREAD_WIRE_H_
#define TEASELSPREAD_WIRE_H_

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "teaselspread/error.h"
#include "teaselspread/member.h"
#include "teaselspread/types.h"

namespace teaselspread {

inline constexpr std::uint8_t kFrameFormat = 1;
inline constexpr std::size_t kFrameHeaderBytes = 18;
// Larger frames go over TCP: an IP packet that is split is lost whole when one
// part is lost.
inline constexpr std::size_t kMaxDatagramBytes = 1200;
// Longest frame that a stream accepts unless the reader is told otherwise.
inline constexpr std::size_t kMaxStreamFrameBytes = 4U << 20;
inline constexpr std::size_t kMaxOpaqueBytes = 512;
inline constexpr std::uint32_t kAgeUnknown =
    std::numeric_limits<std::uint32_t>::max();

// Who sent a message and what it holds. On every message, so that each one can
// repair a missed update.
struct Sender {
  std::string id;
  std::uint64_t incarnation = 0;
  Address control;
  ConfigVersion held = 0;
  // How long ago `held` was known to be the newest version of the log, in ms.
  std::uint32_t log_age_ms = kAgeUnknown;

  bool operator==(const Sender&) const = default;
};

// A claim about another member. It loses against a higher incarnation.
struct Accusation {
  std::string id;
  std::uint64_t incarnation = 0;
  MemberStatus status = MemberStatus::kSuspect;
  std::string accuser;

  bool operator==(const Accusation&) const = default;
};

// Channels that other modules piggyback on membership messages.
enum class Topic : std::uint8_t {
  kVerdict,
  kCrashSuspect,
  kMoveEvidence,
  kMoveReport,
  kCount
};

// Modules that send frames of their own between nodes.
enum class Module : std::uint8_t { kMoves, kClaims, kCount };

// "moves" or "claims". Thread safe.
[[nodiscard]] std::string_view NameOf(Module module);

// "verdict", "crash-suspect", "move-evidence" or "move-report". Thread safe.
[[nodiscard]] std::string_view NameOf(Topic topic);

// Last version wins, per (topic, key). `body` is at most kMaxOpaqueBytes.
struct OpaqueRumour {
  Topic topic = Topic::kVerdict;
  std::string key;
  std::uint64_t version = 0;
  std::string body;
  // Every node drops it then, so that no node can bring it back to another.
  TimePoint expires = TimePoint::max();

  bool operator==(const OpaqueRumour&) const = default;
};

using Rumour = std::variant<Member, Accusation, OpaqueRumour>;

struct Ping {
  Sender from;
  std::uint32_t sequence = 0;
  // Guards against an address that a restarted VM has taken over.
  std::string target;
  std::vector<Rumour> rumours;
};

// Asks the receiver to ping `target` on the sender's behalf.
struct PingRequest {
  Sender from;
  std::uint32_t sequence = 0;
  std::string target;
  Address target_address;
  std::vector<Rumour> rumours;
};

struct Ack {
  Sender from;
  std::uint32_t sequence = 0;
  // Who answered; differs from `from` when relayed.
  std::string target;
  std::vector<Rumour> rumours;
};

// The relay of a PingRequest had no answer: the relay works, the target may
// not.
struct Nack {
  Sender from;
  std::uint32_t sequence = 0;
};

struct Gossip {
  Sender from;
  std::vector<Rumour> rumours;
};

// Entries are compared in this many buckets, by a hash of their names.
inline constexpr std::size_t kStateBuckets = 64;
inline constexpr std::uint64_t kAllBuckets = ~std::uint64_t{0};

// What one node knows in some buckets; the receiver merges it and, if asked,
// answers with the same buckets.
struct StateExchange {
  Sender from;
  bool reply_wanted = false;
  // One bit for each bucket.
  std::uint64_t buckets = kAllBuckets;
  std::vector<Member> members;
  std::vector<OpaqueRumour> rumours;
};

// Checksums of the live entries, compared before the entries themselves are
// sent: 833 of them take over 100 KB, and most of the time both sides agree or
// differ in a few.
struct StateDigest {
  Sender from;
  bool reply_wanted = false;
  // kStateBuckets of them.
  std::vector<std::uint32_t> digests;
};

// One accepted configuration as bytes that only the config module reads.
struct ConfigUpdate {
  ConfigVersion version = 0;
  // Version that a delta applies to; 0 with `full`.
  ConfigVersion parent = 0;
  std::uint64_t digest = 0;
  bool full = false;
  std::string body;

  bool operator==(const ConfigUpdate&) const = default;
};

// Along the dissemination tree.
struct Push {
  Sender from;
  ConfigUpdate update;
};

struct PushAck {
  Sender from;
  ConfigVersion version = 0;
};

struct PullRequest {
  Sender from;
  // Newest version that the sender has; 0 asks for a snapshot.
  ConfigVersion have = 0;
};

// Deltas in order from `have` on, or one full snapshot.
struct PullReply {
  Sender from;
  std::vector<ConfigUpdate> updates;
};

// Too many transfers run: come back later (ErrorKind::kPeerBusy).
struct PullBusy {
  Sender from;
  std::uint32_t retry_after_ms = 0;
};

// "I am about to hold `version`": remembered by the receiver for the sender.
struct RecordHeld {
  Sender from;
  ConfigVersion version = 0;
};

struct RecordAck {
  Sender from;
  ConfigVersion version = 0;
};

// What a node can say of the versions that a restarted VM held before.
enum class Vouch : std::uint8_t {
  // Nothing reliable.
  kNone,
  // The VM told this node itself.
  kRecorded,
  // The VM was never seen before this start of it.
  kNewVm,
  kCount
};

// "none", "recorded" or "new-vm". Thread safe.
[[nodiscard]] std::string_view NameOf(Vouch vouch);

struct FloorQuery {
  Sender from;
  std::uint32_t sequence = 0;
};

struct FloorReply {
  Sender from;
  std::uint32_t sequence = 0;
  Vouch vouch = Vouch::kNone;
  // Highest version known to have been held by the VM that asks.
  ConfigVersion floor = 0;
};

struct SpeakerAddress {
  std::string id;
  Address control;

  bool operator==(const SpeakerAddress&) const = default;
};

// Version exchange between data centres.
struct VersionNotice {
  Sender from;
  std::string data_center;
  // Echoed by the answer; 0 wants none.
  std::uint32_t sequence = 0;
  bool reply = false;
  std::vector<SpeakerAddress> speakers;
};

// Bytes that only the named module reads; also between data centres.
struct ModuleFrame {
  Sender from;
  Module module = Module::kMoves;
  std::string body;
};

using Message = std::variant<Ping,
                             PingRequest,
                             Ack,
                             Nack,
                             Gossip,
                             StateExchange,
                             StateDigest,
                             Push,
                             PushAck,
                             PullRequest,
                             PullReply,
                             PullBusy,
                             RecordHeld,
                             RecordAck,
                             FloorQuery,
                             FloorReply,
                             VersionNotice,
                             ModuleFrame>;

inline constexpr std::size_t kMessageKinds = std::variant_size_v<Message>;

// Stable name of the message's kind, for counters and logs. Thread safe.
[[nodiscard]] std::string_view KindOf(const Message& message);
[[nodiscard]] std::string_view KindName(std::size_t index);

// The sender's part, which every kind has. Thread safe.
[[nodiscard]] const Sender& SenderOf(const Message& message);

enum class Transport : std::uint8_t { kDatagram, kStream };

// An action: one message to one control address. A stream message opens (or
// reuses) a TCP connection to `to` and is a frame like any other; an answer
// comes back as a message of its own to the sender's control address.
struct SendMessage {
  Address to;
  Transport transport = Transport::kDatagram;
  Message message;
};

// The whole frame. Thread safe.
[[nodiscard]] std::string Encode(const Message& message);

// Decodes exactly one frame. Never throws, and allocates no more than a small
// multiple of the input. Errors: kFrameMalformed, kFrameVersion (the text names
// both formats). Thread safe.
[[nodiscard]] Result<Message> Decode(std::string_view frame);

// Bytes that `rumour` takes inside a payload. Thread safe.
[[nodiscard]] std::size_t EncodedSize(const Rumour& rumour);

// A datagram when the frame fits one, else a stream. Thread safe.
[[nodiscard]] Transport TransportFor(const Message& message);

// Cuts a TCP byte stream into frames. After an error the stream has lost its
// place: close the connection. Not thread safe.
class FrameReader {
 public:
  explicit FrameReader(std::size_t max_frame_bytes = kMaxStreamFrameBytes);

  // Adds received bytes. Call Next until it has no message after each call.
  void Append(std::string_view bytes);

  // The next whole message, or nullopt when more bytes are needed. Errors: as
  // Decode; kFrameMalformed for a frame above the maximum, before it is read.
  [[nodiscard]] Result<std::optional<Message>> Next();

 private:
  std::size_t max_frame_bytes;
  std::string buffer;
};

}  // namespace teaselspread

#endif  // TEASELSPREAD_WIRE_H_
