// Measures the time until a published change is in force on every host, with
// many FleetNodes and one stand-in platform in one process, connected over
// loopback. Also prints the cost of an idle host.

#include <sys/resource.h>

#include <algorithm>
#include <cstdio>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <spdlog/spdlog.h>

#include "main/fleet_node.h"
#include "standin/standin_platform.h"

namespace damasktack {
namespace {

constexpr std::size_t kZones = 4;
constexpr int kChanges = 30;
constexpr Duration kIdleTime = std::chrono::seconds(10);
constexpr Duration kPollInterval = std::chrono::milliseconds(1);

class NoOpEvents : public FleetNodeEvents {
 public:
  void OnInForce(const Document& /*document*/) override {}
  void OnRefused(DocumentName /*name*/,
                 const DocumentRefusal& /*refusal*/) override {}
  void OnPeerDrainObserved(const DrainObservation& /*observation*/) override {}
};

using Nodes = std::vector<std::unique_ptr<FleetNode>>;

double Milliseconds(Duration time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

double CpuSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  constexpr double kMicro = 1e-6;
  return static_cast<double>(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) +
         kMicro * static_cast<double>(usage.ru_utime.tv_usec +
                                      usage.ru_stime.tv_usec);
}

std::uint64_t BytesSent(const Nodes& nodes) {
  std::uint64_t bytes = 0;
  for (const auto& it : nodes) {
    bytes += it->transport_counters().bytes_sent;
  }
  return bytes;
}

std::string HostList(const Nodes& nodes) {
  std::string text = R"({"hosts": [)";
  for (std::size_t n = 0; n < nodes.size(); ++n) {
    text += n == 0 ? "" : ",";
    text += R"({"id": "h)" + std::to_string(n) + R"(", "zone": "z)" +
            std::to_string(n % kZones) + R"(", "peer_address": "127.0.0.1:)" +
            std::to_string(nodes[n]->peer_port()) + R"("})";
  }
  return text + "]}";
}

// Returns a valid contract document of about `size` bytes that differs for each
// `change`.
std::string ContractsOf(std::size_t size, int change) {
  return R"({"contracts": [] /* )" + std::to_string(change) +
         std::string(size, 'x') + " */}";
}

void WaitUntilApplied(const Nodes& nodes,
                      Revision revision,
                      std::vector<Duration>* times) {
  const TimePoint began = Clock::now();
  std::vector<bool> is_applied(nodes.size(), false);
  while (!std::ranges::all_of(is_applied, [](bool it) { return it; })) {
    for (std::size_t n = 0; n < nodes.size(); ++n) {
      const bool applied_now =
          nodes[n]->state()->RevisionOf(DocumentName::kContracts) >= revision;
      if (applied_now && !is_applied[n]) {
        is_applied[n] = true;
        if (times != nullptr) {
          times->push_back(Clock::now() - began);
        }
      }
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

void PrintChanges(const Nodes& nodes,
                  StandinPlatform& platform,
                  std::size_t size) {
  std::vector<Duration> times;
  for (int n = 0; n < kChanges; ++n) {
    const Revision revision =
        platform.Publish("contracts", ContractsOf(size, n));
    WaitUntilApplied(nodes, revision, &times);
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
  }
  std::ranges::sort(times);
  const auto at = [&](double quantile) {
    const auto last = static_cast<double>(times.size() - 1);
    return Milliseconds(times[static_cast<std::size_t>(last * quantile)]);
  };
  std::printf("hosts=%zu body=%zuB p50=%.0fms p99=%.0fms max=%.0fms\n",
              nodes.size(), size, at(0.5), at(0.99), at(1.0));
}

void PrintIdleCost(const Nodes& nodes, StandinPlatform& platform) {
  const double cpu_before = CpuSeconds();
  const std::uint64_t bytes = BytesSent(nodes);
  const std::uint64_t reads = platform.reads();
  std::this_thread::sleep_for(kIdleTime);
  const double seconds = std::chrono::duration<double>(kIdleTime).count();
  const double hosts = static_cast<double>(nodes.size());
  std::printf(
      "hosts=%zu quiet: %.2f%% of a core and %.0f B/s sent a host, %.2f "
      "platform reads/s in all\n",
      nodes.size(), 100 * (CpuSeconds() - cpu_before) / seconds / hosts,
      static_cast<double>(BytesSent(nodes) - bytes) / seconds / hosts,
      static_cast<double>(platform.reads() - reads) / seconds);
}

void Run(std::size_t hosts) {
  StandinPlatform platform;
  const std::uint16_t port = platform.Start(0);
  NoOpEvents events;
  Nodes nodes;
  for (std::size_t n = 0; n < hosts; ++n) {
    FleetNodeOptions options;
    options.host = HostId("h" + std::to_string(n));
    options.zone = ZoneId("z" + std::to_string(n % kZones));
    options.platform = SocketAddress{"127.0.0.1", port};
    options.fleet.enabled = true;
    options.fleet.listen = SocketAddress{"127.0.0.1", 0};
    options.fleet.key = "a key of the fleet";
    nodes.push_back(std::make_unique<FleetNode>(options, events));
    Try([&] { return nodes.back()->Start(); }, [](const Error&) {});
  }
  platform.Publish("services", R"({"services": []})");
  platform.Publish("hosts", HostList(nodes));
  WaitUntilApplied(nodes, platform.Publish("contracts", ContractsOf(0, 0)),
                   nullptr);
  std::this_thread::sleep_for(std::chrono::seconds(5));
  PrintIdleCost(nodes, platform);
  PrintChanges(nodes, platform, 2'000);
  PrintChanges(nodes, platform, 500'000);
  std::fflush(stdout);
}

}  // namespace
}  // namespace damasktack

int main() {
  spdlog::set_level(spdlog::level::off);
  for (const std::size_t hosts : {15, 60}) {
    damasktack::Run(hosts);
  }
}
