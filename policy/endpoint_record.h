#ifndef POLICY_ENDPOINT_RECORD_H_
#define POLICY_ENDPOINT_RECORD_H_

#include <cstdint>
#include <string_view>

#include "core/time.h"
#include "policy/endpoint_estimate.h"
#include "policy/endpoint_health.h"
#include "policy/endpoint_state.h"

namespace damasktack {

// State of one endpoint that every choice reads. The published spec with its
// strings is kept separately.
struct EndpointRecord {
  EndpointState state = EndpointState::kStarting;
  // Reason for the current state.
  std::string_view reason = "new";
  TimePoint state_since;

  EndpointEstimate estimate;
  EndpointHealth health;
  // The lower of the slots in the list and in the reports.
  double slots = 1;
  // Load per slot added for poor health, as of the last refresh.
  double penalty = 0;
  bool other_zone = false;

  // Consecutive ejections, the time at which the next trial begins, and the
  // answers in the trial.
  std::int32_t ejections = 0;
  TimePoint ejected_until;
  std::int32_t trial_answers = 0;

  bool listed = true;
  // The list states that the endpoint is leaving or that its zone is drained;
  // reports do not override this.
  bool listed_as_leaving = false;
  // The endpoint reported that it is draining, the last time at
  // `drain_reported_at`.
  bool drain_reported = false;
  TimePoint drain_reported_at;

  // The endpoint announced that it is leaving; this is final for the process.
  bool announced_leaving = false;

  bool probe_pending = false;
  TimePoint probe_sent_at;
  // A probe that it needed has been counted as withheld.
  bool probe_withheld = false;
};

}  // namespace damasktack

#endif  // POLICY_ENDPOINT_RECORD_H_
