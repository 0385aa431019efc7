// Bodies that are sent behind their frame and received in its memory.
#include "edge/frames.h"

#include <criterion/criterion.h>

#include <string>

namespace teaselspread {
namespace {

RunFrame RunWithBody(const std::string& body) {
  RunFrame run;
  run.call_id = 7;
  run.route = "r-load";
  run.request.method = "POST";
  run.request.target = "/load/x";
  run.request.headers = {{"X-Request-Id", "q"}};
  run.body = MakeRequestBody(body);
  return run;
}

std::string WithoutLength(const std::string& bytes) {
  return bytes.substr(kFrameLengthBytes);
}

// Guards against a node of another release, which sends bodies in their frame
// and closes a link on other bytes.
Test(frames_body, a_body_apart_gives_the_same_bytes) {
  for (const std::size_t bytes : {0, 1, 127, 128, 100'000}) {
    const std::string body(bytes, 'b');
    RunFrame inside = RunWithBody("");
    inside.request.body = body;
    const RunFrame apart = RunWithBody(body);
    cr_assert(EncodeLinkFrame(apart) == EncodeLinkFrame(inside));
    cr_assert(EncodeWithoutBody(apart) + body == EncodeLinkFrame(inside));
  }
}

Test(frames_body, a_frame_in_its_own_memory_is_the_same) {
  const std::string body(200'000, 'b');
  const auto run =
      DecodeOwnedLinkFrame(WithoutLength(EncodeLinkFrame(RunWithBody(body))));
  cr_assert(run.has_value());
  cr_assert(std::get<RunFrame>(*run).request.body == body);
  cr_assert(std::get<RunFrame>(*run).request.target == "/load/x");
  ResultFrame result;
  result.call_id = 9;
  result.response.body = body;
  const auto got = DecodeOwnedLinkFrame(WithoutLength(EncodeLinkFrame(result)));
  cr_assert(got.has_value());
  cr_assert(std::get<ResultFrame>(*got).response.body == body);
  cr_assert_eq(std::get<ResultFrame>(*got).call_id, 9U);
  const auto ping =
      DecodeOwnedLinkFrame(WithoutLength(EncodeLinkFrame(PingFrame{3})));
  cr_assert(ping.has_value());
  cr_assert_eq(std::get<PingFrame>(*ping).sequence, 3U);
}

// Guards against a frame whose body has another length than it says, which
// would give the upstream a part of the body or bytes of the frame.
Test(frames_body, a_body_of_another_length_is_refused) {
  const std::string bytes =
      WithoutLength(EncodeLinkFrame(RunWithBody(std::string(500, 'b'))));
  cr_expect(!DecodeOwnedLinkFrame(bytes + "x").has_value());
  for (std::size_t length = 0; length < bytes.size(); ++length)
    cr_expect(!DecodeOwnedLinkFrame(bytes.substr(0, length)).has_value());
}

}  // namespace
}  // namespace teaselspread
