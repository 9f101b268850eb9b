#include "proxy/proxy_counters.h"

#include <sstream>
#include <string_view>

namespace damasktack {

namespace {

constexpr std::array<std::string_view, kHedgeEndCount> kHedgeEndNames = {
    "won", "lost", "failed"};

}  // namespace

std::string ProxyCounters::Render(bool stopping) const {
  std::ostringstream out;
  out << "# TYPE damasktack_caller_connections gauge\n"
      << "damasktack_caller_connections " << connections_ << "\n"
      << "# TYPE damasktack_calls_in_flight gauge\n"
      << "damasktack_calls_in_flight " << calls_in_flight_ << "\n"
      << "# TYPE damasktack_stopping gauge\n"
      << "damasktack_stopping " << (stopping ? 1 : 0) << "\n"
      << "# TYPE damasktack_cold_sends_total counter\n"
      << "damasktack_cold_sends_total " << cold_sends_ << "\n"
      << "# TYPE damasktack_losing_sends_cancelled_total counter\n"
      << "damasktack_losing_sends_cancelled_total " << losing_sends_cancelled_
      << "\n"
      << "# TYPE damasktack_relays_taken_total counter\n"
      << "damasktack_relays_taken_total " << relays_taken_ << "\n"
      << "# TYPE damasktack_relayed_in_flight gauge\n"
      << "damasktack_relayed_in_flight " << relayed_in_flight_ << "\n"
      << "# TYPE damasktack_relays_total counter\n";
  for (std::size_t n = 0; n < relays_.size(); ++n) {
    out << "damasktack_relays_total{end=\""
        << ToString(static_cast<RelayEnd>(n)) << "\"} " << relays_[n] << "\n";
  }
  out << "# TYPE damasktack_stray_answers_total counter\n";
  for (const AnswerMatch it :
       {AnswerMatch::kOther, AnswerMatch::kUnattributable}) {
    out << "damasktack_stray_answers_total{match=\"" << ToString(it) << "\"} "
        << stray_answers(it) << "\n";
  }
  out << "# TYPE damasktack_hedges_total counter\n";
  for (std::size_t n = 0; n < hedges_.size(); ++n) {
    out << "damasktack_hedges_total{end=\"" << kHedgeEndNames[n] << "\"} "
        << hedges_[n] << "\n";
  }
  out << "# TYPE damasktack_failures_total counter\n";
  for (std::size_t n = 0; n < failures_.size(); ++n) {
    out << "damasktack_failures_total{kind=\""
        << ToString(static_cast<FailureKind>(n)) << "\"} " << failures_[n]
        << "\n";
  }
  return out.str();
}

}  // namespace damasktack
