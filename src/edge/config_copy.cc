#include "edge/config_copy.h"

#include <memory>
#include <utility>

#include <xxhash.h>
#include <zstd.h>

namespace teaselspread {
namespace {

// Compresses a configuration to a tenth of its size in little more time than
// copying it takes.
constexpr int kCompressionLevel = 3;
// Records kept beside the newest; other nodes are usually one or two behind.
constexpr std::size_t kOlderRecordsKept = 3;

using Compressor = std::unique_ptr<ZSTD_CCtx, decltype(&ZSTD_freeCCtx)>;
using Decompressor = std::unique_ptr<ZSTD_DCtx, decltype(&ZSTD_freeDCtx)>;

}  // namespace

std::uint64_t DigestOf(std::string_view value) {
  return value.empty() ? 0 : XXH3_64bits(value.data(), value.size());
}

Result<ConfigFrame> PackCopy(ConfigVersion version,
                             const StoredRecord& record,
                             std::string_view base) {
  const std::string& value = record.value;
  ConfigFrame copy;
  copy.version = version;
  copy.key = record.key;
  copy.base_digest = DigestOf(base);
  copy.digest = DigestOf(value);
  copy.size_bytes = static_cast<std::uint32_t>(value.size());
  copy.packed.resize(ZSTD_compressBound(value.size()));
  const Compressor compressor(ZSTD_createCCtx(), &ZSTD_freeCCtx);
  ZSTD_CCtx_setParameter(compressor.get(), ZSTD_c_compressionLevel,
                         kCompressionLevel);
  ZSTD_CCtx_refPrefix(compressor.get(), base.data(), base.size());
  const std::size_t size =
      ZSTD_compress2(compressor.get(), copy.packed.data(), copy.packed.size(),
                     value.data(), value.size());
  if (ZSTD_isError(size) != 0)
    return Fail(ErrorKind::kInternal, ZSTD_getErrorName(size));
  copy.packed.resize(size);
  copy.packed.shrink_to_fit();
  return copy;
}

Result<StoredRecord> UnpackCopy(const ConfigFrame& copy,
                                std::string_view base) {
  if (copy.size_bytes > kMaxLinkFrame)
    return Fail(ErrorKind::kDigestMismatch, "a copy that is too long");
  StoredRecord record;
  record.key = copy.key;
  record.value.resize(copy.size_bytes);
  const Decompressor decompressor(ZSTD_createDCtx(), &ZSTD_freeDCtx);
  ZSTD_DCtx_refPrefix(decompressor.get(), base.data(), base.size());
  const std::size_t size = ZSTD_decompressDCtx(
      decompressor.get(), record.value.data(), record.value.size(),
      copy.packed.data(), copy.packed.size());
  if (ZSTD_isError(size) != 0)
    return Fail(ErrorKind::kDigestMismatch, ZSTD_getErrorName(size));
  if (size != record.value.size() || DigestOf(record.value) != copy.digest)
    return Fail(ErrorKind::kDigestMismatch, "a copy of another record");
  return record;
}

void ConfigArchive::Add(ConfigVersion version, const StoredRecord& record) {
  this->records.push_back({DigestOf(record.value), version, record});
  if (this->records.size() > 1 + kOlderRecordsKept)
    this->records.pop_front();
  this->newest_copies.clear();
}

std::string_view ConfigArchive::ValueOf(std::uint64_t digest) const {
  for (const ArchivedRecord& archived : this->records) {
    if (archived.digest == digest)
      return archived.record.value;
  }
  return {};
}

Result<ConfigFrame> ConfigArchive::CopyFor(std::uint64_t digest) {
  if (this->records.empty())
    return Fail(ErrorKind::kNotReady, "no configuration is held");
  const ArchivedRecord& newest = this->records.back();
  const std::string_view base = this->ValueOf(digest);
  if (const auto found = this->newest_copies.find(DigestOf(base));
      found != this->newest_copies.end())
    return found->second;
  auto copy = PackCopy(newest.version, newest.record, base);
  if (copy)
    this->newest_copies[copy->base_digest] = *copy;
  return copy;
}

Result<StoredRecord> ConfigArchive::Unpack(const ConfigFrame& copy) const {
  const std::string_view base = this->ValueOf(copy.base_digest);
  if (copy.base_digest != 0 && base.empty())
    return Fail(ErrorKind::kMissingParent, "the base is no longer kept");
  return UnpackCopy(copy, base);
}

std::uint64_t ConfigArchive::NewestDigest() const {
  return this->records.empty() ? 0 : this->records.back().digest;
}

}  // namespace teaselspread
