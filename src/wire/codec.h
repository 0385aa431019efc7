// Encodes and decodes messages field by field in cereal's portable binary
// format. cereal itself writes each length as 8 bytes and allocates that much
// before it reads the data, so a corrupt or hostile length could exhaust the
// node's memory, up to a kill by the out-of-memory killer. Lengths are
// therefore written here as base-128 varints, and data is read in chunks of
// bounded size. A Writer or Reader belongs to one stream; neither is thread
// safe.
#ifndef TEASELSPREAD_SRC_WIRE_CODEC_H_
#define TEASELSPREAD_SRC_WIRE_CODEC_H_

#include <algorithm>
#include <chrono>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>
#include <variant>
#include <vector>

#include <cereal/archives/portable_binary.hpp>

#include "teaselspread/wire.h"

namespace teaselspread::wire {

inline constexpr unsigned kVarintBits = 7;
inline constexpr std::uint8_t kVarintContinuationBit = 0x80;
inline constexpr std::size_t kReadChunkBytes = 4096;

class Writer {
 public:
  static constexpr bool kWriting = true;

  explicit Writer(std::ostream& stream) : archive(stream) {}

  template <class... Ts>
  void operator()(const Ts&... values) {
    (this->Put(values), ...);
  }

  template <class E>
  void Enum(const E& value, E) {
    this->archive(static_cast<std::uint8_t>(value));
  }

  void NonNegative(const int& value) {
    this->PutSize(static_cast<std::uint32_t>(std::max(value, 0)));
  }

  // A string that ends the message. If `detaches_tail` is set, its length is
  // written, and its bytes are left to the caller, which sends them behind the
  // others.
  void Tail(std::string_view value) {
    this->PutSize(value.size());
    if (this->detaches_tail)
      this->detached_tail_bytes = value.size();
    else
      this->archive(cereal::binary_data(value.data(), value.size()));
  }

  bool detaches_tail = false;
  std::size_t detached_tail_bytes = 0;

 private:
  void PutSize(std::uint64_t size) {
    for (; size >= kVarintContinuationBit; size >>= kVarintBits)
      this->archive(static_cast<std::uint8_t>(size | kVarintContinuationBit));
    this->archive(static_cast<std::uint8_t>(size));
  }

  template <std::integral T>
  void Put(const T& value) {
    this->archive(value);
  }
  void Put(const bool& value) {
    this->archive(static_cast<std::uint8_t>(value));
  }
  void Put(const TimePoint& value) {
    this->archive(std::int64_t{value.time_since_epoch().count()});
  }
  void Put(const std::string& value) {
    this->PutSize(value.size());
    this->archive(cereal::binary_data(value.data(), value.size()));
  }
  template <class T>
  void Put(const std::vector<T>& values) {
    this->PutSize(values.size());
    for (const T& value : values)
      this->Put(value);
  }
  void Put(const Rumour& rumour) {
    this->archive(static_cast<std::uint8_t>(rumour.index()));
    std::visit([this](const auto& value) { this->Put(value); }, rumour);
  }
  template <class T>
  requires std::is_class_v<T>
  void Put(const T& value) { Fields(*this, value); }

  cereal::PortableBinaryOutputArchive archive;
};

// Throws cereal::Exception on invalid or truncated input; Decode converts it to
// an Error.
class Reader {
 public:
  static constexpr bool kWriting = false;

  explicit Reader(std::istream& stream) : archive(stream) {}

  template <class... Ts>
  void operator()(Ts&... values) {
    (this->Get(values), ...);
  }

  template <class E>
  void Enum(E& value, E last) {
    std::uint8_t raw = 0;
    this->archive(raw);
    if (raw > static_cast<std::uint8_t>(last))
      throw cereal::Exception("unknown enum value");
    value = static_cast<E>(raw);
  }

  void NonNegative(int& value) {
    constexpr std::uint64_t kMax = std::numeric_limits<int>::max();
    value = static_cast<int>(std::min(this->GetSize(), kMax));
  }

  // See Writer::Tail. If `leaves_tail` is set, only the length is read, and the
  // bytes are left in the stream.
  void Tail(std::string& value) {
    if (this->leaves_tail)
      this->left_tail_bytes = this->GetSize();
    else
      this->Get(value);
  }

  bool leaves_tail = false;
  std::uint64_t left_tail_bytes = 0;

 private:
  std::uint64_t GetSize() {
    std::uint64_t size = 0;
    for (unsigned shift = 0; shift < 64; shift += kVarintBits) {
      std::uint8_t group = 0;
      this->archive(group);
      size |= std::uint64_t{group & (kVarintContinuationBit - 1U)} << shift;
      if ((group & kVarintContinuationBit) == 0)
        return size;
    }
    throw cereal::Exception("length too long");
  }

  template <std::integral T>
  void Get(T& value) {
    this->archive(value);
  }
  void Get(bool& value) {
    std::uint8_t raw = 0;
    this->archive(raw);
    value = raw != 0;
  }
  void Get(TimePoint& value) {
    std::int64_t raw = 0;
    this->archive(raw);
    value = TimePoint{Duration{raw}};
  }
  void Get(std::string& value) {
    value.clear();
    for (std::uint64_t left = this->GetSize(); left > 0;) {
      const auto step = std::min<std::uint64_t>(left, kReadChunkBytes);
      const std::size_t old = value.size();
      value.resize(old + step);
      this->archive(cereal::binary_data(value.data() + old, step));
      left -= step;
    }
  }
  template <class T>
  void Get(std::vector<T>& values) {
    values.clear();
    for (std::uint64_t left = this->GetSize(); left > 0; --left)
      this->Get(values.emplace_back());
  }
  template <std::size_t kIndex = 0>
  void GetAlternative(Rumour& rumour, std::size_t index) {
    if constexpr (kIndex < std::variant_size_v<Rumour>) {
      if (index != kIndex)
        return this->GetAlternative<kIndex + 1>(rumour, index);
      this->Get(rumour.emplace<kIndex>());
    } else {
      throw cereal::Exception("unknown rumour");
    }
  }
  void Get(Rumour& rumour) {
    std::uint8_t index = 0;
    this->archive(index);
    this->GetAlternative(rumour, index);
  }
  template <class T>
  requires std::is_class_v<T>
  void Get(T& value) { Fields(*this, value); }

  cereal::PortableBinaryInputArchive archive;
};

}  // namespace teaselspread::wire

namespace teaselspread {

// Lets one Fields function both write (const T&) and read (T&).
template <class Codec, class T>
using FieldsOf = std::conditional_t<Codec::kWriting, const T, T>&;

template <class C>
void Fields(C& codec, FieldsOf<C, Address> value) {
  codec(value.host, value.port);
}
template <class C>
void Fields(C& codec, FieldsOf<C, Announcement> value) {
  codec(value.service, value.version, value.ready_since);
  codec.Enum(value.state, UpstreamState::kLeaving);
  codec.NonNegative(value.slots);
  codec.NonNegative(value.connections);
}
template <class C>
void Fields(C& codec, FieldsOf<C, Member> value) {
  codec(value.id, value.data_center, value.control, value.http);
  codec(value.incarnation, value.held, value.upstream);
  codec.Enum(value.status, MemberStatus::kLeft);
}
template <class C>
void Fields(C& codec, FieldsOf<C, Accusation> value) {
  codec(value.id, value.incarnation, value.accuser);
  codec.Enum(value.status, MemberStatus::kLeft);
}
template <class C>
void Fields(C& codec, FieldsOf<C, OpaqueRumour> value) {
  codec(value.key, value.version, value.body, value.expires);
  codec.Enum(value.topic, Topic::kMoveReport);
}
template <class C>
void Fields(C& codec, FieldsOf<C, Sender> value) {
  codec(value.id, value.incarnation, value.control);
  codec(value.held, value.log_age_ms);
}
template <class C>
void Fields(C& codec, FieldsOf<C, ConfigUpdate> value) {
  codec(value.version, value.parent, value.digest, value.full, value.body);
}
template <class C>
void Fields(C& codec, FieldsOf<C, SpeakerAddress> value) {
  codec(value.id, value.control);
}
template <class C>
void Fields(C& codec, FieldsOf<C, Ping> value) {
  codec(value.from, value.sequence, value.target, value.rumours);
}
template <class C>
void Fields(C& codec, FieldsOf<C, PingRequest> value) {
  codec(value.from, value.sequence, value.target, value.target_address,
        value.rumours);
}
template <class C>
void Fields(C& codec, FieldsOf<C, Ack> value) {
  codec(value.from, value.sequence, value.target, value.rumours);
}
template <class C>
void Fields(C& codec, FieldsOf<C, Nack> value) {
  codec(value.from, value.sequence);
}
template <class C>
void Fields(C& codec, FieldsOf<C, Gossip> value) {
  codec(value.from, value.rumours);
}
template <class C>
void Fields(C& codec, FieldsOf<C, StateExchange> value) {
  codec(value.from, value.reply_wanted, value.buckets, value.members,
        value.rumours);
}
template <class C>
void Fields(C& codec, FieldsOf<C, StateDigest> value) {
  codec(value.from, value.reply_wanted, value.digests);
}
template <class C>
void Fields(C& codec, FieldsOf<C, Push> value) {
  codec(value.from, value.update);
}
template <class C>
void Fields(C& codec, FieldsOf<C, PushAck> value) {
  codec(value.from, value.version);
}
template <class C>
void Fields(C& codec, FieldsOf<C, PullRequest> value) {
  codec(value.from, value.have);
}
template <class C>
void Fields(C& codec, FieldsOf<C, PullReply> value) {
  codec(value.from, value.updates);
}
template <class C>
void Fields(C& codec, FieldsOf<C, PullBusy> value) {
  codec(value.from, value.retry_after_ms);
}
template <class C>
void Fields(C& codec, FieldsOf<C, RecordHeld> value) {
  codec(value.from, value.version);
}
template <class C>
void Fields(C& codec, FieldsOf<C, RecordAck> value) {
  codec(value.from, value.version);
}
template <class C>
void Fields(C& codec, FieldsOf<C, FloorQuery> value) {
  codec(value.from, value.sequence);
}
template <class C>
void Fields(C& codec, FieldsOf<C, FloorReply> value) {
  codec(value.from, value.sequence, value.floor);
  codec.Enum(value.vouch, Vouch::kNewVm);
}
template <class C>
void Fields(C& codec, FieldsOf<C, VersionNotice> value) {
  codec(value.from, value.data_center, value.sequence, value.reply,
        value.speakers);
}
template <class C>
void Fields(C& codec, FieldsOf<C, ModuleFrame> value) {
  codec(value.from, value.body);
  codec.Enum(value.module, Module::kClaims);
}

}  // namespace teaselspread

#endif  // TEASELSPREAD_SRC_WIRE_CODEC_H_
