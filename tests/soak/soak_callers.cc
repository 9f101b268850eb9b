#include "tests/soak/soak_callers.h"

#include <httplib.h>

#include <random>

namespace damasktack {

namespace {

constexpr int kCallers = 8;
constexpr int kMostOnOneConnection = 30;
constexpr auto kCall = "X-Damasktack-Request-Id";
constexpr auto kDeadlineMs = "1500";
// Beyond the deadline, so that a late answer is seen too.
constexpr auto kReadTimeout = std::chrono::seconds(3);
constexpr auto kPause = std::chrono::milliseconds(10);
constexpr auto kVersionPause = std::chrono::milliseconds(60);
constexpr auto kCrashingPause = std::chrono::milliseconds(250);

httplib::Headers HeadersOf(const std::string& call) {
  return {{"Host", "soak.example"},
          {kCall, call},
          {"X-Damasktack-Deadline-Ms", kDeadlineMs}};
}

}  // namespace

SoakCallers::SoakCallers(const SoakFleet& fleet,
                         SoakLedger& ledger,
                         std::uint64_t seed)
    : fleet_(fleet),
      ledger_(ledger),
      prefix_("c" + std::to_string(seed) + "-") {
  for (int n = 0; n < kCallers; ++n) {
    threads_.emplace_back([this, seed, n] { Call(seed * kCallers + n); });
  }
  threads_.emplace_back([this] { AskVersions(); });
  threads_.emplace_back([this, seed] { SendCrashing(seed); });
}

SoakCallers::~SoakCallers() {
  stopping_ = true;
  for (std::thread& it : threads_) {
    it.join();
  }
}

SoakCallers::Count SoakCallers::TakeCount() {
  return {asked_.exchange(0), served_.exchange(0)};
}

void SoakCallers::Call(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  while (!stopping_) {
    const int host = static_cast<int>(random() % fleet_.hosts());
    const SocketAddress at = fleet_.CallersOf(host);
    httplib::Client client(at.ip, at.port);
    client.set_keep_alive(true);
    client.set_tcp_nodelay(true);
    client.set_connection_timeout(std::chrono::seconds(1));
    client.set_read_timeout(kReadTimeout);
    bool is_open = true;
    for (int n = 0; n < kMostOnOneConnection && is_open && !stopping_; ++n) {
      const bool idempotent = random() % 3 != 0;
      const std::string call = prefix_ + std::to_string(++next_);
      ledger_.Sent(call, idempotent);
      const auto answer =
          idempotent
              ? client.Get("/read/" + call, HeadersOf(call))
              : client.Post("/write/" + call, HeadersOf(call),
                            std::string(random() % 2000, 'x'), "text/plain");
      ++asked_;
      is_open = static_cast<bool>(answer);
      if (!answer) {
        continue;
      }
      ledger_.Answered(call, answer->status);
      served_ += answer->status == 200 ? 1 : 0;
      if (answer->status == 200 && answer->body != "ran " + call + " at s") {
        ledger_.Violation(call + ": got \"" + answer->body + "\"");
      }
      if (answer->status >= 300 && answer->status < 500 &&
          answer->status != 429) {
        ledger_.Violation(call + ": got " + std::to_string(answer->status) +
                          " although its route was always published");
      }
      std::this_thread::sleep_for(kPause);
    }
  }
}

// A host that has served a version's route may serve no older one in the same
// life, and the newest one that it has served it may not deny while no newer
// one is published.
void SoakCallers::AskVersion(int host, int version, Seen& seen) {
  const int life = fleet_.LifeOf(host);
  if (seen.life != life) {
    seen = {life, 0};
  }
  const SocketAddress at = fleet_.DirectOf(host);
  httplib::Client client(at.ip, at.port);
  client.set_connection_timeout(std::chrono::milliseconds(200));
  client.set_read_timeout(kReadTimeout);
  const std::string call = prefix_ + "v" + std::to_string(++next_);
  const std::string text = std::to_string(version);
  ledger_.Sent(call, true);
  const auto answer = client.Get("/v" + text + "/", HeadersOf(call));
  const bool is_same_life = fleet_.LifeOf(host) == life;
  if (!answer || !is_same_life) {
    return;
  }
  ledger_.Answered(call, answer->status);
  const std::string where = "h" + std::to_string(host) + ": version " + text;
  if (answer->status == 200 && version < seen.version) {
    ledger_.Violation(where + " served after " + std::to_string(seen.version));
  }
  const bool is_newest = fleet_.version() == version;
  if (answer->status == 404 && version == seen.version && is_newest) {
    ledger_.Violation(where + " denied after it was served");
  }
  if (answer->status == 200) {
    seen.version = std::max(seen.version, version);
  }
}

void SoakCallers::AskVersions() {
  std::vector<Seen> seen(static_cast<std::size_t>(fleet_.hosts()));
  while (!stopping_) {
    for (int host = 0; host < fleet_.hosts() && !stopping_; ++host) {
      const int newest = fleet_.version();
      AskVersion(host, newest, seen[host]);
      if (newest > 1) {
        AskVersion(host, newest - 1, seen[host]);
      }
      std::this_thread::sleep_for(kVersionPause);
    }
  }
}

void SoakCallers::SendCrashing(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  while (!stopping_) {
    const int host = static_cast<int>(random() % fleet_.hosts());
    const SocketAddress at = fleet_.DirectOf(host);
    httplib::Client client(at.ip, at.port);
    client.set_connection_timeout(std::chrono::milliseconds(200));
    client.set_read_timeout(kReadTimeout);
    client.Get("/fragile/crash", HeadersOf(prefix_ + "crash"));
    std::this_thread::sleep_for(kCrashingPause);
  }
}

}  // namespace damasktack
