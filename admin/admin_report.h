#ifndef ADMIN_ADMIN_REPORT_H_
#define ADMIN_ADMIN_REPORT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "contract/document.h"
#include "core/error.h"
#include "core/ids.h"
#include "core/time.h"
#include "policy/service_balancer.h"

namespace damasktack {

// Typed values that the administration API shows. None of them may contain a
// key, a key's digest or a token.

// State of one process as reported by itself.
struct HostReport {
  HostId id;
  ZoneId zone;
  Incarnation incarnation = 0;
  bool ready = false;
  // Whether an operator has drained the host, which makes it report "not
  // ready".
  bool drained = false;
  // Whether the graceful stop has begun.
  bool stopping = false;
  Duration uptime{};
  std::int64_t calls_in_flight = 0;
  // What messages hold, now and at most so far, and how much they may, in
  // bytes.
  std::int64_t message_bytes = 0;
  std::int64_t message_bytes_peak = 0;
  std::int64_t message_bytes_limit = 0;
};

// A published document that failed validation.
struct RefusedDocument {
  Revision revision = 0;
  Error error;
};

// Revision of one document that is in force on this host.
struct DocumentReport {
  DocumentName name = DocumentName::kContracts;
  // 0 until the first document has been accepted.
  Revision in_force = 0;
  // The latest rejected document with a higher revision than the one in force.
  std::optional<RefusedDocument> refused;
};

// Another host as seen by this one.
struct PeerReport {
  HostId id;
  ZoneId zone;
  Incarnation incarnation = 0;
  ListedState listed = ListedState::kLive;
  bool reachable = false;
};

// One service with its endpoints and the cost of probing them.
struct ServiceReport {
  ServiceId id;
  BalancerStatus balancer;
};

// This host's part of one of a customer's fleet-wide limits, in thousandths of
// a call, or of a call per second for rates.
struct LimitPart {
  // The contract's limit for the whole fleet; 0 means no limit.
  std::int64_t contract = 0;
  std::int64_t owned = 0;
  std::int64_t lent = 0;
  std::int64_t borrowed = 0;
};

struct CustomerReport {
  CustomerId id;
  std::int64_t share = 1;
  // Number of calls since the start, by the outcome reported to their callers.
  std::uint64_t complete = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  LimitPart rate;
  LimitPart concurrency;
};

}  // namespace damasktack

#endif  // ADMIN_ADMIN_REPORT_H_
