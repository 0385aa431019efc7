#include <criterion/criterion.h>

#include <string>

#include "teaselspread/move_account.h"
#include "teaselspread/moves.h"

namespace teaselspread {
namespace {

constexpr int kRate = 50;
const TimePoint kStart{std::chrono::seconds(1'000'000)};

// One data centre in which every request gets its response at once.
struct DeploymentFixture {
  MovesState state;
  Snapshot snapshot;
  EvidenceTable table;
  MoveCapacity capacity;
  TimePoint now = kStart - std::chrono::seconds(30);
  Rng rng{1};
  int fail_every = 1;
  int failing_runs = 0;

  DeploymentFixture() {
    this->state.node = "vm1";
    this->state.data_center = "bole";
    this->snapshot.data_centers = {"bole"};
    ServiceConfig service;
    service.name = "registry-desk";
    service.version = "v1";
    this->snapshot.services["registry-desk"] = service;
    for (const char* version : {"v1", "v2", "v3"})
      this->capacity.ready_slots[{"registry-desk", version}] = 30;
  }

  MoveConfig& Add(const std::string& id, const std::string& to = "v2") {
    MoveConfig& move = this->snapshot.moves[id];
    move.id = id;
    move.service = "registry-desk";
    move.from = "v1";
    move.to = to;
    move.start = kStart;
    move.by = kStart + std::chrono::seconds(300);
    return move;
  }

  // Every `fail_every`-th response of the version `failing` is a failure.
  void Run(int seconds, const std::string& failing = "") {
    for (int i = 0; i < seconds; ++i) {
      this->Answer(failing);
      this->now += std::chrono::seconds(1);
      for (const MoveAction& action :
           StepMoves(this->state, this->snapshot, this->table, this->capacity,
                     this->now)) {
        if (action.kind == MoveActionKind::kAppendVerdict)
          OnLoggedVerdict(this->state, action.verdict, this->now);
      }
      PurgeEvidence(this->table, LiveMoves(this->state, this->snapshot));
    }
  }

  void Answer(const std::string& failing) {
    const MoveConfig* move =
        MoveOf(this->state, this->snapshot, "registry-desk");
    for (int n = 0; n < kRate && move != nullptr; ++n) {
      EvidenceKey key;
      key.move = move->id;
      key.node = "vm1";
      key.data_center = "bole";
      key.version = this->Pick();
      key.route = "search";
      ResponseSample sample;
      sample.latency = std::chrono::milliseconds(8 + n % 7);
      if (key.version == failing &&
          ++this->failing_runs % this->fail_every == 0)
        sample.outcome = ResponseOutcome::kFailed;
      RecordResponse(this->table, key, sample);
    }
  }

  std::string Pick() {
    return PickVersion(this->state, this->snapshot, "registry-desk", this->rng);
  }

  [[nodiscard]] double Share(const std::string& version) const {
    return ShareOf(this->state, this->snapshot, "registry-desk", version);
  }

  AccountRow Account(const std::string& id) {
    for (AccountRow& row :
         MakeAccount(this->state, this->snapshot, this->capacity, this->now)) {
      if (row.move == id)
        return row;
    }
    return {};
  }
};

Test(moves_operator, a_good_move_goes_from_start_to_done) {
  DeploymentFixture world;
  world.Add("m1");
  world.Run(20);
  cr_assert(world.Share("v1") == 1 && world.Share("v2") == 0);
  cr_assert(world.Account("m1").state == AccountState::kWaiting);
  world.Run(100);
  cr_assert(world.Share("v2") > 0 && world.Share("v2") < 1);
  cr_assert(world.Account("m1").state == AccountState::kRunning);
  world.Run(200);
  cr_assert(world.Account("m1").state == AccountState::kDone);
  cr_assert(world.Pick() == "v2");
  // Until the base file names the new version itself.
  world.snapshot.moves.clear();
  world.snapshot.services["registry-desk"].version = "v2";
  world.Run(2);
  cr_assert(world.Pick() == "v2");
}

// The operator withdraws a running move and then removes the withdrawal from
// the file. Traffic must not move again without a new order.
Test(moves_operator, a_withdrawn_move_never_resumes) {
  DeploymentFixture world;
  world.Add("m1");
  world.Run(120);
  cr_assert(world.Share("v2") > 0);
  world.Add("m1").withdrawn = true;
  world.Run(1);
  cr_assert(world.Share("v2") == 0 && world.Pick() == "v1");
  cr_assert(world.Account("m1").reason == VerdictReason::kWithdrawn);
  world.Add("m1").withdrawn = false;
  world.Run(60);
  cr_assert(world.Share("v2") == 0);
  cr_assert(world.Account("m1").state == AccountState::kRolledBack);
}

// The new version is fixed and the operator orders the move again under a new
// id. The evidence of the first move must not count against it.
Test(moves_operator, a_new_id_starts_again) {
  DeploymentFixture world;
  world.Add("m1");
  world.Run(60, "v2");
  cr_assert(world.Account("m1").state == AccountState::kRolledBack);
  MoveConfig& again = world.Add("m2");
  again.start = world.now + std::chrono::seconds(30);
  again.by = again.start + std::chrono::seconds(300);
  world.Run(320);
  cr_assert(world.Account("m2").state == AccountState::kDone);
  cr_assert(world.Account("m1").state == AccountState::kRolledBack);
  cr_assert(world.Pick() == "v2");
}

Test(moves_operator, a_later_move_of_the_service_waits) {
  DeploymentFixture world;
  world.Add("m1");
  world.Add("m2", "v3").start = kStart + std::chrono::seconds(5);
  world.Run(100);
  cr_assert(world.Share("v3") == 0 && world.Share("v2") > 0);
  cr_assert(world.state.moves.at("m2").limit == ShareLimit::kEarlierMove);
}

// `by` is changed to an earlier time while the move runs.
Test(moves_operator, a_new_deadline_takes_effect) {
  DeploymentFixture world;
  MoveConfig& move = world.Add("m1");
  move.by = kStart + std::chrono::hours(3);
  world.Run(90);
  cr_assert(world.Share("v2") < 0.05);
  world.Add("m1").by = world.now + std::chrono::seconds(240);
  world.Run(200);
  cr_assert(world.Account("m1").state == AccountState::kDone);
}

// The new version fails one request in twenty, and the operator loosens the
// bounds to allow that while the move runs. Otherwise it is rolled back.
Test(moves_operator, new_bounds_take_effect) {
  for (const bool loosened : {false, true}) {
    DeploymentFixture world;
    world.fail_every = 20;
    world.Add("m1");
    world.Run(35, "v2");
    if (loosened)
      world.Add("m1").bounds.extra_failures = 0.2;
    world.Run(285, "v2");
    const AccountState state = world.Account("m1").state;
    cr_assert(state ==
              (loosened ? AccountState::kDone : AccountState::kRolledBack));
  }
}

// The file names another version under the same id. The evidence is about the
// first one, so the change has to be ignored and the account has to say so.
Test(moves_operator, other_versions_under_one_id_are_ignored_and_named) {
  DeploymentFixture world;
  world.Add("m1");
  world.Run(120);
  world.Add("m1", "v3");
  world.Run(5);
  cr_assert(world.state.moves.at("m1").config.to == "v2");
  cr_assert(world.Account("m1").explanation.find("new id") !=
            std::string::npos);
}

// All new upstreams are gone for a while. Requests must not wait for them, and
// the move must neither end nor count this as a fault.
Test(moves_operator, without_ready_slots_the_new_version_gets_nothing) {
  DeploymentFixture world;
  world.Add("m1");
  world.Run(150);
  world.capacity.ready_slots[{"registry-desk", "v2"}] = 0;
  world.Run(5);
  cr_assert(world.Share("v2") == 0);
  cr_assert(world.state.moves.at("m1").limit == ShareLimit::kCapacity);
  world.capacity.ready_slots[{"registry-desk", "v2"}] = 30;
  world.Run(150);
  cr_assert(world.Account("m1").state == AccountState::kDone);
}

// A data centre is unreachable. The account has to name it and must not report
// the move as done, whatever verdict this node holds.
Test(moves_operator, the_account_names_what_is_unknown) {
  DeploymentFixture world;
  world.snapshot.data_centers = {"bole", "piassa"};
  world.Add("m1");
  world.Run(300);
  AccountRow row = world.Account("m1");
  cr_assert(row.state != AccountState::kDone);
  cr_assert(row.unknown.size() == 1);
  cr_assert(row.unknown.front().find("piassa") != std::string::npos);
  Verdict verdict;
  verdict.move = "m1";
  verdict.from = "v1";
  verdict.to = "v2";
  verdict.stage = MoveStage::kDone;
  verdict.reason = VerdictReason::kWatchClean;
  cr_assert(MergeVerdict(world.state, verdict));
  world.Run(1);
  row = world.Account("m1");
  cr_assert(row.state == AccountState::kUnconfirmed);
  const std::string text = FormatAccountText({row});
  cr_assert(text.find("NOT HEARD") != std::string::npos);
  const std::string json = FormatAccountJson({row});
  cr_assert(json.find("\"state\":\"unconfirmed\"") != std::string::npos);
  cr_assert(json.find("\"heard\":false") != std::string::npos);
}

Test(moves_operator, the_account_says_why_a_move_was_rolled_back) {
  DeploymentFixture world;
  world.Add("m1");
  world.Run(60, "v2");
  const AccountRow row = world.Account("m1");
  cr_assert(row.reason == VerdictReason::kFailures);
  cr_assert(row.explanation.find("more failures at bole") != std::string::npos);
}

}  // namespace
}  // namespace teaselspread
