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

// State of one host as a map from the name of a property to its value, for
// comparison with other hosts.
struct HostProperties {
  std::string address;
  std::map<std::string, std::string> properties;
};

// A property whose values differ, with the value of each host in the order of
// the hosts.
struct Difference {
  std::string property;
  std::vector<std::string> values;
};

void AddContracts(const Json& answer, HostProperties& host) {
  for (const Json& it : answer.value("documents", Json::array())) {
    const std::string name = CellOf(it, "name");
    host.properties[name + " revision"] = CellOf(it, "revision");
    const Json refused = it.value("refused", Json());
    host.properties[name + " refused"] = CellOf(refused, "revision");
  }
  for (const Json& it : answer.value("contracts", Json::array())) {
    const std::string prefix = "contract " + CellOf(it, "customer") + " ";
    const Json flat = it.flatten();
    for (const auto& member : flat.items()) {
      host.properties[prefix + member.key().substr(1)] =
          CellOf(flat, member.key());
    }
  }
}

void AddEndpoints(const Json& answer, HostProperties& host) {
  for (const Json& service : answer.value("services", Json::array())) {
    for (const Json& it : service.value("endpoints", Json::array())) {
      host.properties["endpoint " + CellOf(service, "service") + "/" +
                      CellOf(it, "endpoint") + " state"] = CellOf(it, "state");
    }
  }
}

void AddPeers(const Json& answer, HostProperties& host) {
  for (const Json& it : answer.value("peers", Json::array())) {
    const std::string prefix = "peer " + CellOf(it, "host") + " ";
    host.properties[prefix + "reachable"] = CellOf(it, "reachable");
    host.properties[prefix + "incarnation"] = CellOf(it, "incarnation");
  }
}

void AddStatus(const Json& answer, HostProperties& host) {
  host.properties["ready"] = CellOf(answer, "ready");
  host.properties["drained"] = CellOf(answer, "drained");
  // A host is not among its own peers, so its own values are taken from its
  // status.
  const std::string self = "peer " + CellOf(answer, "host") + " ";
  host.properties[self + "reachable"] = "true";
  host.properties[self + "incarnation"] = CellOf(answer, "incarnation");
}

leaf::result<HostProperties> FetchState(const AdminClient& client) {
  HostProperties host{ToString(client.address()), {}};
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

std::vector<Difference> FindDifferences(
    const std::vector<HostProperties>& hosts) {
  std::set<std::string> names;
  for (const HostProperties& host : hosts) {
    for (const auto& [property, value] : host.properties) {
      names.insert(property);
    }
  }
  std::vector<Difference> differences;
  for (const std::string& property : names) {
    Difference difference{property, {}};
    for (const HostProperties& host : hosts) {
      const auto found = host.properties.find(property);
      difference.values.push_back(
          found == host.properties.end() ? kMissing : found->second);
    }
    const auto& values = difference.values;
    if (std::ranges::adjacent_find(values, std::ranges::not_equal_to()) !=
        values.end()) {
      differences.push_back(std::move(difference));
    }
  }
  return differences;
}

void PrintJson(const std::vector<HostProperties>& hosts,
               const std::vector<Difference>& differences,
               std::ostream& out) {
  Json list = Json::array();
  for (const Difference& it : differences) {
    Json values = Json::object();
    for (std::size_t n = 0; n < hosts.size(); ++n) {
      values[hosts[n].address] = it.values[n];
    }
    list.push_back(Json{{"fact", it.property}, {"values", values}});
  }
  out << Json{{"differences", list}}.dump(2) << "\n";
}

void PrintText(const std::vector<HostProperties>& hosts,
               const std::vector<Difference>& differences,
               std::ostream& out) {
  if (differences.empty()) {
    out << hosts.size() << " hosts agree\n";
    return;
  }
  std::vector<std::string> titles{"FACT"};
  for (const HostProperties& it : hosts) {
    titles.push_back(it.address);
  }
  TextTable table(std::move(titles));
  for (const Difference& it : differences) {
    std::vector<std::string> cells{it.property};
    cells.insert(cells.end(), it.values.begin(), it.values.end());
    table.AddRow(std::move(cells));
  }
  table.Print(out);
}

leaf::result<CtlExit> RunCompare(const CtlInvocation& invocation) {
  BOOST_LEAF_AUTO(clients, MakeClients(invocation, invocation.arguments));
  std::vector<HostProperties> hosts;
  for (const AdminClient& it : clients) {
    BOOST_LEAF_AUTO(host, FetchState(it));
    hosts.push_back(std::move(host));
  }
  const std::vector<Difference> differences = FindDifferences(hosts);
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
    .summary = "show differences between hosts",
    .description =
        "Compares the hosts' revisions, rejected documents, "
        "contracts, endpoint states and views of each other, and "
        "prints the properties that differ. Exit code 0 means that "
        "they agree, 1 that they differ.",
    .min_arguments = 2,
    .max_arguments = kUnlimitedArguments,
    .hosts = CtlHosts::kByArgument,
    .add_options = nullptr,
    .run = RunCompare};

}  // namespace damasktack
