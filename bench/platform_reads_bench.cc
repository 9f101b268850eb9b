// Measures the reads per second that a fleet sends to the platform, by fleet
// size: when idle, when all hosts start at once, and during and after an outage
// of one hour. Runs the hosts' read schedules and budgets in simulated time.

#include <algorithm>
#include <cstdio>
#include <map>
#include <vector>

#include "contract/document.h"
#include "fleet/platform_reader.h"
#include "fleet/reader_election.h"

namespace damasktack {
namespace {

constexpr std::size_t kZones = 4;
constexpr Duration kWatchDuration = std::chrono::seconds(20);
const TimePoint kStart = TimePoint() + std::chrono::hours(1);
const TimePoint kOutageStart = kStart + std::chrono::minutes(30);
const TimePoint kOutageEnd = kOutageStart + std::chrono::hours(1);
const TimePoint kEnd = kOutageEnd + std::chrono::minutes(30);

// Number of reads by the second in which they were sent.
using Reads = std::map<std::int64_t, std::uint64_t>;

std::int64_t SecondOf(TimePoint time) {
  return std::chrono::duration_cast<std::chrono::seconds>(
             time.time_since_epoch())
      .count();
}

// Adds all reads of one host. A successful watch takes kWatchDuration; during
// the outage the platform rejects reads immediately.
void RunHost(std::size_t hosts,
             std::uint64_t seed,
             bool is_reader,
             Reads& reads) {
  ReadBudget budget(PlatformReaderOptions().reads_per_second);
  budget.SetHosts(hosts, kStart);
  std::vector<ReadSchedule> schedules;
  for (std::size_t n = 0; n < kDocumentCount; ++n) {
    schedules.emplace_back(ReadScheduleOptions(), seed * kDocumentCount + n);
    schedules.back().SetHosts(hosts);
    schedules.back().Start(kStart);
    schedules.back().SetReader(is_reader, kStart);
  }
  std::vector<TimePoint> next;
  for (const ReadSchedule& it : schedules) {
    next.push_back(it.due());
  }
  while (true) {
    const auto first = std::ranges::min_element(next);
    const auto n = static_cast<std::size_t>(first - next.begin());
    const TimePoint now = *first;
    if (now >= kEnd) {
      return;
    }
    const Duration wait = budget.Take(now);
    if (wait > Duration::zero()) {
      *first = now + wait;
      continue;
    }
    ++reads[SecondOf(now)];
    const bool is_outage = now >= kOutageStart && now < kOutageEnd;
    if (is_outage) {
      schedules[n].Failed(now);
      *first = schedules[n].due();
    } else {
      schedules[n].Answered(now);
      *first = std::max(schedules[n].due(),
                        now + (is_reader ? kWatchDuration : Duration{}));
    }
  }
}

double Average(const Reads& reads, TimePoint from, TimePoint to) {
  std::uint64_t sum = 0;
  for (const auto& [second, n] : reads) {
    sum += second >= SecondOf(from) && second < SecondOf(to) ? n : 0;
  }
  return static_cast<double>(sum) /
         static_cast<double>(SecondOf(to) - SecondOf(from));
}

std::uint64_t Peak(const Reads& reads, TimePoint from, TimePoint to) {
  std::uint64_t peak = 0;
  for (const auto& [second, n] : reads) {
    if (second >= SecondOf(from) && second < SecondOf(to)) {
      peak = std::max(peak, n);
    }
  }
  return peak;
}

void Run(std::size_t hosts) {
  Reads reads;
  for (std::size_t n = 0; n < hosts; ++n) {
    RunHost(hosts, n, n < kZones * kReadersPerZone, reads);
  }
  const auto minute = std::chrono::minutes(1);
  std::printf(
      "hosts=%zu quiet=%.2f/s all-start-peak=%llu/s outage=%.2f/s "
      "return-peak=%llu/s\n",
      hosts, Average(reads, kStart + 10 * minute, kOutageStart),
      static_cast<unsigned long long>(Peak(reads, kStart, kStart + minute)),
      Average(reads, kOutageStart + 10 * minute, kOutageEnd),
      static_cast<unsigned long long>(
          Peak(reads, kOutageEnd, kOutageEnd + minute)));
}

}  // namespace
}  // namespace damasktack

int main() {
  for (const std::size_t hosts : {15, 60, 240, 960}) {
    damasktack::Run(hosts);
  }
}
