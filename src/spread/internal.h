// Parts of the spread module that its files share.
#ifndef TEASELSPREAD_SRC_SPREAD_INTERNAL_H_
#define TEASELSPREAD_SRC_SPREAD_INTERNAL_H_

#include <cstddef>
#include <string>
#include <vector>

#include "teaselspread/spread.h"

namespace teaselspread::spread {

// One call into the module: what its steps share.
struct Call {
  SpreadState& state;
  TimePoint now;
  Rng& rng;
  SpreadActions actions;
};

// How an update came here decides who is told of it.
enum class UpdateSource : std::uint8_t { kTree, kLog, kRemote, kPull };

// Ranks a node as reader: any fixed number, the same on all nodes.
inline constexpr std::uint64_t kReaderSeed = 0x72656164;

// base
void Count(SpreadState& state, SpreadCount counter);
[[nodiscard]] bool IsLive(const SpreadPeer& peer);
[[nodiscard]] Duration RandomUpTo(Duration limit, Rng& rng);
void Send(Call& call, const Address& to, Message message);
// A transfer: always over a stream.
void SendStream(Call& call, const Address& to, Message message);

// ranking
[[nodiscard]] std::uint64_t RankOf(const std::string& id, std::uint64_t seed);
[[nodiscard]] std::uint64_t SeedOf(const std::string& text);
// Ids of live members and this node in the tree order of `version`.
[[nodiscard]] std::vector<std::string> TreeOrder(const SpreadState& state,
                                                 ConfigVersion version);
// The best `count` peers as this node's witnesses; gone ones too if asked.
[[nodiscard]] std::vector<const SpreadPeer*>
RankedWitnesses(const SpreadState& state, std::size_t count, bool include_gone);

// store: deltas, the tip and what to hand out.
[[nodiscard]] ConfigVersion TipOf(const SpreadState& state);
// Keeps `update`; true when it is new and above what is held.
bool Store(Call& call, const ConfigUpdate& update);
// Deltas from `have` up to what is held, or the snapshot.
[[nodiscard]] std::vector<ConfigUpdate> CollectUpdatesSince(
    const SpreadState& state,
    ConfigVersion have);
[[nodiscard]] std::vector<ConfigUpdate> CollectToApply(const SpreadState& state,
                                                       ConfigVersion up_to);
// Starts recording or handing out whatever can be.
void Advance(Call& call);
void HandleUpdate(Call& call, const ConfigUpdate& update, UpdateSource source);

// push
void StartPush(Call& call, ConfigVersion version);
void ForwardToChildren(Call& call, ConfigVersion version);
void ReceivePush(Call& call, const Push& push);
void ReceivePushAck(Call& call, const PushAck& ack);
void TickDeliveries(Call& call);

// pull
// How long a transfer of `bytes` takes at the rate that a node allows itself.
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
