#include <criterion/criterion.h>

#include <string>

#include "process/fleet.h"

namespace teaselspread {
namespace {

constexpr char kBase[] = R"(deployment: test
data_centers: [dc-0, dc-1, dc-2, dc-3]
services: {registry-desk: {version: v1}}
routes:
  case-index: {service: registry-desk, method: GET, path_prefix: /cases}
)";

double Appends(const Fleet& fleet) {
  const HttpResponse page = CallOnce(fleet.LogControl(), "GET", "/metrics");
  if (page.status != 200)
    return -1;
  return YAML::Load(page.body)["appends"]["total"].as<double>();
}

// Each data centre chooses claim holders among nodes that the others have not
// heard of yet. Readers that took such a holder for gone replaced it, and the
// next reader replaced theirs: the epoch changed several times a second for as
// long as the system ran, filings were answered "unknown", and the log was
// read 45 times a second by an idle deployment.
Test(epoch, the_holders_of_claims_come_to_rest) {
  Fleet fleet("test");
  for (int i = 0; i < 20; ++i)
    fleet.Add("dc-" + std::to_string(i % 4), "registry-desk", "v1");
  for (std::size_t i = 0; i < fleet.size(); ++i)
    fleet.StartNode(fleet.At(i));
  cr_assert(fleet.Publish(fleet.WriteConfig(kBase)).exit_code == 0);
  cr_assert(
      WaitUntil([&] { return fleet.AllHold(1); }, std::chrono::seconds(30)));
  double seen = Appends(fleet);
  auto since = std::chrono::steady_clock::now();
  cr_assert(WaitUntil(
      [&] {
        const double now = Appends(fleet);
        if (now != seen) {
          seen = now;
          since = std::chrono::steady_clock::now();
        }
        return std::chrono::steady_clock::now() - since >
               std::chrono::seconds(6);
      },
      std::chrono::seconds(40)));
}

}  // namespace
}  // namespace teaselspread
