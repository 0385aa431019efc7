// A socket for Beast's blocking calls with a deadline, a bound on silence and
// watched descriptors that end a wait.
#ifndef TEASELSPREAD_SRC_HTTP_POLL_STREAM_H_
#define TEASELSPREAD_SRC_HTTP_POLL_STREAM_H_

#include <sys/uio.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

#include <boost/asio/buffer.hpp>
#include <boost/system/error_code.hpp>
#include <boost/system/system_error.hpp>

namespace teaselspread {

// Why a wait ended without the socket being ready.
enum class WaitEnd : std::uint8_t { kReady, kDeadline, kSilence, kWatched };

// Bounds of the next reads and writes.
struct StreamLimits {
  std::chrono::steady_clock::time_point deadline =
      std::chrono::steady_clock::time_point::max();
  std::chrono::steady_clock::duration silence = std::chrono::hours(1);
  // Readable or closed by its peer: ends the wait. -1 is none.
  int cancel_fd = -1;
  // Closed by its peer: ends the wait. -1 is none.
  int caller_fd = -1;
};

// Owns a socket. Asio's own blocking calls know no timeout, and its
// asynchronous ones cost a hand-over between threads for each hop. Not thread
// safe, but for ::shutdown on Fd().
class PollStream {
 public:
  // Precondition: `socket` is connected and owned by nobody else.
  explicit PollStream(int socket);
  ~PollStream();
  PollStream(PollStream&& other) noexcept;
  PollStream& operator=(PollStream&& other) noexcept;

  // The requirements of a blocking stream in Beast.
  // NOLINTBEGIN(readability-identifier-naming)
  template <class Buffers>
  std::size_t read_some(const Buffers& buffers,
                        boost::system::error_code& error) {
    const Vectors vectors = VectorsOf<boost::asio::mutable_buffer>(buffers);
    return this->Receive(vectors, error);
  }
  template <class Buffers>
  std::size_t read_some(const Buffers& buffers) {
    boost::system::error_code error;
    const std::size_t count = this->read_some(buffers, error);
    if (error)
      throw boost::system::system_error(error);
    return count;
  }
  template <class Buffers>
  std::size_t write_some(const Buffers& buffers,
                         boost::system::error_code& error) {
    const Vectors vectors = VectorsOf<boost::asio::const_buffer>(buffers);
    return this->Transmit(vectors, error);
  }
  template <class Buffers>
  std::size_t write_some(const Buffers& buffers) {
    boost::system::error_code error;
    const std::size_t count = this->write_some(buffers, error);
    if (error)
      throw boost::system::system_error(error);
    return count;
  }
  // NOLINTEND(readability-identifier-naming)

  // Waits until the socket has `events` (poll's names). What ended the wait is
  // kept for LastEnd().
  [[nodiscard]] WaitEnd Wait(short events);

  void SetLimits(const StreamLimits& bounds) { this->limits = bounds; }
  [[nodiscard]] int Fd() const { return this->fd; }
  [[nodiscard]] std::uint64_t BytesSent() const { return this->sent; }
  [[nodiscard]] std::uint64_t BytesReceived() const { return this->received; }
  // How the last wait ended; kReady when the socket failed.
  [[nodiscard]] WaitEnd LastEnd() const { return this->last_end; }

 private:
  static constexpr std::size_t kMaxVectors = 16;
  struct Vectors {
    std::array<iovec, kMaxVectors> items;
    std::size_t count = 0;
  };

  template <class Buffer, class Buffers>
  static Vectors VectorsOf(const Buffers& buffers) {
    Vectors vectors;
    const auto end = boost::asio::buffer_sequence_end(buffers);
    for (auto it = boost::asio::buffer_sequence_begin(buffers);
         it != end && vectors.count < kMaxVectors; ++it) {
      const Buffer buffer(*it);
      if (buffer.size() == 0)
        continue;
      // iovec serves both directions, hence its data is never const.
      vectors.items.at(vectors.count++) = {
          const_cast<void*>(static_cast<const void*>(buffer.data())),
          buffer.size()};
    }
    return vectors;
  }

  std::size_t Receive(const Vectors& vectors, boost::system::error_code& error);
  std::size_t Transmit(const Vectors& vectors,
                       boost::system::error_code& error);
  [[nodiscard]] WaitEnd Poll(short events) const;
  bool WaitOrFail(short events, boost::system::error_code& error);

  int fd;
  StreamLimits limits;
  WaitEnd last_end = WaitEnd::kReady;
  std::uint64_t sent = 0;
  std::uint64_t received = 0;
};

}  // namespace teaselspread

#endif  // TEASELSPREAD_SRC_HTTP_POLL_STREAM_H_
