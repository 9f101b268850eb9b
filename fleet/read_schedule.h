#ifndef FLEET_READ_SCHEDULE_H_
#define FLEET_READ_SCHEDULE_H_

#include "core/random.h"
#include "core/time.h"

namespace damasktack {

// Above this fleet size each host makes safety reads less often, so that their
// total rate stays constant.
inline constexpr std::size_t kSafetyReadHosts = 16;

struct ReadScheduleOptions {
  // Backoff after failed reads: doubled from the shortest to the longest, with
  // jitter.
  Duration min_backoff = std::chrono::milliseconds(500);
  Duration max_backoff = std::chrono::seconds(30);
  // Average interval at which a host that is not a reader reads nevertheless;
  // longer in a fleet of more than kSafetyReadHosts hosts.
  Duration safety_read = std::chrono::minutes(5);
  // Reads are spread over this time after a host starts or becomes a reader, so
  // that the hosts of a fleet that starts at once do not read simultaneously.
  Duration start_spread = std::chrono::milliseconds(300);
};

// Schedules the reads of one document on one host. It is a pure state machine.
class ReadSchedule {
 public:
  ReadSchedule(ReadScheduleOptions options, std::uint64_t random_seed);

  // Returns the time of the next read; TimePoint::min() means at once.
  TimePoint due() const { return due_; }

  void Start(TimePoint now);
  void SetReader(bool reader, TimePoint now);
  // Sets the number of hosts in the platform list.
  void SetHosts(std::size_t hosts) { hosts_ = hosts; }
  // Schedules a read soon, whatever the role of the host, to check its data.
  void ReadSoon(TimePoint now);
  // The platform answered, with or without a new value.
  void Answered(TimePoint now);
  // The platform did not answer, or returned an unusable value: an older or a
  // rejected one.
  void Failed(TimePoint now);

 private:
  Duration SafetyRead();
  // Returns a random duration between half and one and a half times `time`.
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
