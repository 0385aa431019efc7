// Node discovery: each node writes a record of itself into the store and reads
// those of the others. Of two nodes the one that wrote later sees the other's
// record and opens a link, which introduces it to the other. So one read after
// its own write is enough for every pair of nodes to know each other.
#include <chrono>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <absl/strings/str_split.h>

#include "base/clock.h"
#include "edge/edge_node.h"
#include "edge/node_list.h"
#include "teaselspread/backoff.h"
#include "teaselspread/logging.h"
#include "teaselspread/settings.h"

namespace teaselspread {
namespace {

// Delay after a failed call, so that the retries of a deployment whose nodes
// all start at once do not use up the store's rate limit.
constexpr std::chrono::milliseconds kRetryDelay{500};
// The records are read again at this interval, in case a link could not be
// established when another node started.
constexpr std::chrono::seconds kReadInterval{60};
// A node without the roster asks others for it from this time after its start.
constexpr std::chrono::milliseconds kNodeListRequestAfter{500};
// Shorter interval while no link to another node is connected.
constexpr std::chrono::seconds kIsolatedReadInterval{3};

std::string RecordOf(const Hello& self) {
  return self.data_center + " " + ToString(self.link);
}

// None for a record that has been removed or has another format.
std::optional<Hello> HelloOf(const StoredRecord& record) {
  const std::vector<std::string> parts = absl::StrSplit(record.value, ' ');
  if (parts.size() != 2)
    return std::nullopt;
  const auto address = ParseAddress(parts[1]);
  if (!address)
    return std::nullopt;
  return Hello{record.key, parts[0], *address};
}

void ScheduleTask(EdgeNode& node,
                  std::chrono::milliseconds wait,
                  void (*task)(EdgeNode& node)) {
  node.roster_timer.expires_after(wait);
  node.roster_timer.async_wait([&node, task](boost::system::error_code error) {
    if (!error)
      task(node);
  });
}

void ReadRoster(EdgeNode& node);

bool IsIsolated(const EdgeNode& node) {
  for (const auto& [name, peer] : node.links.Peers()) {
    if (peer.connected)
      return false;
  }
  return true;
}

void ReadPage(EdgeNode& node, const std::string& after) {
  node.adapter.store.read_newest(
      RecordStream::kNodes, after, [&node](const RecordPage& page) {
        if (page.outcome != StoreOutcome::kOk) {
          Log(LogLevel::kWarning, "roster", "read-failed",
              {{"outcome", NameOf(page.outcome)}});
          ScheduleTask(node, kRetryDelay, ReadRoster);
          return;
        }
        for (const StoredRecord& record : page.records) {
          if (const auto hello = HelloOf(record)) {
            AddNode(node, *hello, NodeSource::kRecord);
          }
        }
        if (page.has_more && !page.records.empty()) {
          ReadPage(node, page.records.back().key);
          return;
        }
        node.quota.OnRosterKnown();
        const bool isolated = IsIsolated(node);
        ScheduleTask(node, isolated ? kIsolatedReadInterval : kReadInterval,
                     ReadRoster);
      });
}

// The nodes that this one knows, with itself.
std::vector<Hello> ListNodes(const EdgeNode& node) {
  std::vector<Hello> nodes = {node.links.self};
  for (const auto& [name, peer] : node.links.Peers()) {
    if (node.quota.CountsNode(name))
      nodes.push_back({name, peer.data_center, peer.link, peer.line_mbit});
  }
  return nodes;
}

void ReadRoster(EdgeNode& node) {
  ReadPage(node, "");
}

void Register(EdgeNode& node) {
  const StoredRecord record{node.settings.vm, RecordOf(node.links.self)};
  node.adapter.store.append(RecordStream::kNodes, record, std::nullopt,
                            [&node](const AppendResult& result) {
                              if (result.outcome != StoreOutcome::kOk) {
                                Log(LogLevel::kWarning, "roster",
                                    "register-failed",
                                    {{"outcome", NameOf(result.outcome)}});
                                ScheduleTask(node, kRetryDelay, Register);
                                return;
                              }
                              Log(LogLevel::kInfo, "roster", "registered",
                                  {{"link", ToString(node.links.self.link)}});
                              ReadRoster(node);
                            });
}

}  // namespace

void StartRoster(EdgeNode& node) {
  Register(node);
}

void RequestNodeListIfMissing(EdgeNode& node) {
  if (node.quota.IsRosterKnown() ||
      SteadyNow() - node.started < kNodeListRequestAfter)
    return;
  std::vector<std::string> nodes;
  for (const auto& [name, peer] : node.links.Peers()) {
    if (peer.connected)
      nodes.push_back(name);
  }
  if (nodes.empty())
    return;
  std::uniform_int_distribution<std::size_t> any(0, nodes.size() - 1);
  (void)node.links.RequestTokens(nodes[any(node.rng)], NodeListRequest());
}

void SendNodeList(EdgeNode& node, const std::string& to) {
  if (!node.quota.IsRosterKnown())
    return;
  const std::vector<Hello> nodes = ListNodes(node);
  Log(LogLevel::kInfo, "roster", "list-sent",
      {{"node", to}, {"nodes", nodes.size()}});
  node.links.SendToCaller(to, PackNodeList(nodes));
}

// The address of a node that is known may be newer than that in the list.
void OnNodeList(EdgeNode& node,
                const std::string& from,
                const std::vector<Hello>& nodes) {
  if (node.quota.IsRosterKnown())
    return;
  Log(LogLevel::kInfo, "roster", "list-received",
      {{"node", from},
       {"nodes", nodes.size()},
       {"after_ms",
        (SteadyNow() - node.started) / std::chrono::milliseconds(1)}});
  for (const Hello& listed : nodes) {
    if (node.links.Find(listed.node) == nullptr)
      AddNode(node, listed, NodeSource::kRecord);
  }
  node.quota.OnRosterKnown();
}

}  // namespace teaselspread
