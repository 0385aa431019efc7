// Typed messages between the system's own processes, and their framing.
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
// Larger frames go over TCP: a fragmented IP packet is lost as a whole when one
// fragment is lost.
inline constexpr std::size_t kMaxDatagramBytes = 1200;
// Default maximum length of a frame on a stream.
inline constexpr std::size_t kMaxStreamFrameBytes = 4U << 20;
inline constexpr std::size_t kMaxOpaqueBytes = 512;
inline constexpr std::uint32_t kAgeUnknown =
    std::numeric_limits<std::uint32_t>::max();

// The sender of a message and the version that it holds. Every message carries
// it, so that any message can reveal a missed update.
struct Sender {
  std::string id;
  std::uint64_t incarnation = 0;
  Address control;
  ConfigVersion held = 0;
  // How long ago `held` was known to be the newest version of the log, in ms.
  std::uint32_t log_age_ms = kAgeUnknown;

  bool operator==(const Sender&) const = default;
};

// A status reported for another member. A higher incarnation overrides it.
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

// The highest version per (topic, key) wins. Maximum of `body`:
// kMaxOpaqueBytes.
struct OpaqueRumour {
  Topic topic = Topic::kVerdict;
  std::string key;
  std::uint64_t version = 0;
  std::string body;
  // Every node drops it at this time, so that no node can reintroduce it.
  TimePoint expires = TimePoint::max();

  bool operator==(const OpaqueRumour&) const = default;
};

using Rumour = std::variant<Member, Accusation, OpaqueRumour>;

struct Ping {
  Sender from;
  std::uint32_t sequence = 0;
  // Detects an address that now belongs to another, restarted VM.
  std::string target;
  std::vector<Rumour> rumours;
};

// Requests that the receiver ping `target` on the sender's behalf.
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
  // The member that responded; differs from `from` when relayed.
  std::string target;
  std::vector<Rumour> rumours;
};

// The relay of a PingRequest got no response from the target: the relay works,
// the target may have failed.
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

// One node's entries in some buckets. The receiver merges them and, if
// `reply_wanted`, responds with its entries of the same buckets.
struct StateExchange {
  Sender from;
  bool reply_wanted = false;
  // One bit for each bucket.
  std::uint64_t buckets = kAllBuckets;
  std::vector<Member> members;
  std::vector<OpaqueRumour> rumours;
};

// Checksums of the live entries, compared before the entries themselves are
// sent: 833 entries take over 100 KB, and usually both sides agree or differ in
// only a few.
struct StateDigest {
  Sender from;
  bool reply_wanted = false;
  // kStateBuckets of them.
  std::vector<std::uint32_t> digests;
};

// One accepted configuration, encoded; only the config module decodes it.
struct ConfigUpdate {
  ConfigVersion version = 0;
  // Version that a delta applies to; 0 with `full`.
  ConfigVersion parent = 0;
  std::uint64_t digest = 0;
  bool full = false;
  std::string body;

  bool operator==(const ConfigUpdate&) const = default;
};

// Sent along the dissemination tree.
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
  // Newest version that the sender has; 0 requests a snapshot.
  ConfigVersion have = 0;
};

// Deltas in order, starting after `have`, or one full snapshot.
struct PullReply {
  Sender from;
  std::vector<ConfigUpdate> updates;
};

// Too many transfers are running: retry later (ErrorKind::kPeerBusy).
struct PullBusy {
  Sender from;
  std::uint32_t retry_after_ms = 0;
};

// The sender is about to hold `version`; the receiver records that for it.
struct RecordHeld {
  Sender from;
  ConfigVersion version = 0;
};

struct RecordAck {
  Sender from;
  ConfigVersion version = 0;
};

// What a node knows of the versions that a restarted VM held before.
enum class Vouch : std::uint8_t {
  // Nothing reliable.
  kNone,
  // The VM itself reported its version to this node.
  kRecorded,
  // The VM was never seen before its current start.
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
  // Highest version that the querying VM is known to have held.
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
  // Echoed by the reply; 0 if no reply is wanted.
  std::uint32_t sequence = 0;
  bool reply = false;
  std::vector<SpeakerAddress> speakers;
};

// Bytes that only the named module decodes; also sent between data centres.
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

// The sender, which every kind of message has. Thread safe.
[[nodiscard]] const Sender& SenderOf(const Message& message);

enum class Transport : std::uint8_t { kDatagram, kStream };

// An action: one message to one control address. A stream message opens (or
// reuses) a TCP connection to `to` and is a frame like any other; a response
// arrives as a separate message at the sender's control address.
struct SendMessage {
  Address to;
  Transport transport = Transport::kDatagram;
  Message message;
};

// Returns the whole frame. Thread safe.
[[nodiscard]] std::string Encode(const Message& message);

// Decodes exactly one frame. Never throws, and allocates no more than a small
// multiple of the input. Errors: kFrameMalformed, kFrameVersion (the text names
// both formats). Thread safe.
[[nodiscard]] Result<Message> Decode(std::string_view frame);

// Bytes that `rumour` takes inside a payload. Thread safe.
[[nodiscard]] std::size_t EncodedSize(const Rumour& rumour);

// A datagram when the frame fits one, else a stream. Thread safe.
[[nodiscard]] Transport TransportFor(const Message& message);

// Splits a TCP byte stream into frames. After an error the frame boundaries are
// lost: close the connection. Not thread safe.
class FrameReader {
 public:
  explicit FrameReader(std::size_t max_frame_bytes = kMaxStreamFrameBytes);

  // Adds received bytes. After each call, call Next until it returns none.
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
