#ifndef FLEET_READ_SCHEDULE_H_
#define FLEET_READ_SCHEDULE_H_

#include "core/random.h"
#include "core/time.h"

namespace damasktack {

// Above this many hosts each reads less often, so that all safety reads
// together stay as many.
inline constexpr std::size_t kSafetyReadHosts = 16;

struct ReadScheduleOptions {
  // Between failed reads; doubled from the first to the second, jittered.
  Duration shortest_backoff = std::chrono::milliseconds(500);
  Duration longest_backoff = std::chrono::seconds(30);
  // How often a host that is no reader reads all the same, on average; more
  // rarely in a fleet of over kSafetyReadHosts.
  Duration safety_read = std::chrono::minutes(5);
  // A host that starts or becomes a reader waits up to this long, so that a
  // fleet that starts at once does not read in one moment.
  Duration start_spread = std::chrono::milliseconds(300);
};

// When one host reads one document next. Pure.
class ReadSchedule {
 public:
  ReadSchedule(ReadScheduleOptions options, std::uint64_t random_seed);

  // The next read; TimePoint::min() means at once.
  TimePoint due() const { return due_; }

  void Start(TimePoint now);
  void SetReader(bool reader, TimePoint now);
  // The length of the platform's list.
  void SetHosts(std::size_t hosts) { hosts_ = hosts; }
  // Reads soon whatever the role: this host has to check what it believes.
  void ReadSoon(TimePoint now);
  // The platform answered, with a new value or with none.
  void Answered(TimePoint now);
  // It did not, or with a value that is no use: older, or refused.
  void Failed(TimePoint now);

 private:
  Duration SafetyRead();
  // From half of `time` to one and a half.
  Duration Jittered(Duration time);

  const ReadScheduleOptions options_;
  Random random_;
  bool reader_ = false;
  std::size_t hosts_ = 1;
  TimePoint due_;
  Duration backoff_ = Duration::zero();
};

}  // namespace damasktack

#endif  // FLEET_READ_SCHEDULE_H_
