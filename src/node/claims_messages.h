// What nodes say to each other about claims, as one variant in a module frame.
#ifndef TEASELSPREAD_NODE_CLAIMS_MESSAGES_H_
#define TEASELSPREAD_NODE_CLAIMS_MESSAGES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "teaselspread/claim_messages.h"
#include "teaselspread/error.h"

namespace teaselspread {

// A HandoverRequest with the process that it is meant for: another process at
// the same address must not respond in its place.
struct SealRequest {
  HandoverRequest ask;
  std::string asked_id;
  std::uint64_t asked_boot_id = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->ask, this->asked_id, this->asked_boot_id);
  }
};

// The newest epoch and the one last activated after the log's record
// `through`.
struct EpochNotice {
  ClaimEpoch epoch;
  ClaimEpoch active;
  std::uint64_t through = 0;
  // When the sender began the read of the log's end that showed no newer one,
  // by its own clock: an age would grow by the time that the notice travels.
  std::int64_t confirmed_at_us = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->epoch, this->active, this->through, this->confirmed_at_us);
  }
};

// Asks for an EpochNotice.
struct EpochQuery {
  std::uint64_t known = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->known);
  }
};

// Processes of another data centre that could be holders.
struct HolderOffer {
  std::string data_center;
  std::vector<Holder> holders;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->data_center, this->holders);
  }
};

using ClaimMessage = std::variant<ClaimRequest,
                                  ClaimVote,
                                  ClaimRelease,
                                  ClaimCompletion,
                                  SealRequest,
                                  HandoverResponse,
                                  EpochNotice,
                                  EpochQuery,
                                  HolderOffer>;

// Thread safe. Errors of decoding: kFrameMalformed.
[[nodiscard]] std::string EncodeClaim(const ClaimMessage& message);
[[nodiscard]] Result<ClaimMessage> DecodeClaim(const std::string& body);

// One record of the log about epochs. Thread safe. Errors of decoding:
// kFrameMalformed.
[[nodiscard]] std::string EncodeEpoch(const EpochRecord& record);
[[nodiscard]] Result<EpochRecord> DecodeEpoch(const std::string& bytes);

}  // namespace teaselspread

#endif  // TEASELSPREAD_NODE_CLAIMS_MESSAGES_H_
