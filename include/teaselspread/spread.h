// Bringing each accepted configuration to every node of a data centre, and
// never taking a node back.
//
// Few nodes read the log; updates go along a tree, and what the tree misses is
// pulled. Content is opaque here. Before a node holds a version it tells its
// witnesses, and after a restart it asks them, so it cannot end up below.
//
// Pure: (state, event, now, rng) -> actions. Nothing here is thread safe; one
// thread owns a SpreadState.
#ifndef TEASELSPREAD_SPREAD_H_
#define TEASELSPREAD_SPREAD_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "teaselspread/member.h"
#include "teaselspread/membership.h"
#include "teaselspread/types.h"
#include "teaselspread/wire.h"

namespace teaselspread {

struct SpreadSettings {
  // Live members that read the log, by rank; as many speak to the other data
  // centres.
  std::size_t readers = 2;
  // The next ranks read too while no reader has said, for `standby_patience`,
  // that it has reached the log's end lately. Readers say so every
  // `heartbeat_interval`.
  std::size_t standbys = 2;
  Duration standby_timeout = std::chrono::milliseconds(1200);
  Duration heartbeat_interval = std::chrono::milliseconds(400);
  // A starting node waits this long before it counts itself as a reader: with
  // an empty member list each node of a returning herd would be one.
  Duration reader_delay = std::chrono::milliseconds(1500);
  std::size_t fan_out = 4;
  Duration push_retry = std::chrono::milliseconds(150);
  int push_attempts = 2;
  // The reader of rank r waits r times this before it starts a push of its own.
  Duration reader_stagger = std::chrono::milliseconds(150);
  // Time for the tree to deliver before a higher version is pulled.
  Duration pull_delay = std::chrono::milliseconds(500);
  Duration pull_jitter = std::chrono::milliseconds(200);
  Duration pull_timeout = std::chrono::seconds(1);
  // Transfers that one node serves at a time, and the rate that they share.
  std::size_t transfer_slots = 2;
  std::size_t transfer_bytes_per_second = 1U << 20;
  // Nodes told before a version is held; more than half of them must confirm.
  std::size_t witnesses = 3;
  Duration record_retry = std::chrono::milliseconds(200);
  // After this time a version read from the log itself is held without them.
  Duration record_timeout = std::chrono::seconds(3);
  Duration record_repair_interval = std::chrono::seconds(2);
  Duration floor_retry = std::chrono::milliseconds(500);
  Duration notice_interval = std::chrono::seconds(1);
  std::size_t notice_fan_out = 3;
  // Deltas kept for others.
  std::size_t max_kept_deltas = 256;
  std::size_t max_kept_delta_bytes = 1U << 20;
  // A gone member's highest version is kept this long.
  Duration gone_member_retention = std::chrono::hours(24);
  // A timer this late means a pause: do not vouch for a while.
  Duration pause_threshold = std::chrono::milliseconds(700);
  Duration vouch_suspension = std::chrono::seconds(5);
  // Some control addresses of each other data centre, by its name.
  std::map<std::string, std::vector<Address>> remotes;
};

enum class SpreadCount : std::uint8_t {
  kPushSent,
  kPushRetried,
  kPushAdopted,
  kPushDuplicate,
  kPullSent,
  kPullTimeout,
  kPullBusyReceived,
  kPullBusySent,
  kChainServed,
  kSnapshotServed,
  kBelowHeldRefused,
  kUpdateRejected,
  kAppliedUnwitnessed,
  kVouchRefused,
  kPauseDetected,
  kCount
};

// Stable label of the counter. Thread safe.
[[nodiscard]] std::string_view NameOf(SpreadCount counter);

struct SpreadPeer {
  std::string id;
  Address control;
  MemberStatus status = MemberStatus::kAlive;
  // Restart that is running now, and the earliest one ever seen.
  std::uint64_t start = 0;
  std::uint64_t first_start = 0;
  // What the running start last said that it holds.
  ConfigVersion held = 0;
  // Highest version that any start of it is known to have held.
  ConfigVersion highest_held = 0;
  // This node was settled when it first heard of the peer. Otherwise earlier
  // starts of it may have been missed.
  bool settled_when_first_seen = false;
  // The peer itself named this node as its witness.
  bool recorded = false;
  TimePoint gone_since;
  std::uint64_t reader_rank = 0;
  std::uint64_t witness_rank = 0;
};

// One push that waits for its PushAck.
struct Delivery {
  ConfigVersion version = 0;
  std::size_t index = 0;
  std::string target;
  int attempts = 0;
  TimePoint due;
  // Started here and not yet sent: void once the tree brings the version.
  bool origin = false;
};

// The version that is being told to the witnesses.
struct Recording {
  ConfigVersion version = 0;
  TimePoint started;
  TimePoint due;
  std::size_t witnesses_asked = 0;
  std::set<std::string> acks;
};

struct WitnessAck {
  std::uint64_t start = 0;
  ConfigVersion version = 0;
};

struct Pull {
  TimePoint due;
  bool sent = false;
  Address target;
  bool remote = false;
};

// A version known to have been the log's newest at a time.
struct Freshness {
  ConfigVersion version = 0;
  TimePoint as_of;
};

struct SpreadState {
  SpreadSettings settings;
  std::string id;
  std::string data_center;
  Address control;
  std::uint64_t incarnation = 0;
  TimePoint started;
  bool leaving = false;
  std::map<std::string, SpreadPeer> peers;

  // Configuration: what is in force here, the same as bytes, and the deltas
  // around it by version.
  ConfigVersion held = 0;
  ConfigUpdate snapshot;
  std::map<ConfigVersion, ConfigUpdate> updates;
  std::size_t update_bytes = 0;
  // Handed out to be applied; 0 when none.
  ConfigVersion applying = 0;
  std::set<ConfigVersion> versions_from_log;

  Freshness pending_freshness;
  TimePoint fresh_as_of;

  // Never-back after a restart.
  bool floor_settled = false;
  ConfigVersion floor = 0;
  std::map<std::uint32_t, TimePoint> floor_queries;
  std::map<std::string, ConfigVersion> vouches;
  std::uint32_t next_sequence = 1;
  TimePoint next_floor_query;

  std::optional<Recording> recording;
  std::map<std::string, WitnessAck> witness_acks;
  TimePoint next_repair;

  std::vector<Delivery> deliveries;
  std::optional<Pull> pull;
  // The deltas at hand did not apply: the next pull asks for a snapshot.
  bool snapshot_wanted = false;
  // Highest version heard of, here or in another data centre.
  ConfigVersion highest_known = 0;
  std::optional<std::pair<Address, ConfigVersion>> remote_source;
  // When each running transfer is over.
  std::vector<TimePoint> transfer_ends;

  std::map<std::string, std::vector<SpeakerAddress>> remote_speakers;
  std::map<std::uint32_t, TimePoint> notices_sent;
  TimePoint next_notice;

  // Place among the live members by reader rank; 0 is the first reader.
  std::size_t reader_position = 0;
  // When a reader with a fresh view of the log was last heard.
  TimePoint last_reader_heartbeat;
  TimePoint next_heartbeat;
  bool was_reader = false;
  bool was_ready = false;
  TimePoint latest_now;
  TimePoint expected_wake;
  TimePoint vouch_suspended_until;
  std::array<std::uint64_t, static_cast<std::size_t>(SpreadCount::kCount)>
      counts{};
};

struct SpreadActions {
  std::vector<SendMessage> sends;
  // To be applied in this order, as one step. Answer with ConfirmApplied or
  // RejectUpdate; until then no more are handed out.
  std::vector<ConfigUpdate> apply;
  // Read the state again: IsReader or IsReady has changed.
  bool reader_changed = false;
  bool ready_changed = false;
};

// A node that has just started and holds nothing. `self.incarnation` is
// IncarnationAt of the start.
[[nodiscard]] SpreadState MakeSpread(const SpreadSettings& settings,
                                     const Member& self,
                                     TimePoint now);

// When TickSpread has to be called next.
[[nodiscard]] TimePoint NextWake(const SpreadState& state);

[[nodiscard]] SpreadActions TickSpread(SpreadState& state,
                                       TimePoint now,
                                       Rng& rng);

// Feed Membership::self.incarnation after each membership call. It jumps when
// the VM's clock went back over a restart and others know a later start.
void SetIncarnation(SpreadState& state, std::uint64_t incarnation);

// Feed every entry of MembershipActions::changes.
[[nodiscard]] SpreadActions ObserveMember(SpreadState& state,
                                          const Member& member,
                                          TimePoint now,
                                          Rng& rng);

// Feed every entry of MembershipActions::versions.
[[nodiscard]] SpreadActions ObserveVersion(SpreadState& state,
                                           const PeerVersion& peer,
                                           TimePoint now,
                                           Rng& rng);

// Takes in one message of this module; other kinds are ignored. The same
// message goes to ReceiveMembership too, which reports the sender's version.
[[nodiscard]] SpreadActions ReceiveSpread(SpreadState& state,
                                          const Message& message,
                                          TimePoint now,
                                          Rng& rng);

// Bytes of a stream that is not whole yet came from the IP number `host`. An
// answer of which bytes come is waited for: asked for again, it would share a
// narrow line with its own repeats, and all of them would come later.
void ObserveStreamBytes(SpreadState& state,
                        std::string_view host,
                        TimePoint now);

// A read of the log by a reader: the accepted updates found, in order (a
// checkpoint is a full one). `reached_end`: nothing was left to read at
// `read_started`, which is the local time before the read was sent.
[[nodiscard]] SpreadActions ObserveLogRead(
    SpreadState& state,
    const std::vector<ConfigUpdate>& updates,
    TimePoint read_started,
    bool reached_end,
    TimePoint now,
    Rng& rng);

// The handed out updates are in force; `full` is the whole configuration of
// that version, kept to serve others. Precondition: full.full.
[[nodiscard]] SpreadActions ConfirmApplied(SpreadState& state,
                                           const ConfigUpdate& full,
                                           TimePoint now,
                                           Rng& rng);

// The handed out updates did not apply (kDigestMismatch, kMissingParent): they
// are dropped, and a snapshot is pulled from another node.
[[nodiscard]] SpreadActions RejectUpdate(SpreadState& state,
                                         TimePoint now,
                                         Rng& rng);

// A planned stop: no longer a reader.
void LeaveSpread(SpreadState& state);

// This node reads the log and speaks to the other data centres.
[[nodiscard]] bool IsReader(const SpreadState& state, TimePoint now);

// Holds a configuration, and at least the floor of this VM.
[[nodiscard]] bool IsReady(const SpreadState& state);

// Ids of the current readers, by rank; with standbys after them if asked.
[[nodiscard]] std::vector<std::string> ReadersOf(const SpreadState& state,
                                                 bool with_standbys = false);

// This node's sender part of a message.
[[nodiscard]] Sender SenderOf(const SpreadState& state, TimePoint now);

}  // namespace teaselspread

#endif  // TEASELSPREAD_SPREAD_H_
