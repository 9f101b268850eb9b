#ifndef PROXY_CALL_QUARANTINE_CHECK_H_
#define PROXY_CALL_QUARANTINE_CHECK_H_

#include <optional>
#include <string_view>

#include "core/request_fingerprint.h"
#include "fleet/request_quarantine.h"
#include "proxy/endpoint_exchange.h"
#include "proxy/endpoint_pool.h"
#include "proxy/http_types.h"

namespace damasktack {

// Checks one call against the quarantine of requests that crash endpoints:
// tells whether its request may be sent, and reports to the quarantine how each
// send ended. `caller` is as in FingerprintOf. Used on one I/O thread only.
class CallQuarantineCheck {
 public:
  // Both arguments must outlive this object.
  CallQuarantineCheck(RequestQuarantine& quarantine, asio::io_context& context)
      : quarantine_(quarantine), context_(context) {}

  // Returns the request's fingerprint, computed on first use.
  RequestFingerprint Fingerprint(std::string_view caller,
                                 const HttpRequest& request);

  // Must be called before each send.
  bool IsQuarantined(std::string_view caller, const HttpRequest& request);
  // Returns the time after which a quarantined request may be retried; zero for
  // other requests.
  Duration retry_after() const { return judgement_.retry_after; }
  // Returns true if endpoints had crashed while handling this request, as of
  // the last IsQuarantined call.
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

#endif  // PROXY_CALL_QUARANTINE_CHECK_H_
