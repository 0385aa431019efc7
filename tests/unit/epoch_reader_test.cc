#include "node/epoch_reader.h"

#include <criterion/criterion.h>

namespace teaselspread {
namespace {

Holder HolderOf(const std::string& id) {
  return {id, "dc-" + id, 1, {"127.0.0.1", 1}};
}

ClaimEpoch EpochOf(std::uint64_t number,
                   std::initializer_list<const char*> ids) {
  ClaimEpoch epoch;
  epoch.number = number;
  for (const char* id : ids)
    epoch.holders.push_back(HolderOf(id));
  return epoch;
}

EpochRecord Propose(ClaimEpoch epoch, const ClaimEpoch& before) {
  EpochRecord record;
  record.kind = EpochRecordKind::kPropose;
  epoch.previous = before.holders;
  epoch.previous_number = before.number;
  record.epoch = epoch;
  return record;
}

const ClaimEpoch kFirst = EpochOf(1, {"a", "b", "c"});
const ClaimEpoch kSecond = EpochOf(2, {"b", "c", "d"});

Test(epoch_reader, a_reader_from_the_first_record_knows_the_epoch) {
  EpochReader reader;
  BeginEpochs(reader, 1);
  ReadEpoch(reader, 3, Propose(kFirst, {}));
  FinishEpochs(reader, 5);
  cr_assert(reader.log.has_base);
  cr_assert(reader.log.current.number == 1);
  cr_assert(reader.through == 5);
}

// A node becomes a reader at record 10 and hears from a peer that epoch 1 held
// after record 7. Records 8 and 9 may have changed it; confirming epoch 1 now
// would let its holders and those of a newer one grant the same key.
Test(epoch_reader, a_word_that_leaves_a_gap_is_not_taken) {
  EpochReader reader;
  BeginEpochs(reader, 10);
  cr_assert(!AdoptEpochs(reader, {true, kFirst, kFirst}, 7));
  cr_assert(!reader.log.has_base);
  cr_assert(AdoptEpochs(reader, {true, kFirst, kFirst}, 9));
  cr_assert(reader.log.has_base);
}

// The peer's word reaches back to the first record read here, but a newer epoch
// was read in the meantime: it must be replayed on top.
Test(epoch_reader, records_read_before_the_word_are_replayed_on_it) {
  EpochReader reader;
  BeginEpochs(reader, 10);
  ReadEpoch(reader, 12, Propose(kSecond, kFirst));
  cr_assert(!reader.log.has_base);
  cr_assert(AdoptEpochs(reader, {true, kFirst, kFirst}, 11));
  cr_assert(reader.log.current.number == 2);
}

// A node that stops reading and begins again later, further on, must not trust
// what it knew.
Test(epoch_reader, what_was_known_is_forgotten_over_a_gap) {
  EpochReader reader;
  BeginEpochs(reader, 1);
  ReadEpoch(reader, 3, Propose(kFirst, {}));
  FinishEpochs(reader, 5);
  BeginEpochs(reader, 6);
  cr_assert(reader.log.has_base);
  BeginEpochs(reader, 9);
  cr_assert(!reader.log.has_base);
}

}  // namespace
}  // namespace teaselspread
