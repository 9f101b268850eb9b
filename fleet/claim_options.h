#ifndef FLEET_CLAIM_OPTIONS_H_
#define FLEET_CLAIM_OPTIONS_H_

#include <chrono>
#include <cstdint>

#include "core/time.h"
#include "fleet/claim_messages.h"

namespace damasktack {

// How claims are kept. Every host of a fleet is given the same.
struct ClaimOptions {
  // Fewer only in tests; every host must have the same.
  std::int64_t buckets = kClaimBuckets;
  // How long a process runs before it takes a bucket that nobody can hand
  // over for an empty one.
  Duration quarantine = std::chrono::minutes(1);
  // Ended claims are remembered for at least this long.
  Duration retention = std::chrono::hours(24);
  // Records on one host; new keys are refused beyond.
  std::int64_t max_records = 100'000;
  // Larger answers are not kept: a repeat then hears that it ran, no more.
  std::size_t max_answer_bytes = 16'384;
  // Answers kept on one host, in bytes; the rest are not kept.
  std::size_t answer_bytes = 32'000'000;
  // Between two sends of a message that was not answered.
  Duration repeat = std::chrono::milliseconds(250);
  // How long a claim may take, its deadline permitting.
  Duration claim_timeout = std::chrono::seconds(2);
  // Settlements that wait for their acknowledgements on one host.
  std::size_t max_unsettled = 100'000;
};

}  // namespace damasktack

#endif  // FLEET_CLAIM_OPTIONS_H_
