#include "tests/soak/soak_recorder.h"

#include <algorithm>

namespace damasktack {

namespace {

// Retry budget of the fleet: a fifth of the requests plus a burst.
constexpr double kRepeatFraction = 0.2;
constexpr double kRepeatSlack = 60;

bool ImpliesNotExecuted(int status) {
  return status == 503 || status == 429 || status == 408 || status == 421;
}

}  // namespace

void SoakRecorder::RecordSent(const std::string& call, bool idempotent) {
  const std::lock_guard lock(mutex_);
  calls_[call].is_known = true;
  calls_[call].idempotent = idempotent;
}

void SoakRecorder::RecordRun(const std::string& call) {
  const std::lock_guard lock(mutex_);
  ++calls_[call].runs;
}

void SoakRecorder::RecordArrival(const std::string& call) {
  const std::lock_guard lock(mutex_);
  ++calls_[call].arrivals;
}

void SoakRecorder::RecordAnswer(const std::string& call, int status) {
  const std::lock_guard lock(mutex_);
  calls_[call].status = status;
}

void SoakRecorder::AddViolation(std::string text) {
  const std::lock_guard lock(mutex_);
  violations_.push_back(std::move(text));
}

std::size_t SoakRecorder::calls() const {
  const std::lock_guard lock(mutex_);
  return calls_.size();
}

std::size_t SoakRecorder::answered(int status) const {
  const std::lock_guard lock(mutex_);
  return static_cast<std::size_t>(std::ranges::count_if(
      calls_, [&](const auto& it) { return it.second.status == status; }));
}

std::vector<std::string> SoakRecorder::Violations() const {
  const std::lock_guard lock(mutex_);
  std::vector<std::string> found = violations_;
  double retries = 0;
  for (const auto& [call, it] : calls_) {
    if (!it.is_known) {
      found.push_back(call + ": executed, but no caller sent it");
    }
    if (!it.idempotent && it.runs > 1) {
      found.push_back(call + ": not idempotent, but executed " +
                      std::to_string(it.runs) + " times");
    }
    if (!it.idempotent && it.runs > 0 && ImpliesNotExecuted(it.status)) {
      found.push_back(call + ": caller got " + std::to_string(it.status) +
                      ", but it was executed");
    }
    if (it.status == 200 && it.runs == 0) {
      found.push_back(call + ": answered with 200, but not executed");
    }
    retries += std::max(0, it.arrivals - 1);
  }
  const double allowed =
      kRepeatFraction * static_cast<double>(calls_.size()) + kRepeatSlack;
  if (retries > allowed) {
    found.push_back(std::to_string(retries) + " retries, " +
                    std::to_string(allowed) + " allowed");
  }
  return found;
}

}  // namespace damasktack
