// Failure detection and membership of one data centre: SWIM with suspicion,
// and Lifeguard's local health score.
//
// Pure: each function takes the state, an event, the time and a random number
// generator, and returns actions. Nothing here is thread safe unless stated;
// one thread owns a Membership. Times passed to one Membership must not
// decrease; an earlier time is taken as "no time has passed".
#ifndef TEASELSPREAD_MEMBERSHIP_H_
#define TEASELSPREAD_MEMBERSHIP_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "teaselspread/member.h"
#include "teaselspread/types.h"
#include "teaselspread/wire.h"

namespace teaselspread {

// Low bits of an incarnation: the number of changes since the node's start.
inline constexpr unsigned kRevisionBits = 16;

// First incarnation of a process that started at `start`. The high bits are
// the start time in milliseconds, the low ones count the changes that the node
// made to its own entry. So a restart always wins, and so does a later
// announcement of the same start. Thread safe.
[[nodiscard]] constexpr std::uint64_t IncarnationAt(TimePoint start) {
  constexpr std::uint64_t kMicrosPerMilli = 1000;
  return (static_cast<std::uint64_t>(start.time_since_epoch().count()) /
          kMicrosPerMilli)
         << kRevisionBits;
}

// The bits of an incarnation that change only with a restart. Thread safe.
[[nodiscard]] constexpr std::uint64_t StartOf(std::uint64_t incarnation) {
  return incarnation >> kRevisionBits;
}

struct MembershipSettings {
  // One probe is sent per period.
  Duration protocol_period = std::chrono::seconds(1);
  // Time to wait for a direct ack before indirect probes are sent.
  Duration probe_timeout = std::chrono::milliseconds(300);
  std::size_t indirect_probes = 3;
  // A suspicion lasts `suspicion_factor` * log10(members) periods once
  // `confirmations` other members have confirmed it, and
  // `suspicion_max_factor` times as long if none has.
  double suspicion_factor = 2.0;
  double suspicion_max_factor = 4.0;
  std::size_t confirmations = 3;
  // Each rumour is sent `retransmit_factor` * ceil(log10(members)) times.
  std::size_t retransmit_factor = 4;
  Duration gossip_interval = std::chrono::milliseconds(200);
  std::size_t gossip_fan_out = 3;
  // Limit on bytes of rumours sent per second. It keeps the traffic within the
  // node's control budget when many nodes return at once; the state exchange
  // carries what is deferred here.
  std::size_t rumour_bytes_per_second = 5000;
  std::size_t rumour_burst_bytes = 10000;
  // Interval between comparisons of digests with one random member. Buckets
  // that differ are exchanged.
  Duration exchange_interval = std::chrono::seconds(30);
  // Delay of the first comparison after a start, a pause or the return of a
  // member; doubles up to `exchange_interval`.
  Duration first_exchange_interval = std::chrono::seconds(1);
  // Interval between join attempts, and between pings to members declared
  // dead, which reconnect the parts after a network partition.
  Duration reconnect_interval = std::chrono::seconds(3);
  // A timer later than this means that the process was paused.
  Duration pause_threshold = std::chrono::milliseconds(700);
  // Time after a pause in which this node accuses nobody; it ends early once
  // the state of another member has been merged.
  Duration max_resync_time = std::chrono::seconds(5);
  int max_health_score = 8;
  // Limit on stored opaque rumours; new ones above it are dropped.
  std::size_t max_opaque_rumours = 4096;
  // Dead members, with their held version, are kept this long.
  Duration forget_after = std::chrono::hours(24);
};

struct MemberEntry {
  Member member;
  // When `member.status` last changed, on this node's clock.
  TimePoint status_since;
  // While suspect: who accuses it, and when it is declared dead.
  std::set<std::string> accusers;
  TimePoint suspect_deadline;
  // True if it is in `Membership::probe_order`. A dead member stays there until
  // the round ends.
  bool in_probe_order = false;
};

struct QueuedRumour {
  Rumour rumour;
  std::size_t bytes = 0;
  std::size_t transmits = 0;
  // Lower is sent first: members, then verdicts and crash suspects, then
  // evidence and reports.
  std::uint8_t priority = 0;
};

// The direct or indirect probe of the current protocol period.
struct Probe {
  std::string target;
  std::uint64_t incarnation = 0;
  std::uint32_t sequence = 0;
  TimePoint sent_at;
  TimePoint indirect_at;
  TimePoint deadline;
  bool indirect_sent = false;
  std::size_t nacks_expected = 0;
  std::size_t nacks_seen = 0;
};

// An indirect probe sent on behalf of another node.
struct RelayedProbe {
  Address requester;
  std::uint32_t requester_sequence = 0;
  TimePoint nack_at;
  bool nacked = false;
};

// Events that are counted: failed probes, suspicions, pauses, rejected messages
// and the like.
enum class MembershipCount : std::uint8_t {
  kProbeFailed,
  kSuspected,
  kRefuted,
  kDeclaredDead,
  kPauseDetected,
  kRumourDropped,
  kWrongDataCenter,
  kWrongTarget,
  kBudgetDeferred,
  kCount
};

// Stable label of the counter. Thread safe.
[[nodiscard]] std::string_view NameOf(MembershipCount reason);

struct Membership {
  MembershipSettings settings;
  Member self;
  std::vector<Address> seeds;
  // The other members, by id.
  std::map<std::string, MemberEntry> members;
  // Number of entries in `members` that are alive or suspect.
  std::size_t live_count = 0;
  std::map<std::pair<Topic, std::string>, OpaqueRumour> opaque_rumours;
  // Rumours still to be sent, by subject.
  std::map<std::string, QueuedRumour> rumour_queue;
  double rumour_tokens = 0;
  TimePoint tokens_refilled_at;
  // Ids of live members in probing order; each round visits each once.
  std::vector<std::string> probe_order;
  std::size_t next_probe_index = 0;
  std::uint32_t next_sequence = 1;
  std::optional<Probe> probe;
  std::map<std::uint32_t, RelayedProbe> relays;
  // Lifeguard's local health score: 0 is healthy; this node's own time-outs are
  // multiplied by the score + 1.
  int health_score = 0;
  bool joined = false;
  bool leaving = false;
  // When `held` was known to be the log's newest version.
  TimePoint fresh_as_of;
  // Latest time passed in; earlier times are raised to it.
  TimePoint latest_time;
  TimePoint next_probe;
  TimePoint next_gossip;
  TimePoint next_exchange;
  TimePoint next_reconnect;
  // When to check next for expired suspicions and for dead members to forget.
  TimePoint next_sweep;
  Duration current_exchange_interval{};
  TimePoint expected_wake;
  // After a pause, no accusation is made before this time.
  TimePoint resync_until;
  std::array<std::uint64_t, static_cast<std::size_t>(MembershipCount::kCount)>
      counts{};
};

// Configuration version that a peer's message reported.
struct PeerVersion {
  std::string id;
  std::uint64_t incarnation = 0;
  Address control;
  ConfigVersion held = 0;
  // Local time at which the peer's `held` was the log's newest version;
  // TimePoint{} if unknown.
  TimePoint fresh_as_of;
};

struct MembershipActions {
  std::vector<SendMessage> sends;
  // New state of the members whose status, address or announcement changed.
  std::vector<Member> changes;
  // Newly received opaque rumours, to be passed to the topic's module.
  std::vector<OpaqueRumour> rumours;
  std::vector<PeerVersion> versions;
};

// Initial state of a node that knows only its seeds. `self.incarnation` must be
// IncarnationAt of the process's start. Call TickMembership at once.
[[nodiscard]] Membership MakeMembership(const MembershipSettings& settings,
                                        const Member& self,
                                        std::vector<Address> seeds,
                                        TimePoint now);

// When TickMembership has to be called next. A call that is later by more than
// `pause_threshold` is treated as a pause of the process.
[[nodiscard]] TimePoint NextWake(const Membership& state);

// Runs all timers that are due.
[[nodiscard]] MembershipActions TickMembership(Membership& state,
                                               TimePoint now,
                                               Rng& rng);

// Processes one message. Of messages for other modules only the sender's
// version is used.
[[nodiscard]] MembershipActions ReceiveMembership(Membership& state,
                                                  const Message& message,
                                                  TimePoint now,
                                                  Rng& rng);

// Sets the upstream's announcement; a change is gossiped at once.
[[nodiscard]] MembershipActions SetAnnouncement(
    Membership& state,
    const Announcement& announcement,
    TimePoint now,
    Rng& rng);

// Sets the version that this node holds; every later message carries it.
void SetHeldVersion(Membership& state,
                    ConfigVersion held,
                    TimePoint fresh_as_of);

// Announces a planned stop. Others regard the node as gone at once; it may
// still serve while it drains.
[[nodiscard]] MembershipActions Leave(Membership& state,
                                      TimePoint now,
                                      Rng& rng);

// Spreads an opaque rumour; ignored when an equal or higher version is known.
// Errors: kBodyTooLarge above kMaxOpaqueBytes (key and body together).
[[nodiscard]] Result<MembershipActions> Spread(Membership& state,
                                               const OpaqueRumour& rumour,
                                               TimePoint now,
                                               Rng& rng);

// True after a pause until the state of another member has been merged or
// `max_resync_time` has passed. Meanwhile this node's state may be stale: do
// not rely on it and do not accuse others.
[[nodiscard]] bool IsResyncing(const Membership& state, TimePoint now);

// Others that are alive or suspect.
[[nodiscard]] std::vector<Member> LiveMembers(const Membership& state);
[[nodiscard]] std::size_t CountLive(const Membership& state);

// The entry of `id`, dead ones included; nullptr when unknown. Valid until the
// next call that changes the state.
[[nodiscard]] const Member* FindMember(const Membership& state,
                                       const std::string& id);

// The sender field for this node's messages.
[[nodiscard]] Sender SenderOf(const Membership& state, TimePoint now);

}  // namespace teaselspread

#endif  // TEASELSPREAD_MEMBERSHIP_H_
