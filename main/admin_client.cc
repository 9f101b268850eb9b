#include "main/admin_client.h"

#include <httplib.h>

#include <cstdlib>
#include <utility>

#include "main/file_text.h"

namespace damasktack {

namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusUnauthorized = 401;
constexpr auto kTokenVariable = "DAMASKTACK_TOKEN";
constexpr auto kHostOption = "host";
constexpr auto kTokenFileOption = "token-file";
constexpr auto kTimeoutOption = "timeout";
constexpr Duration kDefaultTimeout = std::chrono::seconds(5);

leaf::result<std::string> ReadToken(const CtlInvocation& invocation) {
  if (invocation.options.count(kTokenFileOption) > 0) {
    return ReadTokenFile(
        invocation.options[kTokenFileOption].as<std::string>());
  }
  const char* token = std::getenv(kTokenVariable);
  if (token == nullptr || *token == '\0') {
    return Fail(ErrorKind::kUsage, "token", "none",
                "specify a file with --token-file or set DAMASKTACK_TOKEN");
  }
  return std::string(token);
}

leaf::result<Duration> ReadTimeout(const CtlInvocation& invocation) {
  if (invocation.options.count(kTimeoutOption) == 0) {
    return kDefaultTimeout;
  }
  return ParseDuration(invocation.options[kTimeoutOption].as<std::string>(),
                       "--timeout");
}

// Returns the error in a host's response, or a protocol error if the response
// contains none.
Error ParseError(const std::string& body,
                 const std::string& where,
                 int status) {
  const Json json = Json::parse(body, nullptr, false);
  if (!json.is_object() || !json.contains("remedy")) {
    return Error{ErrorKind::kProtocol, where,
                 "status " + std::to_string(status),
                 "check that the address is an administration address of "
                 "damasktack"};
  }
  const auto text = [&](const char* key) {
    return json.contains(key) && json[key].is_string()
               ? json[key].get<std::string>()
               : std::string("unknown");
  };
  const ErrorKind kind = status == kStatusUnauthorized
                             ? ErrorKind::kUnauthorized
                             : ErrorKind::kRefused;
  return Error{kind, where + " " + text("where"), text("found"),
               text("remedy")};
}

httplib::Result Exchange(httplib::Client& client,
                         AdminVerb verb,
                         const std::string& path) {
  switch (verb) {
    case AdminVerb::kPost:
      return client.Post(path.c_str());
    case AdminVerb::kDelete:
      return client.Delete(path.c_str());
    case AdminVerb::kGet:
      break;
  }
  return client.Get(path.c_str());
}

}  // namespace

AdminClient::AdminClient(SocketAddress address,
                         std::string token,
                         Duration timeout)
    : address_(std::move(address)),
      token_(std::move(token)),
      timeout_(timeout) {}

leaf::result<Json> AdminClient::Call(AdminVerb verb,
                                     const std::string& path) const {
  const std::string where = ToString(address_);
  httplib::Client client(address_.ip, address_.port);
  client.set_connection_timeout(timeout_);
  client.set_read_timeout(timeout_);
  client.set_bearer_token_auth(token_.c_str());
  const httplib::Result result = Exchange(client, verb, path);
  if (!result) {
    return Fail(ErrorKind::kUnreachable, where,
                httplib::to_string(result.error()),
                "check that the host runs and that this is its setting "
                "admin.listen");
  }
  if (result->status != kStatusOk) {
    return leaf::new_error(ParseError(result->body, where, result->status));
  }
  Json json = Json::parse(result->body, nullptr, false);
  if (json.is_discarded()) {
    return Fail(ErrorKind::kProtocol, where, "a response that is not JSON",
                "check that the address is an administration address of "
                "damasktack");
  }
  return json;
}

leaf::result<std::vector<AdminClient>> MakeClients(
    const CtlInvocation& invocation,
    const std::vector<std::string>& addresses) {
  BOOST_LEAF_AUTO(token, ReadToken(invocation));
  BOOST_LEAF_AUTO(timeout, ReadTimeout(invocation));
  std::vector<AdminClient> clients;
  for (const std::string& it : addresses) {
    BOOST_LEAF_AUTO(address, ParseSocketAddress(it, "host"));
    clients.emplace_back(std::move(address), token, timeout);
  }
  return clients;
}

leaf::result<std::vector<AdminClient>> MakeClientsForHosts(
    const CtlInvocation& invocation) {
  if (invocation.options.count(kHostOption) == 0) {
    return Fail(ErrorKind::kUsage, "--host", "nothing",
                "specify the administration address of a host, as in --host "
                "127.0.0.1:8081");
  }
  return MakeClients(
      invocation,
      invocation.options[kHostOption].as<std::vector<std::string>>());
}

}  // namespace damasktack
