#include <criterion/criterion.h>

#include <random>
#include <string>
#include <vector>

#include "config/frame.h"
#include "teaselspread/config_log.h"

namespace teaselspread {
namespace {

std::string RandomText(Rng& rng, std::size_t max_size) {
  std::string text(rng() % (max_size + 1), '\0');
  for (char& c : text)
    c = static_cast<char>(rng());
  return text;
}

Document RandomDocument(Rng& rng) {
  Document document;
  for (std::size_t i = rng() % 20; i > 0; --i)
    document.leaves["base/" + RandomText(rng, 30)] = RandomText(rng, 30);
  return document;
}

Delta RandomDelta(Rng& rng) {
  Delta delta{RandomDocument(rng).leaves, {}};
  for (const auto& [path, value] : RandomDocument(rng).leaves)
    delta.removed.push_back(path);
  return delta;
}

PublishOutcome RandomOutcome(Rng& rng) {
  return {RandomText(rng, 9), rng(), FoldReason::kConflict, rng(), "x",
          RandomText(rng, 40)};
}

LogRecord RandomRecord(Rng& rng) {
  const Digest digest{rng(), rng()};
  switch (rng() % 5) {
    case 0:
      return ChangeRecord{RandomText(rng, 9), rng(), digest, RandomDelta(rng)};
    case 1:
      return ChangeRecord{RandomText(rng, 9), rng(), digest,
                          RandomDocument(rng)};
    case 2:
      return CheckpointRecord{
          rng(),
          RandomText(rng, 9),
          digest,
          rng(),
          TimePoint(Duration(static_cast<std::int64_t>(rng()))),
          RandomDocument(rng),
          {RandomOutcome(rng), RandomOutcome(rng)},
          rng()};
    case 3:
      return OriginRecord{RandomText(rng, 9),
                          rng(),
                          digest,
                          RandomDocument(rng),
                          {RandomOutcome(rng)}};
    default:
      return OpaqueRecord{RandomText(rng, 9), RandomText(rng, 100000)};
  }
}

Test(config_record, each_kind_reads_back) {
  for (std::uint64_t seed = 0; seed < 500; ++seed) {
    Rng rng(seed);
    const LogRecord record = RandomRecord(rng);
    const auto decoded = DecodeRecord(EncodeRecord(record));
    cr_assert(decoded.has_value() && *decoded == record, "seed %lu", seed);
  }
}

// The log is shared with other programs, and its responses can be truncated or
// mixed up. A malformed record that crashed a reader would crash every proxy
// that reads the log, and again after each restart.
Test(config_record, bad_bytes_are_refused_and_change_nothing) {
  for (std::uint64_t seed = 0; seed < 2000; ++seed) {
    Rng rng(seed);
    std::string bytes = EncodeRecord(RandomRecord(rng));
    switch (rng() % 4) {
      case 0:
        bytes = RandomText(rng, 200);
        break;
      case 1:
        bytes.resize(rng() % bytes.size());
        break;
      case 2: {
        char& byte = bytes[rng() % bytes.size()];
        byte = static_cast<char>(byte + 1 + static_cast<int>(rng() % 255));
        break;
      }
      default:
        bytes += RandomText(rng, 5) + "x";
    }
    cr_assert(!DecodeRecord(bytes).has_value(), "seed %lu", seed);
    FoldState state;
    const FoldReason reason = Fold(state, 1, bytes).reason;
    cr_assert(reason == FoldReason::kMalformed, "seed %lu", seed);
    cr_assert(state.head == 0 && state.is_current && state.outcomes.empty());
  }
}

// A record with a correct checksum may still claim sizes beyond its bytes.
// Allocating memory by a claimed size would end the process for lack of memory.
Test(config_record, claimed_sizes_take_no_memory) {
  const std::string body(
      "\x01\xff\xff\xff\xff"
      "short",
      10);
  for (const std::uint8_t kind : {0, 1, 2, 3, 4, 200}) {
    const std::string framed = EncodeFrame({kRecordFormat, kind, body});
    cr_assert(DecodeRecord(framed).error().kind == ErrorKind::kFrameMalformed);
  }
}

// A newer release publishes while old processes still run. An old process that
// skipped the unreadable record would judge the next change against an outdated
// head and write that head into a checkpoint.
Test(config_record, a_newer_format_stops_the_judging) {
  FoldState state;
  const std::string newer = EncodeFrame({kRecordFormat + 1, 0, "unknown"});
  cr_assert(DecodeRecord(newer).error().kind == ErrorKind::kFrameVersion);
  cr_assert(Fold(state, 1, newer).reason == FoldReason::kUnknownFormat);
  cr_assert(!state.is_current);
  const ChangeRecord next{"next", 0, DigestOf({}), Document()};
  cr_assert(Fold(state, 2, EncodeRecord(next)).reason == FoldReason::kPending);
}

}  // namespace
}  // namespace teaselspread
