#include "proxy/call_quarantine_check.h"

#include "proxy/crash_check.h"
#include "proxy/request_digest.h"

namespace damasktack {

RequestFingerprint CallQuarantineCheck::Fingerprint(
    std::string_view caller,
    const HttpRequest& request) {
  if (!fingerprint_) {
    fingerprint_ = FingerprintOf(caller, request);
  }
  return *fingerprint_;
}

// Any host may get the next attempt of the request. Unless all hosts share the
// evidence, each attempt would crash one more endpoint and abort all other
// calls there.
bool CallQuarantineCheck::IsQuarantined(std::string_view caller,
                                        const HttpRequest& request) {
  if (judgement_.is_trial) {
    return false;
  }
  judgement_ = {};
  if (quarantine_.HasSuspects()) {
    judgement_ = quarantine_.Judge(Fingerprint(caller, request), Clock::now());
  }
  return judgement_.suspicion == Suspicion::kQuarantined;
}

void CallQuarantineCheck::OnSendEnd(std::string_view caller,
                                    const HttpRequest& request,
                                    const EndpointTarget& target,
                                    const ExchangeResult& sent) {
  if (sent.result == SendResult::kAnswered && quarantine_.HasSuspects()) {
    quarantine_.OnAnswered(Fingerprint(caller, request), Clock::now());
  }
  if (sent.result != SendResult::kBroken || !sent.wrote) {
    return;
  }
  const EndpointProcess endpoint{target.id, target.started_at};
  const CrashObservation sighting{Fingerprint(caller, request), endpoint,
                                  Clock::now()};
  if (quarantine_.OnBroken(sighting)) {
    asio::co_spawn(context_,
                   CheckForCrash(quarantine_, endpoint, target.address),
                   asio::detached);
  }
}

}  // namespace damasktack
