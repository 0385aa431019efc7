#include "node/claims_messages.h"

#include <sstream>

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/variant.hpp>

namespace teaselspread {
namespace {

template <class T>
std::string ToBytes(const T& value) {
  std::ostringstream out;
  {
    cereal::PortableBinaryOutputArchive archive(out);
    archive(value);
  }
  return out.str();
}

template <class T>
Result<T> FromBytes(const std::string& bytes) {
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

}  // namespace

std::string EncodeClaim(const ClaimMessage& message) {
  return ToBytes(message);
}

Result<ClaimMessage> DecodeClaim(const std::string& body) {
  return FromBytes<ClaimMessage>(body);
}

std::string EncodeEpoch(const LoggedEpoch& epoch) {
  return ToBytes(epoch);
}

Result<LoggedEpoch> DecodeEpoch(const std::string& bytes) {
  return FromBytes<LoggedEpoch>(bytes);
}

}  // namespace teaselspread
