#include "standin/load_reporter.h"

namespace damasktack {

namespace {

constexpr std::size_t kMaxHistoryEntries = 100'000;

std::string FormatLoad(const EndpointLoad& load) {
  return "in_flight=" + std::to_string(load.in_flight) +
         ", queued=" + std::to_string(load.queued) +
         ", slots=" + std::to_string(load.slots) + ", mode=" + load.mode;
}

}  // namespace

void LoadReporter::Observe(const EndpointLoad& load, TimePoint now) {
  history_.push_back({now, load});
  if (history_.size() > kMaxHistoryEntries) {
    history_.pop_front();
  }
}

EndpointLoad LoadReporter::LoadAt(TimePoint at) const {
  EndpointLoad load;
  for (auto it = history_.rbegin(); it != history_.rend(); ++it) {
    load = it->load;
    if (it->at <= at) {
      break;
    }
  }
  return load;
}

std::optional<std::string> LoadReporter::Report(const EndpointLoad& load,
                                                const EndpointFaults& faults,
                                                TimePoint now) {
  if (faults.report != ReportFault::kFrozen) {
    frozen_.reset();
  }
  switch (faults.report) {
    case ReportFault::kNone:
      return FormatLoad(load);
    case ReportFault::kFrozen:
      frozen_ = frozen_.value_or(load);
      return FormatLoad(*frozen_);
    case ReportFault::kLow:
      return FormatLoad({0, 0, load.slots, "serving"});
    case ReportFault::kStale:
      return FormatLoad(LoadAt(now - faults.report_age));
    case ReportFault::kMissing:
      return std::nullopt;
  }
  return std::nullopt;
}

}  // namespace damasktack
