#include "edge/frames.h"

#include <array>
#include <istream>
#include <sstream>
#include <tuple>
#include <utility>

#include <boost/iostreams/device/array.hpp>
#include <boost/iostreams/stream.hpp>

#include "edge/status_notes.h"
#include "teaselspread/upstream_speed.h"
#include "wire/codec.h"

namespace teaselspread {

template <class C>
void Fields(C& codec, FieldsOf<C, HttpHeader> value) {
  codec(value.name, value.value);
}
template <class C>
void Fields(C& codec, FieldsOf<C, TrialCounters> value) {
  codec(value.instance, value.route, value.of_new_version, value.runs,
        value.bad);
  codec(value.slow, value.timed, value.total_ms);
}
template <class C>
void Fields(C& codec, FieldsOf<C, TrialStatus> value) {
  codec(value.service, value.to, value.reported, value.moved, value.age_ms);
  codec(value.duration_ms, value.incarnation, value.counters);
  codec.Enum(value.progress, MoveProgress::kRolledBack);
}
template <class C>
void Fields(C& codec, FieldsOf<C, SuspectNote> value) {
  codec(value.fingerprint, value.origin, value.crashes, value.cleared,
        value.remaining_minutes);
}
template <class C>
void Fields(C& codec, FieldsOf<C, ShortageReport> value) {
  codec(value.service, value.requests, value.refused);
  codec.Enum(value.priority, Priority::kBackground);
}
template <class C>
void Fields(C& codec, FieldsOf<C, CallReport> value) {
  codec(value.route, value.service);
}
template <class C>
void Fields(C& codec, FieldsOf<C, RouteTime> value) {
  codec(value.route, value.mean_ms);
}
template <class C>
void Fields(C& codec, FieldsOf<C, LoadFrame> value) {
  codec(value.running, value.waiting, value.queued_ms);
}
template <class C>
void Fields(C& codec, FieldsOf<C, Hello> value) {
  codec(value.node, value.data_center, value.link, value.line_mbit);
}
template <class C>
void Fields(C& codec, FieldsOf<C, Status> value) {
  codec(value.parts);
  auto& status = value.status;
  if (Has(value, StatusPart::kUpstream)) {
    codec(status.instance, status.service, status.version, status.slots);
    codec(status.warm_up_ms, status.held_version, status.store_unavailable);
    codec.Enum(status.state, LeaseState::kLost);
  }
  if (Has(value, StatusPart::kLoad))
    codec(status.running, status.waiting, status.queued_ms);
  if (Has(value, StatusPart::kTimes)) {
    codec(status.mean_ms);
    if constexpr (C::kWriting) {
      codec(TimesWithNotes(status));
    } else {
      codec(status.route_times);
      TakeNotes(status);
    }
  }
  if (Has(value, StatusPart::kMoves))
    codec(status.trial_statuses);
  if (Has(value, StatusPart::kSuspects))
    codec(status.suspects);
  if (Has(value, StatusPart::kDemand))
    codec(status.shortages, status.calls);
}
template <class C>
void Fields(C& codec, FieldsOf<C, RunFrame> value) {
  codec(value.call_id, value.route, value.priority, value.idempotent);
  codec(value.deadline_ms, value.aim_ms, value.instance);
  codec(value.request.method, value.request.target, value.request.headers);
  if constexpr (C::kWriting)
    codec.Tail(BodyOf(value));
  else
    codec.Tail(value.request.body);
}
template <class C>
void Fields(C& codec, FieldsOf<C, ResultFrame> value) {
  codec(value.call_id, value.has_response, value.retry_after_ms,
        value.upstream_time_us);
  codec(value.load);
  codec.Enum(value.error, ErrorKind::kInternal);
  codec.Enum(value.execution, Execution::kUnknown);
  codec.NonNegative(value.response.status);
  codec(value.response.headers);
  codec.Tail(value.response.body);
}
template <class C>
void Fields(C& codec, FieldsOf<C, CancelFrame> value) {
  codec(value.call_id);
}
template <class C>
void Fields(C& codec, FieldsOf<C, PingFrame> value) {
  codec(value.sequence);
}
template <class C>
void Fields(C& codec, FieldsOf<C, PongFrame> value) {
  codec(value.sequence);
}
template <class C>
void Fields(C& codec, FieldsOf<C, ConfigRequest> value) {
  codec(value.digest);
}
template <class C>
void Fields(C& /*codec*/, FieldsOf<C, ConfigBusy> /*value*/) {}
template <class C>
void Fields(C& codec, FieldsOf<C, SpeedFrame> value) {
  codec(value.percent);
  if constexpr (!C::kWriting) {
    if (value.percent < kMinWorkPercent || value.percent > kMaxWorkPercent)
      throw cereal::Exception("speed out of range");
  }
}
template <class C>
void Fields(C& codec, FieldsOf<C, ConfigFrame> value) {
  codec(value.version, value.key, value.base_digest, value.digest,
        value.size_bytes);
  codec(value.packed);
}

// Bounds what a peer may send. The fields are written unchecked: their values
// come from this node.
template <class C>
void CheckAtMost(std::uint32_t value, std::uint32_t maximum) {
  if constexpr (!C::kWriting) {
    if (value > maximum)
      throw cereal::Exception("value too large");
  }
}

template <class C>
void Fields(C& codec, FieldsOf<C, TokenRequest> value) {
  codec(value.sequence, value.account, value.wanted, value.unspent);
  CheckAtMost<C>(value.wanted, kMaxTokensPerFrame);
  CheckAtMost<C>(value.unspent, kMaxTokensPerFrame);
}
template <class C>
void Fields(C& codec, FieldsOf<C, TokenGrantFrame> value) {
  codec(value.sequence, value.is_lender, value.tokens, value.retry_after_ms);
  CheckAtMost<C>(value.tokens, kMaxTokensPerFrame);
  CheckAtMost<C>(value.retry_after_ms, kMaxQuotaRetryMs);
}
template <class C>
void Fields(C& /*codec*/, FieldsOf<C, LeavingFrame> /*value*/) {}

namespace {

namespace io = boost::iostreams;

constexpr unsigned kBitsPerByte = 8;

template <std::size_t kIndex = 0>
void ReadAlternative(wire::Reader& reader,
                     std::size_t index,
                     LinkFrame& frame) {
  if constexpr (kIndex < std::variant_size_v<LinkFrame>) {
    if (index != kIndex) {
      ReadAlternative<kIndex + 1>(reader, index, frame);
      return;
    }
    reader(frame.emplace<kIndex>());
  } else {
    throw cereal::Exception("unknown frame");
  }
}

// The string that ends the frame; null if none does.
std::string* TailOf(LinkFrame& frame) {
  if (auto* run = std::get_if<RunFrame>(&frame))
    return &run->request.body;
  if (auto* result = std::get_if<ResultFrame>(&frame))
    return &result->response.body;
  return nullptr;
}

// The tail's bytes are not written if `detaches_tail`, but its length counts.
std::string Encode(const LinkFrame& frame, bool detaches_tail) {
  std::ostringstream stream;
  constexpr std::array<char, kFrameLengthBytes> kNoLength{};
  stream.write(kNoLength.data(), kNoLength.size());
  std::size_t detached = 0;
  {
    wire::Writer writer(stream);
    writer.detaches_tail = detaches_tail;
    writer(static_cast<std::uint8_t>(frame.index()));
    std::visit([&writer](const auto& value) { writer(value); }, frame);
    detached = writer.detached_tail_bytes;
  }
  std::string bytes = std::move(stream).str();
  auto length =
      static_cast<std::uint32_t>(bytes.size() + detached - kFrameLengthBytes);
  for (std::size_t i = kFrameLengthBytes; i-- > 0; length >>= kBitsPerByte)
    bytes[i] = static_cast<char>(length & 0xFFU);
  return bytes;
}

// Reads `frame` but for its tail, and returns the tail's length.
std::size_t ReadBeforeTail(std::string_view bytes, LinkFrame& frame) {
  io::stream<io::array_source> stream(bytes.data(), bytes.size());
  wire::Reader reader(stream);
  reader.leaves_tail = true;
  std::uint8_t index = 0;
  reader(index);
  ReadAlternative(reader, index, frame);
  const auto at = static_cast<std::uint64_t>(stream.tellg());
  if (bytes.size() - at != reader.left_tail_bytes)
    throw cereal::Exception("another length than the frame's");
  return reader.left_tail_bytes;
}

}  // namespace

std::uint8_t ChangedParts(const GateStatus& a, const GateStatus& b) {
  std::uint8_t parts = 0;
  const auto add = [&parts](StatusPart part, bool changed) {
    parts |= changed ? static_cast<std::uint8_t>(part) : 0;
  };
  add(StatusPart::kUpstream,
      std::tie(a.instance, a.service, a.version, a.state, a.slots, a.warm_up_ms,
               a.held_version, a.store_unavailable) !=
          std::tie(b.instance, b.service, b.version, b.state, b.slots,
                   b.warm_up_ms, b.held_version, b.store_unavailable));
  add(StatusPart::kLoad, std::tie(a.running, a.waiting, a.queued_ms) !=
                             std::tie(b.running, b.waiting, b.queued_ms));
  add(StatusPart::kTimes,
      std::tie(a.mean_ms, a.route_times, a.limit_per_second, a.process_stamp) !=
          std::tie(b.mean_ms, b.route_times, b.limit_per_second,
                   b.process_stamp));
  add(StatusPart::kMoves, a.trial_statuses != b.trial_statuses);
  add(StatusPart::kSuspects, std::tie(a.suspects, a.relayed_suspects) !=
                                 std::tie(b.suspects, b.relayed_suspects));
  add(StatusPart::kDemand,
      std::tie(a.shortages, a.calls) != std::tie(b.shortages, b.calls));
  return parts;
}

void ApplyStatus(GateStatus& known, Status frame) {
  GateStatus old = std::exchange(known, std::move(frame.status));
  if (!Has(frame, StatusPart::kUpstream)) {
    known.instance = std::move(old.instance);
    known.service = std::move(old.service);
    known.version = std::move(old.version);
    known.state = old.state;
    known.slots = old.slots;
    known.warm_up_ms = old.warm_up_ms;
    known.held_version = old.held_version;
    known.store_unavailable = old.store_unavailable;
  }
  if (!Has(frame, StatusPart::kLoad)) {
    known.running = old.running;
    known.waiting = old.waiting;
    known.queued_ms = old.queued_ms;
  }
  if (!Has(frame, StatusPart::kTimes)) {
    known.mean_ms = old.mean_ms;
    known.route_times = std::move(old.route_times);
    known.limit_per_second = old.limit_per_second;
    known.process_stamp = old.process_stamp;
  }
  if (!Has(frame, StatusPart::kMoves))
    known.trial_statuses = std::move(old.trial_statuses);
  if (!Has(frame, StatusPart::kSuspects))
    known.suspects = std::move(old.suspects);
  if (!Has(frame, StatusPart::kDemand)) {
    known.shortages = std::move(old.shortages);
    known.calls = std::move(old.calls);
  }
}

std::string_view NameOf(FrameKind kind) {
  static constexpr std::array<std::string_view,
                              static_cast<std::size_t>(FrameKind::kCount)>
      kNames = {"hello",       "status",  "run",         "result",
                "cancel",      "ping",    "pong",        "config-ask",
                "config",      "load",    "config-busy", "token-request",
                "token-grant", "leaving", "speed"};
  return kNames.at(static_cast<std::size_t>(kind));
}

std::string EncodeLinkFrame(const LinkFrame& frame) {
  return Encode(frame, false);
}

std::string EncodeWithoutBody(const RunFrame& frame) {
  return Encode(frame, true);
}

Result<LinkFrame> DecodeLinkFrame(std::string_view bytes) {
  try {
    io::stream<io::array_source> stream(bytes.data(), bytes.size());
    wire::Reader reader(stream);
    std::uint8_t index = 0;
    reader(index);
    LinkFrame frame;
    ReadAlternative(reader, index, frame);
    if (stream.peek() != std::istream::traits_type::eof())
      return Fail(ErrorKind::kFrameMalformed, "bytes after the frame");
    return frame;
  } catch (const cereal::Exception& error) {
    return Fail(ErrorKind::kFrameMalformed, error.what());
  }
}

std::optional<FrameCall> CallOf(std::string_view bytes) {
  try {
    io::stream<io::array_source> stream(bytes.data(), bytes.size());
    wire::Reader reader(stream);
    std::uint8_t index = 0;
    std::uint64_t call = 0;
    reader(index, call);
    const auto kind = static_cast<FrameKind>(index);
    if (kind != FrameKind::kRun && kind != FrameKind::kResult)
      return std::nullopt;
    return FrameCall{kind, call};
  } catch (const cereal::Exception&) {
    return std::nullopt;
  }
}

Result<LinkFrame> DecodeOwnedLinkFrame(std::string bytes) {
  try {
    LinkFrame frame;
    const std::size_t tail_bytes = ReadBeforeTail(bytes, frame);
    if (std::string* tail = TailOf(frame)) {
      bytes.erase(0, bytes.size() - tail_bytes);
      *tail = std::move(bytes);
    }
    return frame;
  } catch (const cereal::Exception& error) {
    return Fail(ErrorKind::kFrameMalformed, error.what());
  }
}

}  // namespace teaselspread
