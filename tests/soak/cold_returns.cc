#include "tests/soak/cold_returns.h"

#include <algorithm>
#include <string>

namespace damasktack {

namespace {

// An endpoint writes its entry about this often.
constexpr int kLongestUntoldMs = 1500;

}  // namespace

void ColdReturns::Begin(double part, TimePoint now) {
  std::bernoulli_distribution is_chosen(part);
  std::uniform_int_distribution<int> untold(0, kLongestUntoldMs);
  for (int n = 0; n < fleet_.cold_endpoints().size(); ++n) {
    if (is_chosen(random_)) {
      fleet_.cold_endpoints().at(n).BecomeCold(SoakFleet::kColdTime);
      tellings_.push_back(
          {n, now + std::chrono::milliseconds(untold(random_))});
    }
  }
}

void ColdReturns::Tick(TimePoint now) {
  std::erase_if(tellings_, [&](const Telling& it) {
    const bool is_due = it.due <= now;
    if (is_due) {
      fleet_.TellCold(it.endpoint);
    }
    return is_due;
  });
}

std::vector<std::size_t> ColdReturns::WorstSeconds(SoakLedger& ledger) const {
  std::vector<std::size_t> seconds;
  for (int n = 0; n < fleet_.cold_endpoints().size(); ++n) {
    const SlotEndpoint& endpoint = fleet_.cold_endpoints().at(n);
    const std::size_t worst = endpoint.worst_cold_second();
    seconds.push_back(worst);
    if (worst > SoakFleet::kMostInColdSecond) {
      ledger.Violation(endpoint.id() + ": " + std::to_string(worst) +
                       " requests within a second while it was cold");
    }
  }
  return seconds;
}

}  // namespace damasktack
