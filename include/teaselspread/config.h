// The operators' configuration: from YAML sources to one flat document, and
// from a document to the typed snapshot of one data centre.
//
// All functions here are pure: no clock, file or socket. They are thread safe
// as long as no other thread changes their arguments.
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

// Base file and all overlays as sorted leaves, each value in canonical text:
// "base/services/registry-desk/version" -> "v1" and
// "overlay/bole/services/registry-desk/queue_limit" -> "32".
// Flat, so that a delta and a digest need no knowledge of the schema.
struct Document {
  std::map<std::string, std::string> leaves;

  bool operator==(const Document&) const = default;
};

// Value of an overlay leaf that deletes the base's entry or field. No valid
// scalar begins with '!'.
inline constexpr std::string_view kDeletedLeaf = "!deleted";

// One source file: the name is only used in messages.
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

// Merges base and overlay of `data_center` and makes the checked snapshot: no
// unknown field, no value out of range, no reference without its target. Fails
// with kConfigInvalid and never gives a part. Thread safe.
[[nodiscard]] Result<SnapshotPtr> Render(const Document& document,
                                         std::string_view data_center,
                                         ConfigVersion version);

// Renders every data centre and gives the first error. Thread safe.
[[nodiscard]] Result<void> ValidateAll(const Document& document);

// What the fold asks of a change: `after` is valid, and every move that both
// have is still the same move. Thread safe.
[[nodiscard]] Result<void> ValidateChange(const Document& before,
                                          const Document& after);

// The data centres that the document names, sorted; empty if it names none.
// Thread safe.
[[nodiscard]] std::vector<std::string> DataCentersOf(const Document& document);

// 128 bits over all leaves: equal documents have equal digests on every
// machine.
struct Digest {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  bool operator==(const Digest&) const = default;
};

// Digest of `document`, without its version. Thread safe.
[[nodiscard]] Digest DigestOf(const Document& document);

// 32 hexadecimal digits. Thread safe.
[[nodiscard]] std::string ToString(const Digest& digest);

// What turns one document into another.
struct Delta {
  std::map<std::string, std::string> set;
  // Sorted paths.
  std::vector<std::string> removed;

  bool operator==(const Delta&) const = default;
};

// The smallest delta with ApplyDelta(from, delta) == to. Thread safe.
[[nodiscard]] Delta MakeDelta(const Document& from, const Document& to);

// The document that `delta` makes of `from`. Paths to remove that `from` lacks
// are ignored: the digest of the result tells. Thread safe.
[[nodiscard]] Document ApplyDelta(Document from, const Delta& delta);

}  // namespace teaselspread

#endif  // TEASELSPREAD_CONFIG_H_
