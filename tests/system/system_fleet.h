#ifndef TESTS_SYSTEM_SYSTEM_FLEET_H_
#define TESTS_SYSTEM_SYSTEM_FLEET_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "main/load_plan.h"
#include "standin/deployment.h"
#include "standin/standin_fleet.h"
#include "tests/system/child_process.h"

namespace damasktack {

// Daemon processes on loopback ports, with stand-ins for platform and endpoints
// in the test's own process.
class SystemFleet {
 public:
  // Publishes the documents and starts all hosts; returns when all are ready.
  // The folder of settings and logs is removed by the destructor.
  explicit SystemFleet(const DeploymentOptions& options);
  ~SystemFleet();

  // The deployment, which tests may change and publish again.
  Deployment& deployment() { return deployment_; }
  StandinFleet& standins() { return standins_; }
  std::size_t size() const { return deployment_.hosts.size(); }
  ChildProcess& host(std::size_t n) { return *processes_[n]; }

  void Publish(DocumentName name);
  void StartHost(std::size_t n);
  bool IsReady(std::size_t n) const;
  void WaitReady(std::size_t n) const;
  // Returns the revision that is in force on a host; 0 if it does not respond.
  Revision InForce(std::size_t n, DocumentName name) const;
  // Returns the log of a host over all its processes.
  std::string Log(std::size_t n) const;
  const std::string& folder() const { return folder_; }

  // Returns a load plan with all hosts as entries and without classes.
  LoadPlan Plan(Duration duration) const;

 private:
  std::string SettingsPath(std::size_t n) const;
  std::string LogPath(std::size_t n) const;

  std::string folder_;
  Deployment deployment_;
  StandinFleet standins_;
  std::vector<std::unique_ptr<ChildProcess>> processes_;
};

// Polls until `condition` holds; fails the test after a minute.
void WaitUntil(const std::string& what, const std::function<bool()>& condition);

}  // namespace damasktack

#endif  // TESTS_SYSTEM_SYSTEM_FLEET_H_
