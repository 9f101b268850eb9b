#include "main/inspect_command.h"

#include <string>
#include <vector>

#include "main/host_answers.h"
#include "main/text_table.h"

namespace damasktack {

namespace {

// A column of a table and the JSON member that it shows.
struct Column {
  std::string title;
  // JSON pointer relative to the row.
  std::string pointer;
};

// Describes a table that is generated from a list in each host's response.
struct TableView {
  // Name of the list; empty if the response itself is the only row.
  std::string list;
  // Name of a list within each item whose items are the rows; empty for none.
  // Such a row has the members of both objects.
  std::string inner_list;
  std::vector<Column> columns;
};

std::string CellAt(const Json& row, const std::string& pointer) {
  const Json::json_pointer whole(pointer);
  if (!row.contains(whole)) {
    return CellOf(Json::object(), "");
  }
  return CellOf(row.at(whole.parent_pointer()), whole.back());
}

std::vector<Json> RowsOf(const Json& answer, const TableView& view) {
  if (view.list.empty()) {
    return {answer};
  }
  std::vector<Json> rows;
  for (const Json& item : answer.value(view.list, Json::array())) {
    if (view.inner_list.empty()) {
      rows.push_back(item);
      continue;
    }
    for (Json row : item.value(view.inner_list, Json::array())) {
      row.insert(item.begin(), item.end());
      rows.push_back(std::move(row));
    }
  }
  return rows;
}

void PrintTable(const HostAnswers& answers,
                const TableView& view,
                std::ostream& out) {
  std::vector<std::string> titles{"ADDRESS"};
  for (const Column& it : view.columns) {
    titles.push_back(it.title);
  }
  TextTable table(std::move(titles));
  for (const HostAnswer& host : answers.answers) {
    for (const Json& row : RowsOf(host.body, view)) {
      std::vector<std::string> cells{ToString(host.address)};
      for (const Column& it : view.columns) {
        cells.push_back(CellAt(row, it.pointer));
      }
      table.AddRow(std::move(cells));
    }
  }
  table.Print(out);
}

leaf::result<CtlExit> Show(const CtlInvocation& invocation,
                           const std::string& path,
                           const std::vector<TableView>& views) {
  BOOST_LEAF_AUTO(clients, MakeClientsForHosts(invocation));
  const HostAnswers answers = QueryAllHosts(clients, AdminVerb::kGet, path);
  if (invocation.json) {
    invocation.out << ToJson(answers).dump(2) << "\n";
  } else if (!answers.answers.empty()) {
    for (const TableView& it : views) {
      invocation.out << (&it == &views.front() ? "" : "\n");
      PrintTable(answers, it, invocation.out);
    }
  }
  PrintErrors(answers, invocation.err);
  return answers.exit();
}

leaf::result<CtlExit> RunStatus(const CtlInvocation& invocation) {
  return Show(invocation, "/v1/status",
              {{"",
                "",
                {{"HOST", "/host"},
                 {"ZONE", "/zone"},
                 {"READY", "/ready"},
                 {"DRAINED", "/drained"},
                 {"STOPPING", "/stopping"},
                 {"UPTIME", "/uptime_us"},
                 {"IN FLIGHT", "/calls_in_flight"},
                 {"BYTES HELD", "/message_bytes"},
                 {"MOST HELD", "/message_bytes_peak"},
                 {"BYTES ALLOWED", "/message_bytes_limit"},
                 {"CONTRACTS", "/contracts_revision"},
                 {"SERVICES", "/services_revision"},
                 {"HOSTS", "/hosts_revision"}}}});
}

leaf::result<CtlExit> RunContracts(const CtlInvocation& invocation) {
  return Show(invocation, "/v1/contracts",
              {{"documents",
                "",
                {{"DOCUMENT", "/name"},
                 {"IN FORCE", "/revision"},
                 {"REFUSED", "/refused/revision"},
                 {"WHERE", "/refused/where"},
                 {"FOUND", "/refused/found"},
                 {"REMEDY", "/refused/remedy"}}},
               {"contracts",
                "",
                {{"CUSTOMER", "/customer"},
                 {"SHARE", "/share"},
                 {"WHEN SHORT", "/when_short"},
                 {"CALLS/S", "/limits/calls_per_second"},
                 {"IN FLIGHT", "/limits/in_flight"},
                 {"WAITING", "/limits/waiting_per_host"},
                 {"RETRY %", "/retry_percent"},
                 {"KEYS", "/keys"}}}});
}

leaf::result<CtlExit> RunEndpoints(const CtlInvocation& invocation) {
  return Show(invocation, "/v1/endpoints",
              {{"services",
                "endpoints",
                {{"SERVICE", "/service"},
                 {"ENDPOINT", "/endpoint"},
                 {"ZONE", "/zone"},
                 {"STATE", "/state"},
                 {"OWN", "/own_in_flight"},
                 {"ESTIMATE", "/estimated_in_flight"},
                 {"SLOTS", "/slots"},
                 {"AGE", "/report_age_us"},
                 {"REASON", "/reason"}}}});
}

leaf::result<CtlExit> RunCustomers(const CtlInvocation& invocation) {
  return Show(invocation, "/v1/customers",
              {{"customers",
                "",
                {{"CUSTOMER", "/customer"},
                 {"SHARE", "/share"},
                 {"COMPLETE", "/complete"},
                 {"NOT RUN", "/not_run"},
                 {"UNKNOWN", "/unknown"},
                 {"CALLS/S", "/calls_per_second/contract"},
                 {"OWNED/1000", "/calls_per_second/owned_milli"},
                 {"LENT/1000", "/calls_per_second/lent_milli"},
                 {"BORROWED/1000", "/calls_per_second/borrowed_milli"}}}});
}

leaf::result<CtlExit> RunPeers(const CtlInvocation& invocation) {
  return Show(invocation, "/v1/peers",
              {{"peers",
                "",
                {{"PEER", "/host"},
                 {"ZONE", "/zone"},
                 {"LISTED", "/listed"},
                 {"REACHABLE", "/reachable"},
                 {"INCARNATION", "/incarnation"}}}});
}

leaf::result<CtlExit> RunProbes(const CtlInvocation& invocation) {
  return Show(invocation, "/v1/probes",
              {{"services",
                "",
                {{"SERVICE", "/service"},
                 {"BUDGET/S", "/budget_per_second"},
                 {"SENT", "/sent"},
                 {"BYTES", "/bytes"},
                 {"WITHHELD", "/withheld"}}}});
}

constexpr CtlCommand Inspection(
    std::string_view words,
    std::string_view summary,
    std::string_view description,
    leaf::result<CtlExit> (*run)(const CtlInvocation&)) {
  return CtlCommand{.words = words,
                    .arguments = "",
                    .summary = summary,
                    .description = description,
                    .min_arguments = 0,
                    .max_arguments = 0,
                    .hosts = CtlHosts::kByOption,
                    .add_options = nullptr,
                    .run = run};
}

}  // namespace

constinit const CtlCommand kStatusCommand =
    Inspection("status",
               "show each host's state and the revisions in force",
               "One line for each host: whether it is ready, drained or "
               "stopping, its calls in flight, and the revision of each "
               "document in force there.",
               RunStatus);

constinit const CtlCommand kContractsCommand =
    Inspection("contracts",
               "show the contracts in force and rejected documents",
               "The documents with the revision in force and, if a later "
               "one was rejected, the location of its error and the "
               "remedy; then the contracts in force. Keys are counted, "
               "never shown.",
               RunContracts);

constinit const CtlCommand kEndpointsCommand =
    Inspection("endpoints",
               "show how each host sees the endpoints",
               "One line for each endpoint: its state and the reason, "
               "this host's calls in flight, the estimated calls in "
               "flight of all hosts, and the age of the last load report.",
               RunEndpoints);

constinit const CtlCommand kCustomersCommand =
    Inspection("customers",
               "show the outcomes of each customer's calls and its part "
               "of the limits",
               "One line for each customer: calls by the outcome reported "
               "to callers, and this host's part of the rate limit in "
               "thousandths of a call per second: owned, lent to other "
               "hosts and borrowed from them.",
               RunCustomers);

constinit const CtlCommand kPeersCommand =
    Inspection("peers",
               "show the other hosts as each host sees them",
               "One line for each other host: its state in the platform's "
               "list and whether its heartbeats arrive. Hosts may see the "
               "fleet differently, which this command shows.",
               RunPeers);

constinit const CtlCommand kProbesCommand =
    Inspection("probes",
               "show the cost of probes and their budget",
               "One line for each service: probes allowed per second on "
               "this host, probes sent, their bytes, and useful probes "
               "that were withheld because of the budget.",
               RunProbes);

}  // namespace damasktack
