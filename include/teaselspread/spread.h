// Distributes each accepted configuration to every node of a data centre and
// never returns a node to an older version.
//
// Few nodes read the log; updates are pushed along a tree, and nodes pull what
// the tree did not deliver. Content is opaque here. Before a node holds a
// version it reports it to its witnesses, and after a restart it queries them,
// so that it cannot hold a lower one.
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
  // Live members that read the log, by rank; they also exchange versions with
  // the other data centres.
  std::size_t readers = 2;
  // Members of the next ranks that also read while no reader has reported, for
  // `standby_timeout`, a recent read to the log's end. Readers report every
  // `heartbeat_interval`.
  std::size_t standbys = 2;
  Duration standby_timeout = std::chrono::milliseconds(1200);
  Duration heartbeat_interval = std::chrono::milliseconds(400);
  // Time from the start until a node may be a reader: while its member list is
  // empty, each of many nodes that restart together would be one.
  Duration reader_delay = std::chrono::milliseconds(1500);
  std::size_t fan_out = 4;
  Duration push_retry = std::chrono::milliseconds(150);
  int push_attempts = 2;
  // The reader of rank r delays a push of its own by r times this.
  Duration reader_stagger = std::chrono::milliseconds(150);
  // Time allowed to the tree before a higher version is pulled.
  Duration pull_delay = std::chrono::milliseconds(500);
  Duration pull_jitter = std::chrono::milliseconds(200);
  Duration pull_timeout = std::chrono::seconds(1);
  // Transfers that one node serves at a time, and the rate that they share.
  std::size_t transfer_slots = 2;
  std::size_t transfer_bytes_per_second = 1U << 20;
  // Nodes to which a version is reported before it is held; more than half of
  // them must confirm.
  std::size_t witnesses = 3;
  Duration record_retry = std::chrono::milliseconds(200);
  // After this time a version read from the log itself is held without their
  // confirmation.
  Duration record_timeout = std::chrono::seconds(3);
  Duration record_repair_interval = std::chrono::seconds(2);
  Duration floor_retry = std::chrono::milliseconds(500);
  Duration notice_interval = std::chrono::seconds(1);
  std::size_t notice_fan_out = 3;
  // Limits of the deltas kept to serve other nodes.
  std::size_t max_kept_deltas = 256;
  std::size_t max_kept_delta_bytes = 1U << 20;
  // How long the highest version of a departed member is kept.
  Duration gone_member_retention = std::chrono::hours(24);
  // A timer later than this indicates a pause of the process, after which the
  // node does not vouch for `vouch_suspension`.
  Duration pause_threshold = std::chrono::milliseconds(700);
  Duration vouch_suspension = std::chrono::seconds(5);
  // Control addresses of some nodes of each other data centre, by its name.
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
  // Start of the running process, and the earliest start ever seen.
  std::uint64_t start = 0;
  std::uint64_t first_start = 0;
  // Version last reported as held since that start.
  ConfigVersion held = 0;
  // Highest version that it is known to have held since any start.
  ConfigVersion highest_held = 0;
  // The floor of this node was settled when it first learned of the peer.
  // Otherwise it may have missed earlier starts of the peer.
  bool settled_when_first_seen = false;
  // The peer itself sent this node a RecordHeld, as one of its witnesses.
  bool recorded = false;
  TimePoint gone_since;
  std::uint64_t reader_rank = 0;
  std::uint64_t witness_rank = 0;
};

// A push without a PushAck so far.
struct Delivery {
  ConfigVersion version = 0;
  std::size_t index = 0;
  std::string target;
  int attempts = 0;
  TimePoint due;
  // Starts at this node and is not sent yet: cancelled if the version arrives
  // over the tree.
  bool origin = false;
};

// The version that is being reported to the witnesses.
struct Recording {
  ConfigVersion version = 0;
  TimePoint started;
  TimePoint due;
  std::size_t witnesses_queried = 0;
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

// A version that was the log's newest at `as_of`.
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

  // The version in force here, its whole configuration, and the updates below
  // and above it by version.
  ConfigVersion held = 0;
  ConfigUpdate snapshot;
  std::map<ConfigVersion, ConfigUpdate> updates;
  std::size_t update_bytes = 0;
  // Version handed out to be applied; 0 when none.
  ConfigVersion applying = 0;
  std::set<ConfigVersion> versions_from_log;

  Freshness pending_freshness;
  TimePoint fresh_as_of;

  // After a restart: keeps this VM from holding less than before.
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
  // The stored deltas did not apply: the next pull requests a snapshot.
  bool snapshot_wanted = false;
  // Highest version reported in this or another data centre.
  ConfigVersion highest_known = 0;
  std::optional<std::pair<Address, ConfigVersion>> remote_source;
  // When each transfer in progress ends.
  std::vector<TimePoint> transfer_ends;

  std::map<std::string, std::vector<SpeakerAddress>> remote_speakers;
  std::map<std::uint32_t, TimePoint> notices_sent;
  TimePoint next_notice;

  // Position among the live members by reader rank; 0 is the first reader.
  std::size_t reader_position = 0;
  // When a reader with a fresh view of the log last sent a heartbeat.
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
  // To be applied in this order, as one step. Report the result with
  // ConfirmApplied or RejectUpdate; until then no more are handed out.
  std::vector<ConfigUpdate> apply;
  // IsReader or IsReady has changed.
  bool reader_changed = false;
  bool ready_changed = false;
};

// State of a node that has just started and holds nothing. `self.incarnation`
// is IncarnationAt of the start.
[[nodiscard]] SpreadState MakeSpread(const SpreadSettings& settings,
                                     const Member& self,
                                     TimePoint now);

// When TickSpread has to be called next.
[[nodiscard]] TimePoint NextWake(const SpreadState& state);

[[nodiscard]] SpreadActions TickSpread(SpreadState& state,
                                       TimePoint now,
                                       Rng& rng);

// Call with Membership::self.incarnation after each membership call. It is
// raised when the VM's clock was set back across a restart and other nodes know
// a later start.
void SetIncarnation(SpreadState& state, std::uint64_t incarnation);

// Call for every entry of MembershipActions::changes.
[[nodiscard]] SpreadActions ObserveMember(SpreadState& state,
                                          const Member& member,
                                          TimePoint now,
                                          Rng& rng);

// Call for every entry of MembershipActions::versions.
[[nodiscard]] SpreadActions ObserveVersion(SpreadState& state,
                                           const PeerVersion& peer,
                                           TimePoint now,
                                           Rng& rng);

// Handles one message of this module; other kinds are ignored. Pass the same
// message to ReceiveMembership, which reports the sender's version.
[[nodiscard]] SpreadActions ReceiveSpread(SpreadState& state,
                                          const Message& message,
                                          TimePoint now,
                                          Rng& rng);

// Call when bytes of an incomplete stream arrive from the IP address `host`.
// Extends the time-out of a pull from there: requested again, the response
// would share a slow connection with its own copies, and all would be delayed.
void ObserveStreamBytes(SpreadState& state,
                        std::string_view host,
                        TimePoint now);

// Result of a reader's read of the log: the accepted updates found, in order (a
// checkpoint is a full one). `reached_end`: nothing was left to read at
// `read_started`, which is the local time before the read was sent.
[[nodiscard]] SpreadActions ObserveLogRead(
    SpreadState& state,
    const std::vector<ConfigUpdate>& updates,
    TimePoint read_started,
    bool reached_end,
    TimePoint now,
    Rng& rng);

// The updates handed out are in force; `full` is the whole configuration of
// that version, kept to serve others. Precondition: full.full.
[[nodiscard]] SpreadActions ConfirmApplied(SpreadState& state,
                                           const ConfigUpdate& full,
                                           TimePoint now,
                                           Rng& rng);

// The updates handed out did not apply (kDigestMismatch, kMissingParent): they
// are dropped, and a snapshot is pulled from another node.
[[nodiscard]] SpreadActions RejectUpdate(SpreadState& state,
                                         TimePoint now,
                                         Rng& rng);

// Call before a planned stop: the node is no longer a reader.
void LeaveSpread(SpreadState& state);

// Whether this node reads the log and exchanges versions with the other data
// centres.
[[nodiscard]] bool IsReader(const SpreadState& state, TimePoint now);

// Whether the node holds a configuration that is at or above the floor of this
// VM.
[[nodiscard]] bool IsReady(const SpreadState& state);

// Ids of the current readers by rank; `with_standbys` appends the standbys.
[[nodiscard]] std::vector<std::string> ReadersOf(const SpreadState& state,
                                                 bool with_standbys = false);

// Sender fields of a message from this node.
[[nodiscard]] Sender SenderOf(const SpreadState& state, TimePoint now);

}  // namespace teaselspread

#endif  // TEASELSPREAD_SPREAD_H_
