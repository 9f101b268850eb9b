#include "standin/deployment.h"

#include <array>
#include <span>

#include "proxy/routing_table.h"
#include "standin/free_ports.h"

namespace damasktack {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::string_view kLoopback = "127.0.0.1";
constexpr double kProbesPerSecond = 20;

struct ServicePlan {
  std::string_view id;
  int endpoints = 0;
  ServiceTime time;
};

struct RulePlan {
  std::string_view service;
  std::string_view method;
  bool idempotent = true;
  Urgency urgency = Urgency::kNormal;
  Duration deadline = seconds(2);
};

struct CustomerPlan {
  std::string_view id;
  std::int64_t share = 1;
  std::vector<RulePlan> rules;
};

struct PresetPlan {
  std::vector<std::string_view> zones;
  Duration cross_zone_delay{};
  std::int32_t slots = 0;
  std::int64_t connections = 0;
  std::vector<ServicePlan> services;
  std::vector<CustomerPlan> customers;
};

ServiceTime Exponential(Duration mean) {
  return ServiceTime{ServiceShape::kExponential, mean};
}

PresetPlan AlentejoPlan() {
  const ServiceTime report{ServiceShape::kBimodal, milliseconds(20),
                           milliseconds(200), 0.1};
  return PresetPlan{
      .zones = {"a1", "a2", "a3"},
      .cross_zone_delay = milliseconds(1),
      .slots = 6,
      .connections = 250,
      .services = {{"dashboard", 15, Exponential(milliseconds(8))},
                   {"dispatch", 6, Exponential(milliseconds(10))},
                   {"archive", 13, report}},
      .customers = {
          {"keepers",
           8,
           {{"dispatch", "POST", false, Urgency::kUrgent},
            {"dispatch", "GET", true, Urgency::kUrgent},
            {"dashboard", "GET", true, Urgency::kNormal}}},
          {"parishes", 4, {{"dashboard", "GET", true, Urgency::kNormal}}},
          {"council",
           1,
           {{"archive", "GET", true, Urgency::kBulk, seconds(20)},
            {"dashboard", "GET", true, Urgency::kBulk, seconds(20)}}}}};
}

PresetPlan CuyoPlan() {
  return PresetPlan{
      .zones = {"c1", "c2", "c3", "c4"},
      .cross_zone_delay = microseconds(1500),
      .slots = 3,
      .connections = 220,
      .services = {{"permits", 8, Exponential(milliseconds(6))},
                   {"renewals", 8, Exponential(milliseconds(20))},
                   {"limits", 10, Exponential(milliseconds(5))}},
      .customers = {
          {"inspectors", 8, {{"permits", "GET", true, Urgency::kUrgent}}},
          {"plants",
           4,
           {{"renewals", "POST", false, Urgency::kNormal, seconds(5)},
            {"permits", "GET", true, Urgency::kNormal}}},
          {"operators",
           1,
           {{"limits", "GET", true, Urgency::kBulk, seconds(10)},
            {"permits", "GET", true, Urgency::kBulk, seconds(10)}}}}};
}

SocketAddress AllocateAddress(FreePorts& ports) {
  return SocketAddress{std::string(kLoopback), ports.Take()};
}

template <typename Items>
ZoneId ZoneOf(const Items& zones, std::size_t n) {
  return ZoneId(std::string(zones[n % zones.size()]));
}

Contract MakeContract(const CustomerPlan& plan, std::string_view key) {
  Contract contract;
  contract.customer = CustomerId(std::string(plan.id));
  contract.key_sha256 = {Sha256Hex(key)};
  contract.share = plan.share;
  for (const RulePlan& it : plan.rules) {
    RequestRule rule;
    rule.service = ServiceId(std::string(it.service));
    rule.methods = {std::string(it.method)};
    rule.idempotent = it.idempotent;
    rule.urgency = it.urgency;
    rule.deadline = it.deadline;
    contract.requests.push_back(std::move(rule));
  }
  return contract;
}

void AddCustomers(const PresetPlan& plan,
                  std::int64_t extra,
                  Deployment& deployment) {
  for (const CustomerPlan& it : plan.customers) {
    const std::string key = std::string(it.id) + "-key";
    deployment.contracts.push_back(MakeContract(it, key));
    deployment.customers.push_back({CustomerId(std::string(it.id)), key});
  }
  for (std::int64_t n = 0; n < extra; ++n) {
    const std::string name = "customer-" + std::to_string(n);
    const CustomerPlan idle{name, 1, plan.customers.front().rules};
    deployment.contracts.push_back(MakeContract(idle, name + "-key"));
  }
}

void AddService(const PresetPlan& plan,
                const ServicePlan& service_plan,
                FreePorts& ports,
                Deployment& deployment) {
  ServiceSpec service;
  service.id = ServiceId(std::string(service_plan.id));
  service.prefix = "/" + service.id.text();
  service.probes_per_second = kProbesPerSecond;
  service.echoes_call = true;
  for (int n = 0; n < service_plan.endpoints; ++n) {
    EndpointSpec endpoint;
    endpoint.id = EndpointId(service.id.text() + "-" + std::to_string(n + 1));
    endpoint.address = AllocateAddress(ports);
    endpoint.zone = ZoneOf(plan.zones, static_cast<std::size_t>(n));
    endpoint.slots = plan.slots;
    endpoint.connections = plan.connections;
    deployment.endpoints.push_back({endpoint.id, endpoint.address.port,
                                    plan.slots, service_plan.time,
                                    plan.cross_zone_delay});
    service.endpoints.push_back(std::move(endpoint));
  }
  deployment.services.push_back(std::move(service));
}

void AddHosts(const PresetPlan& plan,
              std::int64_t count,
              FreePorts& ports,
              Deployment& deployment) {
  for (std::int64_t n = 0; n < count; ++n) {
    DeployedHost host;
    host.spec.id = HostId("h" + std::to_string(n + 1));
    host.spec.zone = ZoneOf(plan.zones, static_cast<std::size_t>(n));
    host.spec.peer_address = AllocateAddress(ports);
    host.callers = AllocateAddress(ports);
    host.admin = AllocateAddress(ports);
    deployment.hosts.push_back(std::move(host));
  }
}

}  // namespace

leaf::result<Preset> ParsePreset(std::string_view name) {
  if (name == "alentejo") {
    return Preset::kAlentejo;
  }
  if (name == "cuyo") {
    return Preset::kCuyo;
  }
  return Fail(ErrorKind::kUsage, "--preset", std::string(name),
              "write alentejo or cuyo");
}

Deployment MakeDeployment(const DeploymentOptions& options) {
  const PresetPlan plan =
      options.preset == Preset::kAlentejo ? AlentejoPlan() : CuyoPlan();
  Deployment deployment;
  FreePorts ports;
  deployment.platform_port = ports.Take();
  deployment.control_port = ports.Take();
  AddCustomers(plan, options.extra_contracts, deployment);
  for (const ServicePlan& it : plan.services) {
    AddService(plan, it, ports, deployment);
  }
  AddHosts(plan, options.hosts, ports, deployment);
  return deployment;
}

}  // namespace damasktack
