#include <fstream>

#include "standin/deployment.h"

namespace damasktack {

namespace {

constexpr std::string_view kFleetKey = "a-key-that-only-the-stand-ins-use";
constexpr std::int64_t kMaxSlots = 1000;
constexpr std::int64_t kMaxPort = 65'535;
constexpr Duration kMaxDelay = std::chrono::seconds(10);
constexpr int kIndent = 2;

std::string Loopback(std::uint16_t port) {
  return ToString(SocketAddress{"127.0.0.1", port});
}

template <typename Items, typename MakeJson>
Json MakeJsonArray(const Items& items, MakeJson make_json) {
  Json list = Json::array();
  for (const auto& it : items) {
    list.push_back(make_json(it));
  }
  return list;
}

std::string CustomerKey(const Deployment& deployment, std::size_t n) {
  return deployment.customers[n].key;
}

Json AlentejoClasses(const Deployment& it) {
  return Json::array({{{"name", "dock"},
                       {"key", CustomerKey(it, 0)},
                       {"method", "POST"},
                       {"path", "/dispatch/dock/{n}"},
                       {"rate", 100},
                       {"idempotency_keys", true}},
                      {{"name", "positions"},
                       {"key", CustomerKey(it, 0)},
                       {"path", "/dashboard/mower/{n}"},
                       {"rate", 200}},
                      {{"name", "lookups"},
                       {"key", CustomerKey(it, 1)},
                       {"path", "/dashboard/blade/{n}"},
                       {"rate", 300}},
                      {{"name", "reports"},
                       {"key", CustomerKey(it, 2)},
                       {"path", "/archive/report/{n}"},
                       {"rate", 1500},
                       {"start", "3s"},
                       {"duration", "3s"}}});
}

Json CuyoClasses(const Deployment& it) {
  return Json::array({{{"name", "status"},
                       {"key", CustomerKey(it, 0)},
                       {"path", "/permits/plant/{n}"},
                       {"rate", 150}},
                      {{"name", "renewals"},
                       {"key", CustomerKey(it, 1)},
                       {"method", "POST"},
                       {"path", "/renewals/{n}"},
                       {"rate", 100},
                       {"idempotency_keys", true}},
                      {{"name", "limits"},
                       {"key", CustomerKey(it, 2)},
                       {"path", "/limits/outfall/{n}"},
                       {"rate", 4000},
                       {"start", "3s"},
                       {"duration", "3s"}}});
}

leaf::result<DeployedEndpoint> ParseEndpoint(const Json& json) {
  DeployedEndpoint endpoint;
  std::string id;
  std::string time;
  std::int64_t port = 0;
  std::int64_t slots = 0;
  JsonReader reader(json, "endpoint");
  reader.Read("id", id);
  reader.Read("port", port, 0, kMaxPort);
  reader.Read("slots", slots, 1, kMaxSlots);
  reader.Read("service_time", time);
  reader.ReadOptional("one_way_delay", endpoint.one_way_delay, Duration::zero(),
                      kMaxDelay);
  BOOST_LEAF_CHECK(reader.Finish());
  BOOST_LEAF_ASSIGN(endpoint.service_time,
                    ParseServiceTime(time, reader.PathOf("service_time")));
  endpoint.id = EndpointId(id);
  endpoint.port = static_cast<std::uint16_t>(port);
  endpoint.slots = static_cast<std::int32_t>(slots);
  return endpoint;
}

leaf::result<void> WriteFile(const std::string& path, const std::string& text) {
  std::ofstream file(path);
  file << text << "\n";
  if (!file) {
    return Fail(ErrorKind::kFileUnreadable, path, "the file cannot be written",
                "name an existing folder with write permission");
  }
  return {};
}

}  // namespace

std::string ContractsText(const Deployment& deployment) {
  const Json list = MakeJsonArray(
      deployment.contracts, [](const Contract& it) { return ToJson(it); });
  return Json{{"contracts", list}}.dump(kIndent);
}

std::string ServicesText(const Deployment& deployment) {
  const Json list = MakeJsonArray(
      deployment.services, [](const ServiceSpec& it) { return ToJson(it); });
  return Json{{"services", list}}.dump(kIndent);
}

std::string HostsText(const Deployment& deployment) {
  const Json list = MakeJsonArray(
      deployment.hosts, [](const DeployedHost& it) { return ToJson(it.spec); });
  return Json{{"hosts", list}}.dump(kIndent);
}

std::string SettingsText(const Deployment& deployment,
                         const DeployedHost& host) {
  Json seeds = Json::array();
  for (const DeployedHost& it : deployment.hosts) {
    if (it.spec.id != host.spec.id) {
      seeds.push_back(ToString(it.spec.peer_address));
    }
  }
  const Json fleet{{"listen", ToString(host.spec.peer_address)},
                   {"key", kFleetKey},
                   {"seeds", seeds}};
  return Json{
      {"host", host.spec.id.text()},
      {"zone", host.spec.zone.text()},
      {"proxy", {{"listen", ToString(host.callers)}}},
      {"admin",
       {{"listen", ToString(host.admin)}, {"token", kDeployedAdminToken}}},
      {"platform", {{"address", Loopback(deployment.platform_port)}}},
      {"fleet", fleet},
      // A new deployment has no earlier claim replica that could have been
      // lost. With the default quarantine, calls with idempotency keys would be
      // refused for the first minute.
      {"claims", {{"quarantine", "0s"}}},
      {"stop", {{"lag", "500ms"}}}}
      .dump(kIndent);
}

std::string StandinText(const Deployment& deployment) {
  const Json endpoints =
      MakeJsonArray(deployment.endpoints, [](const DeployedEndpoint& it) {
        return Json{{"id", it.id.text()},
                    {"port", it.port},
                    {"slots", it.slots},
                    {"service_time", FormatServiceTime(it.service_time)},
                    {"one_way_delay", FormatDuration(it.one_way_delay)}};
      });
  return Json{{"platform_port", deployment.platform_port},
              {"control_port", deployment.control_port},
              {"endpoints", endpoints}}
      .dump(kIndent);
}

leaf::result<Deployment> ParseStandinText(std::string_view text,
                                          std::string_view where) {
  BOOST_LEAF_AUTO(json, ParseJson(text, where));
  std::int64_t platform_port = 0;
  std::int64_t control_port = 0;
  JsonReader reader(json, "");
  reader.Read("platform_port", platform_port, 0, kMaxPort);
  reader.Read("control_port", control_port, 0, kMaxPort);
  const Json* list = reader.Array("endpoints");
  BOOST_LEAF_CHECK(reader.Finish());
  Deployment deployment;
  deployment.platform_port = static_cast<std::uint16_t>(platform_port);
  deployment.control_port = static_cast<std::uint16_t>(control_port);
  for (const Json& it : *list) {
    BOOST_LEAF_AUTO(endpoint, ParseEndpoint(it));
    deployment.endpoints.push_back(std::move(endpoint));
  }
  return deployment;
}

std::string LoadPlanText(const Deployment& deployment) {
  const Json entries =
      MakeJsonArray(deployment.hosts, [](const DeployedHost& it) {
        return Json{{"callers", ToString(it.callers)},
                    {"admin", ToString(it.admin)}};
      });
  const bool is_alentejo = deployment.services.front().id.text() == "dashboard";
  const Json classes =
      is_alentejo ? AlentejoClasses(deployment) : CuyoClasses(deployment);
  return Json{{"duration", "10s"}, {"entries", entries}, {"classes", classes}}
      .dump(kIndent);
}

leaf::result<void> WriteDeployment(const Deployment& deployment,
                                   const std::string& folder) {
  const std::string prefix = folder + "/";
  BOOST_LEAF_CHECK(
      WriteFile(prefix + "contracts.json", ContractsText(deployment)));
  BOOST_LEAF_CHECK(
      WriteFile(prefix + "services.json", ServicesText(deployment)));
  BOOST_LEAF_CHECK(WriteFile(prefix + "hosts.json", HostsText(deployment)));
  BOOST_LEAF_CHECK(WriteFile(prefix + "standin.json", StandinText(deployment)));
  BOOST_LEAF_CHECK(WriteFile(prefix + "load.json", LoadPlanText(deployment)));
  for (const DeployedHost& it : deployment.hosts) {
    BOOST_LEAF_CHECK(WriteFile(prefix + "host-" + it.spec.id.text() + ".json",
                               SettingsText(deployment, it)));
  }
  return {};
}

}  // namespace damasktack
