#include <criterion/criterion.h>

#include <functional>
#include <string>
#include <vector>

#include "teaselspread/config_log.h"

namespace teaselspread {
namespace {

Document DocumentWith(const std::string& version) {
  Document document;
  document.leaves = {{"base/data_centers", "bole"},
                     {"base/deployment", "addis"},
                     {"base/services/registry-desk/version", version}};
  return document;
}

FoldResult FoldNext(FoldState& state, const LogRecord& record) {
  return Fold(state, state.position + 1, EncodeRecord(record));
}

// Versions 1 and 2 are accepted.
FoldState StateAtVersionTwo() {
  FoldState state;
  FoldNext(state, MakeChange(state, DocumentWith("v1"), "one"));
  FoldNext(state, MakeChange(state, DocumentWith("v2"), "two"));
  return state;
}

struct FaultCase {
  const char* name;
  std::function<LogRecord(const FoldState&)> record;
  FoldReason reason;
};

ChangeRecord NextChange(const FoldState& state, const std::string& id) {
  return MakeChange(state, DocumentWith("v3"), id);
}

template <class Change>
std::function<LogRecord(const FoldState&)> ModifiedChange(Change change) {
  return [change](const FoldState& state) {
    ChangeRecord record = NextChange(state, "three");
    change(record);
    return LogRecord(record);
  };
}

const std::vector<FaultCase> kFaults = {
    {"older parent", ModifiedChange([](auto& r) { r.parent = 1; }),
     FoldReason::kConflict},
    {"no parent", ModifiedChange([](auto& r) { r.parent = 0; }),
     FoldReason::kConflict},
    {"future parent", ModifiedChange([](auto& r) { r.parent = 3; }),
     FoldReason::kConflict},
    {"other digest", ModifiedChange([](auto& r) { ++r.digest.high; }),
     FoldReason::kDigestMismatch},
    {"repeated",
     [](const FoldState& state) {
       FoldState start;
       ChangeRecord one = MakeChange(start, DocumentWith("v1"), "one");
       cr_assert(FindOutcome(state, "one")->reason == FoldReason::kAccepted);
       return one;
     },
     FoldReason::kDuplicate},
    {"repeated and refused for another reason", ModifiedChange([](auto& r) {
       r.publish_id = "one";
       ++r.digest.low;
     }),
     FoldReason::kDuplicate},
    {"no publish_id", ModifiedChange([](auto& r) { r.publish_id = ""; }),
     FoldReason::kMalformed},
    {"too long publish_id",
     ModifiedChange([](auto& r) { r.publish_id = std::string(1000, 'x'); }),
     FoldReason::kMalformed},
    {"dangling route",
     [](const FoldState& state) {
       Document document = DocumentWith("v3");
       document.leaves["base/routes/r/service"] = "ledger-desk";
       document.leaves["base/routes/r/method"] = "GET";
       document.leaves["base/routes/r/path_prefix"] = "/";
       return MakeChange(state, document, "three");
     },
     FoldReason::kInvalid},
    {"everything removed",
     [](const FoldState& state) {
       return MakeChange(state, Document(), "three");
     },
     FoldReason::kInvalid},
    {"unknown root",
     [](const FoldState& state) {
       Document document = DocumentWith("v3");
       document.leaves["elsewhere/x"] = "1";
       return MakeChange(state, document, "three");
     },
     FoldReason::kInvalid},
    {"raced origin",
     [](const FoldState& state) {
       OriginRecord origin = MakeOrigin(state, DocumentWith("v3"), "three");
       --origin.through;
       return origin;
     },
     FoldReason::kConflict},
    {"checkpoint of a future version",
     [](const FoldState& state) {
       CheckpointRecord checkpoint = MakeCheckpoint(state, TimePoint());
       checkpoint.version = 9;
       return checkpoint;
     },
     FoldReason::kCheckpointUnusable},
    {"checkpoint with other content",
     [](const FoldState& state) {
       CheckpointRecord checkpoint = MakeCheckpoint(state, TimePoint());
       ++checkpoint.digest.low;
       return checkpoint;
     },
     FoldReason::kCheckpointUnusable},
    {"opaque",
     [](const FoldState&) {
       return OpaqueRecord{"verdict", "done"};
     },
     FoldReason::kOpaque},
};

// Records that must not take effect: two operators published concurrently, a
// file was damaged in transfer, or a publish was sent twice. If one were
// applied in part, a proxy would route to a service that it does not know.
Test(config_fold_fault, a_refused_record_changes_nothing) {
  for (const FaultCase& fault : kFaults) {
    FoldState state = StateAtVersionTwo();
    const FoldResult result = FoldNext(state, fault.record(state));
    cr_assert(result.reason == fault.reason, "%s: %s", fault.name,
              std::string(NameOf(result.reason)).c_str());
    cr_assert(!result.step.has_value(), "%s", fault.name);
    cr_assert(state.head == 2 && state.head_publish_id == "two");
    cr_assert(state.document == DocumentWith("v2"), "%s", fault.name);
    cr_assert(state.is_current && state.position == 3, "%s", fault.name);
    const auto counted =
        state.counters.at(static_cast<std::size_t>(fault.reason));
    cr_assert(counted == 1, "%s", fault.name);
    // The next valid change is still accepted.
    cr_assert(FoldNext(state, NextChange(state, "four")).reason ==
              FoldReason::kAccepted);
  }
}

Test(config_fold_fault, a_conflict_names_the_winner) {
  FoldState state = StateAtVersionTwo();
  ChangeRecord late = NextChange(state, "late");
  late.parent = 1;
  FoldNext(state, late);
  const PublishOutcome* outcome = FindOutcome(state, "late");
  cr_assert(outcome->reason == FoldReason::kConflict);
  cr_assert(outcome->head == 2 && outcome->head_publish_id == "two");
  cr_assert(outcome->message.find("publish two") != std::string::npos);
}

// The response to an append is lost, and the operator retries it after more
// than 256 other publishes, when its verdict is no longer stored. Accepting it
// again would restore an old configuration.
Test(config_fold_fault, a_forgotten_publish_has_no_second_effect) {
  FoldState state;
  const ChangeRecord first = MakeChange(state, DocumentWith("v0"), "first");
  FoldNext(state, first);
  for (int i = 1; i <= 2 * static_cast<int>(kMaxOutcomes); ++i) {
    FoldNext(state, MakeChange(state, DocumentWith("v" + std::to_string(i)),
                               "publish-" + std::to_string(i)));
  }
  cr_assert(state.outcomes.size() == kMaxOutcomes);
  cr_assert(FindOutcome(state, "first") == nullptr);
  const ConfigVersion head = state.head;
  cr_assert(FoldNext(state, first).reason == FoldReason::kConflict);
  cr_assert(state.head == head);
}

// A reader starts from the document that a peer holds, without the outcomes of
// older publishes. If acceptance depended on stored outcomes, the two readers
// would diverge permanently.
Test(config_fold_fault, verdicts_do_not_depend_on_what_is_remembered) {
  FoldState complete = StateAtVersionTwo();
  ChangeRecord refused = NextChange(complete, "again");
  ++refused.digest.low;
  FoldNext(complete, refused);
  FoldNext(complete, NextChange(complete, "four"));
  FoldState from_peer = StateFromPeer(complete.head, "four", complete.document);
  const std::vector<LogRecord> records = {
      MakeChange(complete, DocumentWith("v5"), "again"), refused,
      ChangeRecord{"one", 0, DigestOf(DocumentWith("v1")), DocumentWith("v1")}};
  for (const LogRecord& record : records) {
    FoldNext(complete, record);
    FoldNext(from_peer, record);
    cr_assert(from_peer.head == complete.head &&
              from_peer.document == complete.document);
  }
  cr_assert(complete.head == 5 && FindOutcome(complete, "again")->offset == 5);
  // It counts the retried append of "one" as the first until it folds a
  // checkpoint with the older outcomes.
  cr_assert(FindOutcome(from_peer, "one")->reason == FoldReason::kConflict);
  FoldNext(from_peer, MakeCheckpoint(complete, TimePoint()));
  cr_assert(from_peer.outcomes == complete.outcomes &&
            from_peer.outcomes_since == 0);
  cr_assert(FindOutcome(from_peer, "one")->reason == FoldReason::kAccepted);
}

// A slow reader writes a checkpoint of what it had read an hour ago. If it
// counted as new, no other would be written while the records after its
// `through` expire, and new readers would have nothing to start from.
Test(config_fold_fault, a_checkpoint_far_behind_its_offset_is_unusable) {
  FoldState state = StateAtVersionTwo();
  const CheckpointRecord slow =
      MakeCheckpoint(state, TimePoint(std::chrono::hours(5)));
  constexpr int kOthers = 2000;
  for (int i = 0; i < kOthers; ++i)
    FoldNext(state, OpaqueRecord{"verdict", ""});
  cr_assert(FoldNext(state, slow).reason == FoldReason::kCheckpointUnusable);
  cr_assert(state.checkpoint_offset == 0);
  const CheckpointRecord fresh = MakeCheckpoint(state, slow.written_at);
  cr_assert(FoldNext(state, fresh).reason == FoldReason::kCheckpointSeen);
  cr_assert(state.checkpoint_offset == state.position);
}

// A reader is paused for longer than the retention, and a change that it has
// not read expires. If it went on judging with its old head, its configuration
// would differ from all others permanently.
Test(config_fold_fault, a_gap_keeps_the_head_and_waits_for_a_checkpoint) {
  FoldState complete = StateAtVersionTwo();
  FoldState paused = complete;
  FoldNext(complete, NextChange(complete, "three"));
  SkipTo(paused, 4);
  cr_assert(!paused.is_current && paused.head == 2);
  const std::string fourth =
      EncodeRecord(MakeChange(complete, DocumentWith("v4"), "four"));
  const std::string checkpoint =
      EncodeRecord(MakeCheckpoint(complete, TimePoint()));
  Fold(complete, 4, fourth);
  cr_assert(Fold(paused, 4, fourth).reason == FoldReason::kPending);
  const FoldResult result = Fold(paused, 5, checkpoint);
  cr_assert(result.reason == FoldReason::kCheckpointAdopted);
  cr_assert(result.step->from == 2 && result.step->to == 4);
  cr_assert(paused.document == complete.document && paused.is_current);
}

// Every reader was down while all records in the log expired. The operator's
// origin record must be accepted by readers with and without older state.
Test(config_fold_fault, an_origin_is_accepted_above_every_older_version) {
  FoldState resumed = StateAtVersionTwo();
  FoldState fresh;
  SkipTo(resumed, 50);
  SkipTo(fresh, 50);
  const std::string origin =
      EncodeRecord(MakeOrigin(fresh, DocumentWith("v9"), "anew"));
  for (FoldState* state : {&resumed, &fresh}) {
    cr_assert(Fold(*state, 50, origin).reason == FoldReason::kAccepted);
    cr_assert(state->is_current && state->head == 50);
    cr_assert(state->document == DocumentWith("v9"));
  }
  cr_assert(resumed.outcomes == fresh.outcomes);
}

}  // namespace
}  // namespace teaselspread
