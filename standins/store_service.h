// A stand-in for the platform's store: keyed topics of one partition, with the
// faults that its users have to bear. It is no part of the product.
#ifndef TEASELSPREAD_STANDINS_STORE_SERVICE_H_
#define TEASELSPREAD_STANDINS_STORE_SERVICE_H_

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <boost/beast/core/detail/base64.hpp>

#include "standins/http_server.h"

namespace standin {

// What the store does with the calls of everybody, until it is set again.
enum class StoreFault {
  kNone,
  // 503: nothing is done.
  kBusy,
  // 429: nothing is done.
  kThrottling,
  // The connection ends: nothing is done.
  kReset,
  // No answer comes, to reads under way neither: nothing is done.
  kSilent,
  // Appends are done, and no answer comes; reads are answered.
  kLosing,
};

struct StoreEntry {
  std::string key;
  std::string value;
};

struct StoreTopic {
  // Offset of the first entry that is still there.
  std::uint64_t first = 0;
  std::vector<StoreEntry> entries;
  // The newest of each key with its offset; survives Forget.
  std::map<std::string, std::pair<std::string, std::uint64_t>> newest;

  [[nodiscard]] std::uint64_t End() const {
    return this->first + this->entries.size();
  }
};

// Thread safe.
class StoreService {
 public:
  explicit StoreService(std::uint16_t port = 0)
      : server("127.0.0.1",
               port,
               [this](const Request& request, Connection& connection) {
                 this->Handle(request, connection);
               }) {}

  [[nodiscard]] std::uint16_t Port() const { return this->server.Port(); }

  void SetFault(StoreFault to) { this->fault = to; }

  // As the operator writes: no fault keeps it away.
  void Put(const std::string& topic,
           const std::string& key,
           const std::string& value) {
    const std::scoped_lock lock(this->gate);
    this->Append(topic, {key, value});
  }

  // The newest value of a key, or "".
  std::string Get(const std::string& topic, const std::string& key) {
    const std::scoped_lock lock(this->gate);
    return this->topics[topic].newest[key].first;
  }

  // Drops what was written so far, but for the newest of each key.
  void Forget(const std::string& topic) {
    const std::scoped_lock lock(this->gate);
    StoreTopic& from = this->topics[topic];
    from.first = from.End();
    from.entries.clear();
  }

  // From now on the newest records come one to a page, and reads of all pages
  // but the first are rejected.
  void FailLaterPages() { this->later_pages_fail = true; }

  // Answers to reads of this topic come at so many bytes a second from now on.
  void SetPace(const std::string& topic, std::size_t bytes_per_second) {
    const std::scoped_lock lock(this->gate);
    this->paces[topic] = bytes_per_second;
  }

  // Calls so far.
  [[nodiscard]] int Calls() const { return this->calls; }

  // Calls of one path for one topic so far.
  [[nodiscard]] int CallsOf(const std::string& path, const std::string& topic) {
    const std::scoped_lock lock(this->gate);
    return this->calls_of[path + " " + topic];
  }

 private:
  static constexpr unsigned kBits = 8;
  static constexpr std::size_t kOffsetBytes = 8;
  static constexpr std::size_t kLengthBytes = 4;

  static void AppendNumber(std::string& bytes,
                           std::uint64_t number,
                           std::size_t size) {
    for (std::size_t i = size; i-- > 0;)
      bytes += static_cast<char>((number >> (i * kBits)) & 0xFFU);
  }

  static std::string TextOf(const Request& request, const std::string& key) {
    const std::string target(request.target().data(), request.target().size());
    const std::size_t at = target.find(key + "=");
    if (at == std::string::npos)
      return {};
    const std::size_t from = at + key.size() + 1;
    return target.substr(from, target.find('&', from) - from);
  }

  void Append(const std::string& topic, const StoreEntry& entry) {
    StoreTopic& to = this->topics[topic];
    to.newest[entry.key] = {entry.value, to.End()};
    if (entry.value.empty())
      to.newest.erase(entry.key);
    to.entries.push_back(entry);
    this->changed.notify_all();
  }

  void Handle(const Request& request, Connection& connection) {
    ++this->calls;
    const std::string path = PathOf(request);
    const std::size_t pace = this->Count(path, TextOf(request, "topic"));
    switch (this->fault) {
      case StoreFault::kBusy:
        return connection.Send(TextAnswer(503, ""));
      case StoreFault::kThrottling:
        return connection.Send(TextAnswer(429, ""));
      case StoreFault::kReset:
        connection.open = false;
        return connection.Break();
      case StoreFault::kSilent:
        return connection.WaitForPeer();
      case StoreFault::kLosing:
        if (path != "/log-append")
          break;
        this->TakeAppend(request);
        return connection.WaitForPeer();
      case StoreFault::kNone:
        break;
    }
    if (path == "/log-append")
      return connection.Send(this->TakeAppend(request));
    if (path == "/log-read") {
      const Response page = this->Read(request, connection);
      if (this->fault == StoreFault::kSilent)
        return connection.WaitForPeer();
      if (pace > 0)
        return connection.SendAtPace(page, pace);
      return connection.Send(page);
    }
    if (path == "/log-newest" && this->later_pages_fail &&
        !TextOf(request, "after").empty())
      return connection.Send(TextAnswer(503, ""));
    if (path == "/log-newest" && pace > 0)
      return connection.SendAtPace(this->Newest(request), pace);
    if (path == "/log-newest")
      return connection.Send(this->Newest(request));
    connection.Send(TextAnswer(404, ""));
  }

  // The pace of the topic's answers, 0 without one.
  std::size_t Count(const std::string& path, const std::string& topic) {
    const std::scoped_lock lock(this->gate);
    ++this->calls_of[path + " " + topic];
    const auto found = this->paces.find(topic);
    return found == this->paces.end() ? 0 : found->second;
  }

  Response TakeAppend(const Request& request) {
    const std::scoped_lock lock(this->gate);
    const std::string topic = TextOf(request, "topic");
    const std::string& body = request.body();
    if (topic == "keyed.op" || topic == "keyed.servers")
      return TextAnswer(403, "");
    const std::uint64_t end = this->topics[topic].End();
    const std::int64_t wanted = QueryNumber(request, "storeRevision", -1);
    if (wanted >= 0 && static_cast<std::uint64_t>(wanted) != end)
      return TextAnswer(412, "{\"end\":" + std::to_string(end) + "}");
    for (std::size_t at = 0; at + kLengthBytes < body.size();) {
      std::size_t length = 0;
      for (std::size_t i = 0; i < kLengthBytes; ++i)
        length = (length << kBits) | static_cast<unsigned char>(body[at + i]);
      at += kLengthBytes;
      const auto key = static_cast<unsigned char>(body[at]);
      this->Append(topic, {body.substr(at + 1, key),
                           body.substr(at + 1 + key, length - 1 - key)});
      at += length;
    }
    return TextAnswer(200, "{\"offset\":" + std::to_string(end) + ",\"end\":" +
                               std::to_string(this->topics[topic].End()) + "}");
  }

  Response Read(const Request& request, Connection& connection) {
    std::unique_lock lock(this->gate);
    const std::string topic = TextOf(request, "topic");
    const auto from =
        static_cast<std::uint64_t>(QueryNumber(request, "from", 0));
    const auto until = Clock::now() + std::chrono::milliseconds(
                                          QueryNumber(request, "waitMs", 0));
    while (this->topics[topic].End() <= from && Clock::now() < until &&
           !connection.PeerGone() && this->fault == StoreFault::kNone)
      this->changed.wait_for(lock, std::chrono::milliseconds(20));
    const StoreTopic& read = this->topics[topic];
    if (from < read.first)
      return TextAnswer(410, "{\"first\":" + std::to_string(read.first) + "}");
    std::string bytes;
    AppendNumber(bytes, read.End(), kOffsetBytes);
    AppendNumber(bytes, read.first, kOffsetBytes);
    for (std::uint64_t at = from; at < read.End(); ++at) {
      const StoreEntry& entry = read.entries[at - read.first];
      AppendNumber(bytes, 1 + entry.key.size() + entry.value.size(),
                   kLengthBytes);
      bytes += static_cast<char>(entry.key.size());
      bytes += entry.key;
      bytes += entry.value;
    }
    return TextAnswer(200, bytes);
  }

  Response Newest(const Request& request) {
    const std::scoped_lock lock(this->gate);
    const StoreTopic& topic = this->topics[TextOf(request, "topic")];
    std::string items;
    bool has_more = false;
    for (const auto& [key, newest] : topic.newest) {
      if (this->later_pages_fail && !items.empty()) {
        has_more = true;
        break;
      }
      const auto& [value, offset] = newest;
      std::string coded(
          boost::beast::detail::base64::encoded_size(value.size()), '\0');
      coded.resize(boost::beast::detail::base64::encode(
          coded.data(), value.data(), value.size()));
      if (!items.empty())
        items += ",";
      items += R"({"key":")";
      items += key;
      items += R"(","value":")";
      items += coded;
      items += R"(","offset":)";
      items += std::to_string(offset);
      items += "}";
    }
    return TextAnswer(200, R"({"items":[)" + items + R"(],"hasMore":)" +
                               (has_more ? "true" : "false") + R"(,"end":)" +
                               std::to_string(topic.End()) + "}");
  }

  std::mutex gate;
  std::condition_variable changed;
  std::map<std::string, StoreTopic> topics;
  std::map<std::string, std::size_t> paces;
  std::map<std::string, int> calls_of;
  std::atomic<StoreFault> fault{StoreFault::kNone};
  std::atomic<bool> later_pages_fail{false};
  std::atomic<int> calls{0};
  Server server;
};

}  // namespace standin

#endif  // TEASELSPREAD_STANDINS_STORE_SERVICE_H_
