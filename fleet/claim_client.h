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

struct ClaimCounters {
  std::uint64_t granted = 0;
  std::uint64_t already_ran = 0;
  std::uint64_t in_progress = 0;
  std::uint64_t mismatch = 0;
  std::uint64_t unavailable = 0;
};

// The claimant's side: asks the first and then the second keeper of a key, and
// tells both how the claim ended until both have acknowledged it. Pure.
class ClaimClient {
 public:
  using Done = std::function<void(const ClaimReply&)>;

  // Claims are numbered from `incarnation`, which is drawn at random, so that
  // no two processes use the same number.
  ClaimClient(Incarnation incarnation, ClaimOptions options);

  // `done` is called exactly once, later or at once.
  void Claim(const ClaimRequest& request,
             Done done,
             ClaimReplica& keepers,
             TimePoint now,
             Outbox& out);
  void Settle(const ClaimRequest& request,
              std::uint64_t claim,
              Outcome outcome,
              std::optional<KeptAnswer> answer,
              ClaimReplica& keepers,
              TimePoint now,
              Outbox& out);

  void On(const Sender& sender,
          const GrantReply& answer,
          ClaimReplica& keepers,
          TimePoint now,
          Outbox& out);
  void On(const Sender& sender,
          const ClaimSettled& settled,
          ClaimReplica& keepers,
          TimePoint now,
          Outbox& out);
  void Tick(ClaimReplica& keepers, TimePoint now, Outbox& out);

  const ClaimCounters& counters() const { return counters_; }
  // Settlements that a keeper has not acknowledged yet.
  std::size_t unsettled() const { return unsettled_.size(); }
  std::size_t asking() const { return asking_.size(); }

 private:
  struct Asking {
    ClaimRecord wish;
    std::int64_t bucket = 0;
    Done done;
    TimePoint until;
    TimePoint sent_at;
    // Under which the first keeper has granted; none where it has not.
    std::optional<ClaimBallot> first_granted;
  };
  struct Unsettled {
    ClaimRecord record;
    std::int64_t bucket = 0;
    TimePoint ended_at;
    TimePoint sent_at;
    // Both acknowledgements must come under one ballot.
    ClaimBallot ballot;
    bool first_done = false;
    bool second_done = false;
  };

  void Send(Asking& asking, ClaimReplica& keepers, TimePoint now, Outbox& out);
  void Send(Unsettled& unsettled,
            ClaimReplica& keepers,
            TimePoint now,
            Outbox& out);
  void Finish(std::uint64_t claim, ClaimReply reply);
  // Frees whatever part of the claim was won.
  void Release(const ClaimRecord& wish,
               ClaimReplica& keepers,
               TimePoint now,
               Outbox& out);
  void AddUnsettled(ClaimRecord record,
                    ClaimReplica& keepers,
                    TimePoint now,
                    Outbox& out);

  const ClaimOptions options_;
  std::uint64_t next_claim_;
  std::map<std::uint64_t, Asking> asking_;
  // Granted and not yet ended by the caller's side.
  std::map<std::uint64_t, std::int64_t> running_;
  std::map<std::uint64_t, Unsettled> unsettled_;
  ClaimCounters counters_;
};

}  // namespace damasktack

#endif  // FLEET_CLAIM_CLIENT_H_
