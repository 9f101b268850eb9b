#include "main/host_answers.h"

#include "admin/admin_json.h"

namespace damasktack {

HostAnswers QueryAllHosts(const std::vector<AdminClient>& clients,
                          AdminVerb verb,
                          const std::string& path) {
  HostAnswers answers;
  for (const AdminClient& it : clients) {
    Try(
        [&]() -> leaf::result<void> {
          BOOST_LEAF_AUTO(body, it.Call(verb, path));
          answers.answers.push_back(HostAnswer{it.address(), std::move(body)});
          return {};
        },
        [&](const Error& error) { answers.errors.push_back(error); });
  }
  return answers;
}

Json ToJson(const HostAnswers& answers) {
  Json hosts = Json::array();
  for (const HostAnswer& it : answers.answers) {
    hosts.push_back(
        Json{{"address", ToString(it.address)}, {"answer", it.body}});
  }
  Json errors = Json::array();
  for (const Error& it : answers.errors) {
    errors.push_back(RenderError(it));
  }
  return Json{{"hosts", hosts}, {"errors", errors}};
}

void PrintErrors(const HostAnswers& answers, std::ostream& err) {
  for (const Error& it : answers.errors) {
    err << "damasktackctl: " << it << "\n";
  }
}

}  // namespace damasktack
