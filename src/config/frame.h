// The frame around each record in the log: magic, format, kind, checksum.
#ifndef TEASELSPREAD_CONFIG_FRAME_H_
#define TEASELSPREAD_CONFIG_FRAME_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "teaselspread/error.h"

namespace teaselspread {

// Increase it with every change that an older release would misread, including
// a new kind of record: an older reader must detect that it cannot judge.
inline constexpr std::uint8_t kRecordFormat = 1;

struct Frame {
  std::uint8_t format = kRecordFormat;
  std::uint8_t kind = 0;
  std::string_view body;
};

// Thread safe.
[[nodiscard]] std::string EncodeFrame(const Frame& frame);

// Decodes a frame of any format; `body` points into `bytes`. Fails with
// kFrameMalformed. Thread safe.
[[nodiscard]] Result<Frame> DecodeFrame(std::string_view bytes);

}  // namespace teaselspread

#endif  // TEASELSPREAD_CONFIG_FRAME_H_
