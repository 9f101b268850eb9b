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
  // Calls that may wait in all.
  std::size_t max_waiting = 4096;
  // Part of the slot time that each urgency gets at least, while it waits.
  std::array<double, kUrgencyCount> floors = {0.0, 0.10, 0.05};
};

// Slot time by urgency; below it no call of that urgency is done.
using ServiceTimes = std::array<Duration, kUrgencyCount>;

// Urgencies in the order in which they are to be tried.
class UrgencyOrder {
 public:
  void Append(Urgency urgency) { urgencies_[count_++] = urgency; }
  const Urgency* begin() const { return urgencies_.data(); }
  const Urgency* end() const { return urgencies_.data() + count_; }

 private:
  std::array<Urgency, kUrgencyCount> urgencies_{};
  std::size_t count_ = 0;
};

// Where calls wait on one host for the endpoints of one service: by urgency,
// within one urgency fair by share, each until its deadline. Bounded whatever
// arrives; a call that is refused is named exactly once.
class AdmissionQueue {
 public:
  explicit AdmissionQueue(AdmissionOptions options) : options_(options) {}

  // Takes the call in, or names it in `refused` where it finds no room. A
  // less urgent call, or one of a customer that waits with more than its
  // share, makes room and is then named instead. The token must be new.
  void Add(WaitingCall call, std::vector<Rejection>& refused);
  // False where the call is not waiting.
  bool Remove(CallToken token);
  bool Contains(CallToken token) const { return calls_.contains(token); }

  // The urgencies with waiting calls: those that are owed their floor first,
  // then the most urgent.
  UrgencyOrder Order() const;
  bool HasCredit(Urgency urgency) const;
  // The next call of an urgency; null where none waits.
  const WaitingCall* Head(Urgency urgency) const;
  // Takes it out for a dispatch; one must be waiting.
  WaitingCall Take(Urgency urgency);
  // A call of this urgency went to an endpoint without waiting here.
  void OnDirectDispatch(Urgency urgency);
  // As long as the urgency waits it is owed the next dispatch.
  void GrantCredit(Urgency urgency);

  // Refuses every call whose deadline leaves less than `least`.
  void Expire(TimePoint now,
              const ServiceTimes& least,
              std::vector<Rejection>& refused);
  // Refuses every call.
  void Clear(Refusal refusal, std::vector<Rejection>& refused);

  // A call held a slot for `took`; what its customer is charged follows it.
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
    // Dispatches owed to the floor.
    double owed = 0;
  };

  // Slot time of a call of `taken` by that of a call of `waiting`.
  static double CostRatio(const UrgencyClass& taken,
                          const UrgencyClass& waiting);
  UrgencyClass& ClassOf(Urgency urgency);
  const UrgencyClass& ClassOf(Urgency urgency) const;
  std::size_t WaitingOf(const CustomerId& customer) const;
  // Makes room within the customer's own limit, or within all of it. False
  // where nothing may go in favour of the new call.
  bool MakeRoomOfOwn(const CallOffer& offer, std::vector<Rejection>& refused);
  bool MakeRoomOfAll(const CallOffer& offer, std::vector<Rejection>& refused);
  void Refuse(CallToken token,
              Refusal refusal,
              std::vector<Rejection>& refused);
  WaitingCall TakeOut(CallToken token);

  AdmissionOptions options_;
  std::unordered_map<CallToken, WaitingCall> calls_;
  std::array<UrgencyClass, kUrgencyCount> classes_;
};

}  // namespace damasktack

#endif  // POLICY_ADMISSION_QUEUE_H_
