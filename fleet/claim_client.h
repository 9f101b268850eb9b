#ifndef FLEET_CLAIM_CLIENT_H_
#define FLEET_CLAIM_CLIENT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>

#include "fleet/claim_messages.h"
#include "fleet/claim_options.h"
#include "fleet/claim_replica.h"
#include "fleet/fleet_module.h"

namespace damasktack {

// Counts claims by their verdict.
struct ClaimCounters {
  std::uint64_t granted = 0;
  std::uint64_t already_ran = 0;
  std::uint64_t in_progress = 0;
  std::uint64_t mismatch = 0;
  std::uint64_t unavailable = 0;
};

// Makes claims for the calls of this host: asks the primary and then the
// secondary replica of a key, and tells both how the claim ended until both
// have acknowledged it. Does no I/O: reads no clock and sends through an
// Outbox.
class ClaimClient {
 public:
  using Done = std::function<void(const ClaimReply&)>;

  // Claims are numbered from `incarnation`, which is random, so that no two
  // processes use the same number.
  ClaimClient(Incarnation incarnation, ClaimOptions options);

  // Requests a claim. `done` runs exactly once, within this call or later.
  void Claim(const ClaimRequest& request,
             Done done,
             ClaimReplica& replica,
             TimePoint now,
             Outbox& out);
  // Ends a granted claim and reports its outcome to the replicas.
  void Settle(const ClaimRequest& request,
              std::uint64_t claim,
              Outcome outcome,
              std::optional<StoredAnswer> answer,
              ClaimReplica& replica,
              TimePoint now,
              Outbox& out);

  void On(const Sender& sender,
          const GrantReply& reply,
          ClaimReplica& replica,
          TimePoint now,
          Outbox& out);
  void On(const Sender& sender,
          const ClaimSettled& settled,
          ClaimReplica& replica,
          TimePoint now,
          Outbox& out);
  void Tick(ClaimReplica& replica, TimePoint now, Outbox& out);

  const ClaimCounters& counters() const { return counters_; }
  // Number of settlements without the acknowledgements of both replicas.
  std::size_t unsettled() const { return unsettled_.size(); }
  // Number of claims without a verdict.
  std::size_t pending() const { return pending_.size(); }

 private:
  struct PendingClaim {
    ClaimRecord request;
    std::int64_t bucket = 0;
    Done done;
    TimePoint expires_at;
    TimePoint sent_at;
    // The ballot under which the primary replica has granted the claim; null if
    // it has not.
    std::optional<ClaimBallot> primary_granted;
  };
  struct Unsettled {
    ClaimRecord record;
    std::int64_t bucket = 0;
    TimePoint ended_at;
    TimePoint sent_at;
    // Both replicas must acknowledge under the same ballot.
    ClaimBallot ballot;
    bool primary_done = false;
    bool secondary_done = false;
  };

  void Send(PendingClaim& pending,
            ClaimReplica& replica,
            TimePoint now,
            Outbox& out);
  void Send(Unsettled& unsettled,
            ClaimReplica& replica,
            TimePoint now,
            Outbox& out);
  void Finish(std::uint64_t claim, ClaimReply reply);
  // Releases a claim that may have been granted by one of the replicas.
  void Release(const ClaimRecord& request,
               ClaimReplica& replica,
               TimePoint now,
               Outbox& out);
  void AddUnsettled(ClaimRecord record,
                    ClaimReplica& replica,
                    TimePoint now,
                    Outbox& out);

  const ClaimOptions options_;
  std::uint64_t next_claim_;
  std::map<std::uint64_t, PendingClaim> pending_;
  // Claims that are granted and not settled, with their buckets.
  std::map<std::uint64_t, std::int64_t> running_;
  std::map<std::uint64_t, Unsettled> unsettled_;
  ClaimCounters counters_;
};

}  // namespace damasktack

#endif  // FLEET_CLAIM_CLIENT_H_
