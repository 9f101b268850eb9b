#ifndef POLICY_FAIR_QUEUE_H_
#define POLICY_FAIR_QUEUE_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>

#include "core/ids.h"
#include "core/time.h"
#include "policy/call.h"
#include "policy/call_offer.h"

namespace damasktack {

// Waiting calls of one urgency, in weighted fair order by customer share. This
// is start-time fair queueing, in which a call costs the mean slot time of its
// customer's calls. Calls of one customer are ordered by their rank. Every
// operation is O(log n).
class FairQueue {
 public:
  // `share` must be positive; it applies to the customer from now on.
  void Push(const CustomerId& customer,
            std::int64_t share,
            const QueueRank& rank,
            CallToken token);
  // The call must be in this queue with this customer and rank.
  void Remove(const CustomerId& customer,
              const QueueRank& rank,
              CallToken token);

  // Returns the next call; the queue must not be empty.
  CallToken Head() const;
  // Dequeues the next call and charges its customer.
  CallToken PopHead();

  // Returns the customer's latest call, or null if it has none.
  std::optional<CallToken> Newest(const CustomerId& customer) const;
  // Returns the latest call of the customer that has the most calls relative to
  // its share. Returns null unless that is more than `customer` would have with
  // one more call.
  std::optional<CallToken> NewestOfLongest(const CustomerId& customer,
                                           std::int64_t share) const;
  // The same, without a comparison with another customer.
  std::optional<CallToken> NewestOfLongest() const;

  // Records that a call of the customer held its slot for `took`.
  void Learn(const CustomerId& customer, Duration took);

  // Returns the mean slot time of a call in milliseconds; zero before the first
  // sample.
  double mean_cost() const { return mean_cost_; }
  std::size_t size() const { return size_; }
  bool empty() const { return size_ == 0; }
  std::size_t Waiting(const CustomerId& customer) const;

 private:
  struct QueuedCall {
    QueueRank rank;
    CallToken token = 0;

    auto operator<=>(const QueuedCall&) const = default;
  };
  struct Flow {
    CustomerId customer;
    double share = 1;
    // Virtual start time of its next call.
    double tag = 0;
    // Breaks ties between tags; assigned anew whenever the flow gets its first
    // waiting call.
    std::uint64_t order = 0;
    std::set<QueuedCall> calls;
  };
  struct FlowKey {
    double rank = 0;
    std::uint64_t order = 0;
    Flow* flow = nullptr;

    auto operator<=>(const FlowKey&) const = default;
  };

  static FlowKey TagKey(Flow& flow);
  static FlowKey LengthKey(Flow& flow);
  // Remove the flow from the ordered sets, or insert it again.
  void Unlink(Flow& flow);
  void Link(Flow& flow);
  void RemoveIdle();
  double CostOf(const CustomerId& customer) const;

  std::unordered_map<CustomerId, Flow> flows_;
  // Mean cost of a call for each customer, in the unit of `mean_cost_`. Kept
  // while a customer has no waiting calls: otherwise a customer with few but
  // long calls would be charged as if they were short each time it returns.
  std::unordered_map<CustomerId, double> costs_;
  std::set<FlowKey> by_tag_;
  std::set<FlowKey> by_length_;
  // Flows without waiting calls whose tag is still ahead of the virtual time,
  // by tag.
  std::set<FlowKey> idle_;
  double virtual_time_ = 0;
  // Mean cost of a call over all customers, in milliseconds of slot time.
  double mean_cost_ = 0;
  std::uint64_t next_order_ = 0;
  std::size_t size_ = 0;
};

}  // namespace damasktack

#endif  // POLICY_FAIR_QUEUE_H_
