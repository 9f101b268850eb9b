#ifndef MAIN_SETTINGS_SECTIONS_H_
#define MAIN_SETTINGS_SECTIONS_H_

#include "main/settings.h"
#include "main/settings_reader.h"

namespace damasktack::detail {

// The list of all settings. Each function names the settings of a section with
// their ranges and explanations and is run by several visitors: SettingsReader
// reads the values from a file, SettingsDescriber writes the reference page,
// SettingsSnapshot records values for comparison. A new setting needs one line
// here and a member with its default.

using std::chrono::hours;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

template <typename Visitor>
void VisitProxy(Visitor& visitor, ProxyOptions& options) {
  visitor.Address("listen", options.listen, SettingNeed::kRequired,
                  "where callers connect");
  visitor.Address("relay_listen", options.relay.listen, SettingNeed::kOptional,
                  "where hosts of the fleet connect to relay calls for which "
                  "they reach no endpoint; without it this host neither takes "
                  "nor relays calls; only with store and fleet");
  visitor.Count("relay_calls", options.relay.max_calls, 1, 100'000, "calls",
                "maximum number of relayed calls that this host works on at "
                "a time");
  visitor.Count("threads", options.threads, 1, 64, "threads",
                "threads for callers' and endpoints' connections");
  visitor.Count("connections", options.connections, 1, 100'000, "connections",
                "maximum number of open connections of callers");
  visitor.Count("memory_mb", options.memory_mb, 32, 1'000'000, "megabytes",
                "memory that the process may use; messages of callers, peers "
                "and endpoints may take 60 percent of it, and a request for "
                "which there is no room is refused with 503");
  visitor.Count("request_header_bytes", options.request_header_bytes, 1024,
                1 << 20, "bytes", "maximum size of a request's header");
  visitor.Count("request_body_bytes", options.request_body_bytes, 0, 64 << 20,
                "bytes", "maximum size of a request's body");
  visitor.Time("idle_timeout", options.idle_timeout, milliseconds(100),
               hours(1), "idle timeout of a caller's connection");
  visitor.Time("request_timeout", options.request_timeout, milliseconds(10),
               minutes(10),
               "maximum time from the first byte of a request to its last");
  visitor.Count("idle_per_endpoint", options.idle_per_endpoint, 0, 100'000,
                "connections",
                "maximum idle connections to each endpoint kept open by "
                "each thread");
  visitor.Time("connect_timeout", options.exchange.connect_timeout,
               milliseconds(1), seconds(10),
               "timeout for connecting to an endpoint");
  visitor.Time("endpoint_idle", options.endpoint_idle, milliseconds(10),
               minutes(10),
               "how long an idle connection to an endpoint is kept; must "
               "be below the idle timeout of the endpoints");
  visitor.Count("retry_percent", options.balancer.retries.service_percent, 0,
                100, "percent",
                "retries of one service, as a percentage of its first "
                "attempts");
  visitor.Number("retry_burst", options.balancer.retries.service_cap, 0, 10'000,
                 "sends", "retries that a service may accumulate");
  visitor.Number("retry_slack", options.balancer.retries.fleet_slack, 0,
                 1'000'000, "sends",
                 "retries of a service beyond retry_percent that all hosts "
                 "together may send in any 10 s; above 0 each host uses its "
                 "part of them instead of retry_burst; only with "
                 "measures_before_sending");
  visitor.Flag("measures_before_sending", options.measures_before_sending,
               "probe endpoints when a call is dispatched; for services "
               "whose calls take tens of milliseconds or more");
  visitor.Number("probe_limit", options.measured.probe_limit, 0, 10'000,
                 "probes a second",
                 "maximum probes of one endpoint by all hosts together; "
                 "only with measures_before_sending");
  visitor.Number("cold_overshoot", options.measured.cold.overshoot, 1, 100,
                 "times the rate",
                 "calls that all hosts together may send to a cold endpoint "
                 "within a second, as a multiple of the rate published for "
                 "its service");
  visitor.Number("cold_slack", options.measured.cold.slack, 0, 10'000, "calls",
                 "calls that all hosts together may send to a cold endpoint "
                 "beyond cold_overshoot");
  visitor.Number(
      "hedge_timeout_factor", options.hedge_timeout_factor, 0, 100,
      "times the objective",
      "calls of an idempotent route may be sent to a second endpoint "
      "while the first send is in flight if the route's timeout is "
      "at least this multiple of its latency objective; 0 disables "
      "this");
  visitor.Flag("urgency_admission", options.urgency_admission,
               "refuse less urgent calls first while a service that routes of "
               "several urgencies share is short of free slots");
  visitor.Flag("slack_placement", options.slack_placement,
               "send calls that can wait to slower endpoints while a service "
               "that routes of different objectives share is short of free "
               "slots");
  visitor.Number("return_pacing_factor", options.return_pacing_factor, 0, 100,
                 "times the objective",
                 "spread the return of refused callers of a route over time if "
                 "the route's timeout is at least this multiple of its latency "
                 "objective; 0 disables this");
  visitor.Time("tick", options.tick, milliseconds(1), seconds(1),
               "interval at which deadlines of waiting calls are checked");
}

template <typename Visitor>
void VisitAdmin(Visitor& visitor, AdminOptions& options) {
  visitor.Address("listen", options.listen, SettingNeed::kRequired,
                  "address of the administration API; a loopback address "
                  "unless allow_remote is true");
  visitor.Flag("allow_remote", options.allow_remote,
               "allows listen to be an address other than a loopback "
               "address; the API uses plain HTTP, so its network must be "
               "trusted");
  visitor.Secret("token", options.token,
                 "bearer token of the administration API, at least 16 "
                 "characters; instead of token_file");
  visitor.Text("token_file", options.token_file,
               "file whose first line is the token; instead of token");
  visitor.Flag("public_only", options.public_only,
               "serve only health, readiness and metrics, which need no "
               "token");
  visitor.Text("ready_path", options.ready_path,
               "additional path of the readiness check besides /readyz");
}

template <typename Visitor>
void VisitPlatform(Visitor& visitor, PlatformOptions& options) {
  visitor.Address("address", options.address, SettingNeed::kRequired,
                  "the platform's configuration service");
  visitor.Time("watch", options.watch, milliseconds(100), minutes(5),
               "maximum duration of one watch of a document");
  visitor.Time("retry", options.retry, milliseconds(10), minutes(1),
               "delay after a failed read; doubled after each further "
               "failure");
  visitor.Time("longest_retry", options.longest_retry, milliseconds(10),
               minutes(10), "maximum delay between failed reads");
  visitor.Time("read_timeout", options.read_timeout, milliseconds(10),
               minutes(1), "timeout of one read");
  visitor.Time("safety_read", options.safety_read, seconds(1), hours(24),
               "how often a host that is not a reader for its zone reads "
               "nevertheless");
  visitor.Time("start_spread", options.start_spread, milliseconds(1),
               minutes(1),
               "upper end of the random delay before the first read of a "
               "host that starts");
  visitor.Number("reads_per_second", options.reads_per_second, 0.1, 100'000,
                 "reads a second",
                 "maximum reads and watches of all hosts together");
}

template <typename Visitor>
void VisitStore(Visitor& visitor, StoreOptions& options) {
  visitor.Address("address", options.address, SettingNeed::kRequired,
                  "address of the key-value store that holds routes and "
                  "endpoints");
  visitor.Time("watch", options.watch, milliseconds(100), minutes(5),
               "maximum duration of one watch");
  visitor.Time("gather", options.gather, milliseconds(0), seconds(10),
               "time for which changes are collected into one update");
  visitor.Time("start_patience", options.initial_feed_timeout, milliseconds(0),
               minutes(1),
               "how long a host that starts waits for its peers before it "
               "queries the store");
  visitor.Time("start_hold", options.start_hold, milliseconds(0), minutes(1),
               "until this long after its start a host without routes "
               "lets calls wait for them; later calls are rejected at once");
  visitor.Flag("early_read", options.early_read,
               "read any replica of the store at once when a host starts, "
               "although it may be seconds old");
  visitor.Count("hosts", options.hosts, 1, 10'000, "hosts",
                "number of hosts that share the endpoints, until a peer "
                "reports it");
}

template <typename Visitor>
void VisitFleet(Visitor& visitor, FleetSettings& fleet) {
  visitor.Address("listen", fleet.listen, SettingNeed::kRequired,
                  "address on which peers connect to this host; must equal "
                  "the one in the platform's list of hosts");
  visitor.Secret("key", fleet.key,
                 "secret shared by all hosts of the fleet, at least 16 "
                 "characters; instead of key_file");
  visitor.Text("key_file", fleet.key_file,
               "file that holds the fleet's key; instead of key");
  visitor.Addresses("seeds", fleet.seeds,
                    "peers to query while the platform is unreachable and no "
                    "list of hosts is known");
  visitor.Time("heartbeat", fleet.heartbeat, milliseconds(50), minutes(1),
               "interval between two heartbeats to each peer");
  visitor.Time("silence", fleet.silence, milliseconds(100), minutes(5),
               "time without a message after which a peer counts as "
               "unreachable; at least twice heartbeat");
  visitor.Time("digest", fleet.digest, milliseconds(10), minutes(1),
               "average interval between two digests of documents to a "
               "random peer");
  visitor.Count("fanout", fleet.fanout, 1, 64, "peers",
                "number of peers that a changed document is sent to at once");
  visitor.Time("peer_wait", fleet.peer_wait, milliseconds(10), minutes(1),
               "how long a host waits for peers that do not respond, "
               "after its start or after a long pause of the process");
  visitor.Time("late_wake", fleet.late_wake, milliseconds(100), minutes(1),
               "after a longer pause of the process the host verifies its "
               "state of the fleet before it is ready again");
  visitor.Text("test_cut_file", fleet.test_cut_file,
               "only for tests of partitions: a file with the hosts to "
               "which links are cut");
}

template <typename Visitor>
void VisitLimits(Visitor& visitor, LimitOptions& options) {
  visitor.Time("lease", options.lease, milliseconds(200), minutes(1),
               "lease time of a borrowed part of a customer's limit; must "
               "be equal on every host");
  visitor.Time("orphan_hold", options.orphan_timeout, seconds(1), hours(24),
               "time without a message after which a host that is not "
               "listed is shown as an orphan; must be equal on every host");
}

template <typename Visitor>
void VisitClaims(Visitor& visitor, ClaimOptions& options) {
  visitor.Time("quarantine", options.quarantine, milliseconds(0), hours(1),
               "how long claims are rejected after a first start or the "
               "loss of both replicas of a key; must be equal on every "
               "host");
  visitor.Time("retention", options.retention, seconds(1), hours(24 * 30),
               "how long an ended key is remembered; later repeats run "
               "again");
  visitor.Count("most_records", options.max_records, 1, 10'000'000, "keys",
                "keys remembered on one host; new ones are refused beyond");
}

template <typename Visitor>
void VisitStop(Visitor& visitor, StopOptions& options) {
  visitor.Time("lag", options.lag, milliseconds(0), minutes(10),
               "how long to continue serving after the host is no longer "
               "ready, so that the platform's balancer has time to notice");
  visitor.Time("longest", options.longest, seconds(1), hours(1),
               "maximum wait for calls in flight after that");
  visitor.Number("grace_seconds", options.grace_seconds, 0, 3600, "seconds",
                 "time after which the platform kills a host that was told "
                 "to stop; above 0 calls are waited for until a twelfth of "
                 "it is left, regardless of longest");
}

template <typename Visitor>
void VisitSettings(Visitor& visitor, Settings& settings) {
  visitor.Name("host", settings.host,
               "ID of this host in the platform's list of hosts");
  visitor.Name("zone", settings.zone, "availability zone of this host");
  visitor.Names("regions", settings.regions,
                "region of each availability zone; calls of routes that "
                "are restricted to some regions are sent only there");
  visitor.Flag("log_debug", settings.log_debug,
               "also write log lines of level debug, such as the names of "
               "unknown headers of endpoints");
  visitor.Section("proxy", settings.proxy, SettingNeed::kRequired,
                  VisitProxy<Visitor>);
  visitor.Section("admin", settings.admin, SettingNeed::kRequired,
                  VisitAdmin<Visitor>);
  settings.platform.enabled =
      visitor.Section("platform", settings.platform, SettingNeed::kOptional,
                      VisitPlatform<Visitor>);
  settings.store.enabled = visitor.Section(
      "store", settings.store, SettingNeed::kOptional, VisitStore<Visitor>);
  settings.fleet.enabled = visitor.Section(
      "fleet", settings.fleet, SettingNeed::kOptional, VisitFleet<Visitor>);
  visitor.Section("limits", settings.limits, SettingNeed::kOptional,
                  VisitLimits<Visitor>);
  visitor.Section("claims", settings.claims, SettingNeed::kOptional,
                  VisitClaims<Visitor>);
  visitor.Section("stop", settings.stop, SettingNeed::kOptional,
                  VisitStop<Visitor>);
}

}  // namespace damasktack::detail

#endif  // MAIN_SETTINGS_SECTIONS_H_
