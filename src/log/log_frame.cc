#include "log/log_frame.h"

#include <cstddef>
#include <string>
#include <utility>

namespace teaselspread {
namespace {

constexpr std::size_t kOffsetBytes = 8;
constexpr std::size_t kLengthBytes = 4;

// Reads a number of `width` bytes and removes it from the front of `body`.
// Precondition: `body` has at least `width` bytes.
std::uint64_t ConsumeBigEndian(std::string_view& body, std::size_t width) {
  std::uint64_t value = 0;
  for (const char byte : body.substr(0, width))
    value = (value << 8U) | static_cast<unsigned char>(byte);
  body.remove_prefix(width);
  return value;
}

}  // namespace

Result<std::vector<StoredRecord>> DecodeRecords(std::string_view body,
                                                std::uint64_t from) {
  std::vector<StoredRecord> records;
  std::uint64_t min_offset = from;
  while (!body.empty()) {
    if (body.size() < kOffsetBytes + kLengthBytes)
      return Fail(ErrorKind::kFrameMalformed, "a record's head is cut");
    const std::uint64_t offset = ConsumeBigEndian(body, kOffsetBytes);
    const std::uint64_t length = ConsumeBigEndian(body, kLengthBytes);
    if (length > body.size())
      return Fail(ErrorKind::kFrameMalformed, "a record is cut");
    if (offset < min_offset)
      return Fail(ErrorKind::kFrameMalformed, "offsets out of order");
    records.push_back({offset, std::string(body.substr(0, length))});
    body.remove_prefix(length);
    min_offset = offset + 1;
  }
  return records;
}

}  // namespace teaselspread
