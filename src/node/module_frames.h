// Frames of modules that need no format of their own inside the wire format.
#ifndef TEASELSPREAD_NODE_MODULE_FRAMES_H_
#define TEASELSPREAD_NODE_MODULE_FRAMES_H_

#include <string>

#include "teaselspread/types.h"
#include "teaselspread/wire.h"

namespace teaselspread {

// From spread to a module: a module frame came in.
struct ModuleBody {
  Sender from;
  std::string body;
};

// To spread: send this to one or two speakers of every other data centre.
struct ToOtherDataCenters {
  Module module = Module::kMoves;
  std::string body;
};

}  // namespace teaselspread

#endif  // TEASELSPREAD_NODE_MODULE_FRAMES_H_
