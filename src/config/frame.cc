#include "config/frame.h"

#include <xxhash.h>

namespace teaselspread {
namespace {

constexpr std::string_view kMagic = "TSPR";
constexpr std::size_t kFormatOffset = kMagic.size();
constexpr std::size_t kKindOffset = kFormatOffset + 1;
constexpr std::size_t kChecksumOffset = kKindOffset + 1;
constexpr std::size_t kBodyOffset = kChecksumOffset + sizeof(XXH64_hash_t);

// Covers the header as well, so that a damaged kind is detected. Little endian
// on every machine.
std::string ChecksumOf(std::string_view header, std::string_view body) {
  const XXH64_hash_t seed = XXH3_64bits(header.data(), header.size());
  XXH64_hash_t hash = XXH3_64bits_withSeed(body.data(), body.size(), seed);
  std::string text;
  for (std::size_t i = 0; i < sizeof(hash); ++i, hash >>= 8)
    text += static_cast<char>(hash & 0xff);
  return text;
}

}  // namespace

std::string EncodeFrame(const Frame& frame) {
  std::string bytes(kMagic);
  bytes += static_cast<char>(frame.format);
  bytes += static_cast<char>(frame.kind);
  bytes += ChecksumOf(bytes, frame.body);
  bytes += frame.body;
  return bytes;
}

Result<Frame> DecodeFrame(std::string_view bytes) {
  if (bytes.size() < kBodyOffset || !bytes.starts_with(kMagic))
    return Fail(ErrorKind::kFrameMalformed, "no record of teaselspread");
  const std::string_view body = bytes.substr(kBodyOffset);
  if (ChecksumOf(bytes.substr(0, kChecksumOffset), body) !=
      bytes.substr(kChecksumOffset, kBodyOffset - kChecksumOffset)) {
    return Fail(ErrorKind::kFrameMalformed, "the record's checksum is wrong");
  }
  return Frame{static_cast<std::uint8_t>(bytes[kFormatOffset]),
               static_cast<std::uint8_t>(bytes[kKindOffset]), body};
}

}  // namespace teaselspread
