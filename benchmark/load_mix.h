// What the load generator sends, and where to.
#ifndef TEASELSPREAD_BENCHMARK_LOAD_MIX_H_
#define TEASELSPREAD_BENCHMARK_LOAD_MIX_H_

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <yaml-cpp/yaml.h>

#include "teaselspread/http.h"
#include "teaselspread/types.h"

namespace teaselspread {

struct RequestKind {
  std::string method = "GET";
  std::string path = "/";
  std::size_t body_bytes = 0;
  double weight = 1;
  // Carries a new Idempotency-Key each time.
  bool keyed = false;
  // Sent this many times with one key, as by a caller who saw no answer.
  int times = 1;
  // Bytes that the stand-in is asked for by ?bytes=N; the answer is compared.
  std::size_t answer_bytes = 0;
  HttpHeaders headers;
};

// "host:port,host:port"; ends the process when it is anything else.
inline std::vector<Address> AddressesOf(const std::string& text) {
  std::vector<Address> addresses;
  for (const auto& part : absl::StrSplit(text, ',', absl::SkipEmpty())) {
    const std::string item(part);
    const std::size_t colon = item.rfind(':');
    int port = 0;
    if (colon == std::string::npos ||
        !absl::SimpleAtoi(item.substr(colon + 1), &port)) {
      std::cerr << "not host:port: " << item << "\n";
      std::exit(2);
    }
    addresses.push_back(
        {item.substr(0, colon), static_cast<std::uint16_t>(port)});
  }
  return addresses;
}

inline RequestKind KindOf(const YAML::Node& node) {
  RequestKind kind;
  kind.method = node["method"].as<std::string>(kind.method);
  kind.path = node["path"].as<std::string>(kind.path);
  kind.body_bytes = node["body_bytes"].as<std::size_t>(0);
  kind.weight = node["weight"].as<double>(1);
  kind.keyed = node["keyed"].as<bool>(false);
  kind.times = node["times"].as<int>(1);
  kind.answer_bytes = node["answer_bytes"].as<std::size_t>(0);
  if (kind.answer_bytes > 0)
    absl::StrAppend(&kind.path, "?bytes=", kind.answer_bytes);
  for (const auto& header : node["headers"])
    kind.headers.push_back(
        {header.first.as<std::string>(), header.second.as<std::string>()});
  return kind;
}

// From a YAML list; throws YAML::Exception when it is none.
inline std::vector<RequestKind> MixOf(const std::string& text) {
  std::vector<RequestKind> kinds;
  for (const YAML::Node& node : YAML::Load(text))
    kinds.push_back(KindOf(node));
  return kinds;
}

// The bytes that the upstream stand-in makes of a request's id.
inline std::string Pattern(const std::string& id, std::size_t bytes) {
  std::string text;
  while (text.size() < bytes)
    text.append(id).push_back('.');
  text.resize(bytes);
  return text;
}

}  // namespace teaselspread

#endif  // TEASELSPREAD_BENCHMARK_LOAD_MIX_H_
