// Measures time and allocations of the endpoint table's operations for one call
// (pick, send, end, report) with reports of different ages.
#include <benchmark/benchmark.h>

#include <atomic>
#include <cstdlib>
#include <new>
#include <string>

#include "policy/endpoint_table.h"
#include "policy/measured_balancer.h"

namespace {

std::atomic<std::uint64_t> g_allocations = 0;

}  // namespace

void* operator new(std::size_t size) {
  ++g_allocations;
  void* memory = std::malloc(size);
  if (memory == nullptr) {
    std::abort();
  }
  return memory;
}

void operator delete(void* memory) noexcept {
  std::free(memory);
}

void operator delete(void* memory, std::size_t /*size*/) noexcept {
  std::free(memory);
}

namespace damasktack {
namespace {

using std::chrono::microseconds;

ServiceSpec MakeService(int endpoints) {
  ServiceSpec service;
  for (int n = 0; n < endpoints; ++n) {
    EndpointSpec spec;
    spec.id = EndpointId("e" + std::to_string(n));
    spec.address = SocketAddress{"10.0.0.1", static_cast<std::uint16_t>(n + 1)};
    spec.zone = ZoneId("z" + std::to_string(n % 3));
    spec.slots = 6;
    service.endpoints.push_back(spec);
  }
  return service;
}

EndpointTable MakeTable(int endpoints, std::string_view picker) {
  const ServiceSpec service = MakeService(endpoints);
  EndpointTable table(
      EndpointTableOptions{ZoneId("z1"), std::chrono::milliseconds(1), picker});
  table.SetService(service, 15, TimePoint(std::chrono::seconds(1)));
  return table;
}

EndpointReport ReportOf(std::int32_t in_flight) {
  EndpointReport report;
  report.in_flight = in_flight;
  report.slots = 6;
  return report;
}

void CountAllocations(benchmark::State& state, std::uint64_t before) {
  state.counters["allocations"] = static_cast<double>(g_allocations - before) /
                                  static_cast<double>(state.iterations());
}

// Measures Pick() when each endpoint has kOwnCalls open calls of this host.
template <int kOwnCalls>
void BM_Pick(benchmark::State& state) {
  const auto endpoints = static_cast<int>(state.range(0));
  EndpointTable table = MakeTable(endpoints, ChosenPicker::kName);
  Random random(1);
  TimePoint now(std::chrono::seconds(2));
  for (int n = 0; n < endpoints; ++n) {
    const auto calls = static_cast<std::int32_t>(UniformBelow(random, 5));
    table.OnReport(static_cast<EndpointIndex>(n), ReportOf(calls), now);
    if (n % 15 == 0) {
      table.OnSend(static_cast<EndpointIndex>(n), now);
    }
    for (int sends = 0; sends < kOwnCalls; ++sends) {
      table.OnSend(static_cast<EndpointIndex>(n), now);
    }
    now += microseconds(10);
  }
  std::uint64_t picked = 0;
  const std::uint64_t before = g_allocations;
  for (auto _ : state) {
    now += microseconds(1);
    picked += table.Pick(PickRequest{}, now, random) ? 1 : 0;
  }
  CountAllocations(state, before);
  state.counters["picked"] =
      static_cast<double>(picked) / static_cast<double>(state.iterations());
}
BENCHMARK(BM_Pick<0>)->Name("pick, some have room")->Arg(15)->Arg(510);
BENCHMARK(BM_Pick<6>)->Name("pick, none has room")->Arg(15)->Arg(510);

// Measures all operations of the endpoint table for one call.
void BM_Call(benchmark::State& state) {
  const auto endpoints = static_cast<int>(state.range(0));
  EndpointTable table = MakeTable(endpoints, ChosenPicker::kName);
  Random random(1);
  TimePoint now(std::chrono::seconds(2));
  const std::uint64_t before = g_allocations;
  for (auto _ : state) {
    now += microseconds(200);
    const auto picked = table.Pick(PickRequest{}, now, random);
    if (!picked) {
      continue;
    }
    table.OnSend(*picked, now);
    const auto took =
        microseconds(2000 + static_cast<int>(UniformBelow(random, 6000)));
    table.OnEnd(*picked, SendResult::kAnswered, took, now);
    table.OnReport(*picked,
                   ReportOf(static_cast<std::int32_t>(UniformBelow(random, 5))),
                   now);
  }
  CountAllocations(state, before);
}
BENCHMARK(BM_Call)->Name("pick, send, end, report")->Arg(15)->Arg(510);

// Measures the update of a host when one endpoint of a service is replaced.
void BM_Replace(benchmark::State& state) {
  ServiceSpec service = MakeService(static_cast<int>(state.range(0)));
  MeasuredBalancerOptions options;
  options.host = HostId("h1");
  options.zone = ZoneId("z1");
  MeasuredBalancer balancer(options, 1);
  TimePoint now(std::chrono::seconds(2));
  balancer.SetService(service, 100, now);
  std::size_t next = 0;
  for (auto _ : state) {
    now += microseconds(200);
    service.endpoints[next].started_at += std::chrono::milliseconds(1);
    next = (next + 1) % service.endpoints.size();
    balancer.SetService(service, 100, now);
  }
}
BENCHMARK(BM_Replace)
    ->Name("one endpoint replaced")
    ->Arg(30)
    ->Arg(300)
    ->Arg(3000);

// Measures how a starting host processes its first endpoint list.
void BM_FirstList(benchmark::State& state) {
  const ServiceSpec service = MakeService(static_cast<int>(state.range(0)));
  const TimePoint now(std::chrono::seconds(2));
  for (auto _ : state) {
    MeasuredBalancer balancer(MeasuredBalancerOptions{}, 1);
    balancer.SetService(service, 100, now);
    benchmark::DoNotOptimize(balancer.waiting());
  }
}
BENCHMARK(BM_FirstList)
    ->Name("first list")
    ->Arg(300)
    ->Arg(3000)
    ->Arg(12000)
    ->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace damasktack

BENCHMARK_MAIN();
