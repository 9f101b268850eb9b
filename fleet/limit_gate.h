#ifndef FLEET_LIMIT_GATE_H_
#define FLEET_LIMIT_GATE_H_

#include "contract/contract.h"
#include "core/ids.h"
#include "core/time.h"

namespace damasktack {

// Admits or refuses calls by the limits of the customer's contract.
// Thread-safe.
class LimitGate {
 public:
  struct Verdict {
    bool admitted = true;
    // If not admitted: how long to wait before a retry.
    Duration retry_after{};
  };

  virtual ~LimitGate() = default;

  // Decides whether one more call may start. Leave must be called exactly once
  // for each admitted call.
  virtual Verdict Enter(const Contract& contract, TimePoint now) = 0;
  // Ends an admitted call.
  virtual void Leave(const CustomerId& customer, TimePoint now) = 0;
};

// Admits every call. For tests and for a daemon without peers or limits.
class OpenLimitGate : public LimitGate {
 public:
  Verdict Enter(const Contract& /*contract*/, TimePoint /*now*/) override {
    return {};
  }
  void Leave(const CustomerId& /*customer*/, TimePoint /*now*/) override {}
};

}  // namespace damasktack

#endif  // FLEET_LIMIT_GATE_H_
