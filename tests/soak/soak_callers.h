#ifndef TESTS_SOAK_SOAK_CALLERS_H_
#define TESTS_SOAK_SOAK_CALLERS_H_

#include <atomic>
#include <cstdint>
#include <thread>
#include <vector>

#include "tests/soak/soak_fleet.h"
#include "tests/soak/soak_recorder.h"

namespace damasktack {

// Runs callers that reuse their connections, one caller that requests the
// routes of the two newest configuration versions from each host, and one that
// sends a crashing request. Records the responses in the ledger and checks each
// one.
class SoakCallers {
 public:
  SoakCallers(const SoakFleet& fleet, SoakRecorder& ledger, std::uint64_t seed);
  ~SoakCallers();

  // Requests sent, and those that got status 200, since the last TakeCounts().
  struct CallCounts {
    int sent = 0;
    int served = 0;
  };
  CallCounts TakeCounts();

 private:
  struct SeenVersion {
    int generation = 0;
    int version = 0;
  };

  void Call(std::uint64_t seed);
  void QueryVersions();
  // Repeats one request, at random hosts, that crashes each endpoint that
  // executes it.
  void SendCrashing(std::uint64_t seed);
  void QueryVersion(int host, int version, SeenVersion& seen);

  const SoakFleet& fleet_;
  SoakRecorder& ledger_;
  const std::string prefix_;
  std::atomic<bool> stopping_ = false;
  std::atomic<int> next_ = 0;
  std::atomic<int> sent_ = 0;
  std::atomic<int> served_ = 0;
  std::vector<std::thread> threads_;
};

}  // namespace damasktack

#endif  // TESTS_SOAK_SOAK_CALLERS_H_
