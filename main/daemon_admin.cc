#include <spdlog/spdlog.h>

#include <map>

#include "main/daemon.h"
#include "main/fleet_metrics.h"

namespace damasktack {

namespace {

// Adds the outcomes of one class of calls to the customer's totals.
void AddOutcomes(const CallMetrics::SeriesReport& series,
                 CustomerReport& customer) {
  const auto count = [&](Outcome outcome) {
    return series.outcomes[static_cast<std::size_t>(outcome)];
  };
  customer.complete += count(Outcome::kComplete);
  customer.not_run += count(Outcome::kNotRun);
  customer.unknown += count(Outcome::kUnknown);
}

void AddLimit(const LimitStatus& limit, CustomerReport& customer) {
  LimitPart& part =
      limit.kind == LimitKind::kRate ? customer.rate : customer.concurrency;
  part.owned = limit.owned;
  part.lent = limit.lent;
  part.borrowed = limit.borrowed;
}

}  // namespace

bool Daemon::Ready() const {
  const std::lock_guard lock(mutex_);
  return !stopping_ && !drained_ && contracts_ && services_ && hosts_ &&
         fleet_.IsReady();
}

std::string Daemon::Metrics() const {
  return state_.RenderMetrics(Clock::now()) +
         RenderFleetMetrics(*fleet_.state(), fleet_.transport_counters(),
                            fleet_.reader_counters());
}

HostReport Daemon::Host() const {
  HostReport report;
  report.id = settings_.host;
  report.zone = settings_.zone;
  report.incarnation = fleet_.incarnation();
  report.ready = Ready();
  report.drained = drained_;
  report.stopping = stopping_;
  report.uptime = Clock::now() - started_at_;
  report.calls_in_flight = state_.calls_in_flight();
  const MemoryBudget& memory = state_.memory();
  report.message_bytes = static_cast<std::int64_t>(memory.used());
  report.message_bytes_peak = static_cast<std::int64_t>(memory.peak());
  report.message_bytes_limit = static_cast<std::int64_t>(memory.limit());
  return report;
}

std::vector<DocumentReport> Daemon::Documents() const {
  const std::shared_ptr<const FleetState> state = fleet_.state();
  std::vector<DocumentReport> reports;
  for (std::size_t n = 0; n < kDocumentCount; ++n) {
    const auto name = static_cast<DocumentName>(n);
    DocumentReport report{name, state->RevisionOf(name), {}};
    const auto& refused = state->refused[n];
    if (refused && refused->version.revision > report.in_force) {
      report.refused =
          RefusedDocument{refused->version.revision, refused->error};
    }
    reports.push_back(std::move(report));
  }
  return reports;
}

std::vector<Contract> Daemon::Contracts() const {
  return state_.routing()->contracts();
}

std::vector<PeerReport> Daemon::Peers() const {
  std::vector<PeerReport> reports;
  for (const PeerView& it : fleet_.state()->view.peers) {
    reports.push_back(
        PeerReport{it.id, it.zone, it.incarnation, it.listed, it.reachable});
  }
  return reports;
}

std::vector<ServiceReport> Daemon::Services() const {
  const TimePoint now = Clock::now();
  std::vector<ServiceReport> reports;
  for (const auto& [id, dispatcher] : state_.dispatchers()) {
    reports.push_back(ServiceReport{id, dispatcher->Status(now)});
  }
  return reports;
}

std::vector<CustomerReport> Daemon::Customers() const {
  std::map<CustomerId, CustomerReport> reports;
  for (const Contract& it : Contracts()) {
    CustomerReport& report = reports[it.customer];
    report.id = it.customer;
    report.share = it.share;
    report.rate.contract = it.limits.calls_per_second;
    report.concurrency.contract = it.limits.in_flight;
  }
  for (const CallMetrics::SeriesReport& it : state_.metrics().Report()) {
    const auto found = reports.find(it.series.customer);
    if (found != reports.end()) {
      AddOutcomes(it, found->second);
    }
  }
  for (const LimitStatus& it : limits_.Status().limits) {
    const auto found = reports.find(it.customer);
    if (found != reports.end()) {
      AddLimit(it, found->second);
    }
  }
  std::vector<CustomerReport> list;
  for (auto& [id, report] : reports) {
    list.push_back(std::move(report));
  }
  return list;
}

std::vector<CallMetrics::SeriesReport> Daemon::Histograms() const {
  return state_.metrics().Report();
}

void Daemon::SetDrained(bool drained) {
  if (drained_.exchange(drained) != drained) {
    spdlog::info("event={} host={}", drained ? "drained" : "undrained",
                 settings_.host.text());
  }
}

leaf::result<void> Daemon::DeclareGone(const HostId& host) {
  if (!settings_.fleet.enabled) {
    return Fail(ErrorKind::kRefused, "host " + host.text(),
                "a daemon without peers", "ask a host that runs with a fleet");
  }
  if (host == settings_.host) {
    return Fail(ErrorKind::kRefused, "host " + host.text(),
                "the host that was asked, and it runs",
                "name a host whose process has surely ended");
  }
  spdlog::warn("event=host-declared-gone host={}", host.text());
  fleet_.ConfirmGone(host);
  return {};
}

}  // namespace damasktack
