#ifndef POLICY_ENDPOINT_HEALTH_H_
#define POLICY_ENDPOINT_HEALTH_H_

#include "core/time.h"
#include "policy/call.h"
#include "policy/decay.h"

namespace damasktack {

// Decaying counts of how the sends of the last seconds ended, at one endpoint
// or in a whole service.
class EndpointHealth {
 public:
  // Records the end of a send. `relative_time` is its duration divided by the
  // service's median and counts for answers only.
  void OnEnd(SendResult result, double relative_time, TimePoint now);

  // Subtracts the sends of `part`, which this sum includes.
  void Forget(const EndpointHealth& part, TimePoint now);

  // Returns whether any send has ended there.
  bool ever_ended() const { return ever_ended_; }
  // Number of ended sends, weighted by recency.
  double ends(TimePoint now) const { return ends_.Value(now); }
  double errors(TimePoint now) const { return errors_.Value(now); }
  double refusals(TimePoint now) const {
    return errors_.Value(now) + sheds_.Value(now);
  }
  double answers(TimePoint now) const { return answers_.Value(now); }
  double answer_time(TimePoint now) const { return answer_time_.Value(now); }

 private:
  static constexpr Duration kTimeConstant = std::chrono::seconds(2);

  bool ever_ended_ = false;
  DecayingSum ends_{kTimeConstant};
  DecayingSum errors_{kTimeConstant};
  DecayingSum sheds_{kTimeConstant};
  DecayingSum answers_{kTimeConstant};
  DecayingSum answer_time_{kTimeConstant};
};

// Compares one endpoint's health with that of the other endpoints of its
// service.
struct HealthComparison {
  // Recent sends of this host that ended there.
  double ends = 0;
  double answers = 0;
  // Fraction of sends that failed, at the endpoint and at the others.
  double error_share = 0;
  double error_share_of_others = 0;
  // The same, with sheds included.
  double refusal_share = 0;
  double refusal_share_of_others = 0;
  // Mean time of an answer divided by that of the others; 1 while little is
  // known.
  double slowness = 1;

  // Returns the amount to add to the endpoint's load per slot. An endpoint that
  // fails fast, or sheds although it reports room, looks idle and would attract
  // every call. While it does so more often than the others, the penalty makes
  // it look full instead.
  double Penalty() const;
};

// `service` covers the sends of all endpoints, including `endpoint`.
HealthComparison Compare(const EndpointHealth& endpoint,
                         const EndpointHealth& service,
                         TimePoint now);

}  // namespace damasktack

#endif  // POLICY_ENDPOINT_HEALTH_H_
