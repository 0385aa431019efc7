#include "teaselspread/order_readers.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <string>
#include <vector>

namespace teaselspread {
namespace {

// Number of readers among the nodes `names`, which all have links to each
// other, without those in `cut_off`, which reported a failed call to the store.
int CountReaders(const std::vector<std::string>& names,
                 const std::vector<std::string>& cut_off) {
  const auto is_lost = [&](const std::string& name) {
    return std::find(cut_off.begin(), cut_off.end(), name) != cut_off.end();
  };
  int readers = 0;
  for (const std::string& self : names) {
    std::vector<ReaderPeer> peers;
    for (const std::string& name : names) {
      if (name != self)
        peers.push_back({name, is_lost(name)});
    }
    const bool reads = RoleOf({self}, peers) != ReaderRole::kNonReader;
    readers += reads && !is_lost(self) ? 1 : 0;
  }
  return readers;
}

Test(order_readers, two_of_a_data_centre_read) {
  cr_assert_eq(CountReaders({"a", "b", "c", "d", "e"}, {}), 2);
  cr_assert_eq(CountReaders({"a"}, {}), 1);
}

// The readers are cut off from the store, and report it. Unless others take
// their place the whole data centre keeps an old configuration.
Test(order_readers, others_take_the_place_of_those_without_a_store) {
  cr_assert_eq(CountReaders({"a", "b", "c", "d"}, {"a"}), 2);
  cr_assert_eq(CountReaders({"a", "b", "c", "d"}, {"a", "b"}), 2);
  cr_assert_eq(CountReaders({"a", "b", "c", "d"}, {"a", "b", "c"}), 1);
}

// When no node reaches the store, some node has to detect its recovery.
Test(order_readers, one_that_lost_the_store_goes_on_trying) {
  cr_assert(RoleOf({"a"}, std::vector<ReaderPeer>{{"b", true}, {"c", true}}) ==
            ReaderRole::kFirst);
}

// Guards against a data centre that gets its configuration late since the first
// by name has little bandwidth: it reads every change whole and forwards it.
Test(order_readers, the_nodes_with_the_most_bandwidth_read) {
  const std::vector<ReaderPeer> peers = {
      {"b", false, 10}, {"c", false, 200}, {"d", false, 200}, {"e", false, 0}};
  cr_assert(RoleOf({"a", false, 10}, peers) == ReaderRole::kNonReader);
  cr_assert(RoleOf({"a", false, 200}, peers) == ReaderRole::kFirst);
  cr_assert(RoleOf({"f", false, 1000}, peers) == ReaderRole::kFirst);
  cr_assert(RoleOf({"cc", false, 200}, peers) == ReaderRole::kSecond);
  cr_assert(RoleOf({"a", false, 0}, peers) == ReaderRole::kNonReader);
}

// With the others cut off from the store a node with low bandwidth has to read.
Test(order_readers, a_node_with_low_bandwidth_reads_if_no_other_can) {
  const std::vector<ReaderPeer> peers = {
      {"b", false, 10}, {"c", true, 200}, {"d", true, 200}};
  cr_assert(RoleOf({"a", false, 10}, peers) == ReaderRole::kFirst);
}

Test(order_readers, the_first_asks_again_before_the_second) {
  cr_assert(ReadWaitOf(ReaderRole::kFirst) < ReadWaitOf(ReaderRole::kSecond));
}

}  // namespace
}  // namespace teaselspread
