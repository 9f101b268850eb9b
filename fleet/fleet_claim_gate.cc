#include "fleet/fleet_claim_gate.h"

#include <utility>

namespace damasktack {

namespace {

// Claims that may wait for the loop; a loop that is further behind than this
// would answer them too late.
constexpr std::size_t kMostJobs = 20'000;

}  // namespace

FleetClaimGate::FleetClaimGate(HostId self,
                               Incarnation incarnation,
                               ClaimOptions options,
                               const FleetLimitGate& limits)
    : limits_(limits), exchange_(std::move(self), incarnation, options) {}

void FleetClaimGate::SetWake(std::function<void()> wake) {
  const std::lock_guard lock(jobs_mutex_);
  wake_ = std::move(wake);
}

bool FleetClaimGate::Post(Job job) {
  const std::lock_guard lock(jobs_mutex_);
  if (!wake_ || jobs_.size() >= kMostJobs) {
    return false;
  }
  jobs_.push_back(std::move(job));
  // One wake for all that wait.
  if (jobs_.size() == 1) {
    wake_();
  }
  return true;
}

void FleetClaimGate::Claim(const ClaimRequest& request,
                           std::function<void(const ClaimReply&)> done) {
  const bool posted = Post([this, request, done](TimePoint now, Outbox& out) {
    exchange_.Claim(request, done, now, out);
  });
  if (!posted) {
    done(ClaimReply{});
  }
}

void FleetClaimGate::Settle(const ClaimRequest& request,
                            std::uint64_t claim,
                            Outcome outcome,
                            std::optional<KeptAnswer> answer) {
  // A settlement that finds no room leaves its key claimed: safe, and counted
  // among the granted records.
  Post([this, request, claim, outcome, answer = std::move(answer)](
           TimePoint now, Outbox& out) {
    exchange_.Settle(request, claim, outcome, answer, now, out);
  });
}

void FleetClaimGate::OnView(const HostView& view, TimePoint now, Outbox& out) {
  const std::lock_guard lock(mutex_);
  HostView seen = view;
  if (alone_) {
    seen.peers.clear();
  }
  exchange_.OnView(seen, now, out);
}

void FleetClaimGate::OnMessage(const Sender& sender,
                               const PeerMessage& message,
                               TimePoint now,
                               Outbox& out) {
  const std::lock_guard lock(mutex_);
  exchange_.SetCounted(limits_.Counted());
  exchange_.OnMessage(sender, message, now, out);
}

void FleetClaimGate::Tick(TimePoint now, Outbox& out) {
  std::vector<Job> jobs;
  {
    const std::lock_guard lock(jobs_mutex_);
    jobs = std::exchange(jobs_, {});
  }
  const std::lock_guard lock(mutex_);
  exchange_.SetCounted(limits_.Counted());
  for (const Job& it : jobs) {
    it(now, out);
  }
  exchange_.Tick(now, out);
}

bool FleetClaimGate::IsSafeToStop() const {
  const ClaimStatus status = Status();
  // A bucket that was promised to a takeover is no longer kept, but a takeover
  // that then ends with its host leaves these records the only ones: two hosts
  // replaced one after the other forgot claims, and keyed calls ran twice.
  return status.unsettled == 0 && (alone_ || status.keeper.holds == 0);
}

ClaimStatus FleetClaimGate::Status() const {
  const std::lock_guard lock(mutex_);
  return exchange_.Status();
}

}  // namespace damasktack
