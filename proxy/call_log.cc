#include "proxy/call_log.h"

#include <spdlog/spdlog.h>

#include <utility>

namespace damasktack {

namespace {

std::int64_t ToMs(Duration time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

}  // namespace

bool IsWorthALine(const CallRecord& record) {
  return record.outcome != Outcome::kComplete || record.sends != 1 ||
         record.left < Duration::zero();
}

void CallLog::Write(const CallRecord& record, TimePoint now) {
  std::uint64_t left_out = 0;
  {
    const std::lock_guard lock(mutex_);
    if (!budget_.Take(now)) {
      ++dropped_since_;
      ++dropped_;
      return;
    }
    left_out = std::exchange(dropped_since_, 0);
  }
  spdlog::info(
      "event=call-ended call={} request={} customer={} service={} outcome={} "
      "status={} "
      "failure={} endpoint={} sends={} total_ms={} at_endpoints_ms={} "
      "left_ms={} expected_ms={} report_age_ms={} version={} left_out={}",
      record.call.text(), ToString(record.request), record.customer.text(),
      record.service.text(), ToString(record.outcome), record.status,
      record.failure, record.endpoint.text(), record.sends, ToMs(record.total),
      ToMs(record.at_endpoints), ToMs(record.left), ToMs(record.basis.expected),
      ToMs(record.basis.report_age), record.routes_version, left_out);
}

std::uint64_t CallLog::dropped() const {
  const std::lock_guard lock(mutex_);
  return dropped_;
}

}  // namespace damasktack
