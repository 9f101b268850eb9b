#ifndef FLEET_CLAIM_EXCHANGE_H_
#define FLEET_CLAIM_EXCHANGE_H_

#include <optional>

#include "fleet/claim_client.h"
#include "fleet/claim_replica.h"
#include "fleet/fleet_module.h"

namespace damasktack {

// State of the claims on one host, for operators.
struct ClaimStatus {
  ClaimReplicaStatus replica;
  ClaimCounters claims;
  // Claims without a verdict.
  std::size_t pending = 0;
  // Settlements without the acknowledgements of both replicas.
  std::size_t unsettled = 0;
};

// Combines the replica and the client of claims on one host, and delivers the
// messages that they send to their own host. A FleetModule; not thread-safe
// (see FleetClaimGate).
class ClaimExchange {
 public:
  ClaimExchange(HostId self, Incarnation incarnation, ClaimOptions options);

  void OnView(const HostView& view, TimePoint now, Outbox& out);
  void OnMessage(const Sender& sender,
                 const PeerMessage& message,
                 TimePoint now,
                 Outbox& out);
  void Tick(TimePoint now, Outbox& out);

  // Sets the hosts that may be replicas. To be called before each Tick.
  void SetCounted(CountedFleet counted);
  void Claim(const ClaimRequest& request,
             ClaimClient::Done done,
             TimePoint now,
             Outbox& out);
  void Settle(const ClaimRequest& request,
              std::uint64_t claim,
              Outcome outcome,
              std::optional<StoredAnswer> answer,
              TimePoint now,
              Outbox& out);

  const ClaimReplica& replica() const { return replica_; }
  ClaimStatus Status() const;

 private:
  // Dispatches the messages in `from` that are addressed to this host, and
  // those sent in reply, until none is left. All others go to `out`.
  void DeliverLocal(TimePoint now, Outbox& from, Outbox& out);
  void Dispatch(const Sender& sender,
                const PeerMessage& message,
                TimePoint now,
                Outbox& out);

  const Sender self_;
  ClaimReplica replica_;
  ClaimClient client_;
};

static_assert(FleetModule<ClaimExchange>);

}  // namespace damasktack

#endif  // FLEET_CLAIM_EXCHANGE_H_
