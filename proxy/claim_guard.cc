#include "proxy/claim_guard.h"

#include <utility>

namespace damasktack {

ClaimGuard::ClaimGuard(ClaimGate& gate,
                       ClaimRequest request,
                       std::uint64_t claim)
    : gate_(gate), request_(std::move(request)), claim_(claim) {}

ClaimGuard::~ClaimGuard() {
  Settle(sent_ ? Outcome::kUnknown : Outcome::kNotRun, std::nullopt);
}

void ClaimGuard::Settle(Outcome outcome, std::optional<StoredAnswer> answer) {
  if (settled_) {
    return;
  }
  settled_ = true;
  gate_.Settle(request_, claim_, outcome, std::move(answer));
}

}  // namespace damasktack
