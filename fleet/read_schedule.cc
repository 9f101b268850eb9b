#include "fleet/read_schedule.h"

#include <algorithm>

namespace damasktack {

namespace {

constexpr std::uint32_t kJitterSteps = 1000;

}  // namespace

ReadSchedule::ReadSchedule(ReadScheduleOptions options,
                           std::uint64_t random_seed)
    : options_(options), random_(random_seed) {}

void ReadSchedule::Start(TimePoint now) {
  ReadSoon(now);
}

void ReadSchedule::SetReader(bool reader, TimePoint now) {
  if (reader && !reader_) {
    due_ = std::min(due_, now + Jittered(options_.start_spread));
  }
  reader_ = reader;
}

void ReadSchedule::ReadSoon(TimePoint now) {
  backoff_ = Duration::zero();
  due_ = now + Jittered(options_.start_spread) / 2;
}

void ReadSchedule::Answered(TimePoint now) {
  backoff_ = Duration::zero();
  due_ = reader_ ? now : now + SafetyRead();
}

// While the platform is down only readers retry, at increasing and random
// intervals, so that its return does not cause a burst of reads.
void ReadSchedule::Failed(TimePoint now) {
  backoff_ =
      std::clamp(2 * backoff_, options_.min_backoff, options_.max_backoff);
  due_ = now + (reader_ ? Jittered(backoff_) : SafetyRead());
}

Duration ReadSchedule::SafetyRead() {
  const auto hosts =
      static_cast<std::int64_t>(std::max(hosts_, kSafetyReadHosts));
  const auto base = static_cast<std::int64_t>(kSafetyReadHosts);
  return Jittered(options_.safety_read * hosts / base);
}

Duration ReadSchedule::Jittered(Duration time) {
  return time / 2 + time * UniformBelow(random_, kJitterSteps) / kJitterSteps;
}

}  // namespace damasktack
