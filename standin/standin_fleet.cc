#include "standin/standin_fleet.h"

namespace damasktack {

namespace {

constexpr std::size_t kLoops = 2;

leaf::result<void> BindError(const std::string& where, std::uint16_t port) {
  return Fail(
      ErrorKind::kInvalidAddress, where,
      "port " + std::to_string(port) + " cannot be bound",
      "stop the process that uses the port or generate the files again");
}

}  // namespace

StandinFleet::StandinFleet(const Deployment& deployment)
    : deployment_(deployment), log_(std::make_shared<ExecutionLog>()) {
  for (std::size_t n = 0; n < kLoops; ++n) {
    loops_.push_back(std::make_shared<StandinLoop>());
  }
  for (const DeployedEndpoint& it : deployment_.endpoints) {
    StandinEndpointOptions options;
    options.slots = it.slots;
    options.shape = it.service_time;
    options.seed = endpoints_.size() + 1;
    endpoints_.push_back(std::make_unique<StandinEndpoint>(
        options, loops_[endpoints_.size() % kLoops], log_));
    EndpointFaults network_delay;
    network_delay.one_way_delay = it.one_way_delay;
    endpoints_.back()->SetFaults(network_delay);
  }
}

StandinFleet::~StandinFleet() {
  Stop();
}

leaf::result<void> StandinFleet::Start() {
  if (platform_.Start(deployment_.platform_port) == 0) {
    return BindError("platform", deployment_.platform_port);
  }
  for (std::size_t n = 0; n < endpoints_.size(); ++n) {
    const DeployedEndpoint& it = deployment_.endpoints[n];
    if (endpoints_[n]->Start(it.port) == 0) {
      return BindError("endpoint " + it.id.text(), it.port);
    }
  }
  return {};
}

void StandinFleet::Stop() {
  platform_.Stop();
  for (const auto& it : loops_) {
    it->Stop();
  }
}

StandinEndpoint* StandinFleet::Find(const EndpointId& id) {
  for (std::size_t n = 0; n < endpoints_.size(); ++n) {
    if (deployment_.endpoints[n].id == id) {
      return endpoints_[n].get();
    }
  }
  return nullptr;
}

}  // namespace damasktack
