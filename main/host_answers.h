#ifndef MAIN_HOST_ANSWERS_H_
#define MAIN_HOST_ANSWERS_H_

#include <string>
#include <vector>

#include "main/admin_client.h"

namespace damasktack {

// Response of one host.
struct HostAnswer {
  SocketAddress address;
  Json body;
};

// Responses of several hosts to the same request. A host that cannot be queried
// must not hide the responses of the others, so errors are kept beside them.
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

// Returns the responses as one JSON object with the members "hosts" and
// "errors".
Json ToJson(const HostAnswers& answers);

// Prints each error to `err`.
void PrintErrors(const HostAnswers& answers, std::ostream& err);

}  // namespace damasktack

#endif  // MAIN_HOST_ANSWERS_H_
