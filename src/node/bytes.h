// Plain values to bytes and back, by cereal.
#ifndef TEASELSPREAD_NODE_BYTES_H_
#define TEASELSPREAD_NODE_BYTES_H_

#include <sstream>
#include <string>

#include <cereal/archives/portable_binary.hpp>

#include "teaselspread/error.h"

namespace teaselspread {

// Precondition: cereal can serialize T. Thread safe.
template <class T>
[[nodiscard]] std::string ToBytes(const T& value) {
  std::ostringstream out;
  {
    cereal::PortableBinaryOutputArchive archive(out);
    archive(value);
  }
  return out.str();
}

// Errors: kFrameMalformed. Thread safe.
template <class T>
[[nodiscard]] Result<T> FromBytes(const std::string& bytes) {
  std::istringstream in(bytes);
  T value;
  try {
    cereal::PortableBinaryInputArchive archive(in);
    archive(value);
  } catch (const std::exception& error) {
    return Fail(ErrorKind::kFrameMalformed, error.what());
  }
  return value;
}

}  // namespace teaselspread

#endif  // TEASELSPREAD_NODE_BYTES_H_
