// Requests that a caller sends on one connection before it has the responses to
// earlier ones, through real nodes.
#include "contract/raw_socket.h"
#include "process/edge_fleet.h"

#include <criterion/criterion.h>

#include <string>

namespace teaselspread {
namespace {

using Ms = std::chrono::milliseconds;

constexpr Ms kDeadline{600};

std::string MakeGet(const std::string& path, const std::string& id) {
  return "GET " + path + " HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Request-Id: " + id +
         "\r\nX-Deadline-Ms: " + std::to_string(kDeadline.count()) + "\r\n\r\n";
}

// An upstream never responds to the first request. The caller gives up at its
// deadline and closes the connection, and with it the requests behind, unless
// it has a final response before.
Test(pipelining, a_request_that_hangs_does_not_take_those_behind_it_along) {
  standin::StoreService& store = *new standin::StoreService;
  store.Put("keyed.op", "config", ConfigText("00000001"));
  EdgeVm vm("a-1", "a", {"i-a1", "desk"}, store.Port());
  cr_assert(WaitUntil([&] {
    return SendRequest(vm, "GET", "/view/1", "settle").status == 200;
  }));
  vm.upstream.HangOn("/view/hang");
  const RawSocket caller = RawSocket::ConnectTo(vm.ports.outbound);
  cr_assert(caller.Send(MakeGet("/view/hang", "hangs") +
                        MakeGet("/view/1", "behind")));
  const std::string bytes = caller.ReadUntil([](const std::string& got) {
    return got.find("signed-behind") != std::string::npos;
  });
  const std::size_t first = bytes.find("HTTP/1.1 504");
  const std::size_t second = bytes.find("HTTP/1.1 200");
  cr_assert(first == 0 && second != std::string::npos, "%s", bytes.c_str());
  // That the response comes in time follows from the time that the upstream was
  // given: a limit on the test's own clock would fail on a busy machine.
  for (const standin::MeshRun& run : vm.upstream.Runs()) {
    if (run.id == "hangs")
      cr_assert_leq(std::stoi(run.deadline), kDeadline.count() - 20, "%s",
                    run.deadline.c_str());
  }
}

}  // namespace
}  // namespace teaselspread
