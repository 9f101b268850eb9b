// Compares admission policies at the sizes of Alentejo's mower dispatch (15
// hosts, 6 endpoints with 6 slots each) and Cuyo's renewals (8 endpoints with 3
// slots each). Prints the tables of docs/measurements/admission.md.

#include <algorithm>
#include <cstdio>
#include <deque>
#include <limits>
#include <string>
#include <vector>

#include "bench/admission_simulation.h"

namespace damasktack {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kSeeds = 3;

// Size of one service. All deployments have 15 hosts.
struct Deployment {
  const char* name;
  int endpoints = 6;
  int slots = 6;
  int zones = 3;
  Duration zone_distance = milliseconds(1);
};

constexpr Deployment kDispatch{"mower dispatch"};
constexpr Deployment kRenewals{"Cuyo renewals", 8, 3, 4,
                               std::chrono::microseconds(1500)};

// Admission policy under comparison.
struct Variant {
  const char* name;
  BalancerOptions options;
  // Ignores urgency and share, like a first-come, first-served balancer.
  bool ignores_priority = false;
};

BalancerOptions WithoutReservation(double max_load) {
  BalancerOptions options;
  options.reservation.spare = {0, 0, 0};
  options.reservation.max_load = {max_load, max_load, max_load};
  return options;
}

std::vector<Variant> Variants() {
  const double unbounded = std::numeric_limits<double>::max();
  return {{"sent on arrival", WithoutReservation(unbounded), true},
          {"first come, wait for room", WithoutReservation(1.01), true},
          {"by urgency and share", WithoutReservation(1.01), false},
          {"with trunk reservation", BalancerOptions{}, false}};
}

std::vector<TrafficSource> Foreground(double load) {
  return {{"keepers", 4, Urgency::kUrgent, milliseconds(8), 0.2 * load},
          {"offices", 2, Urgency::kNormal, milliseconds(12), 0.8 * load}};
}

TrafficSource Report(double load) {
  return {"report", 1, Urgency::kBulk, milliseconds(60), load, seconds(10)};
}

std::vector<SourceFigures> RunOne(const Deployment& deployment,
                                  const Variant& variant,
                                  std::vector<TrafficSource> sources,
                                  std::uint64_t seed) {
  AdmissionSetup setup;
  setup.endpoints = deployment.endpoints;
  setup.slots = deployment.slots;
  setup.zones = deployment.zones;
  setup.zone_distance = deployment.zone_distance;
  setup.balancer = variant.options;
  setup.seed = seed;
  if (variant.ignores_priority) {
    for (TrafficSource& it : sources) {
      it.urgency = Urgency::kNormal;
      it.customer = "all";
      it.share = 1;
    }
  }
  setup.sources = std::move(sources);
  return AdmissionSimulation(setup).Run();
}

// Returns the results summed over all seeds.
std::vector<SourceFigures> Run(const Deployment& deployment,
                               const Variant& variant,
                               const std::vector<TrafficSource>& sources) {
  std::vector<SourceFigures> sum(sources.size());
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const auto figures = RunOne(deployment, variant, sources, seed);
    for (std::size_t n = 0; n < sum.size(); ++n) {
      sum[n].offered += figures[n].offered;
      sum[n].answered += figures[n].answered;
      sum[n].refused += figures[n].refused;
      sum[n].failed += figures[n].failed;
      sum[n].slot_time += figures[n].slot_time;
      sum[n].latencies.insert(sum[n].latencies.end(),
                              figures[n].latencies.begin(),
                              figures[n].latencies.end());
    }
  }
  return sum;
}

double Milliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

double Percent(double part, double whole) {
  return whole == 0 ? 0 : 100 * part / whole;
}

// Compares the latency of urgent calls with and without a bulk report.
void PrintBurst(const Deployment& deployment) {
  std::printf("\n## Urgent calls beside a bulk report: %s\n\n",
              deployment.name);
  std::puts(
      "Urgent calls use 11% and normal calls 44% of the slots, in addition to "
      "the report.");
  std::puts(
      "Times in ms; the factor is p99 with the report divided by p99 without "
      "it.\n");
  std::puts(
      "| policy | report offered | urgent p50 | urgent p99 | urgent p99.9 |"
      " factor | normal p99 | urgent not answered % | report answered % |");
  std::puts("|---|---|---|---|---|---|---|---|---|");
  for (const Variant& variant : Variants()) {
    double p99_without_report = 0;
    for (const double report : {0.0, 0.30, 1.0}) {
      auto sources = Foreground(0.55);
      if (report > 0) {
        sources.push_back(Report(report));
      }
      auto figures = Run(deployment, variant, sources);
      const double p99 = Milliseconds(figures[0].Quantile(0.99));
      p99_without_report = report == 0 ? p99 : p99_without_report;
      const double answered =
          report == 0 ? 0
                      : Percent(static_cast<double>(figures[2].answered),
                                static_cast<double>(figures[2].offered));
      std::printf(
          "| %s | %.0f%% | %.1f | %.1f | %.1f | %.2f | %.1f | %.2f |"
          " %.0f |\n",
          variant.name, 100 * report, Milliseconds(figures[0].Quantile(0.5)),
          p99, Milliseconds(figures[0].Quantile(0.999)),
          p99 / p99_without_report, Milliseconds(figures[1].Quantile(0.99)),
          Percent(static_cast<double>(figures[0].offered - figures[0].answered),
                  static_cast<double>(figures[0].offered)),
          answered);
    }
  }
}

// Returns the weighted max-min fair share of `capacity` for each source.
std::vector<double> MaxMinFairShares(const std::vector<TrafficSource>& sources,
                                     const std::vector<double>& demands,
                                     double capacity) {
  std::vector<double> parts(sources.size());
  std::vector<bool> is_satisfied(sources.size());
  while (true) {
    double shares = 0;
    for (std::size_t n = 0; n < sources.size(); ++n) {
      shares += is_satisfied[n] ? 0 : static_cast<double>(sources[n].share);
    }
    if (shares == 0) {
      return parts;
    }
    const double each = capacity / shares;
    bool found = false;
    for (std::size_t n = 0; n < sources.size(); ++n) {
      const double fair = each * static_cast<double>(sources[n].share);
      if (!is_satisfied[n] && demands[n] <= fair) {
        parts[n] = demands[n];
        capacity -= demands[n];
        is_satisfied[n] = true;
        found = true;
        break;
      }
    }
    if (found) {
      continue;
    }
    for (std::size_t n = 0; n < sources.size(); ++n) {
      if (!is_satisfied[n]) {
        parts[n] = each * static_cast<double>(sources[n].share);
      }
    }
    return parts;
  }
}

void PrintShares() {
  std::puts("\n## Shares under 110% load\n");
  std::puts(
      "Customers of the same urgency; slot time that each received, compared");
  std::puts("with its weighted max-min fair share of the slot time served.\n");
  std::puts(
      "| policy | customer | share | service time | offered % | got % |"
      " fair % | error % |");
  std::puts("|---|---|---|---|---|---|---|---|");
  const std::vector<TrafficSource> sources = {
      {"a", 4, Urgency::kNormal, milliseconds(10), 0.20},
      {"b", 3, Urgency::kNormal, milliseconds(10), 0.45},
      {"c", 2, Urgency::kNormal, milliseconds(30), 0.30},
      {"d", 1, Urgency::kNormal, milliseconds(10), 0.15}};
  for (const Variant& variant : Variants()) {
    const auto figures = Run(kDispatch, variant, sources);
    double served = 0;
    double offered = 0;
    std::vector<double> demands;
    for (std::size_t n = 0; n < sources.size(); ++n) {
      demands.push_back(sources[n].load);
      offered += sources[n].load;
      served += Milliseconds(figures[n].slot_time);
    }
    // Total offered service time, which converts service time to load.
    double offered_time = 0;
    for (std::size_t n = 0; n < sources.size(); ++n) {
      offered_time += Milliseconds(sources[n].mean_service_time) *
                      static_cast<double>(figures[n].offered);
    }
    for (std::size_t n = 0; n < sources.size(); ++n) {
      demands[n] = Milliseconds(sources[n].mean_service_time) *
                   static_cast<double>(figures[n].offered) / offered_time *
                   offered;
    }
    const double capacity = served / offered_time * offered;
    const auto fair = MaxMinFairShares(sources, demands, capacity);
    for (std::size_t n = 0; n < sources.size(); ++n) {
      const double got =
          Milliseconds(figures[n].slot_time) / offered_time * offered;
      std::printf("| %s | %s | %d | %.0f ms | %.1f | %.1f | %.1f | %+.1f |\n",
                  variant.name, sources[n].customer.c_str(),
                  static_cast<int>(sources[n].share),
                  Milliseconds(sources[n].mean_service_time), 100 * demands[n],
                  100 * got, 100 * fair[n], 100 * (got - fair[n]) / fair[n]);
    }
  }
}

void PrintBulkFloor() {
  std::puts("\n## Floor for bulk beside 110% of more urgent calls\n");
  std::puts(
      "| policy | dock p99 ms | dock answered % | offices answered % |"
      " bulk share of slot time % | longest bulk latency ms |");
  std::puts("|---|---|---|---|---|---|");
  for (const Variant& variant : Variants()) {
    auto sources = Foreground(1.10);
    sources.push_back(Report(0.2));
    auto figures = Run(kDispatch, variant, sources);
    double served = 0;
    for (const SourceFigures& it : figures) {
      served += Milliseconds(it.slot_time);
    }
    const auto answered = [&](std::size_t n) {
      return Percent(static_cast<double>(figures[n].answered),
                     static_cast<double>(figures[n].offered));
    };
    std::printf("| %s | %.1f | %.1f | %.1f | %.1f | %.0f |\n", variant.name,
                Milliseconds(figures[0].Quantile(0.99)), answered(0),
                answered(1),
                Percent(Milliseconds(figures[2].slot_time), served),
                Milliseconds(figures[2].Quantile(1.0)));
  }
}

// Returns the mean time to offer and finish one call while `waiting` calls of
// 50 customers wait for a free slot.
Duration DecisionTime(int endpoints, int waiting) {
  constexpr int kRounds = 200'000;
  constexpr TimePoint kNow{std::chrono::hours(1)};
  ServiceSpec service;
  for (int n = 0; n < endpoints; ++n) {
    EndpointSpec spec;
    spec.id = EndpointId("e" + std::to_string(n));
    spec.address = SocketAddress{"10.0.0.1", static_cast<std::uint16_t>(n + 1)};
    spec.slots = 6;
    service.endpoints.push_back(spec);
  }
  ServiceBalancer balancer({}, 1);
  balancer.SetService(service, 1, kNow);
  Decisions out;
  CallOffer offer;
  offer.deadline = kNow + std::chrono::hours(1);
  std::deque<Dispatch> sent;
  std::vector<CallOffer> offers;
  // Occupy all slots first if calls are to wait.
  const int fill = waiting == 0 ? 0 : endpoints * 6 + waiting;
  for (int n = 0; n < fill + kRounds; ++n) {
    offer.token = static_cast<CallToken>(n);
    offer.customer = CustomerId("customer " + std::to_string(n % 50));
    offers.push_back(offer);
  }
  int next = 0;
  for (; next < fill; ++next) {
    balancer.Offer(offers[static_cast<std::size_t>(next)], kNow, out);
  }
  const auto start = Clock::now();
  for (; next < fill + kRounds; ++next) {
    balancer.Offer(offers[static_cast<std::size_t>(next)], kNow, out);
    sent.insert(sent.end(), out.dispatches.begin(), out.dispatches.end());
    out.clear();
    if (sent.empty()) {
      continue;
    }
    SendEnd end;
    end.token = sent.front().token;
    end.endpoint = sent.front().endpoint;
    end.took = milliseconds(10);
    sent.pop_front();
    balancer.Finish(offers[end.token], end, kNow, out);
  }
  return (Clock::now() - start) / kRounds;
}

void PrintDecisionTime() {
  std::puts("\n## Decision time for one call\n");
  std::puts(
      "Offer and Finish on one thread, including the choice of the endpoint;");
  std::puts(
      "measured in real time, so it differs between machines and runs.\n");
  std::puts("| endpoints | waiting calls | us |");
  std::puts("|---|---|---|");
  for (const int endpoints : {6, 15}) {
    for (const int waiting : {0, 100, 2000}) {
      const Duration time = DecisionTime(endpoints, waiting);
      std::printf("| %d | %d | %.2f |\n", endpoints, waiting,
                  1000 * Milliseconds(time));
    }
  }
}

}  // namespace
}  // namespace damasktack

int main() {
  damasktack::PrintBurst(damasktack::kDispatch);
  damasktack::PrintBurst(damasktack::kRenewals);
  damasktack::PrintShares();
  damasktack::PrintBulkFloor();
  damasktack::PrintDecisionTime();
}
