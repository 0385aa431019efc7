// Limits on the time that requests may wait at a gate.
#ifndef TEASELSPREAD_WAITING_SETTINGS_H_
#define TEASELSPREAD_WAITING_SETTINGS_H_

namespace teaselspread {

struct WaitingSettings {
  // How far past its aim a queued request may be expected to end, as a fraction
  // of the time from its aim to its deadline. Under sustained overload a queue
  // as long as deadlines allow makes every response late; a short one has the
  // same throughput, responds in time and refuses the rest at once.
  double late_part = 0.0;
  // Maximum expected wait, as a fraction of the time from now to the latest
  // start that meets the aim. More urgent requests overtake, and run times
  // vary: if the whole time were allowed, nearly all queued requests would end
  // just after their aim under sustained overload.
  double wait_part = 0.5;
  // Long requests leave the slots free that urgent ones need (slot_reserve.h).
  bool reserve_slots = false;
};

}  // namespace teaselspread

#endif  // TEASELSPREAD_WAITING_SETTINGS_H_
