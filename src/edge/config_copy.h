// Configurations as nodes send them to each other: compressed, with a
// configuration that the receiver already holds as the dictionary, since most
// changes touch a few routes only.
#ifndef TEASELSPREAD_SRC_EDGE_CONFIG_COPY_H_
#define TEASELSPREAD_SRC_EDGE_CONFIG_COPY_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>

#include "edge/frames.h"
#include "teaselspread/error.h"
#include "teaselspread/record_store.h"
#include "teaselspread/types.h"

namespace teaselspread {

// Digest that identifies a record's value; 0 for an empty one. Thread safe.
[[nodiscard]] std::uint64_t DigestOf(std::string_view value);

// Compresses the record of `version` against `base`; with an empty base the
// copy is whole and any node can unpack it. Errors: kInternal when zstd fails.
// Thread safe.
[[nodiscard]] Result<ConfigFrame> PackCopy(ConfigVersion version,
                                           const StoredRecord& record,
                                           std::string_view base);

// Decompresses the record in a copy. Precondition: `base` has the digest
// `copy.base`, and is empty when that is 0. Errors: kDigestMismatch for bytes
// that PackCopy did not produce with this base. Thread safe.
[[nodiscard]] Result<StoredRecord> UnpackCopy(const ConfigFrame& copy,
                                              std::string_view base);

// The configuration in force and a few earlier ones. Not thread safe.
class ConfigArchive {
 public:
  // Precondition: `version` is higher than that of the last call.
  void Add(ConfigVersion version, const StoredRecord& record);

  // The copy of the newest record for a node that holds the record with this
  // digest; whole if that one is not kept here. Errors: those of PackCopy;
  // kNotReady while the archive is empty.
  [[nodiscard]] Result<ConfigFrame> CopyFor(std::uint64_t digest);

  // Unpacks a copy that was sent to this node. Errors: those of UnpackCopy;
  // kMissingParent when its base is no longer kept.
  [[nodiscard]] Result<StoredRecord> Unpack(const ConfigFrame& copy) const;

  // Digest of the newest record; 0 while the archive is empty.
  [[nodiscard]] std::uint64_t NewestDigest() const;

 private:
  struct ArchivedRecord {
    std::uint64_t digest = 0;
    ConfigVersion version = 0;
    StoredRecord record;
  };

  [[nodiscard]] std::string_view ValueOf(std::uint64_t digest) const;

  // Newest last.
  std::deque<ArchivedRecord> records;
  // Copies of the newest record, by the digest of their base.
  std::map<std::uint64_t, ConfigFrame> newest_copies;
};

}  // namespace teaselspread

#endif  // TEASELSPREAD_SRC_EDGE_CONFIG_COPY_H_
