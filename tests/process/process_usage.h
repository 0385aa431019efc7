// What a process that a test or a benchmark has started uses, as the kernel
// tells it. Tests and benchmarks only.
#ifndef TEASELSPREAD_TESTS_PROCESS_PROCESS_USAGE_H_
#define TEASELSPREAD_TESTS_PROCESS_PROCESS_USAGE_H_

#include <sys/types.h>
#include <unistd.h>

#include <algorithm>
#include <cstddef>
#include <fstream>
#include <iterator>
#include <sstream>
#include <string>

namespace teaselspread {

// Resident bytes of a process; 0 if it has ended. Thread safe.
inline std::size_t ResidentBytes(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/statm");
  std::size_t total = 0;
  std::size_t resident = 0;
  file >> total >> resident;
  return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

// Seconds of processor time that a process has used; 0 if it has ended. Thread
// safe.
inline double ProcessorSeconds(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
  std::string text((std::istreambuf_iterator<char>(file)), {});
  constexpr int kFieldsBeforeUserTime = 11;
  std::istringstream fields(
      text.substr(std::min(text.rfind(')') + 1, text.size())));
  std::string skipped;
  for (int i = 0; i < kFieldsBeforeUserTime; ++i)
    fields >> skipped;
  double user = 0;
  double system = 0;
  fields >> user >> system;
  return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

}  // namespace teaselspread

#endif  // TEASELSPREAD_TESTS_PROCESS_PROCESS_USAGE_H_
