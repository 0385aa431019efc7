// Selects the nodes of a data centre that read the operators' stream from the
// store.
//
// A call costs the store and its owners the same from any node, so two nodes of
// each data centre read and send the changes to the others over their links.
// With one reader alone, its data centre would receive no change while it is
// cut off from the store.
//
// Pure: the caller passes everything in. Thread safe.
#ifndef TEASELSPREAD_ORDER_READERS_H_
#define TEASELSPREAD_ORDER_READERS_H_

#include <cstdint>
#include <span>
#include <string_view>

#include "teaselspread/types.h"

namespace teaselspread {

enum class ReaderRole : std::uint8_t {
  // Does not read; others of the data centre do.
  kNonReader,
  // Reads; while nothing is new, queries again at long intervals.
  kSecond,
  // Reads; queries again often enough to detect an unresponsive store.
  kFirst,
};

// "told", "second" or "first". Thread safe.
[[nodiscard]] std::string_view NameOf(ReaderRole role);

// Another node of the same data centre that a link reaches.
struct ReaderPeer {
  std::string_view node;
  // Its last call to the store failed, or it is about to stop.
  bool store_unavailable = false;
  // Its bandwidth in Mbit/s; 0 when unknown.
  std::uint32_t line_mbit = 0;
};

// Of the nodes that may reach the store the two with the most bandwidth read,
// the first by name among equals: a reader receives each change whole and
// forwards it. A node without access to the store is not counted by the
// others, and keeps trying while it would be a reader itself. Thread safe.
[[nodiscard]] ReaderRole RoleOf(const ReaderPeer& self,
                                std::span<const ReaderPeer> peers);

// How long a reader's read waits for new records. An unresponsive store or
// connection is detected after it, so the first reader's wait bounds how late
// the data centre receives a change made meanwhile.
[[nodiscard]] Duration ReadWaitOf(ReaderRole role);

}  // namespace teaselspread

#endif  // TEASELSPREAD_ORDER_READERS_H_
