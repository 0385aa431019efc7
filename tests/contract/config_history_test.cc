// Runs random histories of concurrent operators on one log and checks the
// guarantees that users rely on. Each history is determined by its seed.
#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "teaselspread/config_log.h"

namespace teaselspread {
namespace {

constexpr std::uint64_t kSeeds = 600;
constexpr std::uint64_t kParts = 4;
constexpr int kSteps = 160;
constexpr std::size_t kOperators = 4;
constexpr std::size_t kReaders = 5;
const CheckpointRule kRule = {std::chrono::seconds(60), std::chrono::seconds(2),
                              16};

struct LogEntry {
  std::string bytes;
  TimePoint at;
};

// The platform's log. Offsets start at 1; records older than the retention are
// no longer readable.
struct FakeLog {
  std::vector<LogEntry> entries;
  LogOffset first = 1;

  void Append(std::string bytes, TimePoint now) {
    this->entries.push_back({std::move(bytes), now});
  }

  void Expire(TimePoint now) {
    while (this->first <= this->entries.size() &&
           now - this->entries[this->first - 1].at > kRule.retention) {
      ++this->first;
    }
  }
};

struct Reader {
  FoldState state;
  CheckpointTimer timer;
  // A paused reader reads and writes nothing.
  bool is_paused = false;
};

// An operator; `bytes` is its publish without a verdict yet, or empty.
struct Publisher {
  Reader reader;
  std::string bytes;
  std::string publish_id;
};

struct World {
  explicit World(std::uint64_t seed) : seed(seed), rng(seed) {}

  std::uint64_t seed;
  Rng rng;
  TimePoint now;
  FakeLog log;
  // Folds each record when it is appended and misses none.
  FoldState oracle;
  // By parent, the publish_id of the accepted change.
  std::map<ConfigVersion, std::string> winner_of_parent;
  std::vector<Reader> readers = std::vector<Reader>(kReaders);
  std::vector<Publisher> publishers = std::vector<Publisher>(kOperators);
  // Appends that have not reached the log yet.
  std::vector<std::string> in_flight;
  int publishes = 0;
};

bool Chance(World& world, int percent) {
  return world.rng() % 100 < static_cast<std::uint64_t>(percent);
}

Document BaseDocument() {
  Document document;
  document.leaves = {{"base/data_centers", "bole,piassa"},
                     {"base/deployment", "addis"}};
  return document;
}

// Adds, changes or removes a service or a route; the result may be invalid.
Document EditedDocument(World& world, Document document) {
  if (document.leaves.empty())
    document = BaseDocument();
  const std::string number = std::to_string(world.rng() % 4);
  const std::string scope = Chance(world, 30) ? "overlay/bole/" : "base/";
  const std::string service = scope + "services/s" + number;
  const std::string route = scope + "routes/r" + number;
  switch (world.rng() % 4) {
    case 0:
      document.leaves[service + "/version"] = "v1";
      document.leaves[service + "/queue_limit"] =
          std::to_string(world.rng() % 100);
      break;
    case 1:
      document.leaves.erase(service + "/version");
      document.leaves.erase(service + "/queue_limit");
      break;
    case 2:
      document.leaves[route + "/service"] =
          "s" + std::to_string(world.rng() % 4);
      document.leaves[route + "/method"] = "GET";
      document.leaves[route + "/path_prefix"] = "/" + number;
      break;
    default:
      for (const char* field : {"/service", "/method", "/path_prefix"})
        document.leaves.erase(route + field);
  }
  return document;
}

void CheckRoutesHaveServices(const World& world, const FoldState& state) {
  for (const std::string& name : DataCentersOf(state.document)) {
    const auto snapshot = Render(state.document, name, state.head);
    cr_assert(snapshot.has_value(), "seed %lu", world.seed);
    for (const RouteConfig& route : (*snapshot)->routes)
      cr_assert((*snapshot)->services.contains(route.service));
  }
}

void FoldChecked(World& world, FoldState& state, LogOffset offset) {
  const ConfigVersion before = state.head;
  const Document document = state.document;
  const FoldResult result =
      Fold(state, offset, world.log.entries[offset - 1].bytes);
  cr_assert(state.head >= before, "seed %lu", world.seed);
  cr_assert(result.step.has_value() == (state.head > before));
  if (!result.step) {
    cr_assert(state.document == document, "seed %lu", world.seed);
    return;
  }
  cr_assert(result.step->from == before && result.step->to == state.head);
  cr_assert(ApplyDelta(document, result.step->delta) == state.document);
}

void CheckAccepted(World& world, const std::string& bytes) {
  const auto record = DecodeRecord(bytes);
  const auto* change = std::get_if<ChangeRecord>(&*record);
  if (change == nullptr)
    return;
  const auto [winner, is_first] =
      world.winner_of_parent.try_emplace(change->parent, change->publish_id);
  cr_assert(is_first, "seed %lu: two changes of parent %lu", world.seed,
            change->parent);
}

void Append(World& world, const std::string& bytes) {
  world.log.Append(bytes, world.now);
  const LogOffset offset = world.log.entries.size();
  const ConfigVersion before = world.oracle.head;
  FoldChecked(world, world.oracle, offset);
  if (world.oracle.head == before)
    return;
  cr_assert(world.oracle.head == offset);
  CheckAccepted(world, bytes);
  CheckRoutesHaveServices(world, world.oracle);
}

void Read(World& world, Reader& reader, std::size_t max_records) {
  SkipTo(reader.state, world.log.first);
  const LogOffset last = world.log.entries.size();
  while (max_records-- > 0 && reader.state.position < last)
    FoldChecked(world, reader.state, reader.state.position + 1);
}

void WriteCheckpointIfDue(World& world, Reader& reader) {
  if (!CheckpointDue(kRule, reader.state, reader.timer, world.now, world.rng))
    return;
  if (Chance(world, 80)) {
    world.in_flight.push_back(
        EncodeRecord(MakeCheckpoint(reader.state, world.now)));
  }
}

bool IsOrigin(const World& world, LogOffset offset) {
  const auto record = DecodeRecord(world.log.entries[offset - 1].bytes);
  return record && std::holds_alternative<OriginRecord>(*record);
}

// The verdict that an operator reads must equal the oracle's. Only an origin
// record whose publisher did not know the verdict may drop it.
void CheckVerdict(World& world, Publisher& publisher) {
  const PublishOutcome* seen =
      FindOutcome(publisher.reader.state, publisher.publish_id);
  if (seen == nullptr)
    return;
  const PublishOutcome* expected =
      FindOutcome(world.oracle, publisher.publish_id);
  if (expected != nullptr && *seen != *expected) {
    bool has_origin = false;
    for (LogOffset at = seen->offset + 1; at < expected->offset; ++at)
      has_origin = has_origin || IsOrigin(world, at);
    cr_assert(has_origin, "seed %lu", world.seed);
  }
  if (seen->reason == FoldReason::kConflict && seen->head != 0) {
    cr_assert(!seen->head_publish_id.empty());
    cr_assert(seen->head_publish_id != publisher.publish_id);
  }
  publisher.bytes.clear();
}

std::string EncodedPublish(World& world, Publisher& publisher) {
  const FoldState& state = publisher.reader.state;
  const Document to = EditedDocument(world, state.document);
  const std::string& id = publisher.publish_id;
  if (Chance(world, state.is_current ? 2 : 20))
    return EncodeRecord(MakeOrigin(state, to, id));
  ChangeRecord change = MakeChange(state, to, id);
  if (Chance(world, 5))
    ++change.digest.low;
  return EncodeRecord(change);
}

// The request or its response may be lost. Without a verdict, the operator
// retries with the same record.
void Publish(World& world, Publisher& publisher) {
  if (publisher.bytes.empty()) {
    publisher.publish_id = "publish-" + std::to_string(++world.publishes);
    publisher.bytes = EncodedPublish(world, publisher);
  }
  if (Chance(world, 80))
    world.in_flight.push_back(publisher.bytes);
}

void DeliverSome(World& world) {
  std::shuffle(world.in_flight.begin(), world.in_flight.end(), world.rng);
  while (!world.in_flight.empty() && Chance(world, 60)) {
    Append(world, world.in_flight.back());
    world.in_flight.pop_back();
  }
  if (Chance(world, 10))
    Append(world, EncodeRecord(OpaqueRecord{"verdict", "bytes"}));
  if (Chance(world, 5))
    Append(world, "no record at all");
}

// A new reader starts from the log or from the state of a peer.
void Replace(World& world, Reader& reader) {
  const FoldState peer = world.readers[world.rng() % kReaders].state;
  reader = Reader();
  if (peer.head != 0 && Chance(world, 50)) {
    reader.state =
        StateFromPeer(peer.head, peer.head_publish_id, peer.document);
  }
}

void DisturbReaders(World& world) {
  for (Reader& reader : world.readers) {
    if (Chance(world, 2))
      Replace(world, reader);
    if (Chance(world, 4))
      reader.is_paused = !reader.is_paused;
  }
}

void Step(World& world) {
  world.now += Duration(world.rng() % 2'000'000);
  world.log.Expire(world.now);
  DisturbReaders(world);
  for (Publisher& publisher : world.publishers) {
    Read(world, publisher.reader, world.rng() % 4);
    CheckVerdict(world, publisher);
    if (Chance(world, 25))
      Publish(world, publisher);
  }
  for (Reader& reader : world.readers) {
    if (reader.is_paused)
      continue;
    Read(world, reader, world.rng() % 8);
    WriteCheckpointIfDue(world, reader);
  }
  DeliverSome(world);
}

void CheckMatchesOracle(const World& world, const FoldState& state) {
  const FoldState& expected = world.oracle;
  cr_assert(state.position == expected.position, "seed %lu", world.seed);
  cr_assert(state.head == expected.head, "seed %lu: %lu, not %lu", world.seed,
            state.head, expected.head);
  cr_assert(state.head_publish_id == expected.head_publish_id);
  cr_assert(state.digest == expected.digest, "seed %lu", world.seed);
  cr_assert(state.document == expected.document, "seed %lu", world.seed);
  if (state.outcomes_since == 0)
    cr_assert(state.outcomes == expected.outcomes, "seed %lu", world.seed);
}

// A reader that starts at any offset still in the log either is not current or
// has the same state as all others.
void CheckLateReaders(World& world) {
  const LogOffset last = world.log.entries.size();
  for (LogOffset first = world.log.first; first <= last;
       first += 1 + world.rng() % 16) {
    Reader reader;
    SkipTo(reader.state, first);
    Read(world, reader, world.log.entries.size());
    if (reader.state.is_current)
      CheckMatchesOracle(world, reader.state);
  }
}

// After the faults, a reader with the complete state keeps reading and writing
// checkpoints. All readers, including a new one, must become current.
void CheckRecovery(World& world) {
  world.in_flight.clear();
  Reader complete;
  complete.state = world.oracle;
  for (int i = 0; i < 60; ++i) {
    world.now += std::chrono::seconds(2);
    world.log.Expire(world.now);
    Read(world, complete, world.log.entries.size());
    if (CheckpointDue(kRule, complete.state, complete.timer, world.now,
                      world.rng))
      Append(world, EncodeRecord(MakeCheckpoint(complete.state, world.now)));
  }
  for (Reader& reader : world.readers) {
    Read(world, reader, world.log.entries.size());
    cr_assert(reader.state.is_current, "seed %lu", world.seed);
    CheckMatchesOracle(world, reader.state);
  }
  Reader fresh;
  Read(world, fresh, world.log.entries.size());
  cr_assert(fresh.state.is_current, "seed %lu", world.seed);
  CheckMatchesOracle(world, fresh.state);
}

struct Totals {
  std::uint64_t accepted = 0;
  std::uint64_t conflicts = 0;
  std::uint64_t adopted = 0;
};

std::uint64_t CountOf(const FoldState& state, FoldReason reason) {
  return state.counters.at(static_cast<std::size_t>(reason));
}

void RunHistory(std::uint64_t seed, Totals& totals) {
  World world(seed);
  for (int step = 0; step < kSteps; ++step)
    Step(world);
  CheckLateReaders(world);
  if (world.oracle.head != 0)
    CheckRecovery(world);
  totals.accepted += CountOf(world.oracle, FoldReason::kAccepted);
  totals.conflicts += CountOf(world.oracle, FoldReason::kConflict);
  for (const Reader& reader : world.readers)
    totals.adopted += CountOf(reader.state, FoldReason::kCheckpointAdopted);
}

// Operators publish concurrently, responses are lost and appends retried or
// reordered, processes restart or pause for longer than the log's retention.
// This must not leave data centres with different configurations permanently,
// decrease a version, or leave the verdict on a publish unknown.
void RunHistories(std::uint64_t part) {
  Totals totals;
  for (std::uint64_t seed = part; seed < kSeeds; seed += kParts)
    RunHistory(seed, totals);
  // The histories must have covered enough changes, conflicts and checkpoints.
  constexpr std::uint64_t kSeedsPerPart = kSeeds / kParts;
  cr_assert(totals.accepted > 10 * kSeedsPerPart &&
                totals.conflicts > 10 * kSeedsPerPart &&
                totals.adopted > kSeedsPerPart,
            "%lu accepted, %lu conflicts, %lu adopted", totals.accepted,
            totals.conflicts, totals.adopted);
}

// Criterion runs tests in parallel: four parts take a quarter of the time.
Test(config_history, concurrent_publishes_converge_0) {
  RunHistories(0);
}
Test(config_history, concurrent_publishes_converge_1) {
  RunHistories(1);
}
Test(config_history, concurrent_publishes_converge_2) {
  RunHistories(2);
}
Test(config_history, concurrent_publishes_converge_3) {
  RunHistories(3);
}

}  // namespace
}  // namespace teaselspread
