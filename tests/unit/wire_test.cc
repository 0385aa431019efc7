#include "teaselspread/wire.h"

#include <criterion/criterion.h>

#include <array>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <xxhash.h>

namespace teaselspread {
namespace {

Sender SomeSender() {
  return {"vm-1", 77, {"10.0.0.1", 7000}, 42, 350};
}

Member SomeMember() {
  Member member;
  member.id = "vm-2";
  member.data_center = "bole";
  member.control = {"10.0.0.2", 7000};
  member.http = {"10.0.0.2", 8000};
  member.incarnation = 99;
  member.status = MemberStatus::kSuspect;
  member.held = 41;
  member.upstream = {"registry-desk",
                     "v2",
                     UpstreamState::kWarming,
                     15,
                     130,
                     TimePoint{std::chrono::seconds(9)}};
  return member;
}

std::vector<Message> OneOfEach() {
  const Sender from = SomeSender();
  const std::vector<Rumour> rumours = {
      SomeMember(), Accusation{"vm-3", 5, MemberStatus::kDead, "vm-1"},
      OpaqueRumour{Topic::kCrashSuspect, "key", 3, "body"}};
  return {Ping{from, 1, "vm-2", rumours},
          PingRequest{from, 2, "vm-3", {"10.0.0.3", 7000}, rumours},
          Ack{from, 3, "vm-2", rumours},
          Nack{from, 4},
          Gossip{from, rumours},
          StateExchange{from, true, 5, {SomeMember()}, {}},
          StateDigest{from, true, {1, 2, 3}},
          Push{from, {7, 6, 8, false, "delta"}},
          PushAck{from, 7},
          PullRequest{from, 5},
          PullReply{from, {{7, 0, 8, true, std::string(100000, 'x')}}},
          PullBusy{from, 250},
          RecordHeld{from, 7},
          RecordAck{from, 7},
          FloorQuery{from, 9},
          FloorReply{from, 9, Vouch::kRecorded, 7},
          VersionNotice{from, "bole", 4, true, {{"vm-1", from.control}}},
          ModuleFrame{from, Module::kClaims, std::string("\0\xff body", 7)}};
}

// A frame with a valid header for any payload, as a hostile peer would send.
std::string FrameWithPayload(std::uint8_t kind, const std::string& payload) {
  std::string frame = Encode(Nack{SomeSender(), 1});
  frame.resize(kFrameHeaderBytes);
  frame[5] = static_cast<char>(kind);
  for (unsigned i = 0; i < 4; ++i)
    frame[6 + i] = static_cast<char>(payload.size() >> (8 * i));
  const std::uint64_t checksum = XXH3_64bits(payload.data(), payload.size());
  for (unsigned i = 0; i < 8; ++i)
    frame[10 + i] = static_cast<char>(checksum >> (8 * i));
  return frame + payload;
}

Test(wire, every_kind_survives_a_round_trip) {
  const std::vector<Message> messages = OneOfEach();
  cr_assert(messages.size() == kMessageKinds);
  for (const Message& message : messages) {
    const std::string frame = Encode(message);
    const Result<Message> decoded = Decode(frame);
    cr_assert(decoded.has_value(), "%s", KindOf(message).data());
    cr_assert(decoded->index() == message.index());
    cr_assert(SenderOf(*decoded) == SomeSender());
    cr_assert(Encode(*decoded) == frame);
  }
}

// A network device corrupts or truncates a packet, or a node of another release
// sends it. Decode must return the matching error: an accepted frame could
// change which members count as alive.
Test(wire, damaged_frames_are_refused_with_the_right_kind) {
  const std::string good = Encode(OneOfEach().front());
  struct Row {
    const char* name;
    std::string frame;
    ErrorKind kind;
  };
  const auto changed = [&good](std::size_t at, char value) {
    std::string frame = good;
    frame[at] = value;
    return frame;
  };
  const std::array rows = {
      Row{"empty", "", ErrorKind::kFrameMalformed},
      Row{"half a header", good.substr(0, 9), ErrorKind::kFrameMalformed},
      Row{"header only", good.substr(0, kFrameHeaderBytes),
          ErrorKind::kFrameMalformed},
      Row{"one byte short", good.substr(0, good.size() - 1),
          ErrorKind::kFrameMalformed},
      Row{"one byte long", good + 'x', ErrorKind::kFrameMalformed},
      Row{"magic", changed(0, 'X'), ErrorKind::kFrameMalformed},
      Row{"format", changed(4, 9), ErrorKind::kFrameVersion},
      Row{"unknown kind", changed(5, 99), ErrorKind::kFrameMalformed},
      Row{"length", changed(6, 1), ErrorKind::kFrameMalformed},
      Row{"checksum", changed(10, 'x'), ErrorKind::kFrameMalformed},
      Row{"payload", changed(good.size() - 1, 'x'), ErrorKind::kFrameMalformed},
      Row{"wrong kind for the payload", FrameWithPayload(10, good.substr(18)),
          ErrorKind::kFrameMalformed},
  };
  for (const Row& row : rows) {
    const Result<Message> decoded = Decode(row.frame);
    cr_assert(!decoded.has_value(), "%s", row.name);
    cr_assert(decoded.error().kind == row.kind, "%s", row.name);
  }
  const std::string text = Decode(changed(4, 9)).error().message;
  cr_assert(text.find("format 9") != std::string::npos);
  cr_assert(text.find("format 1") != std::string::npos);
}

// Random bytes with a valid checksum must neither crash the node nor make it
// allocate as much as a random length field says.
Test(wire, random_payloads_are_values_or_errors) {
  Rng rng(7);
  for (int round = 0; round < 20000; ++round) {
    std::string payload(rng() % 200, '\0');
    for (char& byte : payload)
      byte = static_cast<char>(rng());
    if (!payload.empty())
      payload[0] = 1;
    const auto kind = static_cast<std::uint8_t>(rng() % (kMessageKinds + 2));
    const Result<Message> decoded = Decode(FrameWithPayload(kind, payload));
    cr_assert(decoded || decoded.error().kind == ErrorKind::kFrameMalformed);
    cr_assert(!Decode(payload).has_value());
  }
  // A string that claims 2^62 bytes.
  const std::string huge = "\x01\xff\xff\xff\xff\xff\xff\xff\xff\x3f";
  cr_assert(!Decode(FrameWithPayload(3, huge)).has_value());
}

Test(wire, bit_flips_of_every_kind_are_refused) {
  for (const Message& message : OneOfEach()) {
    std::string frame = Encode(message);
    frame.resize(std::min<std::size_t>(frame.size(), 400));
    const std::string whole = Encode(message);
    for (std::size_t bit = 0; bit < frame.size() * 8; ++bit) {
      std::string flipped = whole;
      flipped[bit / 8] = static_cast<char>(flipped[bit / 8] ^ (1 << (bit % 8)));
      const Result<Message> decoded = Decode(flipped);
      // The checksum doesn't cover the kind byte; another kind may parse only
      // if its payload has the same layout.
      cr_assert(!decoded || bit / 8 == 5);
    }
  }
}

Test(wire, streams_are_cut_into_frames_at_any_split) {
  Rng rng(3);
  std::string bytes;
  for (const Message& message : OneOfEach())
    bytes += Encode(message);
  FrameReader reader;
  std::size_t seen = 0;
  for (std::size_t at = 0; at < bytes.size();) {
    const std::size_t step =
        std::min<std::size_t>(1 + rng() % 3000, bytes.size() - at);
    reader.Append(std::string_view(bytes).substr(at, step));
    at += step;
    for (;;) {
      const Result<std::optional<Message>> next = reader.Next();
      cr_assert(next.has_value());
      if (!*next)
        break;
      cr_assert((*next)->index() == seen++);
    }
  }
  cr_assert(seen == kMessageKinds);
}

// A peer announces a frame of gigabytes and sends it slowly: the reader must
// refuse it at the header instead of buffering it until memory is exhausted.
Test(wire, a_stream_frame_above_the_maximum_is_refused_at_its_header) {
  const std::string frame = Encode(OneOfEach()[10]);
  FrameReader reader(1000);
  reader.Append(std::string_view(frame).substr(0, kFrameHeaderBytes));
  const Result<std::optional<Message>> next = reader.Next();
  cr_assert(!next.has_value());
  cr_assert(next.error().kind == ErrorKind::kFrameMalformed);
}

}  // namespace
}  // namespace teaselspread
