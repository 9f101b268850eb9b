#include "main/store_daemon.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <map>
#include <random>
#include <sstream>
#include <thread>
#include <utility>

#include "main/fleet_node.h"
#include "main/settings_snapshot.h"
#include "platform/kv_names.h"
#include "wire/relay_token.h"

namespace damasktack {

namespace {

constexpr Duration kStopPoll = std::chrono::milliseconds(10);
// The stop is complete when there has been no caller connection for this long.
constexpr Duration kIdleTimeBeforeStop = std::chrono::milliseconds(50);
// Maximum number of peers that may connect at once: all hosts of a large fleet
// after it was restarted.
constexpr std::size_t kMaxUnprovedConnections = 1024;
// A link without a message for this long is reconnected; both sides send at
// least every 1.5 s.
constexpr std::chrono::milliseconds kLinkSilenceTimeout(4000);
constexpr std::chrono::milliseconds kMaxDialBackoff(1000);
// Time in which connections that are idle at the end of the lag are closed:
// their idle timeout during a stop plus a margin.
constexpr Duration kIdleCloseTime = std::chrono::milliseconds(520);

ProxyOptions MakeProxyOptions(const Settings& settings) {
  ProxyOptions options = settings.proxy;
  options.names = KvProtocolNames();
  options.relay.host = settings.host;
  options.relay.regions = settings.regions;
  options.relay.token = MakeRelayToken(settings.fleet.key);
  return options;
}

PublishedFeedOptions MakeFeedOptions(const Settings& settings) {
  PublishedFeedOptions options;
  options.self = settings.host;
  options.watch = settings.store.watch;
  options.gather = settings.store.gather;
  options.initial_feed_timeout = settings.store.initial_feed_timeout;
  options.early_read = settings.store.early_read;
  if (settings.fleet.enabled) {
    options.address = settings.fleet.listen;
    options.seeds = settings.fleet.seeds;
  }
  return options;
}

void WriteCounter(std::ostream& out,
                  std::string_view name,
                  std::uint64_t value) {
  out << "# TYPE " << name << " counter\n" << name << " " << value << "\n";
}

// Joins names with commas. Returns "none" if there are none, so that a log line
// always has the same fields.
std::string Join(const std::vector<std::string>& names) {
  std::string text;
  for (const std::string& it : names) {
    text += (text.empty() ? "" : ",") + it;
  }
  return text.empty() ? "none" : text;
}

std::string JoinZones(const std::vector<ZoneId>& zones) {
  std::vector<std::string> names;
  for (const ZoneId& it : zones) {
    names.push_back(it.text());
  }
  return Join(names);
}

std::unique_ptr<WebsocketTransport> MakeTransport(const Settings& settings,
                                                  PeerTransportEvents& events) {
  if (!settings.fleet.enabled) {
    return nullptr;
  }
  WebsocketTransportOptions options;
  options.host = settings.host.text();
  options.incarnation = DrawIncarnation();
  options.fleet_key = settings.fleet.key;
  options.listen_ip = settings.fleet.listen.ip;
  options.listen_port = settings.fleet.listen.port;
  options.max_unauthenticated_connections = kMaxUnprovedConnections;
  options.silence_timeout = kLinkSilenceTimeout;
  options.max_backoff = kMaxDialBackoff;
  return std::make_unique<WebsocketTransport>(std::move(options), events);
}

// Returns the services of the route table with the endpoints published for
// them.
std::vector<ServiceSpec> MakeServices(
    const PublishedState& state,
    const std::map<ZoneId, RegionId>& regions) {
  std::map<ServiceId, ServiceSpec> services;
  for (const ServiceTraits& it : state.routes->services) {
    ServiceSpec& service = services[it.id];
    service.id = it.id;
    service.health_path = it.health_path;
    service.echoes_call = true;
    service.cold_time = it.cold_time;
    service.cold_rate = it.cold_rate;
  }
  for (const auto& [id, mix] : FindRouteMixes(*state.routes)) {
    const auto service = services.find(id);
    if (service != services.end()) {
      service->second.route_mix = mix;
    }
  }
  std::map<ServiceId, std::int64_t> connections;
  for (const ServiceTraits& it : state.routes->services) {
    connections[it.id] = it.connections;
  }
  for (const PublishedEndpoint& it : state.endpoints) {
    const auto service = services.find(it.service);
    if (service == services.end()) {
      continue;
    }
    EndpointSpec spec = it.spec;
    spec.connections = connections[it.service];
    spec.zone_drained = std::ranges::find(state.drained_zones, spec.zone) !=
                        state.drained_zones.end();
    const auto region = regions.find(spec.zone);
    if (region != regions.end()) {
      spec.region = region->second;
    }
    service->second.endpoints.push_back(std::move(spec));
  }
  std::vector<ServiceSpec> list;
  for (auto& [id, service] : services) {
    list.push_back(std::move(service));
  }
  return list;
}

}  // namespace

StoreDaemon::StoreDaemon(Settings settings)
    : settings_(std::move(settings)),
      state_(MakeProxyOptions(settings_), limits_, claims_),
      callers_(state_),
      admin_(settings_.admin, *this),
      source_(settings_.store.address),
      published_(MakeFeedOptions(settings_),
                 source_,
                 *this,
                 std::random_device()()),
      transport_(MakeTransport(settings_, published_)) {
  published_.ShareCrashes(state_.quarantine());
  published_.ShareRates(state_.endpoint_rates());
  if (settings_.proxy.urgency_admission) {
    published_.ShareOverload(state_.overload_view());
  }
  published_.ShareRelays(state_.relay_directory());
}

StoreDaemon::~StoreDaemon() {
  callers_.Stop();
  StopPublished();
}

leaf::result<void> StoreDaemon::Start() {
  state_.SetIsCurrent([this] { return has_routes_.load(); },
                      started_at_ + settings_.store.start_hold);
  BOOST_LEAF_CHECK(callers_.Start());
  if (callers_.relay_port() != 0) {
    const std::string& ip = settings_.proxy.relay.listen.ip;
    state_.relay_directory().SetSelf(
        {settings_.host, settings_.zone, {ip, callers_.relay_port()}});
  }
  BOOST_LEAF_CHECK(admin_.Start());
  if (transport_) {
    if (const std::error_code ec = transport_->Start()) {
      return Fail(ErrorKind::kInvalidAddress, "fleet.listen",
                  ToString(settings_.fleet.listen) + ": " + ec.message(),
                  "choose an address of this host with a free port");
    }
  }
  published_.Start(transport_.get());
  spdlog::info("event=started host={} zone={} callers={}",
               settings_.host.text(), settings_.zone.text(), callers_.port());
  return {};
}

void StoreDaemon::StopPublished() {
  published_.Stop();
  if (transport_) {
    transport_->Stop();
  }
}

void StoreDaemon::OnPublished(const PublishedState& state) {
  if (!state.routes) {
    return;
  }
  state_.SetHostNumber(state.seat);
  state_.SetRouting(std::make_shared<RoutingTable>(
                        state.routes, MakeServices(state, settings_.regions)),
                    state.hosts > 0 ? state.hosts : settings_.store.hosts,
                    Clock::now());
  has_routes_ = true;
  SetDrainedZones(state);
  LogChange(state);
}

void StoreDaemon::SetDrainedZones(const PublishedState& state) {
  const std::lock_guard lock(drained_zones_mutex_);
  drained_zones_ = state.drained_zones;
}

std::vector<ZoneId> StoreDaemon::GetDrainedZones() const {
  const std::lock_guard lock(drained_zones_mutex_);
  return drained_zones_;
}

void StoreDaemon::LogChange(const PublishedState& state) const {
  const auto leaving =
      std::ranges::count_if(state.endpoints, [](const PublishedEndpoint& it) {
        return it.spec.state == ListedState::kLeaving;
      });
  spdlog::info(
      "event=published-in-force version={} routes={} endpoints={} "
      "leaving={} drained_zones={} hosts={} seat={}/{}",
      state.routes->version, state.routes->routes.size(),
      state.endpoints.size(), leaving, JoinZones(state.drained_zones),
      state.hosts, state.seat.number, state.seat.number_count);
}

void StoreDaemon::Stop() {
  spdlog::info("event=stopping host={}", settings_.host.text());
  stopping_ = true;
  // From now on connections are closed after their response, so that callers
  // move to other hosts before the platform's balancer has noticed the stop.
  state_.SetStopping();
  const TimePoint began = Clock::now();
  const TimePoint last = began + MaxStopTime(settings_.stop);
  callers_.AnnounceStop(last);
  std::this_thread::sleep_until(std::min(began + settings_.stop.lag, last));
  callers_.BeginStopping();
  std::this_thread::sleep_until(std::min(Clock::now() + kIdleCloseTime, last));
  // A call accepted later could not be finished: it would be aborted when the
  // platform kills the process. A refused connection tells the caller that
  // nothing was read.
  callers_.StopAccepting();
  admin_.Stop();
  TimePoint idle_since = Clock::now();
  while (Clock::now() < last &&
         Clock::now() - idle_since < kIdleTimeBeforeStop) {
    std::this_thread::sleep_for(kStopPoll);
    if (callers_.connections() > 0) {
      idle_since = Clock::now();
    }
  }
  const std::int64_t connections = callers_.connections();
  const std::int64_t cut = callers_.Stop();
  StopPublished();
  spdlog::info("event=stopped host={} cut={} connections={}",
               settings_.host.text(), cut, connections);
}

void StoreDaemon::Reload(const Settings& new_settings) {
  const SettingsChange change = CompareSettings(settings_, new_settings);
  settings_.stop = new_settings.stop;
  if (settings_.fleet.seeds != new_settings.fleet.seeds) {
    settings_.fleet.seeds = new_settings.fleet.seeds;
    published_.SetSeeds(new_settings.fleet.seeds);
  }
  spdlog::info("event=reloaded host={} taken={} after_restart={}",
               settings_.host.text(), Join(change.applied),
               Join(change.after_restart));
}

bool StoreDaemon::Ready() const {
  return has_routes_ && !stopping_ && !drained_;
}

std::string StoreDaemon::Metrics() const {
  const FeedCounters feed = published_.counters();
  const Duration age = published_.Age(Clock::now()).value_or(Duration(-1));
  std::ostringstream out;
  out << state_.RenderMetrics(Clock::now());
  WriteCounter(out, "damasktack_store_reads_total", feed.reads);
  WriteCounter(out, "damasktack_store_watches_total", feed.watches);
  WriteCounter(out, "damasktack_store_failures_total", feed.failures);
  WriteCounter(out, "damasktack_feed_updates_received_total",
               feed.updates_received);
  WriteCounter(out, "damasktack_feed_updates_sent_total", feed.updates_sent);
  if (transport_) {
    const TransportCounters links = transport_->counters();
    WriteCounter(out, "damasktack_peer_links_opened_total", links.links_opened);
    WriteCounter(out, "damasktack_peer_frames_sent_total", links.frames_sent);
    WriteCounter(out, "damasktack_peer_bytes_sent_total", links.bytes_sent);
    WriteCounter(out, "damasktack_peer_bytes_received_total",
                 links.bytes_received);
    WriteCounter(out, "damasktack_peer_frames_dropped_total",
                 links.frames_dropped);
  }
  out << "# TYPE damasktack_zone_drained gauge\n";
  for (const ZoneId& it : GetDrainedZones()) {
    out << "damasktack_zone_drained{zone=\"" << it.text() << "\"} 1\n";
  }
  out << "# TYPE damasktack_store_reader gauge\n"
      << "damasktack_store_reader " << published_.reads_store() << "\n"
      << "# TYPE damasktack_store_era gauge\n"
      << "damasktack_store_era " << published_.store_era() << "\n"
      << "# TYPE damasktack_published_age_seconds gauge\n"
      << "damasktack_published_age_seconds "
      << std::chrono::duration<double>(age).count() << "\n";
  return out.str();
}

HostReport StoreDaemon::Host() const {
  HostReport report;
  report.id = settings_.host;
  report.zone = settings_.zone;
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

std::vector<Contract> StoreDaemon::Contracts() const {
  return state_.routing()->contracts();
}

std::vector<ServiceReport> StoreDaemon::Services() const {
  std::vector<ServiceReport> reports;
  for (const auto& [id, dispatcher] : state_.dispatchers()) {
    reports.push_back(ServiceReport{id, dispatcher->Status(Clock::now())});
  }
  return reports;
}

std::vector<CallMetrics::SeriesReport> StoreDaemon::Histograms() const {
  return state_.metrics().Report();
}

void StoreDaemon::SetDrained(bool drained) {
  drained_ = drained;
}

leaf::result<void> StoreDaemon::DeclareGone(const HostId& host) {
  return Fail(ErrorKind::kRefused, "host " + host.text(),
              "a daemon that shares no limits with its peers",
              "nothing needs to be declared in this deployment");
}

}  // namespace damasktack
