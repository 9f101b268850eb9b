#include "tests/soak/partition_run.h"

#include <httplib.h>

#include <random>
#include <thread>

namespace damasktack {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(20);
constexpr Duration kStartupTime = seconds(4);
// Calls that begin later than this after a change of the network are counted.
constexpr Duration kNoticeTime = seconds(3);
constexpr Duration kCountedTime = seconds(4);
constexpr Duration kReturnTime = seconds(1);
constexpr Duration kCallInterval = milliseconds(60);
constexpr int kMaxCallsPerConnection = 10;

}  // namespace

PartitionRun::PartitionRun(const PartitionPlan& plan)
    : plan_(plan), fleet_(plan.size, ledger_) {}

void PartitionRun::RunFor(Duration time) {
  const TimePoint end = Clock::now() + time;
  while (Clock::now() < end) {
    fleet_.Tick(Clock::now());
    std::this_thread::sleep_for(kStep);
  }
}

void PartitionRun::CallHost(int host) {
  std::mt19937_64 random(static_cast<std::uint64_t>(host));
  const SocketAddress at = fleet_.DirectAddress(host);
  int calls = 0;
  while (!stopping_) {
    httplib::Client client(at.ip, at.port);
    client.set_keep_alive(true);
    client.set_tcp_nodelay(true);
    client.set_connection_timeout(seconds(1));
    client.set_read_timeout(seconds(3));
    for (int n = 0; n < kMaxCallsPerConnection && !stopping_; ++n) {
      const bool idempotent = random() % 4 != 0;
      const std::string call =
          "h" + std::to_string(host) + "-" + std::to_string(++calls);
      const httplib::Headers headers{{"Host", "soak.example"},
                                     {"X-Damasktack-Request-Id", call},
                                     {"X-Damasktack-Deadline-Ms", "1500"}};
      ledger_.RecordSent(call, idempotent);
      const Phase phase = phase_;
      const auto answer = idempotent ? client.Get("/read/" + call, headers)
                                     : client.Post("/write/" + call, headers,
                                                   "body", "text/plain");
      const bool is_served = answer && answer->status == 200 &&
                             answer->body == "ran " + call + " at s";
      if (answer) {
        ledger_.RecordAnswer(call, answer->status);
      }
      if (phase != Phase::kNotCounted && phase == phase_) {
        const std::lock_guard lock(mutex_);
        ServedCalls& counts = phase == Phase::kAfter   ? outcome_.after
                              : host < plan_.cut_hosts ? outcome_.at_cut_hosts
                                                       : outcome_.at_others;
        ++counts.sent;
        counts.served += is_served ? 1 : 0;
      }
      std::this_thread::sleep_for(kCallInterval);
      if (!answer) {
        break;
      }
    }
  }
}

PartitionOutcome PartitionRun::Execute() {
  RunFor(kStartupTime);
  std::vector<std::thread> callers;
  for (int n = 0; n < fleet_.hosts(); ++n) {
    callers.emplace_back([this, n] { CallHost(n); });
  }
  RunFor(seconds(1));
  std::set<int> cut;
  for (int n = 0; n < plan_.cut_hosts; ++n) {
    cut.insert(n);
  }
  fleet_.PartitionFromEndpoints(cut, plan_.partition);
  RunFor(kNoticeTime);
  for (int n = fleet_.hosts() - plan_.killed_hosts; n < fleet_.hosts(); ++n) {
    fleet_.Kill(n);
  }
  phase_ = Phase::kCut;
  RunFor(kCountedTime);
  phase_ = Phase::kNotCounted;
  fleet_.PartitionFromEndpoints({}, plan_.partition);
  RunFor(kReturnTime);
  phase_ = Phase::kAfter;
  RunFor(kReturnTime);
  phase_ = Phase::kNotCounted;
  stopping_ = true;
  for (std::thread& it : callers) {
    it.join();
  }
  outcome_.violations = ledger_.Violations();
  return outcome_;
}

}  // namespace damasktack
