#ifndef TESTS_SYSTEM_CHILD_PROCESS_H_
#define TESTS_SYSTEM_CHILD_PROCESS_H_

#include <sys/types.h>

#include <string>
#include <vector>

namespace damasktack {

// One process of our own binaries, known by its id and ended with its owner.
class ChildProcess {
 public:
  // `command[0]` is the program's path; output goes to `log`.
  ChildProcess(const std::vector<std::string>& command, const std::string& log);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  void Signal(int signal_number);
  // Whether it has ended; does not wait.
  bool HasEnded();
  // Waits for the end. The exit code, or minus the signal that ended it.
  int Wait();
  pid_t pid() const { return pid_; }

 private:
  void RecordExit(int status);

  pid_t pid_ = 0;
  int exit_code_ = 0;
};

}  // namespace damasktack

#endif  // TESTS_SYSTEM_CHILD_PROCESS_H_
