#ifndef PROXY_CALL_SUSPICION_H_
#define PROXY_CALL_SUSPICION_H_

#include <optional>
#include <string_view>

#include "core/request_fingerprint.h"
#include "fleet/request_quarantine.h"
#include "proxy/endpoint_exchange.h"
#include "proxy/endpoint_pool.h"
#include "proxy/http_types.h"

namespace damasktack {

// One call's side of the quarantine: whether its request may be sent, and what
// the ends of its sends say of the request. `caller` is as in FingerprintOf.
// Lives on one I/O thread.
class CallSuspicion {
 public:
  // Both must outlive this.
  CallSuspicion(RequestQuarantine& quarantine, asio::io_context& context)
      : quarantine_(quarantine), context_(context) {}

  // Computed at the first call.
  RequestFingerprint Fingerprint(std::string_view caller,
                                 const HttpRequest& request);

  // To be asked before each send.
  bool IsQuarantined(std::string_view caller, const HttpRequest& request);
  // When a quarantined request may come again; zero for others.
  Duration retry_after() const { return judgement_.retry_after; }
  // Whether endpoints had ended under the request when it was asked about last.
  bool IsSuspected() const { return judgement_.suspicion != Suspicion::kNone; }

  void OnSendEnd(std::string_view caller,
                 const HttpRequest& request,
                 const EndpointTarget& target,
                 const ExchangeResult& sent);

 private:
  RequestQuarantine& quarantine_;
  asio::io_context& context_;
  std::optional<RequestFingerprint> fingerprint_;
  RequestJudgement judgement_;
};

}  // namespace damasktack

#endif  // PROXY_CALL_SUSPICION_H_
