#ifndef FLEET_CLAIM_REPLICA_H_
#define FLEET_CLAIM_REPLICA_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "fleet/claim_messages.h"
#include "fleet/claim_options.h"
#include "fleet/claim_records.h"
#include "fleet/fleet_module.h"
#include "fleet/limit_hosts.h"

namespace damasktack {

// State of the claims stored on one host, for operators.
struct ClaimReplicaStatus {
  // Number of buckets with this host as primary and as secondary replica.
  std::int64_t primary_buckets = 0;
  std::int64_t secondary_buckets = 0;
  // Number of buckets whose records this host stores. Includes buckets promised
  // to a takeover that has not completed, as these records may be the only copy
  // until then.
  std::int64_t holds = 0;
  // Number of buckets that this host is taking over.
  std::int64_t pending_takeovers = 0;
  ClaimUsage usage;
};

// Stores claims on one host, as a replica of some buckets. A bucket has two
// replicas under a ballot, and a claim needs the grants of both. The host that
// should be the primary replica takes over the bucket: it asks every host that
// it counts to promise not to serve the bucket under a lower ballot and to hand
// over its records, and completes once all have done so. docs/notes/claims.md
// gives the proof. Does no I/O: reads no clock and sends through an Outbox.
class ClaimReplica {
 public:
  ClaimReplica(HostId self, Incarnation incarnation, ClaimOptions options);

  void OnView(const HostView& view);
  void SetCounted(CountedFleet counted);
  void Tick(TimePoint now, Outbox& out);

  void On(const Sender& sender,
          const TakeoverRequest& message,
          TimePoint now,
          Outbox& out);
  void On(const Sender& sender,
          const TakeoverReply& reply,
          TimePoint now,
          Outbox& out);
  void On(const Sender& sender,
          const ReplicaInstall& install,
          TimePoint now,
          Outbox& out);
  void On(const Sender& sender,
          const ReplicaInstalled& installed,
          TimePoint now,
          Outbox& out);
  void On(const Sender& sender,
          const ClaimReplicas& replicas,
          TimePoint now,
          Outbox& out);
  void On(const Sender& sender,
          const GrantRequest& message,
          TimePoint now,
          Outbox& out);
  void On(const Sender& sender,
          const ClaimSettle& settle,
          TimePoint now,
          Outbox& out);

  // Returns the host that should be the primary replica of a bucket, to be
  // asked if its replicas are not known.
  HostId LikelyPrimary(std::int64_t bucket) const {
    return DesiredReplicas(bucket).primary;
  }
  // Returns the replicas of a bucket with the highest ballot known to this
  // host.
  const std::optional<ClaimReplicas>& KnownReplicas(std::int64_t bucket) const;
  // Takes note of replicas, if their ballot is higher than the one known.
  void LearnReplicas(const ClaimReplicas& replicas);
  // Returns the ballot under which this host stores records of a bucket, if
  // any.
  std::optional<ClaimBallot> HeldBallot(std::int64_t bucket) const;
  ClaimReplicaStatus Status() const;

 private:
  struct ReceivedReply {
    Incarnation incarnation = 0;
    TakeoverReply reply;
  };
  struct Takeover {
    ClaimBallot ballot;
    TimePoint sent_at;
    TimePoint started_at;
    std::map<HostId, ReceivedReply> replies;
    // Set once the records are complete and are sent to the secondary replica.
    std::optional<ReplicaInstall> install;
  };
  struct Bucket {
    explicit Bucket(ClaimUsage& usage) : records(usage) {}

    // The highest ballot that this host has promised.
    ClaimBallot promised;
    // The ballot promised before `promised`.
    ClaimBallot promised_before;
    // The highest ballot counter that any host has reported.
    std::uint64_t highest_counter = 0;
    // Start of the time in which no host was found that could hand over the
    // bucket's records.
    std::optional<TimePoint> lost_since;
    // The process that this host made the secondary replica.
    Incarnation secondary_incarnation = 0;
    // The replicas under the ballot of `records`. Claims are granted only while
    // no higher ballot is promised.
    std::optional<ClaimReplicas> held;
    std::optional<ClaimReplicas> known;
    ClaimRecords records;
    std::optional<Takeover> takeover;
    TimePoint next_attempt;
  };
  // The two hosts that should be the replicas of a bucket, by this host's view.
  struct ReplicaPair {
    HostId primary;
    HostId secondary;
  };

  ReplicaPair DesiredReplicas(std::int64_t bucket) const;
  void UpdateCandidates();
  bool AllCountedReachable() const;
  // Whether this host is a replica under the ballot and has promised no higher
  // one.
  bool IsActiveUnder(const Bucket& bucket, const ClaimBallot& ballot) const;
  void StartTakeoverIfNeeded(std::int64_t index, TimePoint now, Outbox& out);
  void BeginTakeover(std::int64_t index, TimePoint now, Outbox& out);
  void ContinueTakeover(std::int64_t index, TimePoint now, Outbox& out);
  // Sends the merged records to the secondary replica once all counted hosts
  // have replied to the takeover.
  void InstallIfAllReplied(std::int64_t index, TimePoint now, Outbox& out);
  void CompleteTakeover(std::int64_t index, TimePoint now, Outbox& out);
  // Whether a ballot above `accepted` may have granted claims.
  bool MayBeLost(const Takeover& takeover, const ClaimBallot& accepted) const;
  void AbortTakeover(Bucket& bucket, TimePoint now);
  void Announce(TimePoint now, Outbox& out);
  GrantReply DecideGrant(Bucket& bucket, const GrantRequest& message);

  const HostId self_;
  const Incarnation incarnation_;
  const ClaimOptions options_;
  HostView view_;
  // The hosts that this host counts; see CountedFleet.
  CountedFleet counted_;
  // The hosts that may be replicas, this one included.
  std::vector<PeerView> candidates_;
  ClaimUsage usage_;
  std::vector<Bucket> buckets_;
  // Reachable peers to which this host has announced its buckets.
  std::map<HostId, Incarnation> announced_to_;
  TimePoint next_round_;
  // The bucket whose expired records are removed next.
  std::size_t next_expiry_bucket_ = 0;
};

}  // namespace damasktack

#endif  // FLEET_CLAIM_REPLICA_H_
