#include "main/compare_command.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "main/host_answers.h"
#include "main/text_table.h"

namespace damasktack {

namespace {

constexpr auto kMissing = "-";

// What one host says, as "name of a fact" to "value", so that hosts can be
// laid side by side.
struct HostFacts {
  std::string address;
  std::map<std::string, std::string> facts;
};

// A fact on which hosts differ, with each host's value in their order.
struct Difference {
  std::string fact;
  std::vector<std::string> values;
};

void AddContracts(const Json& answer, HostFacts& host) {
  for (const Json& it : answer.value("documents", Json::array())) {
    const std::string name = CellOf(it, "name");
    host.facts[name + " revision"] = CellOf(it, "revision");
    const Json refused = it.value("refused", Json());
    host.facts[name + " refused"] = CellOf(refused, "revision");
  }
  for (const Json& it : answer.value("contracts", Json::array())) {
    const std::string prefix = "contract " + CellOf(it, "customer") + " ";
    const Json flat = it.flatten();
    for (const auto& member : flat.items()) {
      host.facts[prefix + member.key().substr(1)] = CellOf(flat, member.key());
    }
  }
}

void AddEndpoints(const Json& answer, HostFacts& host) {
  for (const Json& service : answer.value("services", Json::array())) {
    for (const Json& it : service.value("endpoints", Json::array())) {
      host.facts["endpoint " + CellOf(service, "service") + "/" +
                 CellOf(it, "endpoint") + " state"] = CellOf(it, "state");
    }
  }
}

void AddPeers(const Json& answer, HostFacts& host) {
  for (const Json& it : answer.value("peers", Json::array())) {
    const std::string prefix = "peer " + CellOf(it, "host") + " ";
    host.facts[prefix + "reachable"] = CellOf(it, "reachable");
    host.facts[prefix + "incarnation"] = CellOf(it, "incarnation");
  }
}

void AddStatus(const Json& answer, HostFacts& host) {
  host.facts["ready"] = CellOf(answer, "ready");
  host.facts["drained"] = CellOf(answer, "drained");
  // No host lists itself among its peers; its own word stands in.
  const std::string self = "peer " + CellOf(answer, "host") + " ";
  host.facts[self + "reachable"] = "true";
  host.facts[self + "incarnation"] = CellOf(answer, "incarnation");
}

leaf::result<HostFacts> FactsOf(const AdminClient& client) {
  HostFacts host{ToString(client.address()), {}};
  BOOST_LEAF_AUTO(status, client.Call(AdminVerb::kGet, "/v1/status"));
  BOOST_LEAF_AUTO(contracts, client.Call(AdminVerb::kGet, "/v1/contracts"));
  BOOST_LEAF_AUTO(endpoints, client.Call(AdminVerb::kGet, "/v1/endpoints"));
  BOOST_LEAF_AUTO(peers, client.Call(AdminVerb::kGet, "/v1/peers"));
  AddStatus(status, host);
  AddContracts(contracts, host);
  AddEndpoints(endpoints, host);
  AddPeers(peers, host);
  return host;
}

std::vector<Difference> Differences(const std::vector<HostFacts>& hosts) {
  std::set<std::string> names;
  for (const HostFacts& host : hosts) {
    for (const auto& [fact, value] : host.facts) {
      names.insert(fact);
    }
  }
  std::vector<Difference> differences;
  for (const std::string& fact : names) {
    Difference difference{fact, {}};
    for (const HostFacts& host : hosts) {
      const auto found = host.facts.find(fact);
      difference.values.push_back(found == host.facts.end() ? kMissing
                                                            : found->second);
    }
    const auto& values = difference.values;
    if (std::ranges::adjacent_find(values, std::ranges::not_equal_to()) !=
        values.end()) {
      differences.push_back(std::move(difference));
    }
  }
  return differences;
}

void PrintJson(const std::vector<HostFacts>& hosts,
               const std::vector<Difference>& differences,
               std::ostream& out) {
  Json list = Json::array();
  for (const Difference& it : differences) {
    Json values = Json::object();
    for (std::size_t n = 0; n < hosts.size(); ++n) {
      values[hosts[n].address] = it.values[n];
    }
    list.push_back(Json{{"fact", it.fact}, {"values", values}});
  }
  out << Json{{"differences", list}}.dump(2) << "\n";
}

void PrintText(const std::vector<HostFacts>& hosts,
               const std::vector<Difference>& differences,
               std::ostream& out) {
  if (differences.empty()) {
    out << hosts.size() << " hosts agree\n";
    return;
  }
  std::vector<std::string> titles{"FACT"};
  for (const HostFacts& it : hosts) {
    titles.push_back(it.address);
  }
  TextTable table(std::move(titles));
  for (const Difference& it : differences) {
    std::vector<std::string> cells{it.fact};
    cells.insert(cells.end(), it.values.begin(), it.values.end());
    table.AddRow(std::move(cells));
  }
  table.Print(out);
}

leaf::result<CtlExit> RunCompare(const CtlInvocation& invocation) {
  BOOST_LEAF_AUTO(clients, MakeClients(invocation, invocation.arguments));
  std::vector<HostFacts> hosts;
  for (const AdminClient& it : clients) {
    BOOST_LEAF_AUTO(host, FactsOf(it));
    hosts.push_back(std::move(host));
  }
  const std::vector<Difference> differences = Differences(hosts);
  if (invocation.json) {
    PrintJson(hosts, differences, invocation.out);
  } else {
    PrintText(hosts, differences, invocation.out);
  }
  return differences.empty() ? CtlExit::kDone : CtlExit::kFault;
}

}  // namespace

constinit const CtlCommand kCompareCommand{
    .words = "compare",
    .arguments = "IP:PORT IP:PORT...",
    .summary = "show what differs between hosts",
    .description =
        "Lays the hosts' revisions, refused documents, contracts, endpoint "
        "states and views of each other side by side and prints the facts on "
        "which they differ. Exit code 0 says that they agree, 1 that they "
        "differ.",
    .min_arguments = 2,
    .max_arguments = kUnlimitedArguments,
    .hosts = CtlHosts::kByArgument,
    .add_options = nullptr,
    .run = RunCompare};

}  // namespace damasktack
