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

struct ClaimReplicaStatus {
  // Buckets that this host keeps as first and as second keeper.
  std::int64_t primary_buckets = 0;
  std::int64_t secondary_buckets = 0;
  // Buckets whose records this host has, also those that it has given up for a
  // takeover: until that one is through this may be the only copy.
  std::int64_t holds = 0;
  // Buckets that this host tries to take over.
  std::int64_t pending_takeovers = 0;
  ClaimUsage usage;
};

// One host's part in keeping claims. A bucket has two keepers under a ballot;
// a claim needs the grants of both. A host that should be the first keeper
// takes the bucket over once every host it counts has promised to follow no
// lower ballot, and so has given the bucket up, and has handed its records
// over. docs/notes/claims.md has the argument. Pure.
class ClaimReplica {
 public:
  ClaimReplica(HostId self, Incarnation incarnation, ClaimOptions options);

  void OnView(const HostView& view);
  void SetCounted(CountedFleet counted);
  void Tick(TimePoint now, Outbox& out);

  void On(const Sender& sender,
          const TakeoverRequest& ask,
          TimePoint now,
          Outbox& out);
  void On(const Sender& sender,
          const TakeoverReply& answer,
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
          const ClaimReplicas& keepers,
          TimePoint now,
          Outbox& out);
  void On(const Sender& sender,
          const GrantRequest& ask,
          TimePoint now,
          Outbox& out);
  void On(const Sender& sender,
          const ClaimSettle& settle,
          TimePoint now,
          Outbox& out);

  // Whom to ask about a bucket that no keepers are known of.
  HostId LikelyPrimary(std::int64_t bucket) const {
    return Wanted(bucket).first;
  }
  // The keepers with the highest ballot that this host has heard of.
  const std::optional<ClaimReplicas>& KnownReplicas(std::int64_t bucket) const;
  void LearnReplicas(const ClaimReplicas& keepers);
  // Under which ballot this host holds records of a bucket, if any.
  std::optional<ClaimBallot> HeldBallot(std::int64_t bucket) const;
  ClaimReplicaStatus Status() const;

 private:
  struct Heard {
    Incarnation incarnation = 0;
    TakeoverReply answer;
  };
  struct Takeover {
    ClaimBallot ballot;
    TimePoint sent_at;
    TimePoint began_at;
    std::map<HostId, Heard> heard;
    // Set once the records are complete and go to the second keeper.
    std::optional<ReplicaInstall> install;
  };
  struct Bucket {
    explicit Bucket(ClaimUsage& usage) : records(usage) {}

    ClaimBallot promised;
    // The promise before that one.
    ClaimBallot promised_before;
    // The highest counter that any host has told of.
    std::uint64_t highest_counter = 0;
    // Since when nobody was found who could hand the bucket over.
    std::optional<TimePoint> lost_since;
    // The process that was made second keeper by this host.
    Incarnation second_incarnation = 0;
    // Kept under this; grants are given only while nothing higher is promised.
    std::optional<ClaimReplicas> kept;
    std::optional<ClaimReplicas> known;
    ClaimRecords records;
    std::optional<Takeover> takeover;
    TimePoint next_try;
  };
  // The two hosts that should keep a bucket, as this host sees the fleet.
  struct Pair {
    HostId first;
    HostId second;
  };

  Pair Wanted(std::int64_t bucket) const;
  void FindCandidates();
  bool EveryoneReachable() const;
  bool KeepsUnder(const Bucket& bucket, const ClaimBallot& ballot) const;
  void Consider(std::int64_t index, TimePoint now, Outbox& out);
  void Begin(std::int64_t index, TimePoint now, Outbox& out);
  void Continue(std::int64_t index, TimePoint now, Outbox& out);
  void FinishAsking(std::int64_t index, TimePoint now, Outbox& out);
  void Complete(std::int64_t index, TimePoint now, Outbox& out);
  bool MayBeLost(const Takeover& takeover, const ClaimBallot& accepted) const;
  void GiveUp(Bucket& bucket, TimePoint now);
  void Announce(TimePoint now, Outbox& out);
  GrantReply Decide(Bucket& bucket, const GrantRequest& ask);

  const HostId self_;
  const Incarnation incarnation_;
  const ClaimOptions options_;
  HostView view_;
  CountedFleet counted_;
  // Every host that may keep claims, this one included.
  std::vector<PeerView> candidates_;
  ClaimUsage usage_;
  std::vector<Bucket> buckets_;
  // Reachable peers that have been told of this host's buckets.
  std::map<HostId, Incarnation> told_;
  TimePoint next_round_;
  // The bucket whose old records are looked for next.
  std::size_t next_sweep_ = 0;
};

}  // namespace damasktack

#endif  // FLEET_CLAIM_REPLICA_H_
