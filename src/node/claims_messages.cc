#include "node/claims_messages.h"

#include <cereal/types/variant.hpp>

#include "node/bytes.h"

namespace teaselspread {

std::string EncodeClaim(const ClaimMessage& message) {
  return ToBytes(message);
}

Result<ClaimMessage> DecodeClaim(const std::string& body) {
  return FromBytes<ClaimMessage>(body);
}

std::string EncodeEpoch(const EpochRecord& record) {
  return ToBytes(record);
}

Result<EpochRecord> DecodeEpoch(const std::string& bytes) {
  return FromBytes<EpochRecord>(bytes);
}

}  // namespace teaselspread
