#include "policy/endpoint_reach.h"

#include <algorithm>

namespace damasktack {

void EndpointReach::SetEndpoints(const std::vector<EndpointSpec>& endpoints,
                                 TimePoint now) {
  if (last_response_ == TimePoint()) {
    last_response_ = now;
  }
  endpoints_.clear();
  endpoints_.reserve(endpoints.size());
  for (const EndpointSpec& it : endpoints) {
    endpoints_.push_back(it.id);
  }
  std::erase_if(failing_, [&](const EndpointId& it) {
    return std::ranges::find(endpoints_, it) == endpoints_.end();
  });
  Judge(now);
}

void EndpointReach::OnResponse(TimePoint now) {
  last_response_ = now;
  failing_.clear();
  unreachable_since_.reset();
}

void EndpointReach::OnNoResponse(const EndpointId& endpoint,
                                 TimePoint began_at,
                                 TimePoint now) {
  if (began_at < last_response_ || now - began_at > kMaxFailureTime) {
    return;
  }
  failing_.insert(endpoint);
  Judge(now);
}

void EndpointReach::Judge(TimePoint now) {
  const std::size_t needed = std::min(kMinFailing, endpoints_.size());
  const bool is_unreachable =
      endpoints_.size() > 1 && failing_.size() >= needed;
  if (!is_unreachable) {
    unreachable_since_.reset();
  } else if (!unreachable_since_) {
    unreachable_since_ = now;
    next_probe_ = now + kProbeInterval;
  }
}

std::optional<EndpointId> EndpointReach::NextProbe(TimePoint now) {
  if (!is_unreachable() || now < next_probe_) {
    return std::nullopt;
  }
  next_probe_ = now + kProbeInterval;
  return endpoints_[probed_++ % endpoints_.size()];
}

}  // namespace damasktack
