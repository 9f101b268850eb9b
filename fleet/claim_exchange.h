#ifndef FLEET_CLAIM_EXCHANGE_H_
#define FLEET_CLAIM_EXCHANGE_H_

#include <optional>

#include "fleet/claim_client.h"
#include "fleet/claim_replica.h"
#include "fleet/fleet_module.h"

namespace damasktack {

// Claims as operators see them on one host.
struct ClaimStatus {
  ClaimReplicaStatus keeper;
  ClaimCounters claims;
  std::size_t asking = 0;
  std::size_t unsettled = 0;
};

// A host's claims as a whole: keeper and claimant, with the messages that it
// sends to itself. A FleetModule; not safe for several threads (see
// FleetClaimGate).
class ClaimExchange {
 public:
  ClaimExchange(HostId self, Incarnation incarnation, ClaimOptions options);

  void OnView(const HostView& view, TimePoint now, Outbox& out);
  void OnMessage(const Sender& sender,
                 const PeerMessage& message,
                 TimePoint now,
                 Outbox& out);
  void Tick(TimePoint now, Outbox& out);

  // To be called before each Tick.
  void SetCounted(CountedFleet counted);
  void Claim(const ClaimRequest& request,
             ClaimClient::Done done,
             TimePoint now,
             Outbox& out);
  void Settle(const ClaimRequest& request,
              std::uint64_t claim,
              Outcome outcome,
              std::optional<KeptAnswer> answer,
              TimePoint now,
              Outbox& out);

  const ClaimReplica& keeper() const { return keeper_; }
  ClaimStatus Status() const;

 private:
  // Hands what this host has sent to itself back in, until nothing is left.
  void Deliver(TimePoint now, Outbox& from, Outbox& out);
  void Dispatch(const Sender& sender,
                const PeerMessage& message,
                TimePoint now,
                Outbox& out);

  const Sender self_;
  ClaimReplica keeper_;
  ClaimClient router_;
};

static_assert(FleetModule<ClaimExchange>);

}  // namespace damasktack

#endif  // FLEET_CLAIM_EXCHANGE_H_
