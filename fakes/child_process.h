#ifndef FAKES_CHILD_PROCESS_H_
#define FAKES_CHILD_PROCESS_H_

// A process started by the demo, a benchmark or a test. Only processes started here are ever
// signalled, by process id. The destructor kills the process if it still runs.

#include <sys/types.h>

#include <memory>
#include <string>
#include <vector>

#include "anvilcroft/error.h"

namespace anvilcroft::fakes {

class ChildProcess {
 public:
  // Starts `arguments[0]` with the rest as its arguments. Standard error is appended to
  // `log_file`; standard output is read through ReadLine.
  static Result<std::unique_ptr<ChildProcess>> Start(const std::vector<std::string>& arguments,
                                                     const std::string& log_file);

  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  pid_t Pid() const { return this->pid; }

  // Blocks for the next line of standard output, without its end. Fails with kDeadlineExceeded
  // after `timeout_ms`, and with kConnectionLost when the output has ended.
  Result<std::string> ReadLine(int timeout_ms);

  // Sends a signal, for example SIGTERM, SIGKILL, SIGSTOP or SIGCONT.
  void Signal(int number);

  // Blocks until the process ends. Returns its exit code, or 128 plus the number of the signal
  // that ended it. Fails with kDeadlineExceeded after `timeout_ms`.
  Result<int> Wait(int timeout_ms);

  // Whether the process has not ended. Does not block.
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
