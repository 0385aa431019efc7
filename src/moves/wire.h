// Encoding of short strings and of whole messages for the wire.
#ifndef TEASELSPREAD_MOVES_WIRE_H_
#define TEASELSPREAD_MOVES_WIRE_H_

#include <algorithm>
#include <cstdint>
#include <exception>
#include <sstream>
#include <string>
#include <string_view>

#include <cereal/archives/portable_binary.hpp>

#include "teaselspread/error.h"
#include "teaselspread/types.h"

namespace teaselspread::moves {

inline constexpr std::size_t kMaxNameBytes = 32;

// cereal allocates the length that a message claims before reading any byte, so
// a malformed message could allocate gigabytes. The one-byte length prevents
// that.
template <class Archive>
void SaveText(Archive& archive, const std::string& text) {
  const auto size =
      static_cast<std::uint8_t>(std::min(text.size(), kMaxNameBytes));
  archive(size, cereal::binary_data(text.data(), size));
}

template <class Archive>
void LoadText(Archive& archive, std::string& text) {
  std::uint8_t size = 0;
  archive(size);
  text.resize(size);
  archive(cereal::binary_data(text.data(), size));
}

// Runs `write(archive)` and returns the bytes.
template <class Write>
std::string Encode(Write write) {
  std::ostringstream stream;
  {
    cereal::PortableBinaryOutputArchive archive(stream);
    write(archive);
  }
  return stream.str();
}

// Runs `read(archive, value)` over `bytes`; kFrameMalformed if it fails.
template <class T, class Read>
Result<T> Decode(std::string_view bytes, Read read) {
  try {
    std::istringstream stream{std::string(bytes)};
    cereal::PortableBinaryInputArchive archive(stream);
    T value;
    if (!read(archive, value))
      return Fail(ErrorKind::kFrameMalformed, "a field is out of range");
    return value;
  } catch (const std::exception& error) {
    return Fail(ErrorKind::kFrameMalformed, error.what());
  }
}

inline std::int64_t Ticks(TimePoint time) {
  return time.time_since_epoch().count();
}

inline TimePoint FromTicks(std::int64_t ticks) {
  return TimePoint(Duration(ticks));
}

}  // namespace teaselspread::moves

#endif  // TEASELSPREAD_MOVES_WIRE_H_
