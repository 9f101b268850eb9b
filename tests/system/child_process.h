#ifndef TESTS_SYSTEM_CHILD_PROCESS_H_
#define TESTS_SYSTEM_CHILD_PROCESS_H_

#include <sys/types.h>

#include <string>
#include <vector>

namespace damasktack {

// A child process that runs one of the project's binaries. The destructor ends
// it.
class ChildProcess {
 public:
  // Starts the program at the path `command[0]`; its output is written to
  // `log`.
  ChildProcess(const std::vector<std::string>& command, const std::string& log);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  void Signal(int signal_number);
  // Returns whether the process has ended; does not block.
  bool HasEnded();
  // Waits for the process to end. Returns the exit code, or the negated number
  // of the signal that ended it.
  int Wait();
  pid_t pid() const { return pid_; }

 private:
  void RecordExit(int status);

  pid_t pid_ = 0;
  int exit_code_ = 0;
};

}  // namespace damasktack

#endif  // TESTS_SYSTEM_CHILD_PROCESS_H_
