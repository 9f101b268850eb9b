#ifndef MAIN_SETTINGS_H_
#define MAIN_SETTINGS_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "admin/admin_server.h"
#include "core/ids.h"
#include "fleet/claim_options.h"
#include "fleet/limit_options.h"
#include "main/fleet_settings.h"
#include "main/settings_describer.h"
#include "proxy/proxy_state.h"

namespace damasktack {

struct PlatformOptions {
  bool enabled = false;
  SocketAddress address;
  Duration watch = std::chrono::seconds(20);
  // Between failed reads: doubled from `retry` to `longest_retry`, jittered.
  Duration retry = std::chrono::milliseconds(500);
  Duration longest_retry = std::chrono::seconds(30);
  Duration read_timeout = std::chrono::seconds(2);
  // How often a host that is no reader for its zone reads all the same.
  Duration safety_read = std::chrono::minutes(5);
  // A host that starts waits up to about this long before it reads.
  Duration start_spread = std::chrono::milliseconds(300);
  // Reads and watches a second that all hosts together may send.
  double reads_per_second = 200;
};

// The section "store", for deployments that publish routes and endpoints in a
// key-value store; the daemon then reads that instead of documents.
struct StoreOptions {
  bool enabled = false;
  SocketAddress address;
  // One watch waits this long.
  Duration watch = std::chrono::milliseconds(600);
  // Changes that come within this time cost one call together.
  Duration gather = std::chrono::milliseconds(150);
  // How long a host that starts waits for its peers before it asks the store.
  Duration initial_feed_timeout = std::chrono::milliseconds(250);
  // Calls wait for the first routes until this long after the start: a large
  // book takes a while where all hosts start together.
  Duration start_hold = std::chrono::milliseconds(1500);
  // Whether a host that starts reads any copy of the store at once.
  bool early_read = false;
  // Hosts that share the endpoints, until a peer says how many there are.
  std::int64_t hosts = 16;
};

struct StopOptions {
  // How long to go on serving after readiness went off, so that the
  // platform's balancer has time to notice.
  Duration lag = std::chrono::seconds(5);
  // The longest wait for calls in flight after that.
  Duration longest = std::chrono::minutes(2);
  // In seconds: when the platform ends a process that was told to stop. Where
  // it is above 0, calls in flight are waited for until shortly before that, in
  // place of `longest`.
  double grace_seconds = 0;
};

// Everything one daemon is told when it starts.
struct Settings {
  HostId host;
  ZoneId zone;
  // Whether log lines of level debug are written too.
  bool log_debug = false;
  // The region of each zone.
  std::map<ZoneId, RegionId> regions;
  ProxyOptions proxy;
  AdminOptions admin;
  PlatformOptions platform;
  StoreOptions store;
  FleetSettings fleet;
  LimitOptions limits;
  ClaimOptions claims;
  StopOptions stop;
};

// Checks all of it; the first fault is the error.
leaf::result<Settings> ParseSettings(std::string_view text,
                                     std::string_view where);
leaf::result<Settings> LoadSettings(const std::string& path);

// Every setting there is, in the order of the sections.
std::vector<SettingDescription> DescribeSettings();

}  // namespace damasktack

#endif  // MAIN_SETTINGS_H_
