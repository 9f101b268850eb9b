#include "tests/soak/soak_callers.h"

#include <httplib.h>

#include <random>

namespace damasktack {

namespace {

constexpr int kCallers = 8;
constexpr int kMaxCallsPerConnection = 30;
constexpr auto kCallIdHeader = "X-Damasktack-Request-Id";
constexpr auto kDeadlineMs = "1500";
// Exceeds the request deadline, so that late responses are checked as well.
constexpr auto kReadTimeout = std::chrono::seconds(3);
constexpr auto kCallInterval = std::chrono::milliseconds(10);
constexpr auto kVersionQueryInterval = std::chrono::milliseconds(60);
constexpr auto kCrashingCallInterval = std::chrono::milliseconds(250);

httplib::Headers HeadersOf(const std::string& call) {
  return {{"Host", "soak.example"},
          {kCallIdHeader, call},
          {"X-Damasktack-Deadline-Ms", kDeadlineMs}};
}

}  // namespace

SoakCallers::SoakCallers(const SoakFleet& fleet,
                         SoakRecorder& ledger,
                         std::uint64_t seed)
    : fleet_(fleet),
      ledger_(ledger),
      prefix_("c" + std::to_string(seed) + "-") {
  for (int n = 0; n < kCallers; ++n) {
    threads_.emplace_back([this, seed, n] { Call(seed * kCallers + n); });
  }
  threads_.emplace_back([this] { QueryVersions(); });
  threads_.emplace_back([this, seed] { SendCrashing(seed); });
}

SoakCallers::~SoakCallers() {
  stopping_ = true;
  for (std::thread& it : threads_) {
    it.join();
  }
}

SoakCallers::CallCounts SoakCallers::TakeCounts() {
  return {sent_.exchange(0), served_.exchange(0)};
}

void SoakCallers::Call(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  while (!stopping_) {
    const int host = static_cast<int>(random() % fleet_.hosts());
    const SocketAddress at = fleet_.CallerAddress(host);
    httplib::Client client(at.ip, at.port);
    client.set_keep_alive(true);
    client.set_tcp_nodelay(true);
    client.set_connection_timeout(std::chrono::seconds(1));
    client.set_read_timeout(kReadTimeout);
    bool is_open = true;
    for (int n = 0; n < kMaxCallsPerConnection && is_open && !stopping_; ++n) {
      const bool idempotent = random() % 3 != 0;
      const std::string call = prefix_ + std::to_string(++next_);
      ledger_.RecordSent(call, idempotent);
      const auto answer =
          idempotent
              ? client.Get("/read/" + call, HeadersOf(call))
              : client.Post("/write/" + call, HeadersOf(call),
                            std::string(random() % 2000, 'x'), "text/plain");
      ++sent_;
      is_open = static_cast<bool>(answer);
      if (!answer) {
        continue;
      }
      ledger_.RecordAnswer(call, answer->status);
      served_ += answer->status == 200 ? 1 : 0;
      if (answer->status == 200 && answer->body != "ran " + call + " at s") {
        ledger_.AddViolation(call + ": got \"" + answer->body + "\"");
      }
      if (answer->status >= 300 && answer->status < 500 &&
          answer->status != 429) {
        ledger_.AddViolation(
            call + ": got " + std::to_string(answer->status) +
            " although its route is in every published version");
      }
      std::this_thread::sleep_for(kCallInterval);
    }
  }
}

// Within one run of its process, a host that has served the route of a version
// must not serve the route of an older one, and must keep serving the newest
// route that it has served until a newer version is published.
void SoakCallers::QueryVersion(int host, int version, SeenVersion& seen) {
  const int generation = fleet_.GenerationOf(host);
  if (seen.generation != generation) {
    seen = {generation, 0};
  }
  const SocketAddress at = fleet_.DirectAddress(host);
  httplib::Client client(at.ip, at.port);
  client.set_connection_timeout(std::chrono::milliseconds(200));
  client.set_read_timeout(kReadTimeout);
  const std::string call = prefix_ + "v" + std::to_string(++next_);
  const std::string text = std::to_string(version);
  ledger_.RecordSent(call, true);
  const auto answer = client.Get("/v" + text + "/", HeadersOf(call));
  const bool is_same_generation = fleet_.GenerationOf(host) == generation;
  if (!answer || !is_same_generation) {
    return;
  }
  ledger_.RecordAnswer(call, answer->status);
  const std::string where = "h" + std::to_string(host) + ": version " + text;
  if (answer->status == 200 && version < seen.version) {
    ledger_.AddViolation(where + " served after " +
                         std::to_string(seen.version));
  }
  const bool is_newest = fleet_.version() == version;
  if (answer->status == 404 && version == seen.version && is_newest) {
    ledger_.AddViolation(where + " rejected with 404 after it was served");
  }
  if (answer->status == 200) {
    seen.version = std::max(seen.version, version);
  }
}

void SoakCallers::QueryVersions() {
  std::vector<SeenVersion> seen(static_cast<std::size_t>(fleet_.hosts()));
  while (!stopping_) {
    for (int host = 0; host < fleet_.hosts() && !stopping_; ++host) {
      const int newest = fleet_.version();
      QueryVersion(host, newest, seen[host]);
      if (newest > 1) {
        QueryVersion(host, newest - 1, seen[host]);
      }
      std::this_thread::sleep_for(kVersionQueryInterval);
    }
  }
}

void SoakCallers::SendCrashing(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  while (!stopping_) {
    const int host = static_cast<int>(random() % fleet_.hosts());
    const SocketAddress at = fleet_.DirectAddress(host);
    httplib::Client client(at.ip, at.port);
    client.set_connection_timeout(std::chrono::milliseconds(200));
    client.set_read_timeout(kReadTimeout);
    client.Get("/fragile/crash", HeadersOf(prefix_ + "crash"));
    std::this_thread::sleep_for(kCrashingCallInterval);
  }
}

}  // namespace damasktack
