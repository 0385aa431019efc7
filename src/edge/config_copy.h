// Configurations as they travel between nodes: packed, and against one that
// the receiver holds already, since most changes touch a few routes.
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

// Identity of a record's value; 0 for none. Thread safe.
[[nodiscard]] std::uint64_t DigestOf(std::string_view value);

// The record that makes `version`, packed against `base`; an empty base gives a
// copy that anybody can read. Errors: kInternal when the library fails. Thread
// safe.
[[nodiscard]] Result<ConfigFrame> PackCopy(ConfigVersion version,
                                           const StoredRecord& record,
                                           std::string_view base);

// The record in a copy. Precondition: `base` has the digest `copy.base`, and is
// empty when that is 0. Errors: kDigestMismatch for bytes that PackCopy did not
// write against this base. Thread safe.
[[nodiscard]] Result<StoredRecord> UnpackCopy(const ConfigFrame& copy,
                                              std::string_view base);

// The configuration in force and the few before it. Not thread safe.
class ConfigArchive {
 public:
  // Precondition: `version` is higher than that of the last call.
  void Add(ConfigVersion version, const StoredRecord& record);

  // What a node that holds the record with this digest is sent; whole when it
  // is not one of those kept. Errors: those of PackCopy; kNotReady while
  // nothing is held.
  [[nodiscard]] Result<ConfigFrame> CopyFor(std::uint64_t digest);

  // The record in a copy that was sent to this node. Errors: those of
  // UnpackCopy; kMissingParent when its base is no longer kept.
  [[nodiscard]] Result<StoredRecord> Unpack(const ConfigFrame& copy) const;

  // Digest of the newest; 0 while nothing is held.
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
  // Copies of the newest, by the digest of their base.
  std::map<std::uint64_t, ConfigFrame> newest_copies;
};

}  // namespace teaselspread

#endif  // TEASELSPREAD_SRC_EDGE_CONFIG_COPY_H_
