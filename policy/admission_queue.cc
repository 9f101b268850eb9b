#include "policy/admission_queue.h"

#include <algorithm>
#include <utility>

namespace damasktack {

namespace {

constexpr std::array kUrgencies = {Urgency::kUrgent, Urgency::kNormal,
                                   Urgency::kBulk};

}  // namespace

AdmissionQueue::UrgencyClass& AdmissionQueue::ClassOf(Urgency urgency) {
  return classes_[static_cast<std::size_t>(urgency)];
}

const AdmissionQueue::UrgencyClass& AdmissionQueue::ClassOf(
    Urgency urgency) const {
  return classes_[static_cast<std::size_t>(urgency)];
}

std::size_t AdmissionQueue::Waiting(Urgency urgency) const {
  return ClassOf(urgency).queue.size();
}

std::size_t AdmissionQueue::WaitingOf(const CustomerId& customer) const {
  std::size_t waiting = 0;
  for (const UrgencyClass& it : classes_) {
    waiting += it.queue.Waiting(customer);
  }
  return waiting;
}

WaitingCall AdmissionQueue::Extract(CallToken token) {
  const auto it = calls_.find(token);
  WaitingCall call = std::move(it->second);
  calls_.erase(it);
  UrgencyClass& urgency_class = ClassOf(call.offer.urgency);
  urgency_class.deadlines.erase(Deadline{call.offer.deadline, token});
  return call;
}

void AdmissionQueue::Refuse(CallToken token,
                            Refusal refusal,
                            std::vector<Rejection>& refused) {
  Remove(token);
  refused.push_back({token, refusal});
}

bool AdmissionQueue::EvictOwnCall(const CallOffer& offer,
                                  std::vector<Rejection>& refused) {
  // Without this, a customer's own bulk calls (a nightly report) fill its part
  // of the queue and its urgent calls are refused.
  for (std::size_t n = kUrgencyCount - 1;
       n > static_cast<std::size_t>(offer.urgency); --n) {
    if (const auto token = classes_[n].queue.Newest(offer.customer)) {
      Refuse(*token, Refusal::kQueueFull, refused);
      return true;
    }
  }
  return false;
}

bool AdmissionQueue::EvictAnyCall(const CallOffer& offer,
                                  std::vector<Rejection>& refused) {
  for (std::size_t n = kUrgencyCount - 1;
       n > static_cast<std::size_t>(offer.urgency); --n) {
    if (const auto token = classes_[n].queue.NewestOfLongest()) {
      Refuse(*token, Refusal::kQueueFull, refused);
      return true;
    }
  }
  const auto token =
      ClassOf(offer.urgency).queue.NewestOfLongest(offer.customer, offer.share);
  if (!token) {
    return false;
  }
  Refuse(*token, Refusal::kQueueFull, refused);
  return true;
}

void AdmissionQueue::Add(WaitingCall call, std::vector<Rejection>& refused) {
  const CallOffer& offer = call.offer;
  const bool bounded = offer.waiting_limit > 0;
  if (bounded &&
      std::cmp_greater_equal(WaitingOf(offer.customer), offer.waiting_limit) &&
      !EvictOwnCall(offer, refused)) {
    refused.push_back({offer.token, Refusal::kQueueFull});
    return;
  }
  if (size() >= options_.max_waiting && !EvictAnyCall(offer, refused)) {
    refused.push_back({offer.token, Refusal::kQueueFull});
    return;
  }
  UrgencyClass& urgency_class = ClassOf(offer.urgency);
  urgency_class.queue.Push(offer.customer, offer.share, call.QueuedAt(),
                           offer.token);
  urgency_class.deadlines.insert(Deadline{offer.deadline, offer.token});
  const CallToken token = offer.token;
  calls_.emplace(token, std::move(call));
}

bool AdmissionQueue::Remove(CallToken token) {
  if (!Contains(token)) {
    return false;
  }
  const WaitingCall call = Extract(token);
  UrgencyClass& urgency_class = ClassOf(call.offer.urgency);
  urgency_class.queue.Remove(call.offer.customer, call.QueuedAt(), token);
  if (urgency_class.queue.empty()) {
    urgency_class.credit = 0;
  }
  return true;
}

bool AdmissionQueue::HasCredit(Urgency urgency) const {
  return ClassOf(urgency).credit >= 1;
}

void AdmissionQueue::GrantCredit(Urgency urgency) {
  if (!ClassOf(urgency).queue.empty()) {
    ClassOf(urgency).credit = 1;
  }
}

UrgencyOrder AdmissionQueue::Order() const {
  UrgencyOrder order;
  for (const bool has_credit : {true, false}) {
    for (const Urgency it : kUrgencies) {
      if (Waiting(it) > 0 && HasCredit(it) == has_credit) {
        order.Append(it);
      }
    }
  }
  return order;
}

const WaitingCall* AdmissionQueue::Head(Urgency urgency) const {
  const FairQueue& queue = ClassOf(urgency).queue;
  return queue.empty() ? nullptr : &calls_.at(queue.Head());
}

WaitingCall AdmissionQueue::Take(Urgency urgency) {
  UrgencyClass& taken = ClassOf(urgency);
  WaitingCall call = Extract(taken.queue.PopHead());
  OnDirectDispatch(urgency);
  return call;
}

void AdmissionQueue::OnDirectDispatch(Urgency urgency) {
  UrgencyClass& taken = ClassOf(urgency);
  taken.credit = std::max(0.0, taken.credit - 1);
  // Each urgency that kept waiting earns credit for its guaranteed minimum
  // share. Credit is capped at one dispatch, so that an urgency that found no
  // endpoint for a long time does not take all of them afterwards.
  for (std::size_t n = 0; n < kUrgencyCount; ++n) {
    UrgencyClass& it = classes_[n];
    if (it.queue.empty()) {
      it.credit = 0;
    } else if (&it != &taken) {
      const double earned = options_.floors[n] * CostRatio(taken, it);
      it.credit = std::min(1.0, it.credit + earned);
    }
  }
}

double AdmissionQueue::CostRatio(const UrgencyClass& taken,
                                 const UrgencyClass& waiting) {
  const double by = waiting.queue.mean_cost();
  const double cost = taken.queue.mean_cost();
  return by == 0 || cost == 0 ? 1 : cost / by;
}

void AdmissionQueue::Expire(TimePoint now,
                            const ServiceTimes& least,
                            std::vector<Rejection>& refused) {
  for (std::size_t n = 0; n < kUrgencyCount; ++n) {
    std::set<Deadline>& deadlines = classes_[n].deadlines;
    const TimePoint earliest = now + least[n];
    while (!deadlines.empty() && deadlines.begin()->at <= earliest) {
      Refuse(deadlines.begin()->token, Refusal::kDeadline, refused);
    }
  }
}

void AdmissionQueue::Clear(Refusal refusal, std::vector<Rejection>& refused) {
  while (!calls_.empty()) {
    Refuse(calls_.begin()->first, refusal, refused);
  }
}

void AdmissionQueue::Learn(Urgency urgency,
                           const CustomerId& customer,
                           Duration took) {
  ClassOf(urgency).queue.Learn(customer, took);
}

}  // namespace damasktack
