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
  visitor.Count("threads", options.threads, 1, 64, "threads",
                "threads for callers' and endpoints' connections");
  visitor.Count("connections", options.connections, 1, 100'000, "connections",
                "callers' connections open at a time");
  visitor.Count("request_header_bytes", options.request_header_bytes, 1024,
                1 << 20, "bytes", "longest head of a request");
  visitor.Count("request_body_bytes", options.request_body_bytes, 0, 64 << 20,
                "bytes", "longest body of a request");
  visitor.Time("idle_timeout", options.idle_timeout, milliseconds(100),
               hours(1), "how long a caller's connection may stay unused");
  visitor.Time("request_timeout", options.request_timeout, milliseconds(10),
               minutes(10),
               "longest time from a request's first byte to its last");
  visitor.Count("idle_per_endpoint", options.idle_per_endpoint, 0, 100'000,
                "connections",
                "unused connections kept open to each endpoint by each thread");
  visitor.Time("connect_timeout", options.exchange.connect_timeout,
               milliseconds(1), seconds(10),
               "longest wait for a connection to an endpoint");
  visitor.Time("endpoint_idle", options.endpoint_idle, milliseconds(10),
               minutes(10),
               "how long an unused connection to an endpoint is kept; below "
               "the time after which endpoints close it");
  visitor.Count("retry_percent", options.balancer.retries.service_percent, 0,
                100, "percent",
                "repeated sends of one service, by its first sends");
  visitor.Number("retry_burst", options.balancer.retries.service_cap, 0, 10'000,
                 "sends", "repeated sends that a service may save up");
  visitor.Number("retry_slack", options.balancer.retries.fleet_slack, 0,
                 1'000'000, "sends",
                 "repeated sends of a service beyond retry_percent that all "
                 "hosts together may send in any 10 s; above 0 each has its "
                 "part of them in place of retry_burst, with "
                 "measures_before_sending");
  visitor.Flag("measures_before_sending", options.measures_before_sending,
               "probe endpoints at the moment at which a call is placed; for "
               "services whose executions take tens of milliseconds and more");
  visitor.Number("probe_limit", options.measured.probe_limit, 0, 10'000,
                 "probes a second",
                 "probes of one endpoint by all hosts together; with "
                 "measures_before_sending");
  visitor.Number("cold_overshoot", options.measured.cold.overshoot, 1, 100,
                 "times the rate",
                 "calls that all hosts together may send to a cold endpoint "
                 "within a second, by the rate that its service publishes");
  visitor.Number("cold_slack", options.measured.cold.slack, 0, 10'000, "calls",
                 "what they may send beyond that");
  visitor.Time("tick", options.tick, milliseconds(1), seconds(1),
               "how often deadlines of waiting calls are looked at");
}

template <typename Visitor>
void VisitAdmin(Visitor& visitor, AdminOptions& options) {
  visitor.Address("listen", options.listen, SettingNeed::kRequired,
                  "where the administration API is served; a loopback "
                  "address, unless allow_remote is true");
  visitor.Flag("allow_remote", options.allow_remote,
               "lets listen be another address than a loopback one; the API "
               "speaks plain HTTP, so that its network must be trusted");
  visitor.Secret("token", options.token,
                 "bearer token of the administration API, at least 16 "
                 "characters; instead of token_file");
  visitor.Text("token_file", options.token_file,
               "file whose first line is the token; instead of token");
  visitor.Flag("public_only", options.public_only,
               "serve health, readiness and metrics and nothing else; then no "
               "token is needed");
  visitor.Text("ready_path", options.ready_path,
               "path of the readiness check besides /readyz");
}

template <typename Visitor>
void VisitPlatform(Visitor& visitor, PlatformOptions& options) {
  visitor.Address("address", options.address, SettingNeed::kRequired,
                  "the platform's configuration service");
  visitor.Time("watch", options.watch, milliseconds(100), minutes(5),
               "longest time that one watch of a document waits");
  visitor.Time("retry", options.retry, milliseconds(10), minutes(1),
               "pause after a failed read; doubled by each further one");
  visitor.Time("longest_retry", options.longest_retry, milliseconds(10),
               minutes(10), "longest pause between failed reads");
  visitor.Time("read_timeout", options.read_timeout, milliseconds(10),
               minutes(1), "longest time of one read");
  visitor.Time("safety_read", options.safety_read, seconds(1), hours(24),
               "how often a host that is no reader for its zone reads all "
               "the same");
  visitor.Time("start_spread", options.start_spread, milliseconds(1),
               minutes(1),
               "a host that starts waits up to about this long before it "
               "reads");
  visitor.Number("reads_per_second", options.reads_per_second, 0.1, 100'000,
                 "reads a second",
                 "reads and watches that all hosts together may send");
}

template <typename Visitor>
void VisitStore(Visitor& visitor, StoreOptions& options) {
  visitor.Address("address", options.address, SettingNeed::kRequired,
                  "the key-value store that holds routes and endpoints");
  visitor.Time("watch", options.watch, milliseconds(100), minutes(5),
               "longest time that one watch waits");
  visitor.Time("gather", options.gather, milliseconds(0), seconds(10),
               "pause after changes, so that further ones come with them");
  visitor.Time("start_patience", options.initial_feed_timeout, milliseconds(0),
               minutes(1),
               "how long a host that starts waits for its peers before it "
               "asks the store");
  visitor.Time("start_hold", options.start_hold, milliseconds(0), minutes(1),
               "until this long after its start a host without routes lets "
               "calls wait for them; later ones are refused at once");
  visitor.Flag("early_read", options.early_read,
               "read any copy of the store at once when a host starts, though "
               "it may be seconds old");
  visitor.Count("hosts", options.hosts, 1, 10'000, "hosts",
                "hosts that share the endpoints, while nothing better is "
                "known");
}

template <typename Visitor>
void VisitFleet(Visitor& visitor, FleetSettings& fleet) {
  visitor.Address("listen", fleet.listen, SettingNeed::kRequired,
                  "where peers reach this host; the platform's list of hosts "
                  "must say the same");
  visitor.Secret("key", fleet.key,
                 "shared by all hosts of the fleet, at least 16 characters; "
                 "instead of key_file");
  visitor.Text("key_file", fleet.key_file,
               "file that holds the fleet's key; instead of key");
  visitor.Addresses("seeds", fleet.seeds,
                    "peers to ask while the platform is down and no list is "
                    "known");
  visitor.Time("heartbeat", fleet.heartbeat, milliseconds(50), minutes(1),
               "between two heartbeats to each peer");
  visitor.Time("silence", fleet.silence, milliseconds(100), minutes(5),
               "after which a peer counts as unreachable; at least twice "
               "heartbeat");
  visitor.Time("digest", fleet.digest, milliseconds(10), minutes(1),
               "between two digests of documents to a random peer");
  visitor.Count("fanout", fleet.fanout, 1, 64, "peers",
                "peers that hear of a changed document at once");
  visitor.Time("peer_wait", fleet.peer_wait, milliseconds(10), minutes(1),
               "how long a host that starts or woke late waits for silent "
               "peers");
  visitor.Time("late_wake", fleet.late_wake, milliseconds(100), minutes(1),
               "a longer pause of the process makes it check what it "
               "believes before it is ready again");
  visitor.Text("test_cut_file", fleet.test_cut_file,
               "for tests of partitions only: a file that names hosts to cut "
               "links to");
}

template <typename Visitor>
void VisitLimits(Visitor& visitor, LimitOptions& options) {
  visitor.Time("lease", options.lease, milliseconds(200), minutes(1),
               "how long a borrowed part of a customer's limit lasts unless "
               "it is renewed; the same on every host");
  visitor.Time("orphan_hold", options.orphan_timeout, seconds(1), hours(24),
               "silence after which a host that is off the list is shown as "
               "an orphan; the same on every host");
}

template <typename Visitor>
void VisitClaims(Visitor& visitor, ClaimOptions& options) {
  visitor.Time("quarantine", options.quarantine, milliseconds(0), hours(1),
               "how long claims are refused after a first start or the loss "
               "of both keepers of a key; the same on every host");
  visitor.Time("retention", options.retention, seconds(1), hours(24 * 30),
               "how long an ended key is remembered; later repeats run "
               "again");
  visitor.Count("most_records", options.max_records, 1, 10'000'000, "keys",
                "keys remembered on one host; new ones are refused beyond");
}

template <typename Visitor>
void VisitStop(Visitor& visitor, StopOptions& options) {
  visitor.Time("lag", options.lag, milliseconds(0), minutes(10),
               "how long to go on serving after readiness went off, so that "
               "the platform's balancer has time to notice");
  visitor.Time("longest", options.longest, seconds(1), hours(1),
               "longest wait for calls in flight after that");
  visitor.Number("grace_seconds", options.grace_seconds, 0, 3600, "seconds",
                 "after which the platform ends a host that was told to stop; "
                 "above 0 calls are waited for until a twelfth of it is left, "
                 "whatever longest says");
}

template <typename Visitor>
void VisitSettings(Visitor& visitor, Settings& settings) {
  visitor.Name("host", settings.host,
               "this host's id in the platform's list of hosts");
  visitor.Name("zone", settings.zone, "availability zone of this host");
  visitor.Names("regions", settings.regions,
                "region of each availability zone; routes that are allowed in "
                "some regions only have their calls sent there");
  visitor.Flag("log_debug", settings.log_debug,
               "write log lines of level debug too, such as the names of an "
               "endpoint's headers that this version does not know");
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
