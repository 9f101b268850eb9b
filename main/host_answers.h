#ifndef MAIN_HOST_ANSWERS_H_
#define MAIN_HOST_ANSWERS_H_

#include <string>
#include <vector>

#include "main/admin_client.h"

namespace damasktack {

// What one host answered.
struct HostAnswer {
  SocketAddress address;
  Json body;
};

// What several hosts answered to one request. A host that cannot be asked
// must not hide the others, so that its error stands beside their answers.
struct HostAnswers {
  std::vector<HostAnswer> answers;
  std::vector<Error> errors;

  CtlExit exit() const {
    return errors.empty() ? CtlExit::kDone : CtlExit::kHost;
  }
};

HostAnswers QueryAllHosts(const std::vector<AdminClient>& clients,
                          AdminVerb verb,
                          const std::string& path);

// The answers as one JSON object: "hosts" and "errors".
Json ToJson(const HostAnswers& answers);

// Prints each error to the error output.
void PrintErrors(const HostAnswers& answers, std::ostream& err);

}  // namespace damasktack

#endif  // MAIN_HOST_ANSWERS_H_
