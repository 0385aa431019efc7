// The operators' configuration: parses YAML sources into one flat document and
// renders the typed snapshot of one data centre from a document.
//
// All functions here are pure: they use no clock, file or socket. They are
// thread safe as long as no other thread modifies their arguments.
#ifndef TEASELSPREAD_CONFIG_H_
#define TEASELSPREAD_CONFIG_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "teaselspread/error.h"
#include "teaselspread/snapshot.h"
#include "teaselspread/types.h"

namespace teaselspread {

// The base file and all overlays as sorted leaves, values in canonical text:
// "base/services/registry-desk/version" -> "v1" and
// "overlay/bole/services/registry-desk/queue_limit" -> "32".
// Flat, so that deltas and digests do not depend on the schema.
struct Document {
  std::map<std::string, std::string> leaves;

  bool operator==(const Document&) const = default;
};

// Value of an overlay leaf that deletes the entry or field of the base file. No
// valid scalar starts with '!'.
inline constexpr std::string_view kDeletedLeaf = "!deleted";

// One source file; the name is only used in messages.
struct SourceText {
  std::string file;
  std::string text;
};

// The base file and the overlay of each data centre that has one.
struct ConfigSources {
  SourceText base;
  std::map<std::string, SourceText> overlays;
};

// Parses the sources and validates them as ValidateAll does. An error is one
// line "file:line: path: what was expected" of kind kConfigSyntax (not YAML) or
// kConfigInvalid (anything else). Thread safe.
[[nodiscard]] Result<Document> LoadSources(const ConfigSources& sources);

// Merges the base file with the overlay of `data_center` and returns a
// validated snapshot: no unknown field, value out of range or dangling
// reference. Fails with kConfigInvalid; never returns a partial snapshot.
// Thread safe.
[[nodiscard]] Result<SnapshotPtr> Render(const Document& document,
                                         std::string_view data_center,
                                         ConfigVersion version);

// Renders every data centre and returns the first error. Thread safe.
[[nodiscard]] Result<void> ValidateAll(const Document& document);

// The checks of the fold on a change: `after` is valid, and every move in both
// documents keeps its identity. Thread safe.
[[nodiscard]] Result<void> ValidateChange(const Document& before,
                                          const Document& after);

// The data centres listed in the document, sorted; empty if there are none.
// Thread safe.
[[nodiscard]] std::vector<std::string> DataCentersOf(const Document& document);

// 128-bit hash of all leaves: equal documents have equal digests on every
// machine.
struct Digest {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  bool operator==(const Digest&) const = default;
};

// Digest of the leaves of `document`; excludes the version. Thread safe.
[[nodiscard]] Digest DigestOf(const Document& document);

// 32 hexadecimal digits. Thread safe.
[[nodiscard]] std::string ToString(const Digest& digest);

// Changes that turn one document into another.
struct Delta {
  std::map<std::string, std::string> set;
  // Sorted paths.
  std::vector<std::string> removed;

  bool operator==(const Delta&) const = default;
};

// The minimal delta with ApplyDelta(from, delta) == to. Thread safe.
[[nodiscard]] Delta MakeDelta(const Document& from, const Document& to);

// Returns `from` with `delta` applied. Removed paths that `from` lacks are
// ignored; callers compare the digest of the result. Thread safe.
[[nodiscard]] Document ApplyDelta(Document from, const Delta& delta);

}  // namespace teaselspread

#endif  // TEASELSPREAD_CONFIG_H_
