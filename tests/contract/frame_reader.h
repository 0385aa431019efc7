// Reads the frames of a link from a bare socket. Tests only.
#ifndef TEASELSPREAD_TESTS_CONTRACT_FRAME_READER_H_
#define TEASELSPREAD_TESTS_CONTRACT_FRAME_READER_H_

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "contract/raw_socket.h"
#include "edge/frames.h"

namespace teaselspread {

struct FrameReader {
  const RawSocket& socket;
  std::string bytes;

  // The next frame of this kind; none if it does not arrive in time.
  template <class Frame>
  std::optional<Frame> Next() {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (std::chrono::steady_clock::now() < end) {
      while (const auto frame = this->Take()) {
        if (const auto* found = std::get_if<Frame>(&*frame))
          return *found;
      }
      const std::string more = this->socket.ReadUntil(
          [](const std::string& read) { return !read.empty(); },
          std::chrono::milliseconds(100));
      this->bytes += more;
    }
    return std::nullopt;
  }

 private:
  std::optional<LinkFrame> Take() {
    if (this->bytes.size() < kFrameLengthBytes)
      return std::nullopt;
    std::size_t length = 0;
    for (std::size_t i = 0; i < kFrameLengthBytes; ++i) {
      length = (length << 8U) | static_cast<unsigned char>(this->bytes.at(i));
    }
    if (this->bytes.size() < kFrameLengthBytes + length)
      return std::nullopt;
    auto frame = DecodeLinkFrame(
        std::string_view(this->bytes).substr(kFrameLengthBytes, length));
    this->bytes.erase(0, kFrameLengthBytes + length);
    return frame ? std::optional(*frame) : std::nullopt;
  }
};

}  // namespace teaselspread

#endif  // TEASELSPREAD_TESTS_CONTRACT_FRAME_READER_H_
