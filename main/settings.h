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
  // Delay after a failed read: doubled from `retry` up to `longest_retry`, with
  // jitter.
  Duration retry = std::chrono::milliseconds(500);
  Duration longest_retry = std::chrono::seconds(30);
  Duration read_timeout = std::chrono::seconds(2);
  // How often a host that is not a reader for its zone reads nevertheless.
  Duration safety_read = std::chrono::minutes(5);
  // Upper end of the random delay before the first read of a host that starts.
  Duration start_spread = std::chrono::milliseconds(300);
  // Maximum reads and watches per second of all hosts together.
  double reads_per_second = 200;
};

// The section "store", for deployments that publish routes and endpoints in a
// key-value store, which the daemon then reads instead of documents.
struct StoreOptions {
  bool enabled = false;
  SocketAddress address;
  // Maximum duration of one watch.
  Duration watch = std::chrono::milliseconds(600);
  // Changes within this time are batched into one update.
  Duration gather = std::chrono::milliseconds(150);
  // How long a host that starts waits for its peers before it queries the
  // store.
  Duration initial_feed_timeout = std::chrono::milliseconds(250);
  // Until this long after the start, calls wait for the first routes: loading a
  // large route table takes time when all hosts start together.
  Duration start_hold = std::chrono::milliseconds(1500);
  // Whether a host that starts reads any replica of the store at once.
  bool early_read = false;
  // Number of hosts that share the endpoints, until a peer reports it.
  std::int64_t hosts = 16;
};

struct StopOptions {
  // How long to continue serving after the host reports "not ready", so that
  // the platform's balancer has time to notice.
  Duration lag = std::chrono::seconds(5);
  // Maximum wait for calls in flight after that.
  Duration longest = std::chrono::minutes(2);
  // Seconds after which the platform kills a process that it has told to stop.
  // If above 0, calls in flight are waited for until shortly before that time
  // instead of for `longest`.
  double grace_seconds = 0;
};

// Returns the time from the order to stop until calls are aborted.
Duration MaxStopTime(const StopOptions& stop);
// Returns how long to wait for the handover of claims when the calls have ended
// at `elapsed` after the order to stop.
Duration MaxHandoverTime(const StopOptions& stop, Duration elapsed);

// All settings of one daemon.
struct Settings {
  HostId host;
  ZoneId zone;
  // Whether lines of level debug are logged too.
  bool log_debug = false;
  // Region of each zone.
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

// Parse and validate settings; fail with the first error.
leaf::result<Settings> ParseSettings(std::string_view text,
                                     std::string_view where);
leaf::result<Settings> LoadSettings(const std::string& path);

// Returns all settings in the order of the sections.
std::vector<SettingDescription> DescribeSettings();

}  // namespace damasktack

#endif  // MAIN_SETTINGS_H_
