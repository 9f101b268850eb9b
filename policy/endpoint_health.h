#ifndef POLICY_ENDPOINT_HEALTH_H_
#define POLICY_ENDPOINT_HEALTH_H_

#include "core/time.h"
#include "policy/call.h"
#include "policy/decay.h"

namespace damasktack {

// How the sends of the last seconds ended, at one endpoint or in a whole
// service.
class EndpointHealth {
 public:
  // `relative_time` is by the service's median and counts for answers only.
  void OnEnd(SendResult result, double relative_time, TimePoint now);

  // Takes the ends of `part` out of a sum that they had gone into.
  void Forget(const EndpointHealth& part, TimePoint now);

  // Whether any send has ended there.
  bool ever_ended() const { return ever_ended_; }
  // Sends, weighted by recency.
  double ends(TimePoint now) const { return ends_.Value(now); }
  double errors(TimePoint now) const { return errors_.Value(now); }
  double refusals(TimePoint now) const {
    return errors_.Value(now) + sheds_.Value(now);
  }
  double answers(TimePoint now) const { return answers_.Value(now); }
  double answer_time(TimePoint now) const { return answer_time_.Value(now); }

 private:
  static constexpr Duration kMemory = std::chrono::seconds(2);

  bool ever_ended_ = false;
  DecayingSum ends_{kMemory};
  DecayingSum errors_{kMemory};
  DecayingSum sheds_{kMemory};
  DecayingSum answers_{kMemory};
  DecayingSum answer_time_{kMemory};
};

// One endpoint's health against that of the others of its service.
struct HealthComparison {
  // Recent sends that this host has seen end there.
  double ends = 0;
  double answers = 0;
  // Shares of sends that failed, there and at the others.
  double error_share = 0;
  double error_share_of_others = 0;
  // The same with sheds.
  double refusal_share = 0;
  double refusal_share_of_others = 0;
  // Mean time of an answer by that of the others; 1 while little is known.
  double slowness = 1;

  // What to add to the endpoint's load by slot. An endpoint that fails fast
  // or sheds against its report looks idle and would draw every call; while
  // it does so worse than the others, this makes it look full instead.
  double Penalty() const;
};

// `service` holds the sends of all endpoints, `endpoint` among them.
HealthComparison Compare(const EndpointHealth& endpoint,
                         const EndpointHealth& service,
                         TimePoint now);

}  // namespace damasktack

#endif  // POLICY_ENDPOINT_HEALTH_H_
