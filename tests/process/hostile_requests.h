// Requests of clients that misuse a door, and the machine that they meet. Tests
// only.
#ifndef TEASELSPREAD_TESTS_PROCESS_HOSTILE_REQUESTS_H_
#define TEASELSPREAD_TESTS_PROCESS_HOSTILE_REQUESTS_H_

#include <sys/resource.h>

#include <algorithm>
#include <cstddef>
#include <cstdio>
#include <cstdlib>
#include <string>

#include "process/hostile_client.h"

namespace teaselspread {

// Memory of each node's machine, in MB; most have the least.
inline std::size_t MachineMb() {
  constexpr std::size_t kLeastMb = 160;
  const char* set = std::getenv("TEASELSPREAD_MACHINE_MB");
  return set == nullptr ? kLeastMb : std::strtoul(set, nullptr, 10);
}

inline std::size_t MachineBytes() {
  return MachineMb() * 1'000'000;
}

// Descriptors of a process on its machine.
inline constexpr std::size_t kDescriptors = 4100;
// More connections than a process has descriptors.
inline constexpr std::size_t kCrowd = 4200;

// Room for as many sockets as the largest client has.
inline void RaiseDescriptorLimit() {
  rlimit descriptors{};
  ::getrlimit(RLIMIT_NOFILE, &descriptors);
  descriptors.rlim_cur = descriptors.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &descriptors);
}

inline std::string HeadOf(const std::string& method,
                          const std::string& path,
                          const std::string& fields) {
  return method + " " + path +
         " HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Request-Id: hostile\r\n"
         "X-Deadline-Ms: 2000\r\n" +
         fields + "\r\n";
}

inline std::string Repeated(const std::string& text, std::size_t count) {
  std::string all;
  all.reserve(text.size() * count);
  for (std::size_t i = 0; i < count; ++i)
    all += text;
  return all;
}

inline std::string LengthField(std::size_t bytes) {
  return "Content-Length: " + std::to_string(bytes) + "\r\n";
}

// A body with a length, of which `sent` bytes are sent.
inline HostileClient BodyWithLength(const std::string& path,
                                    std::size_t connections,
                                    std::size_t length,
                                    std::size_t sent) {
  HostileClient client;
  client.name = "bodies of " + std::to_string(length) + " at " + path;
  client.connections = connections;
  client.head = HeadOf("POST", path, LengthField(length));
  client.unit = std::string(65536, 'b');
  client.unit_bytes = sent;
  return client;
}

// A body of chunks of `chunk` bytes.
inline HostileClient BodyInChunks(const std::string& path,
                                  std::size_t connections,
                                  std::size_t chunk,
                                  std::size_t chunks) {
  char size[32];
  std::snprintf(size, sizeof size, "%zx\r\n", chunk);
  const std::string one = size + std::string(chunk, 'c') + "\r\n";
  HostileClient client;
  client.name = "chunks of " + std::to_string(chunk) + " at " + path;
  client.connections = connections;
  client.head = HeadOf("POST", path, "Transfer-Encoding: chunked\r\n");
  client.unit = Repeated(one, std::max<std::size_t>(65536 / one.size(), 1));
  client.unit_bytes = chunks == kUnlimited ? kUnlimited : one.size() * chunks;
  client.tail = "0\r\n\r\n";
  return client;
}

// What goes on without end after `head`.
inline HostileClient Endless(const std::string& name,
                             const std::string& head,
                             const std::string& unit) {
  HostileClient client;
  client.name = name;
  client.connections = 8;
  client.head = head;
  client.unit = unit;
  client.unit_bytes = kUnlimited;
  return client;
}

inline std::string ShortFields(std::size_t count) {
  return Repeated("a:\r\n", count);
}

inline HostileClient ShortFieldsWithoutBody(const std::string& path,
                                            std::size_t fields) {
  HostileClient client;
  client.name = "many fields, no body";
  client.connections = 960;
  client.head = HeadOf("POST", path, LengthField(1000) + ShortFields(fields));
  return client;
}

inline HostileClient ChunkExtensionWithoutEnd(const std::string& path) {
  return Endless(
      "chunk extension",
      HeadOf("POST", path, "Transfer-Encoding: chunked\r\n") + "1;x=",
      std::string(65536, 'y'));
}

inline HostileClient TrailersWithoutEnd(const std::string& path) {
  return Endless("trailers",
                 HeadOf("POST", path, "Transfer-Encoding: chunked\r\n") +
                     "1\r\nb\r\n0\r\n",
                 Repeated("x: y\r\n", 10'000));
}

inline HostileClient UploadsAhead(const std::string& path,
                                  std::size_t connections) {
  const std::string upload = HeadOf("POST", path, LengthField(4'000'000)) +
                             std::string(4'000'000, 'u');
  HostileClient client = Endless("uploads ahead", "", upload);
  client.unit_bytes = 32 * upload.size();
  client.connections = connections;
  return client;
}

inline HostileClient SilentCrowd() {
  HostileClient client;
  client.name = "silent crowd";
  client.connections = kCrowd;
  return client;
}

inline HostileClient CrowdOfSlowHeads(const std::string& path) {
  HostileClient client;
  client.name = "slow heads";
  client.connections = kCrowd;
  client.head = HeadOf("GET", path, "X-Fill: " + std::string(8000, 'f'));
  client.bytes_per_step = 1;
  return client;
}

// Each sends one request, and the begin of another one for `path`.
inline HostileClient CrowdOfSecondHeads(const std::string& path) {
  HostileClient client;
  client.name = "second heads that stop";
  client.connections = kCrowd;
  client.head =
      HeadOf("GET", "/nowhere/x", "") + "GET " + path + " HTTP/1.1\r\n";
  return client;
}

// Requests that are sent ahead by a client that reads no response.
inline HostileClient AheadWithoutReading(const std::string& path, Door door) {
  HostileClient client = Endless("requests ahead at " + path, "",
                                 Repeated(HeadOf("GET", path, ""), 100));
  client.door = door;
  return client;
}

}  // namespace teaselspread

#endif  // TEASELSPREAD_TESTS_PROCESS_HOSTILE_REQUESTS_H_
