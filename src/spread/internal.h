// Declarations shared by the files of the spread module.
#ifndef TEASELSPREAD_SRC_SPREAD_INTERNAL_H_
#define TEASELSPREAD_SRC_SPREAD_INTERNAL_H_

#include <cstddef>
#include <string>
#include <vector>

#include "teaselspread/spread.h"

namespace teaselspread::spread {

// Context of one call into the module, shared by its steps.
struct Call {
  SpreadState& state;
  TimePoint now;
  Rng& rng;
  SpreadActions actions;
};

// How an update arrived, which decides where it is forwarded.
enum class UpdateSource : std::uint8_t { kTree, kLog, kRemote, kPull };

// Hash seed of the reader ranking: any fixed number, the same on all nodes.
inline constexpr std::uint64_t kReaderSeed = 0x72656164;

// base
void Count(SpreadState& state, SpreadCount counter);
[[nodiscard]] bool IsLive(const SpreadPeer& peer);
[[nodiscard]] Duration RandomUpTo(Duration limit, Rng& rng);
void Send(Call& call, const Address& to, Message message);
// Sends a transfer, always over a stream.
void SendStream(Call& call, const Address& to, Message message);

// ranking
[[nodiscard]] std::uint64_t RankOf(const std::string& id, std::uint64_t seed);
[[nodiscard]] std::uint64_t SeedOf(const std::string& text);
// Ids of live members and this node in the tree order of `version`.
[[nodiscard]] std::vector<std::string> TreeOrder(const SpreadState& state,
                                                 ConfigVersion version);
// The `count` peers that rank highest as this node's witnesses; `include_gone`
// adds dead ones.
[[nodiscard]] std::vector<const SpreadPeer*>
RankedWitnesses(const SpreadState& state, std::size_t count, bool include_gone);

// store: updates, the tip (the version that they lead to) and what to hand out.
[[nodiscard]] ConfigVersion TipOf(const SpreadState& state);
// Stores `update`; true when it is new and above what is held.
bool Store(Call& call, const ConfigUpdate& update);
// Deltas from `have` up to what is held, or the snapshot.
[[nodiscard]] std::vector<ConfigUpdate> CollectUpdatesSince(
    const SpreadState& state,
    ConfigVersion have);
[[nodiscard]] std::vector<ConfigUpdate> CollectToApply(const SpreadState& state,
                                                       ConfigVersion up_to);
// Starts recording the tip if it can be applied.
void Advance(Call& call);
void HandleUpdate(Call& call, const ConfigUpdate& update, UpdateSource source);

// push
void StartPush(Call& call, ConfigVersion version);
void ForwardToChildren(Call& call, ConfigVersion version);
void ReceivePush(Call& call, const Push& push);
void ReceivePushAck(Call& call, const PushAck& ack);
void TickDeliveries(Call& call);

// pull
// Duration of a transfer of `bytes` at `transfer_bytes_per_second`.
[[nodiscard]] Duration TransferTime(const SpreadState& state,
                                    std::size_t bytes);
void PullIfBehind(Call& call, ConfigVersion version);
void SchedulePull(Call& call, Duration delay);
void TickPull(Call& call);
void ReceivePullRequest(Call& call, const PullRequest& request);
void ReceivePullReply(Call& call, const PullReply& reply);
void ReceivePullBusy(Call& call, const PullBusy& busy);

// record
void StartRecording(Call& call, ConfigVersion version);
void TickRecording(Call& call);
void ReceiveRecordHeld(Call& call, const RecordHeld& record);
void ReceiveRecordAck(Call& call, const RecordAck& ack);

// floor
void UpdateFreshness(Call& call, ConfigVersion version, TimePoint as_of);
void TickFloor(Call& call);
void ReceiveFloorQuery(Call& call, const FloorQuery& query);
void ReceiveFloorReply(Call& call, const FloorReply& reply);

// notice
void TickHeartbeat(Call& call);
void TickNotices(Call& call);
void ReceiveNotice(Call& call, const VersionNotice& notice);

}  // namespace teaselspread::spread

#endif  // TEASELSPREAD_SRC_SPREAD_INTERNAL_H_
