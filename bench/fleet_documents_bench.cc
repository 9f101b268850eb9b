// Measures how a document change propagates through a simulated fleet: time,
// messages and bytes by number of hosts and document size. Prints one line per
// case.

#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

#include "tests/fleet/memory_network.h"

namespace damasktack {
namespace {

constexpr int kChanges = 20;
constexpr Duration kIdleTime = std::chrono::seconds(1);

double Milliseconds(Duration time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

// Prints the traffic sent per host while no document changes.
void PrintIdleTraffic(MemoryNetwork& network) {
  constexpr Duration kTime = std::chrono::seconds(5);
  network.ResetTraffic();
  network.Run(kTime);
  const double host_seconds = static_cast<double>(network.size()) *
                              std::chrono::duration<double>(kTime).count();
  std::printf("hosts=%zu quiet: %.1f messages/s and %.0f B/s sent a host\n",
              network.size(),
              static_cast<double>(network.traffic().messages) / host_seconds,
              static_cast<double>(network.traffic().bytes) / host_seconds);
}

struct PropagationStats {
  std::vector<Duration> times;
  std::uint64_t pushes = 0;
  std::uint64_t bytes = 0;
};

// Measures the time from the readers' receipt of a change until each host has
// it in force.
void MeasureChange(MemoryNetwork& network,
                   Revision revision,
                   std::size_t size,
                   PropagationStats& stats) {
  network.Run(kIdleTime);
  network.ResetTraffic();
  const TimePoint began = network.now();
  network.OfferToReaders(
      {DocumentName::kContracts, revision, std::string(size, 'x')});
  std::vector<bool> is_applied(network.size(), false);
  network.RunUntil(
      [&] {
        for (std::size_t n = 0; n < network.size(); ++n) {
          const bool applied_now = network.at(n).documents().RevisionOf(
                                       DocumentName::kContracts) == revision;
          if (applied_now && !is_applied[n]) {
            is_applied[n] = true;
            stats.times.push_back(network.now() - began);
          }
        }
        return std::ranges::all_of(is_applied, [](bool it) { return it; });
      },
      std::chrono::seconds(30));
  stats.pushes += network.traffic().pushes;
  stats.bytes += network.traffic().bytes;
}

void PrintChanges(MemoryNetwork& network,
                  std::size_t size,
                  Revision& revision) {
  PropagationStats stats;
  for (int n = 0; n < kChanges; ++n) {
    MeasureChange(network, ++revision, size, stats);
  }
  std::ranges::sort(stats.times);
  const auto at = [&](double quantile) {
    const auto last = static_cast<double>(stats.times.size() - 1);
    return Milliseconds(stats.times[static_cast<std::size_t>(last * quantile)]);
  };
  const double changes = kChanges;
  std::printf(
      "hosts=%zu body=%zuB: p50=%.0fms p99=%.0fms max=%.0fms, a change sends "
      "%.1f bodies and %.0f B in all\n",
      network.size(), size, at(0.5), at(0.99), at(1.0),
      static_cast<double>(stats.pushes) / changes,
      static_cast<double>(stats.bytes) / changes);
}

void Run(std::size_t hosts) {
  MemoryNetwork::Options options;
  options.hosts = hosts;
  options.zones = 4;
  MemoryNetwork network(options);
  network.Offer(0, network.HostList(1));
  network.Run(std::chrono::seconds(3));
  std::size_t readers = 0;
  for (std::size_t n = 0; n < hosts; ++n) {
    readers += IsReader(network.at(n).view()) ? 1 : 0;
  }
  std::printf("hosts=%zu readers=%zu\n", hosts, readers);
  PrintIdleTraffic(network);
  Revision revision = 1;
  PrintChanges(network, 2'000, revision);
  PrintChanges(network, 200'000, revision);
}

}  // namespace
}  // namespace damasktack

int main() {
  for (const std::size_t hosts : {15, 30, 60}) {
    damasktack::Run(hosts);
    std::fflush(stdout);
  }
}
