#include "tests/system/child_process.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>

extern char** environ;

namespace damasktack {

ChildProcess::ChildProcess(const std::vector<std::string>& command,
                           const std::string& log) {
  std::vector<char*> argv;
  for (const std::string& it : command) {
    argv.push_back(const_cast<char*>(it.c_str()));
  }
  argv.push_back(nullptr);
  posix_spawn_file_actions_t files;
  posix_spawn_file_actions_init(&files);
  constexpr int kMode = 0644;
  posix_spawn_file_actions_addopen(&files, 1, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, kMode);
  posix_spawn_file_actions_adddup2(&files, 1, 2);
  // Closes inherited descriptors: the listening sockets of the stand-ins are
  // open in this process. A daemon that inherited them would keep their ports
  // open after a stand-in has closed them, and callers would hang instead of
  // being refused.
  constexpr int kFirstInherited = 3;
  posix_spawn_file_actions_addclosefrom_np(&files, kFirstInherited);
  posix_spawn(&pid_, argv[0], &files, nullptr, argv.data(), environ);
  posix_spawn_file_actions_destroy(&files);
}

ChildProcess::~ChildProcess() {
  if (pid_ != 0) {
    Signal(SIGKILL);
    Wait();
  }
}

void ChildProcess::Signal(int signal_number) {
  if (pid_ != 0) {
    kill(pid_, signal_number);
  }
}

int ChildProcess::Wait() {
  if (pid_ == 0) {
    return exit_code_;
  }
  int status = 0;
  waitpid(pid_, &status, 0);
  RecordExit(status);
  return exit_code_;
}

bool ChildProcess::HasEnded() {
  int status = 0;
  if (pid_ != 0 && waitpid(pid_, &status, WNOHANG) == pid_) {
    RecordExit(status);
  }
  return pid_ == 0;
}

void ChildProcess::RecordExit(int status) {
  pid_ = 0;
  exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

}  // namespace damasktack
