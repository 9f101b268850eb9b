#ifndef POLICY_ADMISSION_QUEUE_H_
#define POLICY_ADMISSION_QUEUE_H_

#include <array>
#include <compare>
#include <cstddef>
#include <set>
#include <unordered_map>
#include <vector>

#include "policy/call_offer.h"
#include "policy/fair_queue.h"

namespace damasktack {

struct AdmissionOptions {
  // Limit on the number of waiting calls, over all urgencies.
  std::size_t max_waiting = 4096;
  // Minimum share of the slot time that each urgency receives while it has
  // waiting calls.
  std::array<double, kUrgencyCount> floors = {0.0, 0.10, 0.05};
};

// Shortest expected slot time for each urgency. A call with less time left
// before its deadline cannot complete.
using ServiceTimes = std::array<Duration, kUrgencyCount>;

// Lists urgencies in the order in which they are tried.
class UrgencyOrder {
 public:
  void Append(Urgency urgency) { urgencies_[count_++] = urgency; }
  const Urgency* begin() const { return urgencies_.data(); }
  const Urgency* end() const { return urgencies_.data() + count_; }

 private:
  std::array<Urgency, kUrgencyCount> urgencies_{};
  std::size_t count_ = 0;
};

// Holds the calls that wait on one host for the endpoints of one service. Calls
// are grouped by urgency; within one urgency, weighted fair queueing applies by
// customer share. A call waits until its deadline at most. The queue is bounded
// under any load, and each refused call is reported exactly once.
class AdmissionQueue {
 public:
  explicit AdmissionQueue(AdmissionOptions options) : options_(options) {}

  // Enqueues the call, or appends it to `refused` if there is no room. A less
  // urgent call, or a call of a customer that has more calls waiting than its
  // share, is evicted first and is then reported instead. The token must be
  // unique.
  void Add(WaitingCall call, std::vector<Rejection>& refused);
  // Returns false if the call is not waiting.
  bool Remove(CallToken token);
  bool Contains(CallToken token) const { return calls_.contains(token); }

  // Returns the urgencies with waiting calls: first those that hold a credit
  // from their guaranteed minimum, then the most urgent.
  UrgencyOrder Order() const;
  bool HasCredit(Urgency urgency) const;
  // Returns the next call of the urgency, or null if none waits.
  const WaitingCall* Head(Urgency urgency) const;
  // Dequeues the next call for a dispatch. At least one call must be waiting.
  WaitingCall Take(Urgency urgency);
  // Records that a call of this urgency was dispatched without being queued.
  void OnDirectDispatch(Urgency urgency);
  // Grants the urgency the next dispatch, provided that it has waiting calls.
  void GrantCredit(Urgency urgency);

  // Refuses every call that has no more than `least` left before its deadline.
  void Expire(TimePoint now,
              const ServiceTimes& least,
              std::vector<Rejection>& refused);
  // Refuses all waiting calls with the given reason.
  void Clear(Refusal refusal, std::vector<Rejection>& refused);

  // Records that a call held a slot for `took`. Updates the cost that the fair
  // queue charges the customer for each call.
  void Learn(Urgency urgency, const CustomerId& customer, Duration took);

  bool empty() const { return calls_.empty(); }
  std::size_t size() const { return calls_.size(); }
  std::size_t Waiting(Urgency urgency) const;

 private:
  struct Deadline {
    TimePoint at;
    CallToken token = 0;

    auto operator<=>(const Deadline&) const = default;
  };
  struct UrgencyClass {
    FairQueue queue;
    std::set<Deadline> deadlines;
    // Dispatch credit from the guaranteed minimum, at most 1.
    double credit = 0;
  };

  // Returns the mean slot time of a call in `taken` divided by that of a call
  // in `waiting`.
  static double CostRatio(const UrgencyClass& taken,
                          const UrgencyClass& waiting);
  UrgencyClass& ClassOf(Urgency urgency);
  const UrgencyClass& ClassOf(Urgency urgency) const;
  std::size_t WaitingOf(const CustomerId& customer) const;
  // Evicts a call in favor of the new one: the first within the customer's own
  // limit, the second within the limit of the queue. Returns false if no call
  // may be evicted for it.
  bool EvictOwnCall(const CallOffer& offer, std::vector<Rejection>& refused);
  bool EvictAnyCall(const CallOffer& offer, std::vector<Rejection>& refused);
  void Refuse(CallToken token,
              Refusal refusal,
              std::vector<Rejection>& refused);
  WaitingCall Extract(CallToken token);

  AdmissionOptions options_;
  std::unordered_map<CallToken, WaitingCall> calls_;
  std::array<UrgencyClass, kUrgencyCount> classes_;
};

}  // namespace damasktack

#endif  // POLICY_ADMISSION_QUEUE_H_
