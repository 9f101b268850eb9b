#ifndef TESTS_POLICY_NAIVE_ADMISSION_QUEUE_H_
#define TESTS_POLICY_NAIVE_ADMISSION_QUEUE_H_

#include <algorithm>
#include <array>
#include <map>
#include <vector>

#include "policy/admission_queue.h"

namespace damasktack {

// The same decisions as AdmissionQueue by looking through one vector each
// time: slow and plain, for comparison.
class NaiveAdmissionQueue {
 public:
  explicit NaiveAdmissionQueue(AdmissionOptions options) : options_(options) {}

  void Add(const WaitingCall& call, std::vector<Rejection>& refused) {
    const CallOffer& offer = call.offer;
    if (offer.waiting_limit > 0 && Count([&](const CallOffer& it) {
                                     return it.customer == offer.customer;
                                   }) >= offer.waiting_limit) {
      const auto* victim = Latest([&](const CallOffer& it) {
        return it.customer == offer.customer && it.urgency > offer.urgency;
      });
      if (!Replace(victim, offer, refused)) {
        return;
      }
    }
    if (calls_.size() >= options_.max_waiting &&
        !Replace(VictimOfAll(offer), offer, refused)) {
      return;
    }
    Class& urgency_class = ClassOf(offer.urgency);
    Flow& flow = urgency_class.flows[offer.customer];
    if (CountOf(offer.urgency, offer.customer) == 0) {
      flow.tag = std::max(flow.tag, urgency_class.virtual_time);
      flow.order = urgency_class.next_order++;
    }
    flow.share = static_cast<double>(offer.share);
    calls_.push_back(call);
  }

  bool Remove(CallToken token) {
    const auto it = std::ranges::find_if(
        calls_, [&](const WaitingCall& c) { return c.offer.token == token; });
    if (it == calls_.end()) {
      return false;
    }
    const Urgency urgency = it->offer.urgency;
    calls_.erase(it);
    AfterRemoval(urgency);
    return true;
  }

  // Token of the call that Take would return; the class must not be empty.
  CallToken Head(Urgency urgency) {
    const CallOffer* best = nullptr;
    for (const WaitingCall& it : calls_) {
      if (it.offer.urgency == urgency &&
          (best == nullptr || GoesBefore(it.offer, *best))) {
        best = &it.offer;
      }
    }
    return best->token;
  }

  CallToken Take(Urgency urgency) {
    const CallToken token = Head(urgency);
    const auto it = std::ranges::find_if(
        calls_, [&](const WaitingCall& c) { return c.offer.token == token; });
    Class& urgency_class = ClassOf(urgency);
    Flow& flow = urgency_class.flows[it->offer.customer];
    const double known = urgency_class.costs[it->offer.customer];
    const double cost = known != 0                     ? known
                        : urgency_class.mean_cost != 0 ? urgency_class.mean_cost
                                                       : 1.0;
    urgency_class.virtual_time = flow.tag;
    flow.tag += cost / flow.share;
    calls_.erase(it);
    AfterRemoval(urgency);
    return token;
  }

  void Expire(TimePoint now,
              const ServiceTimes& least,
              std::vector<Rejection>& refused) {
    std::vector<CallOffer> late;
    for (const WaitingCall& it : calls_) {
      if (it.offer.deadline <=
          now + least[static_cast<std::size_t>(it.offer.urgency)]) {
        late.push_back(it.offer);
      }
    }
    std::ranges::sort(late, [](const CallOffer& a, const CallOffer& b) {
      return std::tie(a.urgency, a.deadline, a.token) <
             std::tie(b.urgency, b.deadline, b.token);
    });
    for (const CallOffer& it : late) {
      Remove(it.token);
      refused.push_back({it.token, Refusal::kDeadline});
    }
  }

  void Learn(Urgency urgency, const CustomerId& customer, Duration took) {
    const double sample =
        std::chrono::duration<double, std::milli>(took).count();
    Class& urgency_class = ClassOf(urgency);
    Blend(urgency_class.mean_cost, sample);
    Blend(urgency_class.costs[customer], sample);
  }

  std::size_t size() const { return calls_.size(); }
  std::int64_t Waiting(Urgency urgency) const {
    return Count([&](const CallOffer& it) { return it.urgency == urgency; });
  }

 private:
  struct Flow {
    double share = 1;
    double tag = 0;
    std::uint64_t order = 0;
  };
  struct Class {
    std::map<CustomerId, Flow> flows;
    std::map<CustomerId, double> costs;
    double virtual_time = 0;
    double mean_cost = 0;
    std::uint64_t next_order = 0;
  };

  static void Blend(double& mean, double sample) {
    mean = mean == 0 ? sample : mean + (sample - mean) / 16;
  }
  Class& ClassOf(Urgency urgency) {
    return classes_[static_cast<std::size_t>(urgency)];
  }
  template <typename Predicate>
  std::int64_t Count(Predicate predicate) const {
    return std::ranges::count_if(
        calls_, [&](const WaitingCall& it) { return predicate(it.offer); });
  }
  std::int64_t CountOf(Urgency urgency, const CustomerId& customer) const {
    return Count([&](const CallOffer& it) {
      return it.urgency == urgency && it.customer == customer;
    });
  }
  bool GoesBefore(const CallOffer& a, const CallOffer& b) {
    const Flow& of_a = ClassOf(a.urgency).flows[a.customer];
    const Flow& of_b = ClassOf(b.urgency).flows[b.customer];
    return std::tie(of_a.tag, of_a.order, a.arrival, a.token) <
           std::tie(of_b.tag, of_b.order, b.arrival, b.token);
  }
  // The least urgent, then latest, of those that `predicate` takes.
  template <typename Predicate>
  const CallOffer* Latest(Predicate predicate) const {
    const CallOffer* latest = nullptr;
    for (const WaitingCall& it : calls_) {
      if (predicate(it.offer) &&
          (latest == nullptr ||
           std::tie(latest->urgency, latest->arrival, latest->token) <
               std::tie(it.offer.urgency, it.offer.arrival, it.offer.token))) {
        latest = &it.offer;
      }
    }
    return latest;
  }
  const CallOffer* VictimOfAll(const CallOffer& offer) {
    for (int n = kUrgencyCount - 1; n >= static_cast<int>(offer.urgency); --n) {
      const auto urgency = static_cast<Urgency>(n);
      const CustomerId* longest = nullptr;
      double most = 0;
      std::uint64_t most_order = 0;
      for (const auto& [customer, flow] : ClassOf(urgency).flows) {
        const auto waiting =
            static_cast<double>(CountOf(urgency, customer)) / flow.share;
        if (waiting > 0 &&
            std::tie(most, most_order) < std::tie(waiting, flow.order)) {
          most = waiting;
          most_order = flow.order;
          longest = &customer;
        }
      }
      const double own =
          static_cast<double>(CountOf(urgency, offer.customer) + 1) /
          static_cast<double>(offer.share);
      if (longest != nullptr && (urgency > offer.urgency || most > own)) {
        return Latest([&](const CallOffer& it) {
          return it.urgency == urgency && it.customer == *longest;
        });
      }
    }
    return nullptr;
  }
  bool Replace(const CallOffer* victim,
               const CallOffer& offer,
               std::vector<Rejection>& refused) {
    if (victim == nullptr) {
      refused.push_back({offer.token, Refusal::kQueueFull});
      return false;
    }
    const CallToken token = victim->token;
    Remove(token);
    refused.push_back({token, Refusal::kQueueFull});
    return true;
  }
  void AfterRemoval(Urgency urgency) {
    Class& urgency_class = ClassOf(urgency);
    if (Waiting(urgency) == 0) {
      urgency_class.flows.clear();
      urgency_class.virtual_time = 0;
      return;
    }
    std::erase_if(urgency_class.flows, [&](const auto& it) {
      return CountOf(urgency, it.first) == 0 &&
             it.second.tag <= urgency_class.virtual_time;
    });
  }

  AdmissionOptions options_;
  std::vector<WaitingCall> calls_;
  std::array<Class, kUrgencyCount> classes_;
};

}  // namespace damasktack

#endif  // TESTS_POLICY_NAIVE_ADMISSION_QUEUE_H_
