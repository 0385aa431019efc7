#include "edge/config_copy.h"

#include <criterion/criterion.h>

#include <string>

namespace teaselspread {
namespace {

// Routes whose names have nothing in common, as in a large deployment.
std::string TextOf(int routes, const std::string& extra = "") {
  std::string text = extra;
  for (int i = 0; i < routes; ++i) {
    text += R"({"name":"r-)" +
            std::to_string(DigestOf("name" + std::to_string(i))) +
            R"(","match":{"path":"/)" +
            std::to_string(DigestOf("path" + std::to_string(i))) +
            R"(/"},"action":{"service":"desk","timeout":1200}},)";
  }
  return text;
}

StoredRecord RecordOf(std::string text) {
  return {"config", std::move(text)};
}

Test(config_copy, a_copy_is_the_record_whatever_it_is_packed_against) {
  const StoredRecord old = RecordOf(TextOf(3000));
  const StoredRecord record = RecordOf(TextOf(4000, "more"));
  for (const std::string& base : {std::string(), old.value, record.value}) {
    const auto copy = PackCopy(7, record, base);
    cr_assert(copy.has_value());
    const auto read = UnpackCopy(*copy, base);
    cr_assert(read.has_value());
    cr_assert(read->key == record.key);
    cr_assert(read->value == record.value);
  }
}

// Guards against sending all routes over each node's slow line when one route
// has changed: the copy must be about as large as the change.
Test(config_copy, one_changed_route_sends_only_the_change) {
  constexpr std::size_t kFewBytes = 1000;
  constexpr std::size_t kMinCompressionRatio = 4;
  ConfigArchive archive;
  archive.Add(1, RecordOf(TextOf(4000)));
  const std::uint64_t held = archive.NewestDigest();
  archive.Add(2, RecordOf(TextOf(4000, "one more")));
  cr_assert_lt(archive.CopyFor(held)->packed.size(), kFewBytes);
  cr_assert_lt(archive.CopyFor(0)->packed.size(),
               TextOf(4000).size() / kMinCompressionRatio);
}

// Guards against a mix of two configurations, when the receiver holds another
// record than the one that the copy was packed against.
Test(config_copy, a_copy_against_another_base_is_refused) {
  const StoredRecord record = RecordOf(TextOf(2000, "new"));
  const auto copy = PackCopy(2, record, TextOf(2000));
  const auto read = UnpackCopy(*copy, std::string(100000, 'x'));
  cr_assert_not(read.has_value());
  ConfigArchive archive;
  archive.Add(1, RecordOf("other"));
  cr_assert(archive.Unpack(*copy).error().kind == ErrorKind::kMissingParent);
}

// Guards against a crash or unbounded memory use on malformed bytes from a
// peer.
Test(config_copy, bytes_that_are_no_copy_are_refused) {
  auto copy = *PackCopy(2, RecordOf(TextOf(100)), "");
  copy.packed.resize(copy.packed.size() / 2);
  cr_assert_not(UnpackCopy(copy, "").has_value());
  copy.packed = "no copy";
  cr_assert_not(UnpackCopy(copy, "").has_value());
  copy.size_bytes = UINT32_MAX;
  cr_assert_not(UnpackCopy(copy, "").has_value());
}

// A node that was disconnected for long holds a record that no other node keeps
// any more.
Test(config_copy, a_base_that_is_not_kept_gives_a_whole_copy) {
  ConfigArchive archive;
  cr_assert(archive.CopyFor(0).error().kind == ErrorKind::kNotReady);
  archive.Add(1, RecordOf("a"));
  const std::uint64_t oldest = archive.NewestDigest();
  for (ConfigVersion version = 2; version < 20; ++version)
    archive.Add(version, RecordOf("a" + std::to_string(version)));
  cr_assert_eq(archive.CopyFor(oldest)->base_digest, 0);
  cr_assert(archive.Unpack(*archive.CopyFor(oldest))->value == "a19");
}

}  // namespace
}  // namespace teaselspread
