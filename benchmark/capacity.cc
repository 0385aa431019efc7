// The slopes and the table of docs/CAPACITY.md: what each role of a node costs
// against the sizes that it depends on, and what that gives at the size of the
// users' first letter. JSON lines first, then a table in Markdown.
//
//   build/capacity                  (some minutes; starts up to 60 nodes)
//   build/capacity --fleet=         (without processes)
#include <cstdio>
#include <string>
#include <vector>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/strings/numbers.h>

#include "capacity_config.h"
#include "capacity_fit.h"
#include "capacity_fleet.h"
#include "capacity_links.h"
#include "capacity_members.h"
#include "capacity_moves.h"
#include "capacity_operator.h"
#include "capacity_requests.h"

ABSL_FLAG(std::vector<std::string>,
          fleet,
          std::vector<std::string>({"8", "16", "32", "60"}),
          "numbers of node processes; empty for none");
ABSL_FLAG(int, data_centers, 2, "data centres that the processes stand in");
ABSL_FLAG(int, seconds, 10, "length of a run of the processes");

int main(int argc, char** argv) {
  using namespace teaselspread::capacity;
  absl::ParseCommandLine(argc, argv);
  std::vector<int> sizes;
  for (const std::string& text : absl::GetFlag(FLAGS_fleet)) {
    int size = 0;
    if (absl::SimpleAtoi(text, &size))
      sizes.push_back(size);
  }
  Rows rows;
  MeasureMemberState(rows);
  MeasureMemberTraffic(rows);
  MeasureHolding(rows);
  MeasureFolding(rows);
  const double row_bytes = MeasureMoves(rows);
  MeasureEvidenceTraffic(rows, row_bytes);
  MeasureRouting(rows);
  MeasureClaims(rows);
  MeasureClaimTicks(rows);
  MeasureLinks(rows);
  MeasureOperator(rows);
  const bool good = sizes.empty() ||
                    MeasureFleet(rows, sizes, absl::GetFlag(FLAGS_data_centers),
                                 absl::GetFlag(FLAGS_seconds));
  PrintTable(rows);
  return good ? 0 : 1;
}
