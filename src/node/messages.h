// The typed messages that a node's services send each other through the kernel.
#ifndef TEASELSPREAD_NODE_MESSAGES_H_
#define TEASELSPREAD_NODE_MESSAGES_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "teaselspread/config_log.h"
#include "teaselspread/error.h"
#include "teaselspread/member.h"
#include "teaselspread/membership.h"
#include "teaselspread/snapshot.h"
#include "teaselspread/types.h"
#include "teaselspread/wire.h"

namespace teaselspread {

// Names under which services are registered with the kernel.
inline constexpr std::string_view kTransportService = "transport";
inline constexpr std::string_view kMembershipService = "membership";
inline constexpr std::string_view kSpreadService = "spread";
inline constexpr std::string_view kConfigService = "config";
inline constexpr std::string_view kLogService = "log";
inline constexpr std::string_view kMovesService = "moves";
inline constexpr std::string_view kClaimsService = "claims";
inline constexpr std::string_view kRequestsService = "requests";

// A timer of the receiving service is due.
struct Tick {};

// To transport: one message to another node.
struct SendFrame {
  SendMessage send;
};

// From transport: a whole, well-formed message came in.
struct FrameArrived {
  Message message;
};

// From transport: bytes of a stream that is not whole yet came from this IP
// number.
struct StreamBytesCame {
  std::string host;
};

// From membership: an entry as it is now.
struct MemberChanged {
  Member member;
};

// From membership: what a peer said that it holds.
struct PeerVersionSeen {
  PeerVersion peer;
};

// From membership: this node's own incarnation. It jumps when the VM's clock
// went back over a restart and others know a later start.
struct IncarnationChanged {
  std::uint64_t incarnation = 0;
};

// From membership: a rumour that is new here.
struct RumourHeard {
  OpaqueRumour rumour;
};

// To membership: spread this inside the data centre.
struct SpreadRumour {
  OpaqueRumour rumour;
};

// To membership: spread this, and tell every member directly as well. For what
// is rare and must be known within milliseconds.
struct TellAtOnce {
  OpaqueRumour rumour;
};

// To membership: what the upstream beside this node says of itself.
struct UpstreamAnnounced {
  Announcement announcement;
};

// From spread to config: put these in force, in this order, as one step.
struct ApplyUpdates {
  std::vector<ConfigUpdate> updates;
};

// From config to spread: they are in force; `full` is the whole of it.
struct UpdatesApplied {
  ConfigUpdate full;
};

// From config to spread: they did not fit, and nothing changed.
struct UpdatesRejected {
  Error error;
};

// From config: the configuration in force here from now on.
struct SnapshotInForce {
  SnapshotPtr snapshot;
};

// From spread to membership: what to say of the version that is held.
struct HeldChanged {
  ConfigVersion held = 0;
  TimePoint fresh_as_of;
};

// From spread: whether this node reads the log and speaks to other data
// centres, and whom to speak to.
struct RoleChanged {
  bool reader = false;
};

// From spread: whether this node holds at least what its VM held before.
struct ReadyChanged {
  bool ready = false;
};

// To log: read on from here while this node is a reader.
struct ReadLog {
  LogOffset from = 1;
};

// To log: stop reading.
struct StopReading {};

// To log: append these bytes; lost answers are made good by the sender.
struct AppendToLog {
  std::string bytes;
};

// From log to config: the result of one read.
struct LogBatch {
  std::vector<std::pair<LogOffset, std::string>> records;
  TimePoint read_started;
  // Nothing was left behind these records.
  bool reached_end = false;
  // Records before this offset have expired; 0 when nothing was missed.
  LogOffset first_kept = 0;
};

// From config to spread: what a read of the log brought.
struct LogFindings {
  std::vector<ConfigUpdate> updates;
  TimePoint read_started;
  bool reached_end = false;
};

// From config: a record of another module, in log order.
struct OpaqueRecordFound {
  LogOffset offset = 0;
  OpaqueRecord record;
};

// From config: reading begins at `first`, or goes on there because what was
// before it has expired.
struct ReadingFrom {
  LogOffset first = 1;
};

// From config: every record up to `through` has been handed on.
struct LogFolded {
  LogOffset through = 0;
  TimePoint read_started;
  bool reached_end = false;
};

}  // namespace teaselspread

#endif  // TEASELSPREAD_NODE_MESSAGES_H_
