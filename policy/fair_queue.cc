#include "policy/fair_queue.h"

#include <algorithm>

namespace damasktack {

namespace {

// Weight of a new sample in a mean cost.
constexpr double kSampleWeight = 1.0 / 16;
// Cost of a call before the first sample; only ratios matter.
constexpr double kInitialCost = 1.0;
// Limit on the customers whose costs are kept; beyond it, all costs are
// discarded.
constexpr std::size_t kMaxCosts = 4096;

void UpdateMean(double& mean, double sample) {
  mean = mean == 0 ? sample : mean + (sample - mean) * kSampleWeight;
}

}  // namespace

FairQueue::FlowKey FairQueue::TagKey(Flow& flow) {
  return {flow.tag, flow.order, &flow};
}

FairQueue::FlowKey FairQueue::LengthKey(Flow& flow) {
  return {static_cast<double>(flow.calls.size()) / flow.share, flow.order,
          &flow};
}

void FairQueue::Unlink(Flow& flow) {
  by_tag_.erase(TagKey(flow));
  by_length_.erase(LengthKey(flow));
  idle_.erase(TagKey(flow));
}

void FairQueue::Link(Flow& flow) {
  if (flow.calls.empty()) {
    idle_.insert(TagKey(flow));
    return;
  }
  by_tag_.insert(TagKey(flow));
  by_length_.insert(LengthKey(flow));
}

void FairQueue::Push(const CustomerId& customer,
                     std::int64_t share,
                     const QueueRank& rank,
                     CallToken token) {
  Flow& flow = flows_[customer];
  Unlink(flow);
  flow.customer = customer;
  flow.share = static_cast<double>(share);
  if (flow.calls.empty()) {
    // Unused time is not saved up: a customer that returns starts at the
    // current virtual time.
    flow.tag = std::max(flow.tag, virtual_time_);
    flow.order = next_order_++;
  }
  flow.calls.insert(QueuedCall{rank, token});
  Link(flow);
  ++size_;
}

void FairQueue::Remove(const CustomerId& customer,
                       const QueueRank& rank,
                       CallToken token) {
  Flow& flow = flows_.at(customer);
  Unlink(flow);
  flow.calls.erase(QueuedCall{rank, token});
  Link(flow);
  --size_;
  RemoveIdle();
}

CallToken FairQueue::Head() const {
  return by_tag_.begin()->flow->calls.begin()->token;
}

CallToken FairQueue::PopHead() {
  Flow& flow = *by_tag_.begin()->flow;
  Unlink(flow);
  const CallToken token = flow.calls.begin()->token;
  flow.calls.erase(flow.calls.begin());
  virtual_time_ = flow.tag;
  flow.tag += CostOf(flow.customer) / flow.share;
  Link(flow);
  --size_;
  RemoveIdle();
  return token;
}

void FairQueue::RemoveIdle() {
  if (size_ == 0) {
    // No customer is competing, so the virtual time that customers have used in
    // advance is discarded.
    flows_.clear();
    idle_.clear();
    virtual_time_ = 0;
    return;
  }
  while (!idle_.empty() && idle_.begin()->rank <= virtual_time_) {
    const CustomerId customer = idle_.begin()->flow->customer;
    idle_.erase(idle_.begin());
    flows_.erase(customer);
  }
}

std::optional<CallToken> FairQueue::Newest(const CustomerId& customer) const {
  const auto it = flows_.find(customer);
  if (it == flows_.end() || it->second.calls.empty()) {
    return std::nullopt;
  }
  return it->second.calls.rbegin()->token;
}

std::optional<CallToken> FairQueue::NewestOfLongest() const {
  if (by_length_.empty()) {
    return std::nullopt;
  }
  return by_length_.rbegin()->flow->calls.rbegin()->token;
}

std::optional<CallToken> FairQueue::NewestOfLongest(const CustomerId& customer,
                                                    std::int64_t share) const {
  const double own =
      static_cast<double>(Waiting(customer) + 1) / static_cast<double>(share);
  if (by_length_.empty() || by_length_.rbegin()->rank <= own) {
    return std::nullopt;
  }
  return NewestOfLongest();
}

void FairQueue::Learn(const CustomerId& customer, Duration took) {
  const double sample = std::chrono::duration<double, std::milli>(took).count();
  UpdateMean(mean_cost_, sample);
  if (costs_.size() >= kMaxCosts && !costs_.contains(customer)) {
    costs_.clear();
  }
  UpdateMean(costs_[customer], sample);
}

double FairQueue::CostOf(const CustomerId& customer) const {
  const auto it = costs_.find(customer);
  if (it != costs_.end()) {
    return it->second;
  }
  return mean_cost_ == 0 ? kInitialCost : mean_cost_;
}

std::size_t FairQueue::Waiting(const CustomerId& customer) const {
  const auto it = flows_.find(customer);
  return it == flows_.end() ? 0 : it->second.calls.size();
}

}  // namespace damasktack
