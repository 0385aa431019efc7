// Which nodes of a data centre read the operators' stream from the store.
//
// A call costs the store and its owners the same whoever makes it, so two nodes
// of each data centre read and the others are told over their links. One reader
// alone would leave its data centre without news while it is cut off from the
// store.
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
  // Others of the data centre read.
  kNonReader,
  // Reads, and asks again at long intervals while nothing is new.
  kSecond,
  // Reads, and asks again often enough to notice a store that fell silent.
  kFirst,
};

// "told", "second" or "first". Thread safe.
[[nodiscard]] std::string_view NameOf(ReaderRole role);

// Another node of the own data centre that a link reaches.
struct ReaderPeer {
  std::string_view node;
  // Its last call to the store failed, or it is about to stop.
  bool store_lost = false;
  // What its line carries, in Mbit/s; 0 when that is not known.
  std::uint32_t line_mbit = 0;
};

// Of those that may reach the store the two with the widest lines read, the
// first by name among equals: a reader takes in each change whole and hands it
// on. A node that lost the store is not counted by the others, and goes on
// trying while it would be a reader itself. Thread safe.
[[nodiscard]] ReaderRole RoleOf(const ReaderPeer& self,
                                std::span<const ReaderPeer> peers);

// How long a read of a reader waits for news. A store or a connection that
// falls silent is noticed after it, so the first reader's bounds how late the
// data centre hears of a change made meanwhile.
[[nodiscard]] Duration ReadWaitOf(ReaderRole role);

}  // namespace teaselspread

#endif  // TEASELSPREAD_ORDER_READERS_H_
