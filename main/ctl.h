#ifndef MAIN_CTL_H_
#define MAIN_CTL_H_

#include <ostream>
#include <string>
#include <vector>

namespace damasktack {

// Exit codes of `damasktackctl`; scripts rely on them.
enum class CtlExit : int {
  kDone = 0,
  // A file is invalid, or a comparison found differences.
  kFault = 1,
  kUsage = 2,
  // A host could not be reached, or it rejected the request.
  kHost = 3,
};

// Runs the operators' tool with the command line arguments after the program
// name. Returns the exit code of the process.
int RunCtl(const std::vector<std::string>& args,
           std::ostream& out,
           std::ostream& err);

}  // namespace damasktack

#endif  // MAIN_CTL_H_
