#ifndef POLICY_CANDIDATE_VIEW_H_
#define POLICY_CANDIDATE_VIEW_H_

#include <optional>
#include <span>

#include "policy/call.h"
#include "policy/endpoint_record.h"

namespace damasktack {

// One endpoint weighed for one call.
struct EndpointCandidate {
  EndpointIndex index = 0;
  // What it would cost to send the call there, in load by slot; lower is
  // better.
  double cost = 0;
  // Whether the load stays below the most that the call allows.
  bool has_room = false;
};

// What a picker sees for one choice: the endpoints that take calls, by
// position. Candidates are weighed when asked for, so that a picker that
// samples pays for its sample alone.
class CandidateView {
 public:
  struct Choice {
    double max_load = 1;
    // The endpoint to leave out while there is another.
    std::optional<EndpointIndex> avoid;
    // Whether the host holds less than its own part of the service's slots,
    // and so may send although no endpoint seems to have room. Without this
    // a host whose reports stay high or frozen would never send again.
    bool below_fair_share = false;
    LoadPrior prior;
    // What the way to another zone adds to the cost.
    double zone_cost = 0;
    TimePoint now;
  };

  CandidateView(std::span<const EndpointIndex> usable,
                std::span<const EndpointRecord> records,
                const Choice& choice)
      : usable_(usable), records_(records), choice_(choice) {}

  // At least 1.
  std::size_t size() const { return usable_.size(); }
  const Choice& choice() const { return choice_; }
  EndpointIndex IndexAt(std::size_t position) const {
    return usable_[position];
  }
  const EndpointRecord& RecordAt(std::size_t position) const {
    return records_[usable_[position]];
  }
  EndpointCandidate At(std::size_t position) const;
  bool IsAvoided(std::size_t position) const {
    return size() > 1 && choice_.avoid == usable_[position];
  }
  // The share of choices in which it is a candidate; see CandidateShare.
  double ShareAt(std::size_t position) const;

 private:
  std::span<const EndpointIndex> usable_;
  std::span<const EndpointRecord> records_;
  const Choice& choice_;
};

}  // namespace damasktack

#endif  // POLICY_CANDIDATE_VIEW_H_
