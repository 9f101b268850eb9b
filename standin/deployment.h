#ifndef STANDIN_DEPLOYMENT_H_
#define STANDIN_DEPLOYMENT_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "contract/document.h"
#include "core/error.h"
#include "standin/service_time.h"

namespace damasktack {

// Token of the administration API of every deployed host.
inline constexpr std::string_view kDeployedAdminToken = "standin-admin-token";

enum class Preset : std::uint8_t { kAlentejo, kCuyo };
leaf::result<Preset> ParsePreset(std::string_view name);

// One host of the load balancer on the loopback interface.
struct DeployedHost {
  HostSpec spec;
  SocketAddress callers;
  SocketAddress admin;
};

// The stand-in that serves one published endpoint.
struct DeployedEndpoint {
  EndpointId id;
  std::uint16_t port = 0;
  std::int32_t slots = 6;
  ServiceTime service_time;
  // Network delay in each direction between the hosts and this endpoint.
  Duration one_way_delay{};
};

// A customer and the API key that its callers send.
struct DeployedCustomer {
  CustomerId id;
  std::string key;
};

// Description of one fleet on loopback: the documents that the platform
// publishes, the address of each process, and the customers' keys.
struct Deployment {
  std::vector<Contract> contracts;
  std::vector<ServiceSpec> services;
  std::vector<DeployedHost> hosts;
  std::vector<DeployedEndpoint> endpoints;
  std::vector<DeployedCustomer> customers;
  std::uint16_t platform_port = 0;
  std::uint16_t control_port = 0;
};

struct DeploymentOptions {
  Preset preset = Preset::kAlentejo;
  std::int64_t hosts = 15;
  // Contracts in addition to the preset's, whose customers send no calls.
  std::int64_t extra_contracts = 0;
};

// Creates a deployment with the sizes of the preset, which are those of the
// customers' deployments, on ports that are free at the time of the call.
Deployment MakeDeployment(const DeploymentOptions& options);

// Return the documents in the form that the platform publishes.
std::string ContractsText(const Deployment& deployment);
std::string ServicesText(const Deployment& deployment);
std::string HostsText(const Deployment& deployment);
// Returns the settings file of one host.
std::string SettingsText(const Deployment& deployment,
                         const DeployedHost& host);
// Returns the configuration of the stand-in process, which reads it with
// ParseStandinText.
std::string StandinText(const Deployment& deployment);
leaf::result<Deployment> ParseStandinText(std::string_view text,
                                          std::string_view where);
// Returns the preset's mixed load as a plan for `damasktackctl load`.
std::string LoadPlanText(const Deployment& deployment);

// Writes all these files into an existing folder.
leaf::result<void> WriteDeployment(const Deployment& deployment,
                                   const std::string& folder);

}  // namespace damasktack

#endif  // STANDIN_DEPLOYMENT_H_
