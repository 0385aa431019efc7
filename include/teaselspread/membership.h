// Who is alive in one data centre: SWIM with suspicion, and Lifeguard's doubt
// of one's own health.
//
// Pure: each function takes the state, an event, the time and a generator, and
// returns actions. Nothing here is thread safe; one thread owns a Membership.
// Times passed to one Membership must not go back; one that does is taken as
// "no time has passed".
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

// Low bits of an incarnation that count a node's own changes since its start.
inline constexpr unsigned kRevisionBits = 16;

// An incarnation is the start time in milliseconds and, below it, a count of
// the changes that the node made to its own entry. So a restart always wins,
// and so does a later announcement of the same start. Thread safe.
[[nodiscard]] constexpr std::uint64_t IncarnationAt(TimePoint start) {
  constexpr std::uint64_t kMicrosPerMilli = 1000;
  return (static_cast<std::uint64_t>(start.time_since_epoch().count()) /
          kMicrosPerMilli)
         << kRevisionBits;
}

// The part of an incarnation that changes only with a restart. Thread safe.
[[nodiscard]] constexpr std::uint64_t StartOf(std::uint64_t incarnation) {
  return incarnation >> kRevisionBits;
}

struct MembershipSettings {
  // One probe is sent per period.
  Duration protocol_period = std::chrono::seconds(1);
  // Wait for a direct answer before others are asked to try.
  Duration probe_timeout = std::chrono::milliseconds(300);
  std::size_t indirect_probes = 3;
  // Suspicion lasts `suspicion_factor` * log10(members) periods once enough
  // others agree, and `suspicion_max_factor` times that when nobody does.
  double suspicion_factor = 2.0;
  double suspicion_max_factor = 4.0;
  std::size_t confirmations = 3;
  // Each rumour is sent `retransmit_factor` * ceil(log10(members)) times.
  std::size_t retransmit_factor = 4;
  Duration gossip_interval = std::chrono::milliseconds(200);
  std::size_t gossip_fan_out = 3;
  // Bytes of rumours sent per second at most, so that a herd's return stays in
  // the node's control budget; the full exchange carries what is cut here.
  std::size_t rumour_bytes_per_second = 5000;
  std::size_t rumour_burst_bytes = 10000;
  // Comparison of digests with one random member; a difference leads to a full
  // exchange.
  Duration exchange_interval = std::chrono::seconds(30);
  // The first comparison after a start or a pause; doubles up to the above.
  Duration first_exchange_interval = std::chrono::seconds(1);
  // Join attempts and calls to members taken for dead, which heal a cut.
  Duration reconnect_interval = std::chrono::seconds(3);
  // A timer this late means that the process was paused.
  Duration pause_threshold = std::chrono::milliseconds(700);
  // Longest time without accusations after a pause; ends early once the state
  // of another member has been merged.
  Duration max_resync_time = std::chrono::seconds(5);
  int max_health_score = 8;
  // Opaque rumours kept at a time; new ones above that are dropped.
  std::size_t max_opaque_rumours = 4096;
  // Dead members keep their held version this long.
  Duration forget_after = std::chrono::hours(24);
};

struct MemberEntry {
  Member member;
  // When `status` last changed, on this node's clock.
  TimePoint status_since;
  // While suspect: who accuses and when the suspicion becomes a death.
  std::set<std::string> accusers;
  TimePoint suspect_deadline;
  // Has a place in the probing order, perhaps from before it died.
  bool in_probe_order = false;
};

struct QueuedRumour {
  Rumour rumour;
  std::size_t bytes = 0;
  std::size_t transmits = 0;
  // Lower goes first: members, then verdicts and suspects, then figures.
  std::uint8_t priority = 0;
};

// The direct or indirect probe that runs in the current period.
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

// A probe made for another node.
struct RelayedProbe {
  Address requester;
  std::uint32_t requester_sequence = 0;
  TimePoint nack_at;
  bool nacked = false;
};

// Why messages or members were refused or treated specially; one counter each.
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
  // Others only, by id.
  std::map<std::string, MemberEntry> members;
  // How many of them are alive or suspect.
  std::size_t live_count = 0;
  std::map<std::pair<Topic, std::string>, OpaqueRumour> opaque_rumours;
  // Rumours still to be sent, by what they are about.
  std::map<std::string, QueuedRumour> rumour_queue;
  double rumour_tokens = 0;
  TimePoint tokens_refilled_at;
  // Live ids in probing order; each round visits each once.
  std::vector<std::string> probe_order;
  std::size_t next_probe_index = 0;
  std::uint32_t next_sequence = 1;
  std::optional<Probe> probe;
  std::map<std::uint32_t, RelayedProbe> relays;
  // 0 is healthy; each step widens this node's own timeouts.
  int health_score = 0;
  bool joined = false;
  bool leaving = false;
  // When `held` was known to be the log's newest version.
  TimePoint fresh_as_of;
  // Latest time seen: time never goes back inside.
  TimePoint latest_time;
  TimePoint next_probe;
  TimePoint next_gossip;
  TimePoint next_exchange;
  TimePoint next_reconnect;
  // Suspicions that are over and gone members to forget are looked for here.
  TimePoint next_sweep;
  Duration current_exchange_interval{};
  TimePoint expected_wake;
  // No accusation is made before this time (after a pause).
  TimePoint resync_until;
  std::array<std::uint64_t, static_cast<std::size_t>(MembershipCount::kCount)>
      counts{};
};

// What a peer's message said of its configuration.
struct PeerVersion {
  std::string id;
  std::uint64_t incarnation = 0;
  Address control;
  ConfigVersion held = 0;
  // The peer's `held` was the log's newest at this time of the local clock;
  // epoch when unknown.
  TimePoint fresh_as_of;
};

struct MembershipActions {
  std::vector<SendMessage> sends;
  // Entries as they are now, after a change of status, address or announcement.
  std::vector<Member> changes;
  // Opaque rumours that are new here, to be handed to the topic's module.
  std::vector<OpaqueRumour> rumours;
  std::vector<PeerVersion> versions;
};

// A node that knows only its seeds. `self.incarnation` must be IncarnationAt of
// the process's start. Call TickMembership at once.
[[nodiscard]] Membership MakeMembership(const MembershipSettings& settings,
                                        const Member& self,
                                        std::vector<Address> seeds,
                                        TimePoint now);

// When TickMembership has to be called next. A later call is taken for a pause
// of the process.
[[nodiscard]] TimePoint NextWake(const Membership& state);

// Runs all timers that are due.
[[nodiscard]] MembershipActions TickMembership(Membership& state,
                                               TimePoint now,
                                               Rng& rng);

// Takes in one message. Kinds of other modules only report the sender's
// version.
[[nodiscard]] MembershipActions ReceiveMembership(Membership& state,
                                                  const Message& message,
                                                  TimePoint now,
                                                  Rng& rng);

// The upstream's own state changed: spread with priority.
[[nodiscard]] MembershipActions SetAnnouncement(
    Membership& state,
    const Announcement& announcement,
    TimePoint now,
    Rng& rng);

// The version that this node now holds, carried on every message from now on.
void SetHeldVersion(Membership& state,
                    ConfigVersion held,
                    TimePoint fresh_as_of);

// Announces a planned stop. Others take the node for gone at once; it may go on
// answering while it drains.
[[nodiscard]] MembershipActions Leave(Membership& state,
                                      TimePoint now,
                                      Rng& rng);

// Spreads an opaque rumour; ignored when an equal or higher version is known.
// Errors: kBodyTooLarge above kMaxOpaqueBytes (key and body together).
[[nodiscard]] Result<MembershipActions> Spread(Membership& state,
                                               const OpaqueRumour& rumour,
                                               TimePoint now,
                                               Rng& rng);

// True after a pause until the state of another member has been merged: do not
// vouch for anything and do not judge others meanwhile.
[[nodiscard]] bool IsResyncing(const Membership& state, TimePoint now);

// Others that are alive or suspect.
[[nodiscard]] std::vector<Member> LiveMembers(const Membership& state);
[[nodiscard]] std::size_t CountLive(const Membership& state);

// The entry of `id`, dead ones included; nullptr when unknown. Valid until the
// next call that changes the state.
[[nodiscard]] const Member* FindMember(const Membership& state,
                                       const std::string& id);

// This node's sender part of a message.
[[nodiscard]] Sender SenderOf(const Membership& state, TimePoint now);

}  // namespace teaselspread

#endif  // TEASELSPREAD_MEMBERSHIP_H_
