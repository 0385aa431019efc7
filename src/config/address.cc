#include <arpa/inet.h>

#include <array>

#include "base/text.h"
#include "config/yaml.h"
#include "teaselspread/settings.h"

namespace teaselspread {

Result<Address> ParseAddress(std::string_view text) {
  const auto invalid = Fail(
      ErrorKind::kSettings,
      Concat("expected an IP number and a port such as 10.0.0.1:8080, got ",
             Quoted(text)));
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos)
    return invalid;
  std::string host(text.substr(0, colon));
  const bool bracketed =
      host.size() > 2 && host.front() == '[' && host.back() == ']';
  if (bracketed)
    host = host.substr(1, host.size() - 2);
  std::array<unsigned char, sizeof(in6_addr)> number{};
  if (inet_pton(bracketed ? AF_INET6 : AF_INET, host.c_str(), number.data()) !=
      1) {
    return invalid;
  }
  const auto port = ParseNumberText<std::uint16_t>(text.substr(colon + 1));
  if (!port || *port == 0)
    return invalid;
  return Address{std::move(host), *port};
}

std::string ToString(const Address& address) {
  const bool is_v6 = address.host.find(':') != std::string::npos;
  return is_v6 ? Concat("[", address.host, "]:", address.port)
               : Concat(address.host, ":", address.port);
}

}  // namespace teaselspread
