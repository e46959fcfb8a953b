#include "fakes/child_process.h"

#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <utility>

#include "anvilcroft/time.h"

extern char** environ;

namespace anvilcroft::fakes {
namespace {

constexpr int kPollMillis = 5;

}  // namespace

Result<std::unique_ptr<ChildProcess>> ChildProcess::Start(const std::vector<std::string>& arguments,
                                                          const std::string& log_file) {
  int pipe_ends[2];
  if (::pipe2(pipe_ends, O_CLOEXEC) != 0) return Fail(ErrorCode::kInternal, "cannot create a pipe");
  std::vector<char*> argv;
  for (const std::string& argument : arguments) argv.push_back(const_cast<char*>(argument.c_str()));
  argv.push_back(nullptr);

  posix_spawn_file_actions_t actions;
  ::posix_spawn_file_actions_init(&actions);
  ::posix_spawn_file_actions_adddup2(&actions, pipe_ends[1], STDOUT_FILENO);
  ::posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, log_file.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
  // A child that holds the sockets of this process would keep its closed connections open.
  ::posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  pid_t pid = 0;
  const int spawn_error = ::posix_spawn(&pid, argv[0], &actions, nullptr, argv.data(), environ);
  ::posix_spawn_file_actions_destroy(&actions);
  ::close(pipe_ends[1]);
  if (spawn_error != 0) {
    ::close(pipe_ends[0]);
    return Fail(ErrorCode::kNotFound, "cannot start the program", arguments[0]);
  }
  return std::unique_ptr<ChildProcess>(new ChildProcess(pid, pipe_ends[0]));
}

ChildProcess::~ChildProcess() {
  if (this->Running()) {
    this->Signal(SIGKILL);
    ::waitpid(this->pid, nullptr, 0);
  }
  ::close(this->output);
}

Result<std::string> ChildProcess::ReadLine(int timeout_ms) {
  const TimePoint deadline = SteadyNow() + milliseconds(timeout_ms);
  while (true) {
    const std::size_t end = this->buffer.find('\n');
    if (end != std::string::npos) {
      std::string line = this->buffer.substr(0, end);
      this->buffer.erase(0, end + 1);
      return line;
    }
    const int64_t remaining_ms = ToMillis(deadline - SteadyNow());
    pollfd readable{this->output, POLLIN, 0};
    if (remaining_ms <= 0 || ::poll(&readable, 1, static_cast<int>(remaining_ms)) == 0) {
      return Fail(ErrorCode::kDeadlineExceeded, "the process wrote no line before the timeout");
    }
    char bytes[4096];
    const ssize_t count = ::read(this->output, bytes, sizeof bytes);
    if (count <= 0) return Fail(ErrorCode::kConnectionLost, "the process closed its output");
    this->buffer.append(bytes, static_cast<std::size_t>(count));
  }
}

void ChildProcess::Signal(int signal_number) {
  if (this->Running()) ::kill(this->pid, signal_number);
}

bool ChildProcess::Running() {
  if (this->ended) return false;
  int status = 0;
  if (::waitpid(this->pid, &status, WNOHANG) != this->pid) return true;
  this->ended = true;
  this->exit_code = WIFSIGNALED(status) ? 128 + WTERMSIG(status) : WEXITSTATUS(status);
  return false;
}

Result<int> ChildProcess::Wait(int timeout_ms) {
  const TimePoint deadline = SteadyNow() + milliseconds(timeout_ms);
  while (this->Running()) {
    if (SteadyNow() >= deadline) {
      return Fail(ErrorCode::kDeadlineExceeded, "the process is still running");
    }
    ::usleep(kPollMillis * 1000);
  }
  return this->exit_code;
}

}  // namespace anvilcroft::fakes
