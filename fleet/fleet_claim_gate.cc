#include "fleet/fleet_claim_gate.h"

#include <utility>

namespace damasktack {

namespace {

// Maximum length of the queue. A fleet loop that is further behind would answer
// claims too late.
constexpr std::size_t kMaxJobs = 20'000;

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

bool FleetClaimGate::Enqueue(Job job) {
  const std::lock_guard lock(jobs_mutex_);
  if (!wake_ || jobs_.size() >= kMaxJobs) {
    return false;
  }
  jobs_.push_back(std::move(job));
  // One wake-up serves all queued jobs.
  if (jobs_.size() == 1) {
    wake_();
  }
  return true;
}

void FleetClaimGate::Claim(const ClaimRequest& request,
                           std::function<void(const ClaimReply&)> done) {
  const bool enqueued =
      Enqueue([this, request, done](TimePoint now, Outbox& out) {
        exchange_.Claim(request, done, now, out);
      });
  if (!enqueued) {
    done(ClaimReply{});
  }
}

void FleetClaimGate::Settle(const ClaimRequest& request,
                            std::uint64_t claim,
                            Outcome outcome,
                            std::optional<StoredAnswer> answer) {
  // If the queue is full, the key stays claimed. This is safe, and the record
  // shows up in the number of granted ones.
  Enqueue([this, request, claim, outcome, answer = std::move(answer)](
              TimePoint now, Outbox& out) {
    exchange_.Settle(request, claim, outcome, answer, now, out);
  });
}

void FleetClaimGate::OnView(const HostView& view, TimePoint now, Outbox& out) {
  const std::lock_guard lock(mutex_);
  HostView seen = view;
  if (standalone_) {
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
  // Buckets promised to a takeover are included: if that takeover ends with its
  // host, the records here are the only copy. Without this, the replacement of
  // two hosts one after the other lost claims, and keyed calls ran twice.
  return status.unsettled == 0 && (standalone_ || status.replica.holds == 0);
}

ClaimStatus FleetClaimGate::Status() const {
  const std::lock_guard lock(mutex_);
  return exchange_.Status();
}

}  // namespace damasktack
