#ifndef STANDIN_STANDIN_FLEET_H_
#define STANDIN_STANDIN_FLEET_H_

#include <memory>
#include <vector>

#include "standin/deployment.h"
#include "standin/standin_endpoint.h"
#include "standin/standin_platform.h"

namespace damasktack {

// Runs the stand-ins of one deployment in this process: the platform and every
// endpoint. All endpoints share one execution log.
class StandinFleet {
 public:
  explicit StandinFleet(const Deployment& deployment);
  ~StandinFleet();

  // Fails if a port cannot be bound.
  leaf::result<void> Start();
  void Stop();

  StandinPlatform& platform() { return platform_; }
  const ExecutionLog& log() const { return *log_; }
  std::size_t size() const { return endpoints_.size(); }
  StandinEndpoint& endpoint(std::size_t n) { return *endpoints_[n]; }
  // Returns null if there is no endpoint with this id.
  StandinEndpoint* Find(const EndpointId& id);

 private:
  const Deployment deployment_;
  StandinPlatform platform_;
  std::shared_ptr<ExecutionLog> log_;
  std::vector<std::shared_ptr<StandinLoop>> loops_;
  std::vector<std::unique_ptr<StandinEndpoint>> endpoints_;
};

}  // namespace damasktack

#endif  // STANDIN_STANDIN_FLEET_H_
