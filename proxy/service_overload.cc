#include "proxy/service_overload.h"

#include <spdlog/spdlog.h>

namespace damasktack {

void ServiceOverload::SetService(const ServiceSpec& service) {
  service_ = service.id;
  const bool is_enabled = view_ != nullptr && service.route_mix.urgencies >= 2;
  if (!is_enabled) {
    admission_.reset();
  } else if (!admission_) {
    admission_.emplace(UrgencyAdmissionOptions{});
  }
}

UrgencyAdmission::Verdict ServiceOverload::Decide(Urgency urgency,
                                                  TimePoint now) {
  return admission_ ? admission_->Decide(urgency, now)
                    : UrgencyAdmission::Verdict{};
}

void ServiceOverload::OnRefused(Urgency urgency,
                                Refusal refusal,
                                TimePoint now) {
  const bool lacks_slots = refusal == Refusal::kShed ||
                           refusal == Refusal::kDeadline ||
                           refusal == Refusal::kQueueFull;
  if (admission_ && lacks_slots) {
    admission_->OnMissed(urgency, now);
  }
}

// A call that is late or not answered is missed for lack of slots only where
// endpoints report that their slots are busy.
void ServiceOverload::OnCallEnd(const CallOffer& offer,
                                const SendEnd& end,
                                TimePoint now) {
  if (!admission_) {
    return;
  }
  if (end.result == SendResult::kAnswered && now <= offer.on_time_until) {
    admission_->OnServed(offer.urgency);
    return;
  }
  const bool is_late = end.result == SendResult::kAnswered ||
                       end.result == SendResult::kTimedOut;
  if (end.result == SendResult::kShed || (is_late && admission_->IsBusy())) {
    admission_->OnMissed(offer.urgency, now);
  }
}

void ServiceOverload::OnReport(const EndpointReport& report) {
  if (admission_) {
    admission_->OnReport(report);
  }
}

bool ServiceOverload::Update(TimePoint now) {
  if (!admission_ || !admission_->IsDue(now)) {
    return false;
  }
  const bool was_short = admission_->is_short();
  admission_->Update(view_->PeersOf(service_, now), now);
  LogChange(was_short);
  return view_->SetOwn(service_, admission_->own(),
                       admission_->IsShortHere(now), now);
}

void ServiceOverload::LogChange(bool was_short) const {
  if (was_short == admission_->is_short()) {
    return;
  }
  const ServiceCapacity capacity = admission_->capacity();
  spdlog::info(
      "event=urgency-admission service={} short={} offered_per_second={:.1f} "
      "served_per_second={:.1f} hosts={:.1f}",
      service_.text(), admission_->is_short(), capacity.offered_per_second,
      capacity.served_per_second, capacity.hosts);
}

std::optional<ServiceCapacity> ServiceOverload::capacity() const {
  return admission_ ? std::optional(admission_->capacity()) : std::nullopt;
}

void ServiceOverload::Render(std::ostream& out) const {
  if (!admission_) {
    return;
  }
  const std::string label = "{service=\"" + service_.text() + "\"";
  out << "damasktack_urgency_short" << label << "} " << admission_->is_short()
      << "\n";
  for (std::size_t n = 0; n < kUrgencyCount; ++n) {
    const auto urgency = static_cast<Urgency>(n);
    const std::string labels =
        label + ",urgency=\"" + std::string(ToString(urgency)) + "\"} ";
    out << "damasktack_urgency_admitted_fraction" << labels
        << admission_->fraction(urgency) << "\n"
        << "damasktack_urgency_refused_total" << labels
        << admission_->refused(urgency) << "\n";
  }
}

}  // namespace damasktack
