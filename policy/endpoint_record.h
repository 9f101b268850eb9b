#ifndef POLICY_ENDPOINT_RECORD_H_
#define POLICY_ENDPOINT_RECORD_H_

#include <cstdint>
#include <string_view>

#include "core/time.h"
#include "policy/endpoint_estimate.h"
#include "policy/endpoint_health.h"
#include "policy/endpoint_state.h"

namespace damasktack {

// What a host keeps for one endpoint and every choice reads; the published
// spec with its strings is kept apart.
struct EndpointRecord {
  EndpointState state = EndpointState::kStarting;
  // Why it is in the state.
  std::string_view reason = "new";
  TimePoint state_since;

  EndpointEstimate estimate;
  EndpointHealth health;
  // By the list and the reports; the lower counts.
  double slots = 1;
  // Load by slot added for poor health, as of the last refresh.
  double penalty = 0;
  bool other_zone = false;

  // Ejections in a row, the time after which a trial begins, and answers in
  // the trial.
  std::int32_t ejections = 0;
  TimePoint ejected_until;
  std::int32_t trial_answers = 0;

  bool listed = true;
  // The list says that it leaves, or that its zone is drained; no report takes
  // that back.
  bool listed_as_leaving = false;
  // It said itself that it drains, last at the time given.
  bool drain_reported = false;
  TimePoint drain_reported_at;

  // It said that it leaves; nothing takes that back.
  bool announced_leaving = false;

  bool probe_pending = false;
  TimePoint probe_sent_at;
  // Its want of a probe has been counted as withheld.
  bool probe_withheld = false;
};

}  // namespace damasktack

#endif  // POLICY_ENDPOINT_RECORD_H_
