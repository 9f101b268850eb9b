#ifndef FLEET_FLEET_CLAIM_GATE_H_
#define FLEET_FLEET_CLAIM_GATE_H_

#include <functional>
#include <mutex>
#include <vector>

#include "fleet/claim_exchange.h"
#include "fleet/claim_gate.h"
#include "fleet/fleet_limit_gate.h"

namespace damasktack {

// The ClaimGate of a running daemon: callers' threads leave their wishes here
// and the fleet loop, which drives it as a FleetModule, carries them out.
class FleetClaimGate : public ClaimGate {
 public:
  // `limits` says whom to count and must outlive the gate.
  FleetClaimGate(HostId self,
                 Incarnation incarnation,
                 ClaimOptions options,
                 const FleetLimitGate& limits);

  void Claim(const ClaimRequest& request,
             std::function<void(const ClaimReply&)> done) override;
  void Settle(const ClaimRequest& request,
              std::uint64_t claim,
              Outcome outcome,
              std::optional<KeptAnswer> answer) override;

  // `wake` makes the loop call Tick soon. Without one, before the loop starts
  // and after it has ended, every claim is unavailable.
  void SetWake(std::function<void()> wake);
  // Without peers, whatever the list says.
  void SetStandalone() { alone_ = true; }

  void OnView(const HostView& view, TimePoint now, Outbox& out);
  void OnMessage(const Sender& sender,
                 const PeerMessage& message,
                 TimePoint now,
                 Outbox& out);
  void Tick(TimePoint now, Outbox& out);

  // Nothing would be lost if this process ended: every end is acknowledged and
  // every bucket that another host can keep is kept there.
  bool IsSafeToStop() const;
  ClaimStatus Status() const;

 private:
  using Job = std::function<void(TimePoint now, Outbox& out)>;

  bool Post(Job job);

  const FleetLimitGate& limits_;
  bool alone_ = false;

  mutable std::mutex mutex_;
  ClaimExchange exchange_;

  // Apart from mutex_, so that callers never wait for the loop's work.
  std::mutex jobs_mutex_;
  std::vector<Job> jobs_;
  std::function<void()> wake_;
};

static_assert(FleetModule<FleetClaimGate>);

}  // namespace damasktack

#endif  // FLEET_FLEET_CLAIM_GATE_H_
