#include "edge/config_copy.h"

#include <memory>
#include <utility>

#include <xxhash.h>
#include <zstd.h>

namespace teaselspread {
namespace {

// Packs a configuration to a tenth in little more than the time that it takes
// to copy it.
constexpr int kLevel = 3;
// Records kept beside the newest: a node that follows is one or two behind.
constexpr std::size_t kOlderKept = 3;

using Packer = std::unique_ptr<ZSTD_CCtx, decltype(&ZSTD_freeCCtx)>;
using Unpacker = std::unique_ptr<ZSTD_DCtx, decltype(&ZSTD_freeDCtx)>;

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
  const Packer packer(ZSTD_createCCtx(), &ZSTD_freeCCtx);
  ZSTD_CCtx_setParameter(packer.get(), ZSTD_c_compressionLevel, kLevel);
  ZSTD_CCtx_refPrefix(packer.get(), base.data(), base.size());
  const std::size_t size =
      ZSTD_compress2(packer.get(), copy.packed.data(), copy.packed.size(),
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
  const Unpacker unpacker(ZSTD_createDCtx(), &ZSTD_freeDCtx);
  ZSTD_DCtx_refPrefix(unpacker.get(), base.data(), base.size());
  const std::size_t size = ZSTD_decompressDCtx(
      unpacker.get(), record.value.data(), record.value.size(),
      copy.packed.data(), copy.packed.size());
  if (ZSTD_isError(size) != 0)
    return Fail(ErrorKind::kDigestMismatch, ZSTD_getErrorName(size));
  if (size != record.value.size() || DigestOf(record.value) != copy.digest)
    return Fail(ErrorKind::kDigestMismatch, "a copy of another record");
  return record;
}

void ConfigArchive::Add(ConfigVersion version, const StoredRecord& record) {
  this->entries.push_back({DigestOf(record.value), version, record});
  if (this->entries.size() > 1 + kOlderKept)
    this->entries.pop_front();
  this->copies.clear();
}

std::string_view ConfigArchive::ValueOf(std::uint64_t digest) const {
  for (const Entry& entry : this->entries) {
    if (entry.digest == digest)
      return entry.record.value;
  }
  return {};
}

Result<ConfigFrame> ConfigArchive::CopyFor(std::uint64_t digest) {
  if (this->entries.empty())
    return Fail(ErrorKind::kNotReady, "no configuration is held");
  const Entry& newest = this->entries.back();
  const std::string_view base = this->ValueOf(digest);
  if (const auto found = this->copies.find(DigestOf(base));
      found != this->copies.end())
    return found->second;
  auto copy = PackCopy(newest.version, newest.record, base);
  if (copy)
    this->copies[copy->base_digest] = *copy;
  return copy;
}

Result<StoredRecord> ConfigArchive::Read(const ConfigFrame& copy) const {
  const std::string_view base = this->ValueOf(copy.base_digest);
  if (copy.base_digest != 0 && base.empty())
    return Fail(ErrorKind::kMissingParent, "the base is no longer kept");
  return UnpackCopy(copy, base);
}

std::uint64_t ConfigArchive::Newest() const {
  return this->entries.empty() ? 0 : this->entries.back().digest;
}

}  // namespace teaselspread
