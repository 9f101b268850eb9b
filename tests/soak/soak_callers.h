#ifndef TESTS_SOAK_SOAK_CALLERS_H_
#define TESTS_SOAK_SOAK_CALLERS_H_

#include <atomic>
#include <cstdint>
#include <thread>
#include <vector>

#include "tests/soak/soak_fleet.h"
#include "tests/soak/soak_ledger.h"

namespace damasktack {

// Callers that keep their connections open until these end, and one that asks
// each host for the routes of the last versions. They tell the ledger what they
// hear and check at once what one answer shows.
class SoakCallers {
 public:
  SoakCallers(const SoakFleet& fleet, SoakLedger& ledger, std::uint64_t seed);
  ~SoakCallers();

  // Requests that got an answer, and those that got 200, since the last call.
  struct Count {
    int asked = 0;
    int served = 0;
  };
  Count TakeCount();

 private:
  struct Seen {
    int life = 0;
    int version = 0;
  };

  void Call(std::uint64_t seed);
  void AskVersions();
  // The same request again and again, at any host; it crashes what runs it.
  void SendCrashing(std::uint64_t seed);
  void AskVersion(int host, int version, Seen& seen);

  const SoakFleet& fleet_;
  SoakLedger& ledger_;
  const std::string prefix_;
  std::atomic<bool> stopping_ = false;
  std::atomic<int> next_ = 0;
  std::atomic<int> asked_ = 0;
  std::atomic<int> served_ = 0;
  std::vector<std::thread> threads_;
};

}  // namespace damasktack

#endif  // TESTS_SOAK_SOAK_CALLERS_H_
