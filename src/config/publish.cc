// Builds the records that writers append, and decides when a checkpoint is due.
#include <algorithm>
#include <random>

#include "teaselspread/config_log.h"

namespace teaselspread {
namespace {

// A checkpoint is old after 1 / kMaxAgeDivisor of the retention. A third leaves
// time for two more attempts before it expires.
constexpr int kMaxAgeDivisor = 3;
// A reader that lacks older outcomes waits this many times longer, so that
// others write first: readers that start from its checkpoint would not know the
// verdicts on older publishes.
constexpr int kMissingOutcomesAgeFactor = 2;
// A reader that does not know whether there is a checkpoint writes one within
// 1 / kUnknownCheckpointDivisor of the retention. Other writers wait no longer
// either: with a short retention the last checkpoint would expire meanwhile.
constexpr int kUnknownCheckpointDivisor = 12;
// The age of a checkpoint that was written in the future by the reader's clock
// is unknown. It is old after being known for 1 / kUnknownAgeDivisor of the
// retention, so that a clock that runs ahead does not delay the next one.
constexpr int kUnknownAgeDivisor = 12;

bool IsCheckpointOld(const CheckpointRule& rule,
                     const FoldState& state,
                     TimePoint watched_since,
                     TimePoint now) {
  const int factor = state.outcomes_since == 0 ? 1 : kMissingOutcomesAgeFactor;
  const Duration watched_for = now - watched_since;
  if (state.checkpoint_written_at > now)
    return watched_for > factor * (rule.retention / kUnknownAgeDivisor);
  return now - state.checkpoint_written_at >
         factor * (rule.retention / kMaxAgeDivisor);
}

bool IsCheckpointWanted(const CheckpointRule& rule,
                        const FoldState& state,
                        const CheckpointTimer& timer,
                        TimePoint now) {
  if (!state.is_current || state.head == 0 || timer.is_behind)
    return false;
  // Without a known checkpoint, the records may be about to expire.
  if (state.checkpoint_offset == 0)
    return true;
  const bool lacks_outcomes = state.outcomes_since != 0;
  return (state.changes_since_checkpoint >= rule.max_changes &&
          !lacks_outcomes) ||
         IsCheckpointOld(rule, state, timer.watched_since.value_or(now), now);
}

Duration RandomUpTo(Duration limit, Rng& rng) {
  std::uniform_int_distribution<Duration::rep> delay(0, limit.count());
  return Duration(delay(rng));
}

Duration MaxWriteDelay(const CheckpointRule& rule) {
  return std::min(rule.max_write_delay,
                  rule.retention / kUnknownCheckpointDivisor);
}

// A reader that took its state from a peer knows no checkpoint, though one
// probably exists. Without a delay, every replacement of a reader would cost a
// checkpoint; with a fixed delay, readers that are replaced often would never
// write one. A random delay over a longer range avoids both.
Duration FirstDelay(const CheckpointRule& rule,
                    const FoldState& state,
                    Rng& rng) {
  const bool is_checkpoint_unknown =
      state.checkpoint_offset == 0 && state.outcomes_since != 0;
  return RandomUpTo(is_checkpoint_unknown
                        ? rule.retention / kUnknownCheckpointDivisor
                        : MaxWriteDelay(rule),
                    rng);
}

}  // namespace

ChangeRecord MakeChange(const FoldState& state,
                        const Document& to,
                        std::string publish_id) {
  ChangeRecord change{std::move(publish_id), state.head, DigestOf(to), {}};
  Delta delta = MakeDelta(state.document, to);
  if (delta.set.size() + delta.removed.size() < to.leaves.size())
    change.content = std::move(delta);
  else
    change.content = to;
  return change;
}

CheckpointRecord MakeCheckpoint(const FoldState& state, TimePoint now) {
  return {state.head,
          state.head_publish_id,
          state.digest,
          state.position,
          now,
          state.document,
          {state.outcomes.begin(), state.outcomes.end()},
          state.outcomes_since};
}

OriginRecord MakeOrigin(const FoldState& state,
                        const Document& to,
                        std::string publish_id) {
  return {std::move(publish_id),
          state.position,
          DigestOf(to),
          to,
          {state.outcomes.begin(), state.outcomes.end()}};
}

bool CheckpointDue(const CheckpointRule& rule,
                   const FoldState& state,
                   CheckpointTimer& timer,
                   TimePoint now,
                   Rng& rng) {
  if (!timer.watched_since || timer.watched_offset != state.checkpoint_offset) {
    timer.watched_offset = state.checkpoint_offset;
    timer.watched_since = now;
    timer.write_at.reset();
  }
  if (!IsCheckpointWanted(rule, state, timer, now)) {
    timer.write_at.reset();
    return false;
  }
  if (!timer.write_at)
    timer.write_at = now + FirstDelay(rule, state, rng);
  if (now < *timer.write_at)
    return false;
  const Duration delay = MaxWriteDelay(rule);
  timer.write_at = now + delay + RandomUpTo(delay, rng);
  return true;
}

}  // namespace teaselspread
