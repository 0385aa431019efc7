#include <array>
#include <bit>
#include <cstring>
#include <exception>
#include <sstream>
#include <streambuf>
#include <utility>

#include <absl/strings/str_cat.h>
#include <xxhash.h>

#include "teaselspread/wire.h"
#include "wire/codec.h"

namespace teaselspread {
namespace {

constexpr std::array<char, 4> kMagic = {'T', 'S', 'P', 'R'};
constexpr std::size_t kFormatOffset = 4;
constexpr std::size_t kKindOffset = 5;
constexpr std::size_t kLengthOffset = 6;
constexpr std::size_t kChecksumOffset = 10;

constexpr std::array<std::string_view, kMessageKinds> kKindNames = {
    "ping",        "ping-request",   "ack",    "nack",       "gossip",
    "exchange",    "digest",         "push",   "push-ack",   "pull",
    "pull-reply",  "pull-busy",      "record", "record-ack", "floor-query",
    "floor-reply", "version-notice", "module",
};
constexpr std::array<std::string_view, 4> kTopicNames = {
    "verdict", "crash-suspect", "move-evidence", "move-report"};
constexpr std::array<std::string_view, 2> kModuleNames = {"moves", "claims"};
constexpr std::array<std::string_view, 3> kVouchNames = {"none", "recorded",
                                                         "new-vm"};

// Lets cereal read the caller's bytes without a copy.
class ViewBuffer : public std::streambuf {
 public:
  explicit ViewBuffer(std::string_view bytes) {
    // The get area is declared mutable, though nothing writes to it.
    char* begin = const_cast<char*>(bytes.data());
    this->setg(begin, begin, begin + bytes.size());
  }
};

// Appends what cereal writes to a string.
class StringBuffer : public std::streambuf {
 public:
  explicit StringBuffer(std::string& target) : target(target) {}

 protected:
  std::streamsize xsputn(const char* bytes,  // NOLINT: name of the base class
                         std::streamsize count) override {
    this->target.append(bytes, static_cast<std::size_t>(count));
    return count;
  }
  int_type overflow(int_type symbol) override {  // NOLINT: as above
    this->target.push_back(traits_type::to_char_type(symbol));
    return symbol;
  }

 private:
  std::string& target;
};

template <class T>
void PutLittleEndian(std::string& frame, std::size_t offset, T value) {
  for (std::size_t i = 0; i < sizeof(T); ++i)
    frame[offset + i] = static_cast<char>(value >> (8 * i));
}

template <class T>
T GetLittleEndian(std::string_view frame, std::size_t offset) {
  T value = 0;
  for (std::size_t i = 0; i < sizeof(T); ++i)
    value |= T{static_cast<std::uint8_t>(frame[offset + i])} << (8 * i);
  return value;
}

template <std::size_t kIndex = 0>
Message ReadPayload(wire::Reader& reader, std::size_t kind) {
  if constexpr (kIndex < kMessageKinds) {
    if (kind != kIndex)
      return ReadPayload<kIndex + 1>(reader, kind);
    std::variant_alternative_t<kIndex, Message> value;
    reader(value);
    return value;
  } else {
    throw cereal::Exception("unknown message kind");
  }
}

// Checks magic and format first: the rest of a frame of another format may have
// a different layout.
Result<std::size_t> FrameLength(std::string_view frame) {
  if (frame.size() < kFrameHeaderBytes)
    return Fail(ErrorKind::kFrameMalformed, "frame shorter than its header");
  if (std::memcmp(frame.data(), kMagic.data(), kMagic.size()) != 0)
    return Fail(ErrorKind::kFrameMalformed, "not a teaselspread frame");
  const auto format = static_cast<std::uint8_t>(frame[kFormatOffset]);
  if (format != kFrameFormat) {
    return Fail(ErrorKind::kFrameVersion,
                absl::StrCat("frame of format ", format,
                             ", this node speaks format ", kFrameFormat));
  }
  return kFrameHeaderBytes +
         GetLittleEndian<std::uint32_t>(frame, kLengthOffset);
}

}  // namespace

std::string_view NameOf(Topic topic) {
  return kTopicNames.at(static_cast<std::size_t>(topic));
}

std::string_view NameOf(Module module) {
  return kModuleNames.at(static_cast<std::size_t>(module));
}

std::string_view NameOf(Vouch vouch) {
  return kVouchNames.at(static_cast<std::size_t>(vouch));
}

std::string_view KindName(std::size_t index) {
  return kKindNames.at(index);
}

std::string_view KindOf(const Message& message) {
  return KindName(message.index());
}

const Sender& SenderOf(const Message& message) {
  return std::visit(
      [](const auto& typed) -> const Sender& { return typed.from; }, message);
}

std::string Encode(const Message& message) {
  std::string frame(kFrameHeaderBytes, '\0');
  {
    StringBuffer buffer(frame);
    std::ostream stream(&buffer);
    wire::Writer writer(stream);
    std::visit([&writer](const auto& typed) { writer(typed); }, message);
  }
  const std::size_t length = frame.size() - kFrameHeaderBytes;
  std::memcpy(frame.data(), kMagic.data(), kMagic.size());
  frame[kFormatOffset] = static_cast<char>(kFrameFormat);
  frame[kKindOffset] = static_cast<char>(message.index());
  PutLittleEndian(frame, kLengthOffset, static_cast<std::uint32_t>(length));
  PutLittleEndian<std::uint64_t>(
      frame, kChecksumOffset,
      XXH3_64bits(frame.data() + kFrameHeaderBytes, length));
  return frame;
}

Result<Message> Decode(std::string_view frame) {
  const Result<std::size_t> length = FrameLength(frame);
  if (!length)
    return tl::make_unexpected(length.error());
  if (*length != frame.size())
    return Fail(ErrorKind::kFrameMalformed, "frame length does not match");
  const std::string_view payload = frame.substr(kFrameHeaderBytes);
  if (GetLittleEndian<std::uint64_t>(frame, kChecksumOffset) !=
      XXH3_64bits(payload.data(), payload.size()))
    return Fail(ErrorKind::kFrameMalformed, "frame checksum does not match");
  ViewBuffer buffer(payload);
  std::istream stream(&buffer);
  try {
    wire::Reader reader(stream);
    Message message =
        ReadPayload(reader, static_cast<std::uint8_t>(frame[kKindOffset]));
    if (buffer.in_avail() > 0)
      return Fail(ErrorKind::kFrameMalformed, "bytes left over in the frame");
    return message;
  } catch (const std::exception& error) {
    return Fail(ErrorKind::kFrameMalformed, error.what());
  }
}

std::size_t EncodedSize(const Rumour& rumour) {
  std::string bytes;
  StringBuffer buffer(bytes);
  std::ostream stream(&buffer);
  wire::Writer writer(stream);
  writer(rumour);
  // The archive writes one leading byte of its own.
  return bytes.size() - 1;
}

Transport TransportFor(const Message& message) {
  return Encode(message).size() <= kMaxDatagramBytes ? Transport::kDatagram
                                                     : Transport::kStream;
}

FrameReader::FrameReader(std::size_t max_frame_bytes)
    : max_frame_bytes(max_frame_bytes) {}

void FrameReader::Append(std::string_view bytes) {
  this->buffer.append(bytes);
}

Result<std::optional<Message>> FrameReader::Next() {
  if (this->buffer.size() < kFrameHeaderBytes)
    return std::nullopt;
  const Result<std::size_t> length = FrameLength(this->buffer);
  if (!length)
    return tl::make_unexpected(length.error());
  if (*length > this->max_frame_bytes)
    return Fail(ErrorKind::kFrameMalformed, "frame above the maximum length");
  if (this->buffer.size() < *length)
    return std::nullopt;
  Result<Message> message =
      Decode(std::string_view(this->buffer).substr(0, *length));
  if (!message)
    return tl::make_unexpected(message.error());
  this->buffer.erase(0, *length);
  return std::optional<Message>(std::move(*message));
}

}  // namespace teaselspread
