#include "policy/candidate_view.h"

#include "policy/slow_start.h"

namespace damasktack {

namespace {

// Waiting for a slot costs little while some are free and much when few are:
// the fourth power of the load. So a near endpoint is kept until it is nearly
// full, and among full ones the load alone counts.
double WaitCost(double load) {
  const double square = load * load;
  return square * square;
}

}  // namespace

EndpointCandidate CandidateView::At(std::size_t position) const {
  const EndpointRecord& record = RecordAt(position);
  const double calls =
      record.estimate.Calls(choice_.prior, record.slots, choice_.now);
  const double load = (calls + 1) / record.slots + record.penalty;
  EndpointCandidate candidate;
  candidate.index = usable_[position];
  candidate.cost = WaitCost(load) + (record.other_zone ? choice_.zone_cost : 0);
  candidate.has_room = load <= choice_.max_load;
  return candidate;
}

double CandidateView::ShareAt(std::size_t position) const {
  return CandidateShare(RecordAt(position), choice_.now);
}

}  // namespace damasktack
