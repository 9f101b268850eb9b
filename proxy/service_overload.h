#ifndef PROXY_SERVICE_OVERLOAD_H_
#define PROXY_SERVICE_OVERLOAD_H_

#include <optional>
#include <ostream>
#include <string>

#include "contract/service.h"
#include "fleet/overload/overload_view.h"
#include "policy/balancer.h"
#include "policy/urgency_admission.h"

namespace damasktack {

// Connects the admission by urgency of one service with its calls and with what
// peers state. Does nothing while it is disabled: without a view, or while no
// routes of several urgencies lead to the service. The owner serializes the
// calls.
class ServiceOverload {
 public:
  // The time after which refused callers may retry. Fractions change within it.
  static constexpr Duration kRetryAfter = std::chrono::milliseconds(100);

  // Sets where loads are shared; must be called before the first call. `view`
  // must outlive this object.
  void SetView(OverloadView* view) { view_ = view; }
  void SetService(const ServiceSpec& service);
  bool is_enabled() const { return admission_.has_value(); }

  UrgencyAdmission::Verdict Decide(Urgency urgency, TimePoint now);
  // The balancer has refused a call.
  void OnRefused(Urgency urgency, Refusal refusal, TimePoint now);
  // A call has ended with this send.
  void OnCallEnd(const CallOffer& offer, const SendEnd& end, TimePoint now);
  void OnReport(const EndpointReport& report);
  // Recalculates the fractions if that is due. Returns whether peers must be
  // notified with OverloadView::NotifyUpdates, without a lock held.
  bool Update(TimePoint now);
  void NotifyPeers() const { view_->NotifyUpdates(); }

  // Null while disabled.
  std::optional<ServiceCapacity> capacity() const;
  void Render(std::ostream& out) const;

 private:
  void LogChange(bool was_short) const;

  OverloadView* view_ = nullptr;
  ServiceId service_;
  std::optional<UrgencyAdmission> admission_;
};

}  // namespace damasktack

#endif  // PROXY_SERVICE_OVERLOAD_H_
