// The umbrella header: everything that the library offers.
#ifndef TEASELSPREAD_TEASELSPREAD_H_
#define TEASELSPREAD_TEASELSPREAD_H_

#include "teaselspread/counters.h"
#include "teaselspread/error.h"
#include "teaselspread/kernel.h"
#include "teaselspread/logging.h"
#include "teaselspread/member.h"
#include "teaselspread/snapshot.h"
#include "teaselspread/types.h"

#endif  // TEASELSPREAD_TEASELSPREAD_H_
