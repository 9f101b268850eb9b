#ifndef PROXY_CALL_HOLDS_H_
#define PROXY_CALL_HOLDS_H_

#include <atomic>
#include <cstdint>
#include <utility>

#include "core/time.h"
#include "fleet/limit_gate.h"

namespace damasktack {

// A place among the calls in flight, also where the coroutine is destroyed.
class InFlight {
 public:
  explicit InFlight(std::atomic<std::int64_t>& count) : count_(count) {
    ++count_;
  }
  ~InFlight() { --count_; }
  InFlight(const InFlight&) = delete;
  InFlight& operator=(const InFlight&) = delete;

 private:
  std::atomic<std::int64_t>& count_;
};

// An admission under the customer's limits. One that is not given back would
// make the limit smaller for ever.
class LimitHold {
 public:
  LimitHold(LimitGate& gate, CustomerId customer)
      : gate_(gate), customer_(std::move(customer)) {}
  ~LimitHold() { gate_.Leave(customer_, Clock::now()); }
  LimitHold(const LimitHold&) = delete;
  LimitHold& operator=(const LimitHold&) = delete;

 private:
  LimitGate& gate_;
  const CustomerId customer_;
};

}  // namespace damasktack

#endif  // PROXY_CALL_HOLDS_H_
