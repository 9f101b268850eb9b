// Reads a second that a fleet sends to the platform, by its size: in quiet
// times, when all hosts start at once, and around an outage of an hour. Runs
// the hosts' schedules and budgets on a clock in memory.

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
constexpr Duration kWatch = std::chrono::seconds(20);
const TimePoint kStart = TimePoint() + std::chrono::hours(1);
const TimePoint kDown = kStart + std::chrono::minutes(30);
const TimePoint kBack = kDown + std::chrono::hours(1);
const TimePoint kEnd = kBack + std::chrono::minutes(30);

// Reads by the second in which they were sent.
using Reads = std::map<std::int64_t, std::uint64_t>;

std::int64_t SecondOf(TimePoint time) {
  return std::chrono::duration_cast<std::chrono::seconds>(
             time.time_since_epoch())
      .count();
}

// All reads of one host. A watch that is answered takes kWatch; in an outage
// the platform refuses at once.
void RunHost(std::size_t hosts, std::uint64_t seed, bool reader, Reads& reads) {
  ReadBudget budget(PlatformReaderOptions().reads_per_second);
  budget.SetHosts(hosts, kStart);
  std::vector<ReadSchedule> schedules;
  for (std::size_t n = 0; n < kDocumentCount; ++n) {
    schedules.emplace_back(ReadScheduleOptions(), seed * kDocumentCount + n);
    schedules.back().SetHosts(hosts);
    schedules.back().Start(kStart);
    schedules.back().SetReader(reader, kStart);
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
    const bool down = now >= kDown && now < kBack;
    if (down) {
      schedules[n].Failed(now);
      *first = schedules[n].due();
    } else {
      schedules[n].Answered(now);
      *first =
          std::max(schedules[n].due(), now + (reader ? kWatch : Duration{}));
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
  std::uint64_t most = 0;
  for (const auto& [second, n] : reads) {
    if (second >= SecondOf(from) && second < SecondOf(to)) {
      most = std::max(most, n);
    }
  }
  return most;
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
      hosts, Average(reads, kStart + 10 * minute, kDown),
      static_cast<unsigned long long>(Peak(reads, kStart, kStart + minute)),
      Average(reads, kDown + 10 * minute, kBack),
      static_cast<unsigned long long>(Peak(reads, kBack, kBack + minute)));
}

}  // namespace
}  // namespace damasktack

int main() {
  for (const std::size_t hosts : {15, 60, 240, 960}) {
    damasktack::Run(hosts);
  }
}
