#include <criterion/criterion.h>

#include "teaselspread/verdict.h"

namespace teaselspread {
namespace {

// After a move has ended its evidence is dropped and the next report counts
// nothing. The account must still show the counters behind the verdict, not
// "0 of 0".
Test(moves_report, figures_stay_once_the_evidence_is_dropped) {
  DataCenterReport full;
  full.move = "m";
  full.data_center = "bole";
  full.reported_at = TimePoint(std::chrono::seconds(10));
  full.new_runs = 900;
  full.new_failures = 2;
  full.old_runs = 400;
  full.old_failures = 1;
  DataCenterReport empty = full;
  empty.reported_at = TimePoint(std::chrono::seconds(20));
  empty.new_runs = 0;
  empty.new_failures = 0;
  empty.old_runs = 0;
  empty.old_failures = 0;
  for (const DataCenterReport& joined :
       {JoinReports(full, empty), JoinReports(empty, full)}) {
    cr_assert(joined.reported_at == empty.reported_at);
    cr_assert(joined.new_runs == 900);
    cr_assert(joined.new_failures == 2);
    cr_assert(joined.old_runs == 400);
    cr_assert(joined.old_failures == 1);
  }
}

}  // namespace
}  // namespace teaselspread
