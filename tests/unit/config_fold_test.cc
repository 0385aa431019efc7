#include <criterion/criterion.h>

#include "teaselspread/config_log.h"

namespace teaselspread {
namespace {

constexpr const char* kBase = R"(
deployment: addis
data_centers: [bole, piassa]
services:
  registry-desk: {version: v1}
routes:
  case-index: {service: registry-desk, method: GET, path_prefix: /cases}
)";

Document Load(const std::string& bole) {
  auto document =
      LoadSources({{"base.yaml", kBase}, {{"bole", {"bole.yaml", bole}}}});
  cr_assert(document.has_value(), "%s", document.error().message.c_str());
  return std::move(*document);
}

Test(config_fold, a_publish_is_accepted_and_its_offset_is_the_version) {
  const Document first = Load("");
  const Document second = Load("services: {registry-desk: {queue_limit: 9}}");
  FoldState state;
  FoldResult result =
      Fold(state, 1, EncodeRecord(MakeChange(state, first, "one")));
  cr_assert(result.reason == FoldReason::kAccepted);
  result = Fold(state, 2, EncodeRecord(MakeChange(state, second, "two")));
  cr_assert(result.reason == FoldReason::kAccepted);
  cr_assert(state.head == 2);
  cr_assert(state.document == second);
  cr_assert(result.step->from == 1 && result.step->to == 2);
  cr_assert(ApplyDelta(first, result.step->delta) == second);
  const auto bole = Render(state.document, "bole", state.head);
  cr_assert((*bole)->services.at("registry-desk").queue_limit == 9);
  const auto piassa = Render(state.document, "piassa", state.head);
  cr_assert((*piassa)->services.at("registry-desk").queue_limit == 64);
}

}  // namespace
}  // namespace teaselspread
