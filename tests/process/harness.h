// Starts the programs of this build for tests, waits for what they do, and ends
// them by their ids. Tests only: no product process starts another.
#ifndef TEASELSPREAD_TESTS_PROCESS_HARNESS_H_
#define TEASELSPREAD_TESTS_PROCESS_HARNESS_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <future>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "teaselspread/http.h"
#include "teaselspread/http_client.h"
#include "teaselspread/types.h"

namespace teaselspread {

constexpr auto kHarnessPatience = std::chrono::seconds(10);

// Tries `condition` until it holds; false after `limit`. Any thread.
inline bool WaitUntil(const std::function<bool()>& condition,
                      std::chrono::milliseconds limit = kHarnessPatience) {
  const auto end = std::chrono::steady_clock::now() + limit;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > end)
      return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return true;
}

// Starts a program whose output goes to `output`; -1 when it can't be started.
// The program is killed when the calling thread ends, so that it never outlives
// its test: a failed assertion runs no destructor.
inline pid_t StartChild(std::vector<std::string>& words, int output) {
  std::vector<char*> argv;
  argv.reserve(words.size() + 1);
  for (std::string& word : words)
    argv.push_back(word.data());
  argv.push_back(nullptr);
  const pid_t parent = ::getpid();
  const pid_t child = ::fork();
  if (child != 0)
    return child;
  constexpr int kNotStarted = 127;
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  const bool orphan = ::getppid() != parent;
  if (!orphan && ::dup2(output, STDOUT_FILENO) >= 0 &&
      ::dup2(output, STDERR_FILENO) >= 0)
    ::execv(argv[0], argv.data());
  ::_exit(kNotStarted);
}

// One child process with captured output. Thread safe.
class Program {
 public:
  // Starts BINARY_DIR/`name`.
  Program(const std::string& name, const std::vector<std::string>& arguments) {
    std::vector<std::string> words = {std::string(BINARY_DIR) + "/" + name};
    words.insert(words.end(), arguments.begin(), arguments.end());
    std::promise<pid_t> started;
    std::future<pid_t> child = started.get_future();
    this->reader = std::thread([this, words = std::move(words),
                                started = std::move(started)]() mutable {
      int ends[2] = {-1, -1};
      (void)::pipe2(ends, O_CLOEXEC);
      started.set_value(StartChild(words, ends[1]));
      ::close(ends[1]);
      this->Collect(ends[0]);
    });
    this->pid = child.get();
  }

  ~Program() {
    this->Signal(SIGKILL);
    this->WaitExit();
    this->reader.join();
  }
  Program(const Program&) = delete;
  Program& operator=(const Program&) = delete;

  // The number after `word` at the start of a line of output, such as
  // "listening 4711"; 0 when it doesn't come in time.
  std::uint16_t PortAfter(const std::string& word = "listening") {
    std::uint16_t port = 0;
    WaitUntil([&] {
      const std::string text = "\n" + this->Output();
      const std::size_t at = text.find("\n" + word + " ");
      if (at == std::string::npos ||
          text.find('\n', at + 1) == std::string::npos)
        return this->Exited();
      port = static_cast<std::uint16_t>(
          std::strtoul(text.c_str() + at + word.size() + 2, nullptr, 10));
      return true;
    });
    return port;
  }

  // 127.0.0.1 and PortAfter(word).
  Address At(const std::string& word = "listening") {
    return {"127.0.0.1", this->PortAfter(word)};
  }

  // Everything printed so far.
  [[nodiscard]] std::string Output() const {
    const std::scoped_lock lock(this->gate);
    return this->output;
  }

  // SIGTERM is a planned stop, SIGKILL a crash, SIGSTOP a pause. Nothing once
  // the process has been waited for.
  void Signal(int number) {
    const std::scoped_lock lock(this->gate);
    if (this->pid > 0 && !this->exited)
      ::kill(this->pid, number);
  }

  // True once the process has ended.
  bool Exited() {
    const std::scoped_lock lock(this->gate);
    if (this->pid <= 0)
      return true;
    if (!this->exited &&
        ::waitpid(this->pid, &this->status, WNOHANG) == this->pid)
      this->exited = true;
    return this->exited;
  }

  // Exit code, 128 + signal, or -1 when it doesn't end in time.
  int WaitExit(std::chrono::milliseconds limit = kHarnessPatience) {
    if (!WaitUntil([this] { return this->Exited(); }, limit) || this->pid <= 0)
      return -1;
    // Its last words may still be on their way through the pipe.
    WaitUntil([this] { return this->collected.load(); }, limit);
    return WIFEXITED(this->status) ? WEXITSTATUS(this->status)
                                   : 128 + WTERMSIG(this->status);
  }

  // Planned stop; the exit code.
  int Stop() {
    this->Signal(SIGTERM);
    return this->WaitExit();
  }

  [[nodiscard]] pid_t Pid() const { return this->pid; }

 private:
  void Collect(int fd) {
    char buffer[4096];
    for (ssize_t count = 0; (count = ::read(fd, buffer, sizeof buffer)) > 0;) {
      const std::scoped_lock lock(this->gate);
      this->output.append(buffer, static_cast<std::size_t>(count));
    }
    ::close(fd);
    this->collected = true;
  }

  pid_t pid = -1;
  std::atomic<bool> collected{false};
  mutable std::mutex gate;
  std::string output;
  bool exited = false;
  int status = 0;
  std::thread reader;
};

// One call on a connection of its own. The status is 0 when it failed, and the
// body is then the kind of error.
inline HttpResponse CallOnce(const Address& target,
                             const std::string& method,
                             const std::string& path,
                             const std::string& body = "",
                             const HttpHeaders& headers = {}) {
  HttpClientPool pool(1);
  HttpRequest request;
  request.method = method;
  request.target = path;
  request.headers = headers;
  request.body = body;
  CallOptions options;
  options.timeout = kHarnessPatience;
  Result<HttpResponse> answer = pool.Send(target, request, options);
  if (answer)
    return std::move(*answer);
  HttpResponse failed;
  failed.status = 0;
  failed.body = std::string(NameOf(answer.error().kind));
  return failed;
}

// Switches faults of a stand-in on and off: `yaml` goes to its /control.
inline bool Control(const Address& standin, const std::string& yaml) {
  return CallOnce(standin, "POST", "/control", yaml).status == 200;
}

}  // namespace teaselspread

#endif  // TEASELSPREAD_TESTS_PROCESS_HARNESS_H_
