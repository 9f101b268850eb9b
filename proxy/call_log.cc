#include "proxy/call_log.h"

#include <spdlog/fmt/fmt.h>
#include <spdlog/spdlog.h>

#include <string>
#include <utility>

namespace damasktack {

namespace {

std::int64_t ToMs(Duration time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

// Returns the keys of the parts that took part in the decision; empty if none
// did.
std::string FormatParts(const DecisionBasis& basis) {
  std::string parts;
  if (basis.good_share) {
    parts += fmt::format(" good_share={:.2f}", *basis.good_share);
  }
  if (basis.paced_by) {
    parts += fmt::format(" paced_by={:.0f}", *basis.paced_by);
  }
  return parts;
}

}  // namespace

bool NeedsLogLine(const CallRecord& record) {
  return record.outcome != Outcome::kComplete || record.sends != 1 ||
         record.left < Duration::zero();
}

std::optional<std::uint64_t> CallLog::TakeLine(TimePoint now) {
  const std::lock_guard lock(mutex_);
  if (!budget_.Take(now)) {
    ++dropped_since_;
    ++dropped_;
    return std::nullopt;
  }
  return std::exchange(dropped_since_, 0);
}

void CallLog::Write(const CallRecord& record, TimePoint now) {
  const std::optional<std::uint64_t> left_out = TakeLine(now);
  if (!left_out) {
    return;
  }
  spdlog::info(
      "event=call-ended call={} request={} customer={} service={} outcome={} "
      "status={} "
      "failure={} endpoint={} sends={} total_ms={} at_endpoints_ms={} "
      "left_ms={} expected_ms={} report_age_ms={} version={} left_out={}{}",
      record.call.text(), ToString(record.request), record.customer.text(),
      record.service.text(), ToString(record.outcome), record.status,
      record.failure, record.endpoint.text(), record.sends, ToMs(record.total),
      ToMs(record.at_endpoints), ToMs(record.left), ToMs(record.basis.expected),
      ToMs(record.basis.report_age), record.routes_version, *left_out,
      FormatParts(record.basis));
}

void CallLog::WriteColdSend(const CallId& call,
                            const EndpointId& endpoint,
                            const ColdBasis& basis,
                            TimePoint now) {
  const std::optional<std::uint64_t> left_out = TakeLine(now);
  if (!left_out) {
    return;
  }
  spdlog::info(
      "event=cold-send call={} endpoint={} cold_ms={} word={} word_age_ms={} "
      "calls={:.1f} slots={:.0f} asked_ms={} hosts={:.0f} seat={}/{} "
      "left_out={}",
      call.text(), endpoint.text(), ToMs(basis.left), ToString(basis.word),
      ToMs(basis.source_age), basis.calls, basis.slots, ToMs(basis.asked_age),
      basis.hosts, basis.seat.number, basis.seat.number_count, *left_out);
}

void CallLog::WriteHedge(const HedgeRecord& record, TimePoint now) {
  if (const std::optional<std::uint64_t> left_out = TakeLine(now)) {
    spdlog::info(
        "event=call-hedged call={} first={} second={} in_flight_ms={} "
        "left_ms={} expected_ms={} left_out={}",
        record.call.text(), record.first.text(), record.second.text(),
        ToMs(record.in_flight), ToMs(record.left), ToMs(record.expected),
        *left_out);
  }
}

void CallLog::WriteRelay(const CallId& call,
                         const ServiceId& service,
                         const HostId& peer,
                         Duration unreachable_for,
                         TimePoint now) {
  if (const std::optional<std::uint64_t> left_out = TakeLine(now)) {
    spdlog::info(
        "event=call-relayed call={} service={} peer={} reason=unreachable "
        "unreachable_ms={} left_out={}",
        call.text(), service.text(), peer.text(), ToMs(unreachable_for),
        *left_out);
  }
}

void CallLog::WriteRelayTaken(const CallId& call,
                              std::string_view from,
                              TimePoint now) {
  if (const std::optional<std::uint64_t> left_out = TakeLine(now)) {
    spdlog::info("event=relay-taken call={} from={} left_out={}", call.text(),
                 from, *left_out);
  }
}

void CallLog::WriteCut(const CutCallRecord& record, TimePoint now) {
  if (const std::optional<std::uint64_t> left_out = TakeLine(now)) {
    spdlog::warn(
        "event=call-cut call={} customer={} service={} endpoint={} sends={} "
        "age_ms={} read_after_ms={} left_ms={} left_out={}",
        record.call.text(), record.customer.text(), record.service.text(),
        record.endpoint.text(), record.sends, ToMs(record.age),
        ToMs(record.read_after), ToMs(record.left), *left_out);
  }
}

void CallLog::WriteStrayAnswer(const StrayAnswerRecord& record, TimePoint now) {
  if (const std::optional<std::uint64_t> left_out = TakeLine(now)) {
    spdlog::info(
        "event=answer-stray call={} endpoint={} connection={} match={} "
        "status={} names={} refusal={} left_out={}",
        record.call.text(), record.endpoint.text(), record.connection,
        record.match, record.status, record.names, record.is_refusal,
        *left_out);
  }
}

void CallLog::WriteMemoryShort(std::size_t held,
                               std::size_t limit,
                               TimePoint now) {
  if (const std::optional<std::uint64_t> left_out = TakeLine(now)) {
    spdlog::warn("event=memory-short held={} limit={} left_out={}", held, limit,
                 *left_out);
  }
}

void CallLog::WriteInternalError(std::string_view what, TimePoint now) {
  if (const std::optional<std::uint64_t> left_out = TakeLine(now)) {
    spdlog::error("event=call-internal-error what=\"{}\" left_out={}", what,
                  *left_out);
  }
}

std::uint64_t CallLog::dropped() const {
  const std::lock_guard lock(mutex_);
  return dropped_;
}

}  // namespace damasktack
