#ifndef FLEET_CLAIM_OPTIONS_H_
#define FLEET_CLAIM_OPTIONS_H_

#include <chrono>
#include <cstdint>

#include "core/time.h"
#include "fleet/claim_messages.h"

namespace damasktack {

// Settings for the storage of claims. They must be the same on every host of a
// fleet.
struct ClaimOptions {
  // Number of buckets in use. Only tests use fewer than kClaimBuckets.
  std::int64_t buckets = kClaimBuckets;
  // How long a takeover waits before it starts a bucket without records, if no
  // host can hand over the bucket's records.
  Duration quarantine = std::chrono::minutes(1);
  // Minimum time for which ended claims are stored.
  Duration retention = std::chrono::hours(24);
  // Maximum number of records on one host. New keys beyond it are refused.
  std::int64_t max_records = 100'000;
  // Larger answers are not stored. A repeated call then learns only that the
  // call ran.
  std::size_t max_answer_bytes = 16'384;
  // Total size of the answers stored on one host. Answers beyond it are not
  // stored.
  std::size_t max_total_answer_bytes = 32'000'000;
  // Interval after which an unanswered message is sent again.
  Duration resend_interval = std::chrono::milliseconds(250);
  // Timeout of a claim. The deadline of the call may end it earlier.
  Duration claim_timeout = std::chrono::seconds(2);
  // Maximum number of claims on one host that are pending, running, or waiting
  // for the acknowledgement of their settlement.
  std::size_t max_unsettled = 100'000;
};

}  // namespace damasktack

#endif  // FLEET_CLAIM_OPTIONS_H_
