#include "fleet/claim_client.h"

#include <xxhash.h>

#include <algorithm>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace damasktack {

namespace {

std::int64_t BucketOf(const CustomerId& customer,
                      const std::string& key,
                      std::int64_t buckets) {
  const auto seed = XXH3_64bits(customer.text().data(), customer.text().size());
  const auto hash = XXH3_64bits_withSeed(key.data(), key.size(), seed);
  return static_cast<std::int64_t>(hash % static_cast<std::uint64_t>(buckets));
}

}  // namespace

ClaimClient::ClaimClient(Incarnation incarnation, ClaimOptions options)
    : options_(options), next_claim_(incarnation) {}

void ClaimClient::Claim(const ClaimRequest& request,
                        Done done,
                        ClaimReplica& replica,
                        TimePoint now,
                        Outbox& out) {
  // Every claim needs an entry for its settlement, so none is accepted without
  // space for it.
  const bool full = unsettled_.size() + running_.size() + pending_.size() >=
                    options_.max_unsettled;
  if (full || request.key.size() > kMaxClaimKeyBytes) {
    ++counters_.unavailable;
    done(ClaimReply{});
    return;
  }
  const std::uint64_t claim = next_claim_++;
  PendingClaim pending;
  pending.request.customer = request.customer;
  pending.request.key = request.key;
  pending.request.request_digest = request.request_digest;
  pending.request.claim = claim;
  pending.bucket = BucketOf(request.customer, request.key, options_.buckets);
  pending.done = std::move(done);
  pending.expires_at = std::min(request.deadline, now + options_.claim_timeout);
  const auto it = pending_.emplace(claim, std::move(pending)).first;
  Send(it->second, replica, now, out);
}

void ClaimClient::Send(PendingClaim& pending,
                       ClaimReplica& replica,
                       TimePoint now,
                       Outbox& out) {
  pending.sent_at = now;
  const auto& known = replica.KnownReplicas(pending.bucket);
  if (!known) {
    const HostId likely = replica.LikelyPrimary(pending.bucket);
    if (!likely.empty()) {
      out.Send(likely, GrantRequest{pending.bucket, {}, pending.request});
    }
    return;
  }
  // Grants under two different ballots are not sufficient together: a takeover
  // between them may have missed both.
  if (pending.primary_granted && *pending.primary_granted != known->ballot) {
    pending.primary_granted.reset();
  }
  const HostId& to =
      pending.primary_granted ? known->secondary : known->primary;
  out.Send(to, GrantRequest{pending.bucket, known->ballot, pending.request});
}

void ClaimClient::On(const Sender& sender,
                     const GrantReply& reply,
                     ClaimReplica& replica,
                     TimePoint now,
                     Outbox& out) {
  if (reply.replicas) {
    replica.LearnReplicas(*reply.replicas);
  }
  const auto it = pending_.find(reply.claim);
  if (it == pending_.end()) {
    // A repeated request that arrived late was granted after the claim had
    // finished here, so the key must be released.
    const bool granted = reply.verdict == ClaimVerdict::kGranted;
    const auto ending = unsettled_.find(reply.claim);
    if (granted && ending != unsettled_.end()) {
      ending->second.primary_done = false;
      ending->second.secondary_done = false;
    } else if (granted && !running_.contains(reply.claim)) {
      ClaimRecord request;
      request.customer = reply.customer;
      request.key = reply.key;
      request.claim = reply.claim;
      Release(request, replica, now, out);
    }
    return;
  }
  PendingClaim& pending = it->second;
  const auto& known = replica.KnownReplicas(pending.bucket);
  if (!known || known->ballot != reply.ballot) {
    if (reply.replicas && pending.sent_at < now) {
      Send(pending, replica, now, out);
    }
    return;
  }
  if (reply.verdict == ClaimVerdict::kUnavailable) {
    return;
  }
  if (reply.verdict != ClaimVerdict::kGranted) {
    const ClaimRecord request = pending.request;
    Finish(reply.claim,
           ClaimReply{reply.verdict, reply.answer, 0, std::chrono::seconds(1)});
    Release(request, replica, now, out);
    return;
  }
  if (sender.host == known->primary) {
    pending.primary_granted = reply.ballot;
  }
  if (sender.host == known->secondary &&
      pending.primary_granted == reply.ballot) {
    running_.emplace(reply.claim, pending.bucket);
    Finish(reply.claim,
           ClaimReply{ClaimVerdict::kGranted, std::nullopt, reply.claim, {}});
    return;
  }
  Send(pending, replica, now, out);
}

void ClaimClient::Finish(std::uint64_t claim, ClaimReply reply) {
  const auto it = pending_.find(claim);
  const Done done = std::move(it->second.done);
  pending_.erase(it);
  switch (reply.verdict) {
    case ClaimVerdict::kGranted:
      ++counters_.granted;
      break;
    case ClaimVerdict::kAlreadyRan:
      ++counters_.already_ran;
      break;
    case ClaimVerdict::kInProgress:
      ++counters_.in_progress;
      break;
    case ClaimVerdict::kMismatch:
      ++counters_.mismatch;
      break;
    case ClaimVerdict::kUnavailable:
      ++counters_.unavailable;
      break;
  }
  done(reply);
}

void ClaimClient::Release(const ClaimRecord& request,
                          ClaimReplica& replica,
                          TimePoint now,
                          Outbox& out) {
  ClaimRecord record = request;
  record.ended = false;
  AddUnsettled(std::move(record), replica, now, out);
}

void ClaimClient::Settle(const ClaimRequest& request,
                         std::uint64_t claim,
                         Outcome outcome,
                         std::optional<StoredAnswer> answer,
                         ClaimReplica& replica,
                         TimePoint now,
                         Outbox& out) {
  if (running_.erase(claim) == 0) {
    return;
  }
  ClaimRecord record;
  record.customer = request.customer;
  record.key = request.key;
  record.request_digest = request.request_digest;
  record.claim = claim;
  record.ended = outcome != Outcome::kNotRun;
  const bool keeps = outcome == Outcome::kComplete && answer &&
                     answer->body.size() <= options_.max_answer_bytes;
  if (keeps) {
    record.answer = std::move(answer);
  }
  AddUnsettled(std::move(record), replica, now, out);
}

void ClaimClient::AddUnsettled(ClaimRecord record,
                               ClaimReplica& replica,
                               TimePoint now,
                               Outbox& out) {
  Unsettled unsettled;
  unsettled.bucket = BucketOf(record.customer, record.key, options_.buckets);
  unsettled.ended_at = now;
  unsettled.record = std::move(record);
  const std::uint64_t claim = unsettled.record.claim;
  const auto it =
      unsettled_.insert_or_assign(claim, std::move(unsettled)).first;
  Send(it->second, replica, now, out);
}

void ClaimClient::Send(Unsettled& unsettled,
                       ClaimReplica& replica,
                       TimePoint now,
                       Outbox& out) {
  unsettled.sent_at = now;
  const auto& known = replica.KnownReplicas(unsettled.bucket);
  if (!known) {
    return;
  }
  if (unsettled.ballot != known->ballot) {
    unsettled.ballot = known->ballot;
    unsettled.primary_done = false;
    unsettled.secondary_done = known->secondary == known->primary;
  }
  ClaimSettle settle{unsettled.bucket, unsettled.ballot, unsettled.record};
  settle.record.age = now - unsettled.ended_at;
  if (!unsettled.primary_done) {
    out.Send(known->primary, settle);
  }
  if (!unsettled.secondary_done) {
    out.Send(known->secondary, settle);
  }
}

void ClaimClient::On(const Sender& sender,
                     const ClaimSettled& settled,
                     ClaimReplica& replica,
                     TimePoint now,
                     Outbox& out) {
  if (settled.replicas) {
    replica.LearnReplicas(*settled.replicas);
  }
  const auto it = unsettled_.find(settled.claim);
  if (it == unsettled_.end()) {
    return;
  }
  Unsettled& unsettled = it->second;
  const auto& known = replica.KnownReplicas(unsettled.bucket);
  if (settled.refused || !known || known->ballot != settled.ballot ||
      unsettled.ballot != settled.ballot) {
    if (known && unsettled.ballot != known->ballot) {
      Send(unsettled, replica, now, out);
    }
    return;
  }
  unsettled.primary_done =
      unsettled.primary_done || sender.host == known->primary;
  unsettled.secondary_done =
      unsettled.secondary_done || sender.host == known->secondary;
  if (unsettled.primary_done && unsettled.secondary_done) {
    unsettled_.erase(it);
  }
}

void ClaimClient::Tick(ClaimReplica& replica, TimePoint now, Outbox& out) {
  std::vector<std::uint64_t> expired;
  for (auto& [claim, pending] : pending_) {
    if (pending.expires_at <= now) {
      expired.push_back(claim);
    } else if (pending.sent_at + options_.resend_interval <= now) {
      Send(pending, replica, now, out);
    }
  }
  for (const std::uint64_t claim : expired) {
    const ClaimRecord request = pending_.at(claim).request;
    Finish(claim, ClaimReply{});
    Release(request, replica, now, out);
  }
  for (auto& [claim, unsettled] : unsettled_) {
    if (unsettled.sent_at + options_.resend_interval <= now) {
      Send(unsettled, replica, now, out);
    }
  }
}

}  // namespace damasktack
