#ifndef POLICY_MEASURED_OPTIONS_H_
#define POLICY_MEASURED_OPTIONS_H_

#include <cstddef>

#include "core/ids.h"
#include "core/time.h"
#include "policy/admission_queue.h"
#include "policy/cold_endpoints.h"
#include "policy/endpoint_preference.h"
#include "policy/retry_budget.h"

namespace damasktack {

// Of MeasuredBalancer and its parts.
struct MeasuredBalancerOptions {
  // This host and its zone.
  HostId host;
  ZoneId zone;
  AdmissionOptions admission;
  RetryBudgetOptions retries;
  // Sends of one call at most, where its route allows more.
  int attempt_limit = 3;

  // A report this young is taken as it is: within it a host's peers place less
  // than one call at an endpoint.
  Duration fresh = std::chrono::milliseconds(40);
  // Endpoints change their pace a few times a second; an older report says no
  // more than what is usual.
  Duration memory = std::chrono::milliseconds(150);
  // How long a decision waits for probes: twice the way to another zone and
  // back, and some work at both ends. As much again for each first look that is
  // overdue, up to `max_probe_timeout`: then this host is short of processor
  // time, and further probes would make it shorter.
  Duration probe_timeout = std::chrono::milliseconds(8);
  Duration max_probe_timeout = std::chrono::milliseconds(40);
  // Probes of a first look, near ones first, and of each further one.
  std::size_t first_probes = 2;
  std::size_t further_probes = 6;
  // With fresh reports of so many a call that is on time at the best of them
  // goes there: where most are cold or slow, a look at all others takes longer
  // than it gains.
  std::size_t enough = 15;
  // Probes of one endpoint a second that all hosts together may send. Each host
  // has its part by the size of the fleet; `probe_part` leaves room for the
  // first probes of hosts that start anew, and for wrong beliefs of that size.
  double probe_limit = 60;
  double probe_part = 0.75;
  // What is unspent in a quiet time may be used in a bad one: probes of this
  // long, and no fewer than a few calls need at once.
  Duration probe_budget_window = std::chrono::seconds(5);
  double probe_burst = 15;
  // An endpoint at which a call takes no longer than this by the usual time is
  // as good as any: looking for a better one costs probes and crossings. Lets
  // the last slot of a server count that slows down by 1.7 with it.
  double good_pace = 2;
  // A call is sent where it would still be on time if it took this much longer
  // than is expected; work varies by about a third, and other hosts place calls
  // meanwhile.
  double on_time_margin = 1.5;
  EndpointPreferenceOptions preference;
  ColdBoundOptions cold;
  // Calls wait this long for a usable endpoint before they are refused.
  Duration no_endpoint_timeout = std::chrono::milliseconds(150);
};

}  // namespace damasktack

#endif  // POLICY_MEASURED_OPTIONS_H_
