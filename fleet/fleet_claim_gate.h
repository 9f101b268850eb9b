#ifndef FLEET_FLEET_CLAIM_GATE_H_
#define FLEET_FLEET_CLAIM_GATE_H_

#include <functional>
#include <mutex>
#include <vector>

#include "fleet/claim_exchange.h"
#include "fleet/claim_gate.h"
#include "fleet/fleet_limit_gate.h"

namespace damasktack {

// The ClaimGate of a running daemon. Threads that serve callers enqueue claims
// and settlements; the fleet loop, which drives the gate as a FleetModule,
// executes them.
class FleetClaimGate : public ClaimGate {
 public:
  // `limits` provides the counted hosts and must outlive the gate.
  FleetClaimGate(HostId self,
                 Incarnation incarnation,
                 ClaimOptions options,
                 const FleetLimitGate& limits);

  void Claim(const ClaimRequest& request,
             std::function<void(const ClaimReply&)> done) override;
  void Settle(const ClaimRequest& request,
              std::uint64_t claim,
              Outcome outcome,
              std::optional<StoredAnswer> answer) override;

  // Sets a function that makes the fleet loop call Tick soon. While it is not
  // set, before the loop starts and after it has ended, every claim is
  // unavailable.
  void SetWake(std::function<void()> wake);
  // Ignores all peers, whatever the host list says.
  void SetStandalone() { standalone_ = true; }

  void OnView(const HostView& view, TimePoint now, Outbox& out);
  void OnMessage(const Sender& sender,
                 const PeerMessage& message,
                 TimePoint now,
                 Outbox& out);
  void Tick(TimePoint now, Outbox& out);

  // Returns whether no claim would be lost if this process ended: every
  // settlement is acknowledged, and no bucket is stored here any more. A
  // standalone daemon has no host to hand its buckets over to, so for it only
  // the settlements count.
  bool IsSafeToStop() const;
  ClaimStatus Status() const;

 private:
  using Job = std::function<void(TimePoint now, Outbox& out)>;

  // False if there is no loop or the queue is full.
  bool Enqueue(Job job);

  const FleetLimitGate& limits_;
  bool standalone_ = false;

  mutable std::mutex mutex_;
  ClaimExchange exchange_;

  // Separate from mutex_, so that callers never wait for the fleet loop.
  std::mutex jobs_mutex_;
  std::vector<Job> jobs_;
  std::function<void()> wake_;
};

static_assert(FleetModule<FleetClaimGate>);

}  // namespace damasktack

#endif  // FLEET_FLEET_CLAIM_GATE_H_
