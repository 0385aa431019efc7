// The account of moves for operators: their state as far as this node knows,
// and what it does not know.
#ifndef TEASELSPREAD_MOVE_ACCOUNT_H_
#define TEASELSPREAD_MOVE_ACCOUNT_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "teaselspread/moves.h"
#include "teaselspread/snapshot.h"
#include "teaselspread/types.h"
#include "teaselspread/verdict.h"

namespace teaselspread {

enum class AccountState : std::uint8_t {
  kWaiting,
  kRunning,
  // `by` has passed and the move has not ended.
  kLate,
  // The verdict is done, but a data centre is unreachable or has not reported
  // that it knows the verdict: it may still roll the move back.
  kUnconfirmed,
  kDone,
  kRolledBack,
  kCount,
};

// Stable names for the text and JSON forms. Thread safe.
[[nodiscard]] std::string_view NameOf(AccountState state);

// One data centre in the account of one move.
struct AccountDataCenter {
  std::string name;
  // If false, the figures are the last ones received, if any.
  bool reachable = false;
  bool reported = false;
  DataCenterReport report;
};

struct AccountRow {
  std::string move;
  std::string service;
  std::string from;
  std::string to;
  AccountState state = AccountState::kWaiting;
  TimePoint start;
  TimePoint by;
  // Time until `by`; negative if it has passed.
  Duration time_left{0};
  std::vector<AccountDataCenter> data_centers;
  VerdictReason reason = VerdictReason::kNone;
  // One or more sentences for operators.
  std::string explanation;
  // What this node does not know, one sentence each.
  std::vector<std::string> unknown;
};

// One row for each move of the snapshot, ordered by start. A row is kDone only
// if every data centre is reachable and has reported that it knows the verdict.
// Not thread safe.
[[nodiscard]] std::vector<AccountRow> MakeAccount(const MovesState& state,
                                                  const Snapshot& snapshot,
                                                  const MoveCapacity& capacity,
                                                  TimePoint now);

// Plain text, one block of lines for each move. Thread safe.
[[nodiscard]] std::string FormatAccountText(
    const std::vector<AccountRow>& account);

// One JSON array. Times are seconds since the epoch. Thread safe.
[[nodiscard]] std::string FormatAccountJson(
    const std::vector<AccountRow>& account);

}  // namespace teaselspread

#endif  // TEASELSPREAD_MOVE_ACCOUNT_H_
