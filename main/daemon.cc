#include "main/daemon.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <thread>
#include <utility>

namespace damasktack {

namespace {

constexpr Duration kDrainRelayInterval = std::chrono::milliseconds(50);
constexpr Duration kStopPoll = std::chrono::milliseconds(5);
// The stop is complete when there has been no caller connection for this long.
constexpr Duration kIdleTimeBeforeStop = std::chrono::milliseconds(50);

FleetNodeOptions MakeFleetOptions(const Settings& settings,
                                  Incarnation incarnation,
                                  const FleetGates& gates) {
  const PlatformOptions& platform = settings.platform;
  FleetNodeOptions options;
  options.host = settings.host;
  options.zone = settings.zone;
  options.incarnation = incarnation;
  options.gates = gates;
  options.platform = platform.address;
  options.reader.schedule.min_backoff = platform.retry;
  options.reader.schedule.max_backoff = platform.longest_retry;
  options.reader.schedule.safety_read = platform.safety_read;
  options.reader.schedule.start_spread = platform.start_spread;
  options.reader.watch = platform.watch;
  options.reader.read_timeout = platform.read_timeout;
  options.reader.reads_per_second = platform.reads_per_second;
  options.fleet = settings.fleet;
  return options;
}

}  // namespace

Daemon::Daemon(Settings settings)
    : settings_(std::move(settings)),
      incarnation_(DrawIncarnation()),
      limits_(settings_.host, incarnation_, settings_.limits),
      claims_(settings_.host, incarnation_, settings_.claims, limits_),
      state_(settings_.proxy, limits_, claims_),
      callers_(state_),
      admin_(settings_.admin, *this),
      fleet_(MakeFleetOptions(
                 settings_,
                 incarnation_,
                 {&limits_, &claims_, &state_.quarantine(),
                  &state_.endpoint_rates(),
                  settings_.proxy.urgency_admission ? &state_.overload_view()
                                                    : nullptr}),
             *this) {
  if (!settings_.fleet.enabled) {
    limits_.SetStandalone();
    claims_.SetStandalone();
  }
}

Daemon::~Daemon() {
  stopping_ = true;
  // Calls that are aborted here still report their outcome to the limit and
  // claim gates.
  callers_.Stop();
  ended_ = true;
  if (drain_relay_.joinable()) {
    drain_relay_.join();
  }
  fleet_.Stop();
}

leaf::result<void> Daemon::Start() {
  state_.SetIsCurrent([this] { return fleet_.IsReady(); });
  BOOST_LEAF_CHECK(callers_.Start());
  BOOST_LEAF_CHECK(admin_.Start());
  BOOST_LEAF_CHECK(fleet_.Start());
  drain_relay_ = std::thread([this] { RelayDrains(); });
  spdlog::info("event=started host={} zone={} callers={}",
               settings_.host.text(), settings_.zone.text(), callers_.port());
  return {};
}

void Daemon::OnInForce(const Document& document) {
  const std::lock_guard lock(mutex_);
  Try(
      [&]() -> leaf::result<void> {
        switch (document.name) {
          case DocumentName::kContracts: {
            BOOST_LEAF_ASSIGN(contracts_, ParseContracts(document));
            break;
          }
          case DocumentName::kServices: {
            BOOST_LEAF_ASSIGN(services_, ParseServices(document));
            break;
          }
          case DocumentName::kHosts: {
            BOOST_LEAF_ASSIGN(hosts_, ParseHosts(document));
            break;
          }
        }
        PutInForce();
        return {};
      },
      // Cannot happen: the fleet accepts only documents that passed the same
      // checks.
      [&](const Error& error) {
        spdlog::error("event=document-lost document={} {}",
                      ToString(document.name), ToString(error));
      });
}

void Daemon::OnRefused(DocumentName name, const DocumentRefusal& refusal) {
  spdlog::error("event=document-refused document={} revision={} {}",
                ToString(name), refusal.version.revision,
                ToString(refusal.error));
}

void Daemon::OnPeerDrainObserved(const DrainObservation& observation) {
  if (const auto dispatcher = state_.FindDispatcher(observation.service)) {
    dispatcher->OnPeerDrain(observation.endpoint, Clock::now());
  }
}

// Reports draining endpoints to the peers, so that hosts which have not called
// these endpoints recently learn of it.
void Daemon::RelayDrains() {
  while (!ended_) {
    for (const auto& [service, dispatcher] : state_.dispatchers()) {
      for (const EndpointId& it : dispatcher->TakeDrainObservations()) {
        fleet_.BroadcastDrain({service, it});
      }
    }
    std::this_thread::sleep_for(kDrainRelayInterval);
  }
}

void Daemon::PutInForce() {
  if (contracts_) {
    limits_.SetContracts(contracts_->contracts);
  }
  if (!contracts_ || !services_) {
    return;
  }
  const auto hosts =
      hosts_ ? static_cast<std::int64_t>(hosts_->hosts.size()) : 1;
  state_.SetRouting(std::make_shared<RoutingTable>(*contracts_, *services_),
                    std::max<std::int64_t>(hosts, 1), Clock::now());
}

// Waits for outcomes that no replica has acknowledged and for buckets that no
// other host has taken over. After that their keys are rejected or answered as
// unknown.
void Daemon::WaitForHandover(TimePoint stop_began) const {
  const TimePoint now = Clock::now();
  const TimePoint last =
      now + MaxHandoverTime(settings_.stop, now - stop_began);
  while (!claims_.IsSafeToStop() && Clock::now() < last) {
    std::this_thread::sleep_for(kStopPoll);
  }
  if (!claims_.IsSafeToStop()) {
    const ClaimStatus status = claims_.Status();
    spdlog::warn(
        "event=claims-not-handed-over host={} held_buckets={} unsettled={}",
        settings_.host.text(), status.replica.holds, status.unsettled);
  }
}

void Daemon::Stop() {
  spdlog::info("event=stopping host={}", settings_.host.text());
  stopping_ = true;
  fleet_.Leave();
  const TimePoint began = Clock::now();
  const TimePoint last = began + MaxStopTime(settings_.stop);
  callers_.AnnounceStop(last);
  std::this_thread::sleep_until(std::min(began + settings_.stop.lag, last));
  callers_.BeginStopping();
  TimePoint idle_since = Clock::now();
  while (Clock::now() < last &&
         Clock::now() - idle_since < kIdleTimeBeforeStop) {
    std::this_thread::sleep_for(kStopPoll);
    // Connections in the kernel's accept queue are accepted and served too;
    // ending at a moment without an open connection would reset them.
    if (callers_.connections() > 0) {
      idle_since = Clock::now();
    }
  }
  const std::int64_t connections = callers_.connections();
  const std::int64_t cut = callers_.Stop();
  WaitForHandover(began);
  fleet_.Stop();
  admin_.Stop();
  spdlog::info("event=stopped host={} cut={} connections={}",
               settings_.host.text(), cut, connections);
}

}  // namespace damasktack
