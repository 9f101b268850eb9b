#include "tests/soak/soak_fleet.h"

#include <signal.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

#include "core/json_reader.h"
#include "tests/soak/soak_environment.h"
#include "tests/support/socket_owner.h"

namespace damasktack {

namespace {

constexpr int kSeeds = 3;
// Grace period of the platform plus a margin for a busy machine.
constexpr Duration kStopGracePeriod = std::chrono::seconds(6);
constexpr Duration kRestartDelay = std::chrono::milliseconds(300);
constexpr auto kService = "s";
constexpr auto kFragileService = "f";
constexpr Duration kTargetLatency = std::chrono::milliseconds(300);
constexpr auto kColdService = "c";
constexpr Duration kColdTargetLatency = std::chrono::milliseconds(600);
// Published rate limit of a cold endpoint in requests per second, and the
// settings with which it results in kMaxColdRequestsPerSecond.
constexpr double kColdRate = 2;
constexpr double kColdOvershoot = 1.5;
constexpr double kColdSlack = 8;
constexpr int kFragileEndpoints = 6;
constexpr Duration kFragileDowntime = std::chrono::seconds(1);

std::string MakeFolder() {
  std::string path =
      (std::filesystem::temp_directory_path() / "damasktack-soak-XXXXXX")
          .string();
  return mkdtemp(path.data()) == nullptr ? "." : path;
}

// Returns a new address for each run, also within one process: connections of
// the previous run stay in TIME-WAIT for a minute, and during this time the
// socket options of the administration server prevent the peer server from
// binding a port that the former had used.
std::string UniqueLoopbackAddress() {
  constexpr int kStarted = 200;
  static std::atomic<int> runs = 0;
  const int pid = getpid();
  return "127." + std::to_string(1 + runs++ % kStarted) + "." +
         std::to_string(pid / 256 % 256) + "." + std::to_string(pid % 256);
}

std::string Local(std::uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

Json Route(const std::string& prefix,
           const std::string& kind,
           const std::string& service = kService,
           Duration target = kTargetLatency) {
  const auto ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(target).count();
  return Json{prefix, "soak.example", prefix, kind, 1500, ms, 2, service};
}

// Returns the published entry of an endpoint without its address.
Json EndpointEntry(const std::string& service,
                   int zone,
                   const std::string& state) {
  return Json{{"info",
               {{"service", service},
                {"version", "v1"},
                {"zone", "z" + std::to_string(zone)},
                {"slots", 6}}},
              {"status", {{"state", state}, {"sequence", 1}, {"cold_ms", 0}}}};
}

}  // namespace

SoakFleet::SoakFleet(const SoakSize& size, SoakRecorder& ledger)
    : ledger_(ledger),
      folder_(MakeFolder()),
      ip_(UniqueLoopbackAddress()),
      hosts_(static_cast<std::size_t>(size.hosts)),
      generations_(static_cast<std::size_t>(size.hosts)),
      endpoints_(static_cast<std::size_t>(size.endpoints)),
      cold_endpoints_(size.cold_endpoints) {
  signal(SIGPIPE, SIG_IGN);
  for (int n = 0; n < endpoints(); ++n) {
    endpoints_[n].server = std::make_unique<SoakEndpoint>(
        "e" + std::to_string(n) + "-0", kService, ledger_);
    endpoints_[n].link =
        proxies_.Add({"127.0.0.1", endpoints_[n].server->port()});
    PutEndpoint(n, "ready");
  }
  PutFragileEndpoints();
  for (int n = 0; n < cold_endpoints_.size(); ++n) {
    PublishColdState(n);
  }
  PublishNextVersion();
  for (Host& it : hosts_) {
    it.callers = ports_.Take();
    it.admin = ports_.Take();
    it.peers = ports_.Take();
    it.relays = ports_.Take();
    it.caller_link = proxies_.Add(At(it.callers));
    it.store_link = proxies_.Add({"127.0.0.1", store_.port()});
    it.peer_link = proxies_.Add(At(it.peers));
  }
  for (int n = 0; n < hosts(); ++n) {
    StartHost(n);
  }
}

SoakFleet::~SoakFleet() {
  for (Host& it : hosts_) {
    it.process.reset();
  }
  std::error_code ec;
  if (ledger_.Violations().empty()) {
    std::filesystem::remove_all(folder_, ec);
  } else {
    std::puts(("host logs are kept in " + folder_).c_str());
  }
}

std::string SoakFleet::PathOf(int n, const std::string& suffix) const {
  return folder_ + "/h" + std::to_string(n) + suffix;
}

std::string SoakFleet::SettingsOf(int n) const {
  const Host& host = hosts_[n];
  Json seeds = Json::array();
  for (int seed = 0; seed < std::min(kSeeds, hosts()); ++seed) {
    // A seed recognizes itself by its own address; other hosts use its proxy.
    seeds.push_back(seed == n ? ToString(At(hosts_[seed].peers))
                              : Local(hosts_[seed].peer_link));
  }
  const Json settings{{"host", "h" + std::to_string(n)},
                      {"zone", "z" + std::to_string(n % kZones)},
                      {"proxy",
                       {{"listen", ToString(At(host.callers))},
                        {"relay_listen", ToString(At(host.relays))},
                        {"threads", 1},
                        {"connect_timeout", "250ms"},
                        {"endpoint_idle", "8500ms"},
                        {"measures_before_sending", true},
                        {"cold_overshoot", kColdOvershoot},
                        {"cold_slack", kColdSlack},
                        {"retry_percent", 18},
                        {"retry_burst", 1}}},
                      {"admin",
                       {{"listen", ToString(At(host.admin))},
                        {"public_only", true},
                        {"allow_remote", true},
                        {"ready_path", "/v1/readiness"}}},
                      {"store",
                       {{"address", Local(host.store_link)},
                        {"start_patience", "250ms"},
                        {"early_read", true}}},
                      {"fleet",
                       {{"listen", ToString(At(host.peers))},
                        {"key", "a-key-that-only-this-soak-uses"},
                        {"seeds", seeds}}},
                      {"stop", {{"lag", "1s"}, {"longest", "2s"}}}};
  return settings.dump(2);
}

void SoakFleet::StartHost(int n) {
  std::ofstream(PathOf(n, ".json")) << SettingsOf(n);
  ++generations_[n];
  Host& host = hosts_[n];
  host.process = std::make_unique<ChildProcess>(
      std::vector<std::string>{SoakBinary(), "--settings", PathOf(n, ".json")},
      PathOf(n, ".log"));
  host.is_paused = false;
  host.terminated_at.reset();
  host.is_undisturbed = true;
  host.was_killed = false;
  host.restart_at.reset();
}

void SoakFleet::PublishNextVersion() {
  const int next = version_ + 1;
  const Json routes{{"columns",
                     {"name", "host", "prefix", "kind", "timeout_ms",
                      "target_latency_ms", "max_attempts", "service"}},
                    {"rows",
                     {Route("/read/", "safe"), Route("/write/", "unsafe"),
                      Route("/fragile/", "safe", kFragileService),
                      Route("/cold/", "safe", kColdService, kColdTargetLatency),
                      Route("/v" + std::to_string(next) + "/", "safe")}}};
  const double cold_seconds = std::chrono::duration<double>(kColdTime).count();
  const Json services{
      {"columns", {"name", "health_path", "cold_s", "cold_per_s"}},
      {"rows", Json::array({Json::array({kService, "/health", 0, 0}),
                            Json::array({kFragileService, "/health", 0, 0}),
                            Json::array({kColdService, "/health", cold_seconds,
                                         kColdRate})})}};
  Write("op/config",
        Json{{"version", next}, {"routes", routes}, {"services", services}}
            .dump());
  version_ = next;
}

void SoakFleet::PutEndpoint(int n, const std::string& state) {
  const Endpoint& it = endpoints_[n];
  Json entry = EndpointEntry(it.server->service(), ZoneOf(n), state);
  entry["address"] = Local(it.link);
  entry["born"] = it.generation;
  Write("servers/" + it.server->id(), entry.dump());
}

void SoakFleet::PutFragileEndpoints() {
  for (int n = 0; n < kFragileEndpoints; ++n) {
    fragile_.push_back(std::make_unique<CrashingEndpoint>(
        "X-Damasktack-Request-Id", kFragileDowntime));
    Json entry = EndpointEntry(kFragileService, ZoneOf(n), "ready");
    entry["address"] = Local(fragile_.back()->port());
    Write("servers/f" + std::to_string(n), entry.dump());
  }
}

std::vector<SocketAddress> SoakFleet::AllDirectAddresses() const {
  std::vector<SocketAddress> all;
  for (int n = 0; n < hosts(); ++n) {
    all.push_back(DirectAddress(n));
  }
  return all;
}

void SoakFleet::PublishColdState(int n) {
  SlotEndpoint& endpoint = cold_endpoints_.at(n);
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      endpoint.RemainingColdTime(Clock::now()));
  Json entry = EndpointEntry(kColdService, ZoneOf(n), "ready");
  entry["address"] = Local(endpoint.port());
  entry["info"]["slots"] = SlotEndpoint::kSlots;
  entry["status"]["cold_ms"] = left.count();
  Write("servers/" + endpoint.id(), entry.dump());
}

int SoakFleet::crashes() const {
  int crashes = 0;
  for (const auto& it : fragile_) {
    crashes += it->crashes();
  }
  return crashes;
}

void SoakFleet::DrainZone(int zone) {
  Write("op/evacuate/z" + std::to_string(zone), "{}");
}

void SoakFleet::ReleaseZone(int zone) {
  Erase("op/evacuate/z" + std::to_string(zone));
}

void SoakFleet::Drain(int endpoint) {
  PutEndpoint(endpoint, "draining");
}

void SoakFleet::Remove(int endpoint) {
  Erase("servers/" + endpoints_[endpoint].server->id());
}

void SoakFleet::Replace(int endpoint) {
  Endpoint& it = endpoints_[endpoint];
  ++it.generation;
  it.server->SetNewIdentity("e" + std::to_string(endpoint) + "-" +
                            std::to_string(it.generation));
  PutEndpoint(endpoint, "ready");
}

void SoakFleet::Kill(int host) {
  hosts_[host].was_killed = true;
  hosts_[host].process->Signal(SIGKILL);
}

void SoakFleet::Terminate(int host) {
  Host& it = hosts_[host];
  if (it.terminated_at || it.restart_at) {
    return;
  }
  it.terminated_at = Clock::now();
  it.is_undisturbed = !it.is_paused;
  it.process->Signal(SIGTERM);
}

void SoakFleet::Pause(int host, bool paused) {
  Host& it = hosts_[host];
  it.is_paused = paused;
  it.is_undisturbed = false;
  it.process->Signal(paused ? SIGSTOP : SIGCONT);
}

void SoakFleet::SendHangup(int host) {
  hosts_[host].process->Signal(SIGHUP);
}

void SoakFleet::SetFault(LinkKind link_kind,
                         int n,
                         LinkFault fault,
                         Duration delay) {
  const std::uint16_t link =
      link_kind == LinkKind::kEndpoint  ? endpoints_[n].link
      : link_kind == LinkKind::kCallers ? hosts_[n].caller_link
      : link_kind == LinkKind::kStore   ? hosts_[n].store_link
                                        : hosts_[n].peer_link;
  proxies_.SetFault(link, fault, delay);
}

void SoakFleet::PartitionFromEndpoints(const std::set<int>& hosts,
                                       Partition partition) {
  FaultProxies::IsCut is_cut;
  if (!hosts.empty()) {
    std::vector<pid_t> processes;
    for (const int it : hosts) {
      processes.push_back(hosts_[it].process->pid());
    }
    is_cut = [processes](std::uint16_t client, std::uint16_t proxy) {
      const std::string inode = FindSocketInode(client, proxy);
      return std::ranges::any_of(processes, [&](pid_t it) {
        return !inode.empty() && OwnsSocket(it, inode);
      });
    };
  }
  for (const Endpoint& it : endpoints_) {
    proxies_.SetPartition(it.link, partition, is_cut);
  }
}

void SoakFleet::Write(const std::string& key, const std::string& json) {
  written_[key] = json;
  store_.PutJson(key, json);
}

void SoakFleet::Erase(const std::string& key) {
  written_[key].reset();
  store_.Remove(key);
}

void SoakFleet::ReturnStore() {
  store_.ReturnFromCopy();
  for (const auto& [key, json] : written_) {
    if (json) {
      store_.PutJson(key, *json);
    } else {
      store_.Remove(key);
    }
  }
}

void SoakFleet::CheckStop(int n, TimePoint now) {
  Host& host = hosts_[n];
  if (!host.terminated_at || now - *host.terminated_at < kStopGracePeriod) {
    return;
  }
  if (host.is_undisturbed) {
    ledger_.AddViolation("h" + std::to_string(n) +
                         ": still running at the end of the grace period");
  }
  Kill(n);
}

void SoakFleet::Tick(TimePoint now) {
  for (int n = 0; n < hosts(); ++n) {
    Host& host = hosts_[n];
    if (host.restart_at) {
      if (now >= *host.restart_at) {
        StartHost(n);
      }
      continue;
    }
    if (!host.process->HasEnded()) {
      CheckStop(n, now);
      continue;
    }
    const int code = host.process->Wait();
    const bool was_expected = host.was_killed || host.terminated_at;
    if (!was_expected || (!host.was_killed && code != 0)) {
      ledger_.AddViolation("h" + std::to_string(n) +
                           ": exited unexpectedly with code " +
                           std::to_string(code));
    }
    host.restart_at = now + kRestartDelay;
  }
}

bool SoakFleet::AllRun() const {
  return std::ranges::none_of(hosts_, [](const Host& it) {
    return it.restart_at || it.terminated_at || it.was_killed;
  });
}

}  // namespace damasktack
