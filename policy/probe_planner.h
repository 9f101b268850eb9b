#ifndef POLICY_PROBE_PLANNER_H_
#define POLICY_PROBE_PLANNER_H_

#include <optional>
#include <vector>

#include "core/random.h"
#include "core/token_bucket.h"
#include "policy/fleet_size.h"
#include "policy/measured_endpoints.h"

namespace damasktack {

// Decides which endpoints a host probes before a decision, how long it waits
// for their reports, and how much of the probe budget it spends.
//
// Made for decisions without a fresh report of a good endpoint. A few near
// endpoints are probed, then more. The probes of all hosts together stay within
// the limit of each endpoint, and a host that is short of processor time does
// not lose more of it to further probes.
class ProbePlanner {
 public:
  // `endpoints` must outlive the planner.
  ProbePlanner(const MeasuredBalancerOptions& options,
               MeasuredEndpoints& endpoints);

  // Sets this host's share of the fleet's probe budget for these endpoints.
  void Share(std::size_t endpoints, std::int64_t hosts, TimePoint now);

  // Returns whether probes are pending that a decision should wait for, if it
  // waits for overdue probes for `max_timeout` at most.
  bool HasPendingProbes(Duration max_timeout, TimePoint now) const;
  // Requests further probes that could help the call; returns false if no
  // endpoint is left to probe or the budget is spent.
  bool RequestProbes(const WaitingCall& call, TimePoint now, Random& random);
  // Requests a probe of one endpoint, unless one is on its way; returns false
  // if it is overdue, the budget is spent or the endpoints do not report.
  bool RequestProbe(EndpointIndex index, TimePoint now);
  // Returns the number of endpoints with a fresh report.
  std::size_t CountFresh(TimePoint now) const;

  // Returns the next probe to send; each is returned once.
  std::optional<EndpointIndex> Next();

  std::uint64_t sent() const { return sent_; }
  std::uint64_t withheld() const { return withheld_; }
  double per_second() const { return budget_.rate(); }

 private:
  Duration ProbeTimeout(Duration max_timeout, TimePoint now) const;
  std::vector<MeasuredCandidate> ProbeCandidates(const WaitingCall& call,
                                                 TimePoint now) const;

  const MeasuredBalancerOptions options_;
  MeasuredEndpoints& endpoints_;
  FleetSize fleet_;
  TokenBucket budget_;
  // Probes that the owner has not fetched yet.
  std::vector<EndpointIndex> requested_probes_;
  std::uint64_t sent_ = 0;
  std::uint64_t withheld_ = 0;
};

}  // namespace damasktack

#endif  // POLICY_PROBE_PLANNER_H_
