#ifndef POLICY_PROBE_PLANNER_H_
#define POLICY_PROBE_PLANNER_H_

#include <optional>
#include <vector>

#include "core/random.h"
#include "core/token_bucket.h"
#include "policy/fleet_size.h"
#include "policy/measured_endpoints.h"

namespace damasktack {

// Which endpoints a host looks at before a decision, how long it waits for
// their reports, and what all of that may cost.
//
// The load that it answers: a decision that finds no fresh report of a good
// endpoint. A few near endpoints are looked at, then more; the probes of all
// hosts together stay within what an endpoint is to answer, and a host that is
// short of processor time is not made shorter of it by further probes.
class ProbePlanner {
 public:
  // `endpoints` must outlive this.
  ProbePlanner(const MeasuredBalancerOptions& options,
               MeasuredEndpoints& endpoints);

  // Shares the fleet's probes of these endpoints among its hosts.
  void Share(std::size_t endpoints, std::int64_t hosts, TimePoint now);

  // Whether probes are on their way that a decision should wait for.
  bool HasPendingProbes(TimePoint now) const;
  // Asks for further probes that could help the call; false where there is
  // nobody left to probe, or no budget.
  bool RequestProbes(const WaitingCall& call, TimePoint now, Random& random);
  // How many endpoints are known well enough to place a call.
  std::size_t CountFresh(TimePoint now) const;

  // The next probe to send; each is named once.
  std::optional<EndpointIndex> Next();

  std::uint64_t sent() const { return sent_; }
  std::uint64_t withheld() const { return withheld_; }
  double per_second() const { return budget_.rate(); }

 private:
  Duration ProbeTimeout(TimePoint now) const;
  std::vector<MeasuredCandidate> ProbeCandidates(const WaitingCall& call,
                                                 TimePoint now) const;

  const MeasuredBalancerOptions options_;
  MeasuredEndpoints& endpoints_;
  FleetSize fleet_;
  TokenBucket budget_;
  // To be probed as soon as the owner asks.
  std::vector<EndpointIndex> wanted_;
  std::uint64_t sent_ = 0;
  std::uint64_t withheld_ = 0;
};

}  // namespace damasktack

#endif  // POLICY_PROBE_PLANNER_H_
