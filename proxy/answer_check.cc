#include "proxy/answer_check.h"

#include "proxy/http_text.h"

namespace damasktack {

namespace {

constexpr unsigned kFirstInterim = 100;
constexpr unsigned kSwitchingProtocols = 101;
constexpr unsigned kFirstFinal = 200;
constexpr unsigned kLastFinal = 599;

}  // namespace

bool HasPlainFields(std::string_view head) {
  head.remove_prefix(head.find(kLineEnd) + kLineEnd.size());
  while (!head.starts_with(kLineEnd)) {
    const std::size_t end = head.find(kLineEnd);
    const std::size_t colon = head.find(':');
    if (end == std::string_view::npos || colon > end ||
        !IsToken(head.substr(0, colon))) {
      return false;
    }
    head.remove_prefix(end + kLineEnd.size());
  }
  return true;
}

bool IsFinalStatus(unsigned status) {
  return status >= kFirstFinal && status <= kLastFinal;
}

bool IsInterimStatus(unsigned status) {
  return status >= kFirstInterim && status < kFirstFinal &&
         status != kSwitchingProtocols;
}

}  // namespace damasktack
