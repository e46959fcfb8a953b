#ifndef FAKES_CHILD_PROCESS_H_
#define FAKES_CHILD_PROCESS_H_

// A child process of the demo, a benchmark or a test. Signals are sent by process id, and only to
// processes that this class started. The destructor kills a process that is still running.

#include <sys/types.h>

#include <memory>
#include <string>
#include <vector>

#include "anvilcroft/error.h"

namespace anvilcroft::fakes {

class ChildProcess {
 public:
  // Starts the program `arguments[0]` with the remaining elements as its arguments. Standard error
  // is appended to `log_file`; standard output is read with ReadLine. Fails with kNotFound if the
  // program cannot be started, and with kInternal if no pipe can be created.
  static Result<std::unique_ptr<ChildProcess>> Start(const std::vector<std::string>& arguments,
                                                     const std::string& log_file);

  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  pid_t Pid() const { return this->pid; }

  // Blocks until the next line of standard output and returns it without the newline. Fails with
  // kDeadlineExceeded after `timeout_ms` milliseconds, and with kConnectionLost at the end of the
  // output.
  Result<std::string> ReadLine(int timeout_ms);

  // Sends a signal, for example SIGTERM, SIGKILL, SIGSTOP or SIGCONT. Does nothing if the process
  // has ended.
  void Signal(int signal_number);

  // Blocks until the process ends. Returns its exit code, or 128 plus the number of the signal
  // that terminated it. Fails with kDeadlineExceeded after `timeout_ms` milliseconds.
  Result<int> Wait(int timeout_ms);

  // Returns whether the process is still running. Does not block.
  bool Running();

 private:
  ChildProcess(pid_t pid, int output) : pid(pid), output(output) {}

  pid_t pid;
  int output;
  bool ended = false;
  int exit_code = 0;
  std::string buffer;
};

}  // namespace anvilcroft::fakes

#endif  // FAKES_CHILD_PROCESS_H_
