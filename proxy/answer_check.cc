#include "proxy/answer_check.h"

namespace damasktack {

namespace {

constexpr unsigned kFirstInterim = 100;
constexpr unsigned kSwitchingProtocols = 101;
constexpr unsigned kFirstFinal = 200;
constexpr unsigned kLastFinal = 599;

}  // namespace

bool IsFinalStatus(unsigned status) {
  return status >= kFirstFinal && status <= kLastFinal;
}

bool IsInterimStatus(unsigned status) {
  return status >= kFirstInterim && status < kFirstFinal &&
         status != kSwitchingProtocols;
}

}  // namespace damasktack
