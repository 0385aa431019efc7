// Decoder of the log's read responses. Each record is framed as an offset
// (8 bytes) and a length (4 bytes), both big-endian, and the bytes.
#ifndef TEASELSPREAD_SRC_LOG_LOG_FRAME_H_
#define TEASELSPREAD_SRC_LOG_LOG_FRAME_H_

#include <cstdint>
#include <string_view>
#include <vector>

#include "teaselspread/error.h"
#include "teaselspread/log_client.h"

namespace teaselspread {

// Errors: kFrameMalformed when the frames don't fill `body` exactly, or when
// the offsets are not strictly increasing from `from` on. Thread safe.
[[nodiscard]] Result<std::vector<StoredRecord>> DecodeRecords(
    std::string_view body,
    std::uint64_t from);

}  // namespace teaselspread

#endif  // TEASELSPREAD_SRC_LOG_LOG_FRAME_H_
