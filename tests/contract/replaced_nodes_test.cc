// Nodes whose VMs are gone, and whose addresses other nodes have got.
#include "edge/links.h"

#include <criterion/criterion.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "contract/run_until.h"

namespace teaselspread {
namespace {

constexpr std::uint64_t kCall = 7;

// Nodes on one loop, each with the links that it keeps.
struct Nodes {
  boost::asio::io_context io;
  std::map<std::string, std::unique_ptr<Links>> running;
  // What the node "a-1" was told: nodes that were replaced, with those in their
  // place, links that were lost, and calls that were lost.
  std::vector<std::pair<std::string, std::string>> replaced;
  std::vector<std::string> links_lost;
  CallIds calls_lost;

  Nodes() { this->Start("a-1", {"127.0.0.1", 0}); }

  LinkHandlers HandlersOf(const std::string& name) {
    LinkHandlers on;
    on.on_status = [](const std::string&, bool, std::uint8_t) {};
    on.on_hello = [](const Hello&) {};
    on.on_caller_disconnected = [](FrameSocket*) {};
    on.on_link_lost = [](const std::string&) {};
    on.on_run = [](FrameSocket*, const RunFrame&) {};
    if (name != "a-1")
      return on;
    on.on_link_lost = [this](const std::string& node) {
      this->links_lost.push_back(node);
    };
    on.on_calls_lost = [this](const std::string&, const CallIds& calls) {
      this->calls_lost = calls;
    };
    on.on_node_replaced = [this](const std::string& node, const Hello& by) {
      this->replaced.emplace_back(node, by.node);
      this->Self().Add(by, NodeSource::kHello);
    };
    return on;
  }

  // Returns the address of the node.
  Address Start(const std::string& name, const Address& at) {
    auto links = std::make_unique<Links>(this->io, this->HandlersOf(name));
    links->self = {name, "a", {}, 100};
    const auto bound = links->Listen(at);
    cr_assert(bound.has_value());
    this->running[name] = std::move(links);
    return *bound;
  }

  void Stop(const std::string& name) { this->running.erase(name); }

  Links& Self() { return *this->running.at("a-1"); }

  bool IsConnected(const std::string& name) {
    const Peer* peer = this->Self().Find(name);
    return peer != nullptr && peer->connected;
  }

  bool RunUntil(const std::function<bool()>& condition) {
    return teaselspread::RunUntil(this->io, condition);
  }

  // Starts "b-1", and "c-9" in its place once "a-1" has a link to it.
  Address ReplaceLinked() {
    Address at = this->Start("b-1", {"127.0.0.1", 0});
    this->Self().Add({"b-1", "a", at}, NodeSource::kRecord);
    cr_assert(this->RunUntil([this] { return this->IsConnected("b-1"); }));
    this->Stop("b-1");
    this->Start("c-9", at);
    return at;
  }
};

// Guards against a node that is gone and counts as connected for ever, because
// another one answers at its address: it would be chosen to read the operators'
// orders, to judge moves or to lend tokens, and nobody would.
Test(replaced_nodes, a_node_that_is_gone_is_not_connected) {
  Nodes nodes;
  nodes.ReplaceLinked();
  cr_assert(nodes.RunUntil([&] { return nodes.IsConnected("c-9"); }));
  cr_assert(nodes.Self().Find("b-1") == nullptr);
  cr_assert(nodes.replaced.size() == 1);
  const auto& [gone, by] = nodes.replaced[0];
  cr_assert(gone == "b-1" && by == "c-9");
  cr_assert(nodes.links_lost == std::vector<std::string>{"b-1"});
}

// The same for a node that a record names, and that this one never reached.
Test(replaced_nodes, a_node_known_from_a_record_alone_is_not_connected) {
  Nodes nodes;
  const Address at = nodes.Start("c-9", {"127.0.0.1", 0});
  nodes.Self().Add({"b-1", "a", at}, NodeSource::kRecord);
  cr_assert(nodes.RunUntil([&] { return nodes.IsConnected("c-9"); }));
  cr_assert(nodes.Self().Find("b-1") == nullptr);
}

// Guards against a node that takes itself for another one, whose address it has
// got and whose record is still in the store.
Test(replaced_nodes, a_node_does_not_count_a_former_one_at_its_own_address) {
  Nodes nodes;
  nodes.Self().Add({"b-1", "a", nodes.Self().self.link}, NodeSource::kRecord);
  cr_assert(
      nodes.RunUntil([&] { return nodes.Self().Find("b-1") == nullptr; }));
  cr_assert(nodes.Self().Peers().empty());
}

// Guards against a link that is not found silent yet and outlives the node at
// its other end, though the node that has the address now was reached.
Test(replaced_nodes, a_link_ends_when_another_node_has_its_address) {
  Nodes nodes;
  const Address at = nodes.Start("b-1", {"127.0.0.1", 0});
  nodes.Self().Add({"b-1", "a", at}, NodeSource::kRecord);
  cr_assert(nodes.RunUntil([&] { return nodes.IsConnected("b-1"); }));
  RunFrame run;
  run.call_id = kCall;
  cr_assert(nodes.Self().Run("b-1", run));
  // Its connections stay open, as those to a VM without power do.
  nodes.running.at("b-1")->BeginStop();
  nodes.Start("c-9", at);
  nodes.Self().Add({"c-9", "a", at}, NodeSource::kHello);
  cr_assert(nodes.RunUntil([&] { return nodes.IsConnected("c-9"); }));
  cr_assert(nodes.Self().Find("b-1") == nullptr);
  cr_assert(nodes.calls_lost == CallIds{kCall});
}

// Guards against a node that the store's page or another node's list brings
// back each time that it is read.
Test(replaced_nodes, a_record_does_not_bring_a_node_back) {
  Nodes nodes;
  const Address at = nodes.ReplaceLinked();
  cr_assert(nodes.RunUntil([&] { return nodes.IsConnected("c-9"); }));
  nodes.Self().Add({"b-1", "a", at}, NodeSource::kRecord);
  cr_assert(nodes.Self().Find("b-1") == nullptr);
}

// Guards against a sound node that is never reached again, because another one
// had its name or its address for a time.
Test(replaced_nodes, a_node_comes_back_at_its_old_address_or_at_a_new_one) {
  Nodes nodes;
  const Address at = nodes.ReplaceLinked();
  cr_assert(nodes.RunUntil([&] { return nodes.IsConnected("c-9"); }));
  const Address moved = nodes.Start("b-1", {"127.0.0.1", 0});
  nodes.Self().Add({"b-1", "a", moved}, NodeSource::kRecord);
  cr_assert(nodes.RunUntil([&] { return nodes.IsConnected("b-1"); }));
  nodes.Stop("b-1");
  nodes.Stop("c-9");
  nodes.Start("b-1", at);
  nodes.Self().Add({"b-1", "a", at}, NodeSource::kHello);
  cr_assert(nodes.RunUntil([&] { return nodes.IsConnected("b-1"); }));
  cr_assert(nodes.Self().Find("b-1")->link == at);
  cr_assert(
      nodes.RunUntil([&] { return nodes.Self().Find("c-9") == nullptr; }));
}

// Guards against two nodes that swap their addresses and are taken for each
// other.
Test(replaced_nodes, two_nodes_may_swap_their_addresses) {
  Nodes nodes;
  const Address first = nodes.Start("b-1", {"127.0.0.1", 0});
  const Address second = nodes.Start("b-2", {"127.0.0.1", 0});
  nodes.Self().Add({"b-1", "a", first}, NodeSource::kRecord);
  nodes.Self().Add({"b-2", "a", second}, NodeSource::kRecord);
  const auto both_connected = [&] {
    return nodes.IsConnected("b-1") && nodes.IsConnected("b-2");
  };
  cr_assert(nodes.RunUntil(both_connected));
  nodes.Stop("b-1");
  nodes.Stop("b-2");
  nodes.Start("b-1", second);
  nodes.Start("b-2", first);
  nodes.Self().Add({"b-1", "a", second}, NodeSource::kHello);
  nodes.Self().Add({"b-2", "a", first}, NodeSource::kHello);
  cr_assert(nodes.RunUntil(both_connected));
  cr_assert(nodes.Self().Find("b-1")->link == second);
  cr_assert(nodes.Self().Find("b-2")->link == first);
}

// Guards against a sound link that ends because a record is older than it.
Test(replaced_nodes, a_record_of_a_former_address_leaves_a_link_alone) {
  Nodes nodes;
  const Address at = nodes.Start("b-1", {"127.0.0.1", 0});
  const Address former = nodes.Start("c-9", {"127.0.0.1", 0});
  nodes.Self().Add({"b-1", "a", at}, NodeSource::kHello);
  cr_assert(nodes.RunUntil([&] { return nodes.IsConnected("b-1"); }));
  nodes.Self().Add({"b-1", "a", former}, NodeSource::kRecord);
  cr_assert(nodes.IsConnected("b-1"));
  cr_assert(nodes.links_lost.empty());
}

// Guards against nodes that rank each other differently because those that know
// one from the store do not know its bandwidth.
Test(replaced_nodes, the_bandwidth_comes_with_the_link) {
  Nodes nodes;
  const Address at = nodes.Start("b-1", {"127.0.0.1", 0});
  nodes.Self().Add({"b-1", "a", at}, NodeSource::kRecord);
  cr_assert(nodes.RunUntil([&] { return nodes.IsConnected("b-1"); }));
  cr_assert(nodes.Self().Find("b-1")->line_mbit == 100);
}

}  // namespace
}  // namespace teaselspread
