#ifndef POLICY_MEASURED_OPTIONS_H_
#define POLICY_MEASURED_OPTIONS_H_

#include <cstddef>

#include "core/ids.h"
#include "core/time.h"
#include "policy/admission_queue.h"
#include "policy/cold_endpoints.h"
#include "policy/endpoint_preference.h"
#include "policy/hedge_policy.h"
#include "policy/retry_budget.h"

namespace damasktack {

// Options of MeasuredBalancer and its components.
struct MeasuredBalancerOptions {
  // Id and availability zone of this host.
  HostId host;
  ZoneId zone;
  AdmissionOptions admission;
  RetryBudgetOptions retries;
  HedgeOptions hedge;
  // Limit on the sends of one call, if its route allows more.
  int attempt_limit = 3;

  // Maximum age of a fresh report, which is used without correction: within
  // this time the other hosts send less than one call to an endpoint.
  Duration fresh = std::chrono::milliseconds(40);
  // Time constant with which a report loses its weight: endpoints change their
  // pace a few times a second, so an older report says no more than the
  // averages.
  Duration memory = std::chrono::milliseconds(150);
  // Time for which a decision waits for probes: twice the round trip to another
  // zone, plus processing at both ends. It is extended by the same amount for
  // each overdue first round of probes, up to `max_probe_timeout`: overdue
  // probes mean that this host is short of processor time, which further probes
  // would make worse.
  Duration probe_timeout = std::chrono::milliseconds(8);
  Duration max_probe_timeout = std::chrono::milliseconds(40);
  // Number of probes in the first round, near endpoints first, and in each
  // further round.
  std::size_t first_probes = 2;
  std::size_t further_probes = 6;
  // Number of fresh reports with which a call goes to the best of them if it is
  // on time there. Where most endpoints are cold or slow, probing all others
  // takes longer than it gains.
  std::size_t min_fresh_reports = 15;
  // Limit on the probes a second to one endpoint from all hosts together. Each
  // host has its share by the size of the fleet. `probe_part` is the fraction
  // in use; the rest is for the first probes of starting hosts and for errors
  // in the count of hosts.
  double probe_limit = 60;
  double probe_part = 0.75;
  // Unspent budget is kept for degraded periods: at most the probes of this
  // time, and no fewer than a few calls need at once.
  Duration probe_budget_window = std::chrono::seconds(5);
  double probe_burst = 15;
  // Execution time, relative to the usual one, up to which an endpoint is good
  // enough: searching for a better one costs probes and traffic between zones.
  // It includes the last slot of a server that slows down by 1.7 when it is
  // full.
  double good_pace = 2;
  // A call is sent to an endpoint if it would be on time even with its expected
  // duration multiplied by this factor. Execution times vary by about a third,
  // and other hosts send calls meanwhile.
  double on_time_margin = 1.5;
  EndpointPreferenceOptions preference;
  ColdBoundOptions cold;
  // See ProxyOptions.
  bool slack_placement = false;
  double return_pacing_factor = 0;
  // Time for which calls wait for a usable endpoint before they are refused.
  Duration no_endpoint_timeout = std::chrono::milliseconds(150);
};

}  // namespace damasktack

#endif  // POLICY_MEASURED_OPTIONS_H_
