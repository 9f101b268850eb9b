#ifndef TESTS_CROWD_CROWD_HOST_H_
#define TESTS_CROWD_CROWD_HOST_H_

#include <cstdint>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <string_view>

#include "platform/standin/standin_store.h"
#include "standin/free_ports.h"
#include "tests/proxy/raw_peer.h"
#include "tests/system/child_process.h"

namespace damasktack {

// Runs one daemon as a process of its own on loopback ports, with a store and
// one endpoint in the test's process. The limits on callers are lowered so that
// a small crowd exceeds them.
class CrowdHost {
 public:
  // Memory and descriptors of the machine that the daemon runs on.
  static constexpr std::size_t kMachineBytes = 64 << 20;
  static constexpr std::size_t kMachineDescriptors = 300;
  // Limit on connections of callers.
  static constexpr std::size_t kCallerConnections = 100;
  // Published limit on the body of a request.
  static constexpr std::size_t kMaxBodyBytes = 8 << 20;

  // Returns when the daemon is ready.
  CrowdHost();
  ~CrowdHost();

  std::uint16_t callers() const { return callers_; }
  std::uint16_t relays() const { return relays_; }
  std::uint16_t admin() const { return admin_; }
  std::uint16_t peers() const { return peers_; }

  // Sends a request and returns the answer; empty if there is none.
  std::string Ask(const std::string& request) const;
  bool IsRunning() { return !process_->HasEnded(); }
  // Largest resident size that the daemon has had, in bytes.
  std::size_t PeakBytes() const;
  std::size_t OpenDescriptors() const;
  // Returns whether the endpoint ran the request with this id.
  bool HasRun(const std::string& id) const;

 private:
  void Publish();
  void Serve(RawConnection& connection);
  std::string Settings() const;

  const std::string folder_;
  FreePorts ports_;
  const std::uint16_t callers_;
  const std::uint16_t relays_;
  const std::uint16_t admin_;
  const std::uint16_t peers_;
  mutable std::mutex mutex_;
  std::set<std::string> run_;
  StandinStore store_{100};
  RawEndpoint endpoint_;
  std::unique_ptr<ChildProcess> process_;
};

// Returns the head of a request, up to the empty line and with it. `length` is
// the header that states how the body ends; empty for a request without one.
std::string RequestHead(std::string_view method,
                        std::string_view target,
                        const std::string& id,
                        std::string_view length = "");

// Returns the status code of an answer, or 0 if there is none.
int StatusCodeOf(std::string_view answer);

}  // namespace damasktack

#endif  // TESTS_CROWD_CROWD_HOST_H_
