// Measures how much of a customer's rate limit stays unused when all its
// traffic enters through few hosts, and the messages and bytes that lending
// costs. Simulates fifteen limit allocators that are 1 ms apart, in simulated
// time.
#include <cstdio>
#include <memory>

#include "fleet/limit_allocator.h"
#include "fleet/peer_codec.h"
#include "tests/fleet/fake_fleet.h"

namespace damasktack {

namespace {

constexpr std::size_t kHosts = 15;
constexpr Duration kStep = std::chrono::milliseconds(10);
constexpr int kStepsPerSecond = 100;

Contract MakeContract(std::int64_t rate) {
  Contract contract;
  contract.customer = CustomerId("parks");
  contract.limits.calls_per_second = rate;
  return contract;
}

void Measure(std::int64_t rate, std::size_t entry_hosts) {
  const Contract contract = MakeContract(rate);
  FakeFleet<LimitAllocator> fleet(
      kHosts, 1, [&](HostId id, Incarnation incarnation) {
        auto allocator =
            std::make_unique<LimitAllocator>(id, incarnation, LimitOptions());
        allocator->SetContracts({contract}, {});
        return allocator;
      });
  std::uint64_t bytes = 0;
  fleet.OnSent(
      [&](const PeerMessage& it) { bytes += EncodePeerMessage(it).size(); });
  for (std::size_t n = 0; n < kHosts; ++n) {
    fleet.Start(n);
  }
  fleet.ShowViews();
  for (int n = 0; n < kStepsPerSecond; ++n) {
    fleet.Advance(kStep);
  }
  std::printf("limit %5ld/s, %zu of %zu hosts, unused %% by second:",
              static_cast<long>(rate), entry_hosts, kHosts);
  const std::uint64_t sent_before = fleet.sent();
  bytes = 0;
  constexpr int kSeconds = 10;
  std::size_t next_call = 0;
  for (int second = 0; second < kSeconds; ++second) {
    std::int64_t admitted = 0;
    for (int step = 0; step < kStepsPerSecond; ++step) {
      // The offered rate is three times the limit.
      for (std::int64_t n = 0; n < 3 * rate / kStepsPerSecond + 1; ++n) {
        const auto host = next_call++ % entry_hosts;
        const auto verdict = fleet.At(host).Enter(contract, fleet.now());
        admitted += verdict.admitted ? 1 : 0;
      }
      fleet.Advance(kStep);
    }
    std::printf(" %.1f", 100.0 * (1.0 - static_cast<double>(admitted) /
                                            static_cast<double>(rate)));
  }
  std::printf(
      "; %.1f messages/s, %.0f bytes/s for each host\n",
      static_cast<double>(fleet.sent() - sent_before) / kSeconds / kHosts,
      static_cast<double>(bytes) / kSeconds / kHosts);
}

}  // namespace

}  // namespace damasktack

int main() {
  for (const std::int64_t rate : {30, 300, 3000}) {
    for (const std::size_t entry_hosts : {1U, 2U, 5U, 15U}) {
      damasktack::Measure(rate, entry_hosts);
    }
  }
  return 0;
}
