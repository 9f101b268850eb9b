#include <doctest/doctest.h>

#include <set>

#include "contract/document.h"
#include "standin/deployment.h"

namespace damasktack {
namespace {

TEST_CASE("every generated document of a deployment can be parsed") {
  for (const Preset preset : {Preset::kAlentejo, Preset::kCuyo}) {
    const Deployment deployment = MakeDeployment({preset, 15, 100});
    CHECK(Try(
        [&]() -> leaf::result<bool> {
          BOOST_LEAF_AUTO(contracts,
                          ParseContracts({DocumentName::kContracts, 1,
                                          ContractsText(deployment)}));
          BOOST_LEAF_AUTO(services, ParseServices({DocumentName::kServices, 1,
                                                   ServicesText(deployment)}));
          BOOST_LEAF_AUTO(hosts, ParseHosts({DocumentName::kHosts, 1,
                                             HostsText(deployment)}));
          BOOST_LEAF_AUTO(read,
                          ParseStandinText(StandinText(deployment), "file"));
          CHECK(contracts.contracts.size() == 103);
          CHECK(services.services.size() == 3);
          CHECK(hosts.hosts.size() == 15);
          CHECK(read.endpoints.size() == deployment.endpoints.size());
          CHECK(read.endpoints[0].service_time ==
                deployment.endpoints[0].service_time);
          return true;
        },
        [](const Error& error) {
          MESSAGE(ToString(error));
          return false;
        }));
  }
}

TEST_CASE("all ports of a deployment are distinct") {
  const Deployment deployment = MakeDeployment({Preset::kAlentejo, 15, 0});
  std::multiset<std::uint16_t> ports = {deployment.platform_port,
                                        deployment.control_port};
  for (const DeployedHost& it : deployment.hosts) {
    ports.insert({it.callers.port, it.admin.port, it.spec.peer_address.port});
  }
  for (const DeployedEndpoint& it : deployment.endpoints) {
    ports.insert(it.port);
  }
  CHECK(ports.count(0) == 0);
  CHECK(std::set<std::uint16_t>(ports.begin(), ports.end()).size() ==
        ports.size());
}

}  // namespace
}  // namespace damasktack
