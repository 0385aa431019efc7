#include <algorithm>
#include <array>
#include <set>

#include "teaselspread/claims.h"

namespace teaselspread {
namespace {

constexpr std::size_t kMostHolders = 3;

bool IsCandidate(std::span<const Holder> candidates, const Holder& holder) {
  return std::any_of(candidates.begin(), candidates.end(),
                     [&holder](const Holder& candidate) {
                       return SameProcess(candidate, holder);
                     });
}

std::size_t HeldIn(const std::vector<Holder>& holders,
                   std::string_view data_center) {
  return static_cast<std::size_t>(std::count_if(
      holders.begin(), holders.end(), [data_center](const Holder& holder) {
        return holder.data_center == data_center;
      }));
}

// Three holders in three data centres outlive a herd that dies, or a cut, in
// one of them.
const Holder* BestAddition(const std::vector<Holder>& holders,
                           std::span<const Holder> candidates,
                           std::size_t offset) {
  const Holder* best = nullptr;
  std::size_t fewest = kMostHolders + 1;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const Holder& candidate = candidates[(i + offset) % candidates.size()];
    if (IsCandidate(holders, candidate))
      continue;
    const std::size_t there = HeldIn(holders, candidate.data_center);
    if (there < fewest) {
      fewest = there;
      best = &candidate;
    }
  }
  return best;
}

// A node that is named twice would be a majority alone.
bool IsWellFormed(const ClaimEpoch& epoch) {
  std::set<std::string> ids;
  for (const Holder& holder : epoch.holders)
    ids.insert(holder.id);
  return epoch.number > 0 && !ids.empty() && ids.size() <= kMostHolders &&
         ids.size() == epoch.holders.size();
}

bool FoldProposal(EpochLog& log, const ClaimEpoch& epoch, bool from_start) {
  // After a trim, a proposal that had lost to another one could look like the
  // first of its number; only checkpoints are sure to have won.
  if (log.current.number == 0 && !from_start)
    return false;
  if (!IsWellFormed(epoch) || epoch.number != log.current.number + 1)
    return false;
  if (epoch.previous_number != log.active.number ||
      epoch.previous != log.active.holders)
    return false;
  log.current = epoch;
  // Nothing can have voted before the first one.
  if (epoch.number == 1)
    log.active = epoch;
  return true;
}

bool FoldActivation(EpochLog& log, const ClaimEpoch& epoch) {
  if (epoch.number == 0 || epoch.number != log.current.number ||
      epoch.number == log.active.number)
    return false;
  log.active = log.current;
  return true;
}

bool FoldCheckpoint(EpochLog& log, const EpochRecord& record) {
  if (!IsWellFormed(record.epoch) || log.current.number != 0)
    return false;
  log.current = record.epoch;
  log.active = record.active;
  return true;
}

}  // namespace

bool FoldEpoch(EpochLog& log, const EpochRecord& record, bool from_start) {
  switch (record.kind) {
    case EpochRecordKind::kPropose:
      return FoldProposal(log, record.epoch, from_start);
    case EpochRecordKind::kActivate:
      return FoldActivation(log, record.epoch);
    case EpochRecordKind::kCheckpoint:
      return FoldCheckpoint(log, record);
  }
  return false;
}

std::optional<ClaimEpoch> ProposeEpoch(const EpochLog& log,
                                       std::span<const Holder> candidates,
                                       Rng& rng) {
  ClaimEpoch next;
  next.number = log.current.number + 1;
  next.previous_number = log.active.number;
  next.previous = log.active.holders;
  for (const Holder& holder : log.current.holders) {
    if (IsCandidate(candidates, holder))
      next.holders.push_back(holder);
  }
  if (candidates.empty())
    return std::nullopt;
  const std::size_t offset = rng() % candidates.size();
  while (next.holders.size() < kMostHolders) {
    const Holder* addition = BestAddition(next.holders, candidates, offset);
    if (addition == nullptr)
      break;
    next.holders.push_back(*addition);
  }
  if (next.holders == log.current.holders)
    return std::nullopt;
  return next;
}

}  // namespace teaselspread
