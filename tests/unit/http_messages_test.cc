#include "teaselspread/http.h"

#include <criterion/criterion.h>

#include <string>

namespace teaselspread {
namespace {

Test(http_messages, headers_are_found_in_any_case) {
  HttpHeaders headers = {{"x-request-id", "a"}, {"X-REQUEST-ID", "b"}};
  cr_assert(FindHeader(headers, kHeaderRequestId) == "a");
  SetHeader(headers, kHeaderRequestId, "c");
  cr_assert(headers == (HttpHeaders{{"X-Request-Id", "c"}}));
  cr_assert(FindHeader(headers, "X-Other").empty());
}

// A header that frames one connection goes on to the next hop. There it would
// promise a length or chunks that the new message does not have.
Test(http_messages, hop_headers_do_not_travel) {
  HttpHeaders headers = {{"content-length", "3"},
                         {"Transfer-Encoding", "chunked"},
                         {"Connection", "close"},
                         {"Idempotency-Key", "k"}};
  RemoveHopHeaders(headers);
  cr_assert(headers == (HttpHeaders{{"Idempotency-Key", "k"}}));
}

Test(http_messages, targets_split_into_path_and_query) {
  HttpRequest request;
  request.target = "/moves/a?wait=5&all&name=x=y";
  cr_assert(PathOf(request) == "/moves/a");
  cr_assert(QueryOf(request, "wait") == "5");
  cr_assert(QueryOf(request, "all").empty());
  cr_assert(QueryOf(request, "name") == "x=y");
  cr_assert(QueryOf(request, "ait").empty());
}

// A refused caller decides by the answer alone whether it may send again, so
// each kind must carry what the table says.
Test(http_messages, every_error_answer_follows_the_table) {
  for (int i = 0; i < static_cast<int>(ErrorKind::kCount); ++i) {
    const ErrorTraits& row = TraitsOf(static_cast<ErrorKind>(i));
    const HttpResponse response =
        ErrorResponse({row.kind, "why"}, std::chrono::seconds(7));
    cr_assert(response.status == row.http_status);
    cr_assert(FindHeader(response.headers, kHeaderReason) == row.name);
    cr_assert(FindHeader(response.headers, kHeaderExecution) ==
              NameOf(row.execution));
    cr_assert(FindHeader(response.headers, kHeaderRetryAfter) ==
              (row.retry_after ? "7" : ""));
  }
}

// Requests fill the memory and all wait for some more for their answers: none
// would ever end, and every caller would time out.
Test(http_messages, requests_leave_memory_for_answers) {
  const MemoryBudgetPtr budget(new MemoryBudget(100));
  cr_assert(!budget->Take(BudgetUse::kRequest, 51));
  cr_assert(budget->Take(BudgetUse::kRequest, 50));
  cr_assert(!budget->Take(BudgetUse::kRequest, 1));
  cr_assert(budget->Take(BudgetUse::kAnswer, 50));
  cr_assert(!budget->Take(BudgetUse::kAnswer, 1));
  budget->Give(BudgetUse::kRequest, 50);
  cr_assert(budget->Take(BudgetUse::kAnswer, 50));
  cr_assert(budget->Used() == 100);
}

// Guards against large bodies that leave no memory to small requests.
Test(http_messages, large_requests_leave_memory_to_small_ones) {
  constexpr std::size_t kMiB = std::size_t{1} << 20U;
  const MemoryBudgetPtr budget(new MemoryBudget(64 * kMiB));
  cr_assert(!budget->Take(BudgetUse::kRequest, 29 * kMiB));
  cr_assert(budget->Take(BudgetUse::kRequest, 28 * kMiB));
  cr_assert(!budget->Take(BudgetUse::kRequest, kMiB));
  BudgetHold small(budget, BudgetUse::kRequest);
  cr_assert(small.GrowTo(64U << 10));
  cr_assert(!small.GrowTo(kMiB));
  budget->Give(BudgetUse::kRequest, 28 * kMiB);
}

// Guards against a node that may hold more than its VM has, and against one
// that can hold nothing on a small VM.
Test(http_messages, bodies_take_what_the_vm_leaves) {
  constexpr std::size_t kMb = 1'000'000;
  cr_assert(BodyMemoryOf(160 * kMb) == 96 * kMb);
  cr_assert(BodyMemoryOf(0) == 16U << 20);
  cr_assert(BodyMemoryOf(64'000 * kMb) == 256U << 20);
}

}  // namespace
}  // namespace teaselspread
