#ifndef PROXY_CALL_GUARDS_H_
#define PROXY_CALL_GUARDS_H_

#include <atomic>
#include <cstdint>
#include <utility>

#include "core/time.h"
#include "fleet/limit_gate.h"

namespace damasktack {

// Counts one call in flight for as long as it exists, so that the count is also
// decremented if the call's coroutine is destroyed.
class InFlightGuard {
 public:
  explicit InFlightGuard(std::atomic<std::int64_t>& count) : count_(count) {
    ++count_;
  }
  ~InFlightGuard() { --count_; }
  InFlightGuard(const InFlightGuard&) = delete;
  InFlightGuard& operator=(const InFlightGuard&) = delete;

 private:
  std::atomic<std::int64_t>& count_;
};

// Holds one admission under a customer's limits and releases it on destruction.
// An admission that is never released would reduce the limit permanently.
class LimitGuard {
 public:
  LimitGuard(LimitGate& gate, CustomerId customer)
      : gate_(gate), customer_(std::move(customer)) {}
  ~LimitGuard() { gate_.Leave(customer_, Clock::now()); }
  LimitGuard(const LimitGuard&) = delete;
  LimitGuard& operator=(const LimitGuard&) = delete;

 private:
  LimitGate& gate_;
  const CustomerId customer_;
};

}  // namespace damasktack

#endif  // PROXY_CALL_GUARDS_H_
