#include <algorithm>
#include <array>
#include <set>

#include "teaselspread/claims.h"

namespace teaselspread {
namespace {

constexpr std::size_t kMaxHolders = 3;
// In milliseconds since 1970: a time in 2004.
constexpr std::uint64_t kMinRestartNumber = 1ULL << 40;

bool ContainsProcess(std::span<const Holder> holders, const Holder& holder) {
  return std::any_of(holders.begin(), holders.end(),
                     [&holder](const Holder& candidate) {
                       return SameProcess(candidate, holder);
                     });
}

std::size_t CountInDataCenter(const std::vector<Holder>& holders,
                              std::string_view data_center) {
  return static_cast<std::size_t>(std::count_if(
      holders.begin(), holders.end(), [data_center](const Holder& holder) {
        return holder.data_center == data_center;
      }));
}

// Three holders in three data centres survive the failure of many VMs, or a
// partition, in one of them.
const Holder* BestAddition(const std::vector<Holder>& holders,
                           std::span<const Holder> candidates,
                           std::size_t offset) {
  const Holder* best = nullptr;
  std::size_t fewest = kMaxHolders + 1;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const Holder& candidate = candidates[(i + offset) % candidates.size()];
    if (ContainsProcess(holders, candidate))
      continue;
    const std::size_t count = CountInDataCenter(holders, candidate.data_center);
    if (count < fewest) {
      fewest = count;
      best = &candidate;
    }
  }
  return best;
}

// True if a candidate's data centre has no holder, such as one that has
// recovered: two holders in another data centre would fail together with it.
bool HasUnusedDataCenter(const std::vector<Holder>& holders,
                         std::span<const Holder> candidates) {
  return std::any_of(candidates.begin(), candidates.end(),
                     [&holders](const Holder& candidate) {
                       return CountInDataCenter(holders,
                                                candidate.data_center) == 0;
                     });
}

// A node that is listed twice would be a majority on its own.
bool IsWellFormed(const ClaimEpoch& epoch) {
  std::set<std::string> ids;
  for (const Holder& holder : epoch.holders)
    ids.insert(holder.id);
  return epoch.number > 0 && !ids.empty() && ids.size() <= kMaxHolders &&
         ids.size() == epoch.holders.size();
}

bool FoldProposal(EpochLog& log, const ClaimEpoch& epoch) {
  if (!IsWellFormed(epoch) || epoch.number != log.current.number + 1)
    return false;
  if (epoch.previous_number != log.active.number ||
      epoch.previous != log.active.holders)
    return false;
  log.current = epoch;
  // Nobody can have voted before the first epoch.
  if (epoch.number == 1)
    log.active = epoch;
  return true;
}

bool FoldActivation(EpochLog& log, const ClaimEpoch& epoch) {
  if (epoch.number == 0 || epoch.number != log.current.number ||
      epoch.holders != log.current.holders || log.active == log.current)
    return false;
  log.active = log.current;
  return true;
}

// A restart is numbered by the clock, far above any counted number, so that
// nodes that still know a lost epoch treat it as newer. Until its activation no
// epoch is active, since the holders to be closed are unknown.
bool FoldRestart(EpochLog& log, const ClaimEpoch& epoch) {
  const bool well_formed = IsWellFormed(epoch) && epoch.previous.empty();
  if (!well_formed || epoch.number < kMinRestartNumber ||
      epoch.number <= log.current.number)
    return false;
  log.has_base = true;
  log.current = epoch;
  log.active = ClaimEpoch{};
  return true;
}

// A checkpoint is valid as a base only if the log still holds every record
// after the last one that its writer had folded. Otherwise one that a paused
// writer appended late would restore an epoch that has been replaced.
const LoggedEpoch* FindBase(std::span<const LoggedEpoch> records,
                            std::uint64_t first_offset) {
  for (const LoggedEpoch& logged : records) {
    const bool is_checkpoint =
        logged.record.kind == EpochRecordKind::kCheckpoint &&
        IsWellFormed(logged.record.epoch);
    if (is_checkpoint && logged.record.folded_up_to + 1 >= first_offset)
      return &logged;
  }
  return nullptr;
}

}  // namespace

EpochLog ReadEpochs(std::span<const LoggedEpoch> records,
                    std::uint64_t first_offset) {
  EpochLog log;
  log.has_base = first_offset == 0;
  std::uint64_t folded_up_to = 0;
  if (!log.has_base) {
    if (const LoggedEpoch* base = FindBase(records, first_offset)) {
      folded_up_to = base->record.folded_up_to;
      log = {true, base->record.epoch, base->record.active};
    }
  }
  const bool is_untrimmed = first_offset == 0;
  for (const LoggedEpoch& logged : records) {
    const bool is_new = is_untrimmed || logged.offset > folded_up_to;
    const bool is_restart = logged.record.kind == EpochRecordKind::kRestart;
    if (is_new && (log.has_base || is_restart))
      FoldEpoch(log, logged.record);
  }
  return log;
}

bool FoldEpoch(EpochLog& log, const EpochRecord& record) {
  switch (record.kind) {
    case EpochRecordKind::kPropose:
      return FoldProposal(log, record.epoch);
    case EpochRecordKind::kActivate:
      return FoldActivation(log, record.epoch);
    case EpochRecordKind::kRestart:
      return FoldRestart(log, record.epoch);
    case EpochRecordKind::kCheckpoint:
      break;
  }
  return false;
}

std::optional<EpochRecord> ProposeRestart(std::span<const Holder> candidates,
                                          TimePoint now,
                                          Rng& rng) {
  const auto epoch = ProposeEpoch(EpochLog{}, candidates, rng);
  if (!epoch)
    return std::nullopt;
  EpochRecord record;
  record.kind = EpochRecordKind::kRestart;
  record.epoch = *epoch;
  record.epoch.number = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          now.time_since_epoch())
          .count());
  return record;
}

std::optional<ClaimEpoch> ProposeEpoch(const EpochLog& log,
                                       std::span<const Holder> candidates,
                                       Rng& rng) {
  ClaimEpoch next;
  next.number = log.current.number + 1;
  next.previous_number = log.active.number;
  next.previous = log.active.holders;
  if (candidates.empty())
    return std::nullopt;
  for (const Holder& holder : log.current.holders) {
    const bool shares_data_center =
        CountInDataCenter(next.holders, holder.data_center) > 0 &&
        HasUnusedDataCenter(log.current.holders, candidates);
    if (ContainsProcess(candidates, holder) && !shares_data_center)
      next.holders.push_back(holder);
  }
  const std::size_t offset = rng() % candidates.size();
  while (next.holders.size() < kMaxHolders) {
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
