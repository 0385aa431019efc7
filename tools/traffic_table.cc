// Adds up the traffic that the nodes of a deployment log: frames and bytes on
// links by kind, and calls of the store by purpose. Reads log lines from
// standard input; lines of other events are ignored.
//
//   traffic_table < nodes.log
#include <cstdint>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_split.h>

namespace {

using Fields = std::map<std::string, std::string>;

Fields FieldsOf(const std::string& line) {
  Fields fields;
  const std::vector<std::string> parts = absl::StrSplit(line, ' ');
  for (const std::string& part : parts) {
    const std::vector<std::string> pair =
        absl::StrSplit(part, absl::MaxSplits('=', 1));
    if (pair.size() == 2)
      fields[pair[0]] = pair[1];
  }
  return fields;
}

// A counter that a node logs. It starts at zero again when the node restarts.
struct LoggedCounter {
  std::uint64_t last = 0;
  std::uint64_t before_restarts = 0;

  void Update(std::uint64_t value) {
    if (value < this->last)
      this->before_restarts += this->last;
    this->last = value;
  }
  [[nodiscard]] std::uint64_t Total() const {
    return this->before_restarts + this->last;
  }
};

// By what is counted, then by node.
using Table = std::map<std::string, std::map<std::string, LoggedCounter>>;

void AddFields(Table& table,
               const Fields& fields,
               const std::string& label,
               std::initializer_list<const char*> names) {
  const auto vm = fields.find("vm");
  const auto row = fields.find(label);
  if (vm == fields.end() || row == fields.end())
    return;
  for (const char* name : names) {
    std::uint64_t value = 0;
    const auto field = fields.find(name);
    if (field != fields.end() && absl::SimpleAtoi(field->second, &value))
      table[row->second + " " + name][vm->second].Update(value);
  }
}

void AddLine(Table& table, const std::string& line) {
  const bool is_traffic = line.find(" event=traffic ") != std::string::npos;
  const bool is_calls = line.find(" event=calls ") != std::string::npos;
  if (!is_traffic && !is_calls)
    return;
  const Fields fields = FieldsOf(line);
  if (is_traffic) {
    AddFields(table, fields, "frame",
              {"near_frames", "near_bytes", "far_frames", "far_bytes"});
    AddFields(table, fields, "topic", {"sends"});
  } else {
    AddFields(table, fields, "call", {"count"});
  }
}

void Print(const Table& table) {
  std::cout << absl::StreamFormat("%-32s %6s %14s\n", "what", "nodes", "total");
  for (const auto& [what, by_node] : table) {
    std::uint64_t total = 0;
    for (const auto& [node, counter] : by_node)
      total += counter.Total();
    std::cout << absl::StreamFormat("%-32s %6d %14d\n", what, by_node.size(),
                                    total);
  }
}

}  // namespace

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage("traffic_table < nodes.log");
  absl::ParseCommandLine(argc, argv);
  Table table;
  std::string line;
  while (std::getline(std::cin, line))
    AddLine(table, line);
  Print(table);
  return 0;
}
