// Runs a loop until something has happened. Tests only.
#ifndef TEASELSPREAD_TESTS_CONTRACT_RUN_UNTIL_H_
#define TEASELSPREAD_TESTS_CONTRACT_RUN_UNTIL_H_

#include <chrono>
#include <functional>

#include <boost/asio/io_context.hpp>

namespace teaselspread {

// Whether `condition` came to hold within 10 s.
inline bool RunUntil(boost::asio::io_context& io,
                     const std::function<bool()>& condition) {
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
  while (!condition() && std::chrono::steady_clock::now() < end)
    io.run_for(std::chrono::milliseconds(5));
  return condition();
}

}  // namespace teaselspread

#endif  // TEASELSPREAD_TESTS_CONTRACT_RUN_UNTIL_H_
