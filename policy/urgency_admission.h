#ifndef POLICY_URGENCY_ADMISSION_H_
#define POLICY_URGENCY_ADMISSION_H_

#include <array>
#include <cstdint>

#include "contract/contract.h"
#include "core/time.h"
#include "policy/endpoint_report.h"
#include "policy/urgency_load.h"

namespace damasktack {

struct UrgencyAdmissionOptions {
  // Interval at which the fractions are recalculated.
  Duration window = std::chrono::milliseconds(100);
  // Time constant of the averages. Shorter than the 1 s in which peers'
  // statements expire; a fleet of 100 calls per second still averages 40 calls.
  Duration memory = std::chrono::milliseconds(400);
  // An urgency counts as arriving for this long after a call of it.
  Duration arrival_memory = std::chrono::seconds(5);
  // The service is short of slots from the first to the last of these fractions
  // of missed calls (hysteresis); `hold` after the last such window it is not.
  // Limits on less urgent calls cause some misses by themselves, so that the
  // fraction at which the shortage ends is the larger one.
  double short_from = 0.02;
  double sufficient_below = 0.05;
  Duration hold = std::chrono::seconds(1);
  // Accepted fraction of missed calls among the more urgent ones; half of the
  // loss that callers may notice (0.02).
  double max_urgent_missed = 0.01;
  // Change of the gain per second, for each unit by which the fraction of
  // missed urgent calls differs from the accepted one, and its bound.
  double gain_slope = 5;
  double max_gain_fall = 0.5;
  // Change of the gain per second while hardly any call is missed. Doubles the
  // admitted calls within a second, so that hosts that lose a quarter of their
  // peers' load do not leave slots empty.
  double free_gain_rise = 1.5;
  // Limits of the gain while calls are missed. Above 1, so that slots that
  // become free are used: the fraction of admitted calls grows by itself.
  double min_gain = 0.9;
  double max_gain = 1.12;
  // Below this fraction of busy slots, calls are not missed for lack of slots.
  double busy_from = 0.8;
  // Minimum fraction of less urgent calls that is admitted, as a fraction of
  // that of all calls. Callers need a quarter; the rest covers refusals by the
  // balancer.
  double floor = 0.3;
  // Minimum fraction without regard to what is served, so that a service that
  // serves nothing is tried again.
  double min_fraction = 0.05;
  // Fraction of its time until the objective in which a less urgent call must
  // be expected to end. The rest of the queue at endpoints is left to more
  // urgent calls.
  double time_fraction = 0.85;
};

// The expected capacity of a service, in calls per second over this host and
// the peers that it hears from.
struct ServiceCapacity {
  bool is_short = false;
  double offered_per_second = 0;
  double served_per_second = 0;
  // Expected to be served beyond the calls served now; 0 while short.
  double free_per_second = 0;
  // Number of hosts that the figures cover.
  double hosts = 1;
};

// Decides which fraction of the calls of each urgency a host offers to a
// service whose slots are short. The most urgent calls are always offered. The
// number of calls offered in total follows the number of calls served on time,
// and is divided from the most urgent calls down, with a minimum for each
// urgency. Less urgent calls are also held to an earlier objective, so that
// they leave the last slots and the end of the endpoints' queues to more urgent
// ones. Not thread-safe.
class UrgencyAdmission {
 public:
  struct Verdict {
    bool is_admitted = true;
    // Fraction of its time until the objective that the call may use.
    double time_fraction = 1;
  };

  explicit UrgencyAdmission(UrgencyAdmissionOptions options)
      : options_(options) {}

  // Decides on a call that arrives.
  Verdict Decide(Urgency urgency, TimePoint now);
  void OnServed(Urgency urgency) { ++served_[Index(urgency)]; }
  // The balancer refused the call, or it was late, for lack of slots.
  void OnMissed(Urgency urgency, TimePoint now);
  void OnReport(const EndpointReport& report);

  bool IsDue(TimePoint now) const {
    return now - updated_at_ >= options_.window;
  }
  // Recalculates the fractions. To be called when IsDue.
  void Update(const PeerLoad& peers, TimePoint now);

  // Averages of this host.
  const UrgencyLoad& own() const { return own_; }
  // Whether this host has recently missed calls of a service that calls of
  // several urgencies compete for.
  bool IsShortHere(TimePoint now) const;
  // Whether less urgent calls are restricted now.
  bool is_short() const { return is_short_; }
  // Whether reports show that hardly any slot is free.
  bool IsBusy() const;
  double fraction(Urgency urgency) const { return fractions_[Index(urgency)]; }
  std::uint64_t refused(Urgency urgency) const {
    return refused_[Index(urgency)];
  }
  ServiceCapacity capacity() const { return capacity_; }

 private:
  using Counts = std::array<double, kUrgencyCount>;

  static std::size_t Index(Urgency urgency) {
    return static_cast<std::size_t>(urgency);
  }
  // Moves the counts of the last window into the averages.
  void Average(TimePoint now);
  void UpdateArriving(const UrgencyLoad& total, TimePoint now);
  void UpdateShortage(double missed, double urgent_missed, TimePoint now);
  void UpdateGain(double missed, double urgent_missed, double seconds);
  void UpdateFractions(const UrgencyLoad& total);
  std::size_t MostUrgent() const;
  std::size_t LeastUrgent() const;

  const UrgencyAdmissionOptions options_;
  TimePoint updated_at_;
  // Counts since the last update.
  Counts offered_{};
  Counts served_{};
  Counts missed_{};
  double busy_slots_ = 0;
  double slots_ = 0;

  UrgencyLoad own_;
  // Average fraction of busy slots; negative without a report.
  double busy_ = -1;
  std::array<TimePoint, kUrgencyCount> offered_at_{};
  TimePoint missed_at_;
  std::array<bool, kUrgencyCount> is_arriving_{};
  bool is_short_ = false;
  TimePoint short_at_;
  // Calls to admit per call that is served on time.
  double gain_ = 1;
  UrgencyRates fractions_{1, 1, 1};
  // The part of the fractions that is admitted with the full time.
  double full_time_fraction_ = 1;
  // Calls earned by the fractions and not used yet.
  Counts credits_{};
  Counts full_time_credits_{};
  std::array<std::uint64_t, kUrgencyCount> refused_{};
  ServiceCapacity capacity_;
};

}  // namespace damasktack

#endif  // POLICY_URGENCY_ADMISSION_H_
