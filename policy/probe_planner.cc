#include "policy/probe_planner.h"

#include <algorithm>

namespace damasktack {

ProbePlanner::ProbePlanner(const MeasuredBalancerOptions& options,
                           MeasuredEndpoints& endpoints)
    : options_(options),
      endpoints_(endpoints),
      budget_(0, options.probe_burst) {}

void ProbePlanner::Share(std::size_t endpoints,
                         std::int64_t hosts,
                         TimePoint now) {
  // Unlike the shares of calls, probes are not held back while a starting host
  // does not know the size of the fleet: its decisions depend on them.
  fleet_.Set(hosts, 0, now);
  const double rate = options_.probe_limit * options_.probe_part *
                      static_cast<double>(endpoints) / fleet_.Count(now);
  const std::chrono::duration<double> saving = options_.probe_budget_window;
  budget_.SetBounds(rate, std::max(options_.probe_burst, rate * saving.count()),
                    now);
}

bool ProbePlanner::HasPendingProbes(Duration max_timeout, TimePoint now) const {
  if (!requested_probes_.empty()) {
    return true;
  }
  const Duration timeout = ProbeTimeout(max_timeout, now);
  return std::ranges::any_of(endpoints_.usable(), [&](EndpointIndex it) {
    return endpoints_.measure(it).IsPending(now, timeout);
  });
}

std::size_t ProbePlanner::CountFresh(TimePoint now) const {
  return static_cast<std::size_t>(std::ranges::count_if(
      endpoints_.usable(),
      [&](EndpointIndex it) { return endpoints_.IsFresh(it, now); }));
}

// Without the extension, a host that has just started or is slow would probe
// endpoints of all zones for one call while the answers to its first probes are
// still unread.
Duration ProbePlanner::ProbeTimeout(Duration max_timeout, TimePoint now) const {
  const auto overdue =
      std::ranges::count_if(endpoints_.usable(), [&](EndpointIndex it) {
        const EndpointMeasure& measure = endpoints_.measure(it);
        return measure.HasProbe() &&
               !measure.IsPending(now, options_.probe_timeout);
      });
  const auto looks =
      overdue / static_cast<std::ptrdiff_t>(
                    std::max<std::size_t>(options_.first_probes, 1));
  return std::min<Duration>(options_.probe_timeout * (1 + looks), max_timeout);
}

std::vector<MeasuredCandidate> ProbePlanner::ProbeCandidates(
    const WaitingCall& call,
    TimePoint now) const {
  std::vector<MeasuredCandidate> unknown;
  for (const EndpointIndex it : endpoints_.usable()) {
    const EndpointMeasure& measure = endpoints_.measure(it);
    const bool is_known = endpoints_.IsFresh(it, now) || measure.HasProbe() ||
                          measure.WasProbedInVainSince(now - options_.fresh);
    if (!is_known && endpoints_.IsProbeUseful(call, it, now)) {
      unknown.push_back(endpoints_.EvaluateForProbe(it, now));
    }
  }
  return unknown;
}

bool ProbePlanner::RequestProbes(const WaitingCall& call,
                                 TimePoint now,
                                 Random& random) {
  if (!endpoints_.AreReporting()) {
    return false;
  }
  std::vector<MeasuredCandidate> unknown = ProbeCandidates(call, now);
  const bool is_first_round = CountFresh(now) == 0;
  const std::size_t most =
      std::min(unknown.size(), is_first_round ? options_.first_probes
                                              : options_.further_probes);
  std::ranges::shuffle(unknown, random);
  std::ranges::partial_sort(unknown,
                            unknown.begin() + static_cast<std::ptrdiff_t>(most),
                            {}, &MeasuredCandidate::cost);
  bool any = false;
  for (std::size_t n = 0; n < most; ++n) {
    if (!budget_.Take(now)) {
      ++withheld_;
      break;
    }
    endpoints_.OnProbe(unknown[n].index, now);
    requested_probes_.push_back(unknown[n].index);
    any = true;
  }
  return any;
}

bool ProbePlanner::RequestProbe(EndpointIndex index, TimePoint now) {
  const EndpointMeasure& measure = endpoints_.measure(index);
  if (!endpoints_.AreReporting()) {
    return false;
  }
  if (measure.HasProbe()) {
    return measure.IsPending(now, options_.max_probe_timeout);
  }
  if (!budget_.Take(now)) {
    ++withheld_;
    return false;
  }
  endpoints_.OnProbe(index, now);
  requested_probes_.push_back(index);
  return true;
}

std::optional<EndpointIndex> ProbePlanner::Next() {
  if (requested_probes_.empty()) {
    return std::nullopt;
  }
  const EndpointIndex next = requested_probes_.front();
  requested_probes_.erase(requested_probes_.begin());
  ++sent_;
  return next;
}

}  // namespace damasktack
