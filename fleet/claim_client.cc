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
                        ClaimReplica& keepers,
                        TimePoint now,
                        Outbox& out) {
  // Without room to remember settlements a claim could never be ended.
  const bool full = unsettled_.size() + running_.size() + asking_.size() >=
                    options_.max_unsettled;
  if (full || request.key.size() > kMaxClaimKeyBytes) {
    ++counters_.unavailable;
    done(ClaimReply{});
    return;
  }
  const std::uint64_t claim = next_claim_++;
  Asking asking;
  asking.wish.customer = request.customer;
  asking.wish.key = request.key;
  asking.wish.request_digest = request.request_digest;
  asking.wish.claim = claim;
  asking.bucket = BucketOf(request.customer, request.key, options_.buckets);
  asking.done = std::move(done);
  asking.until = std::min(request.deadline, now + options_.claim_timeout);
  const auto it = asking_.emplace(claim, std::move(asking)).first;
  Send(it->second, keepers, now, out);
}

void ClaimClient::Send(Asking& asking,
                       ClaimReplica& keepers,
                       TimePoint now,
                       Outbox& out) {
  asking.sent_at = now;
  const auto& known = keepers.KnownReplicas(asking.bucket);
  if (!known) {
    const HostId likely = keepers.LikelyPrimary(asking.bucket);
    if (!likely.empty()) {
      out.Send(likely, GrantRequest{asking.bucket, {}, asking.wish});
    }
    return;
  }
  // Grants under two ballots prove nothing together: a takeover between them
  // may have passed by both.
  if (asking.first_granted && *asking.first_granted != known->ballot) {
    asking.first_granted.reset();
  }
  const HostId& to = asking.first_granted ? known->second : known->first;
  out.Send(to, GrantRequest{asking.bucket, known->ballot, asking.wish});
}

void ClaimClient::On(const Sender& sender,
                     const GrantReply& answer,
                     ClaimReplica& keepers,
                     TimePoint now,
                     Outbox& out) {
  if (answer.keepers) {
    keepers.LearnReplicas(*answer.keepers);
  }
  const auto it = asking_.find(answer.claim);
  if (it == asking_.end()) {
    // A repeated ask that came late has claimed a key for nobody.
    const bool granted = answer.verdict == ClaimVerdict::kGranted;
    const auto ending = unsettled_.find(answer.claim);
    if (granted && ending != unsettled_.end()) {
      ending->second.first_done = false;
      ending->second.second_done = false;
    } else if (granted && !running_.contains(answer.claim)) {
      ClaimRecord wish;
      wish.customer = answer.customer;
      wish.key = answer.key;
      wish.claim = answer.claim;
      Release(wish, keepers, now, out);
    }
    return;
  }
  Asking& asking = it->second;
  const auto& known = keepers.KnownReplicas(asking.bucket);
  if (!known || known->ballot != answer.ballot) {
    if (answer.keepers && asking.sent_at < now) {
      Send(asking, keepers, now, out);
    }
    return;
  }
  if (answer.verdict == ClaimVerdict::kUnavailable) {
    return;
  }
  if (answer.verdict != ClaimVerdict::kGranted) {
    const ClaimRecord wish = asking.wish;
    Finish(answer.claim, ClaimReply{answer.verdict, answer.answer, 0,
                                    std::chrono::seconds(1)});
    Release(wish, keepers, now, out);
    return;
  }
  if (sender.host == known->first) {
    asking.first_granted = answer.ballot;
  }
  if (sender.host == known->second && asking.first_granted == answer.ballot) {
    running_.emplace(answer.claim, asking.bucket);
    Finish(answer.claim,
           ClaimReply{ClaimVerdict::kGranted, std::nullopt, answer.claim, {}});
    return;
  }
  Send(asking, keepers, now, out);
}

void ClaimClient::Finish(std::uint64_t claim, ClaimReply reply) {
  const auto it = asking_.find(claim);
  const Done done = std::move(it->second.done);
  asking_.erase(it);
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

void ClaimClient::Release(const ClaimRecord& wish,
                          ClaimReplica& keepers,
                          TimePoint now,
                          Outbox& out) {
  ClaimRecord record = wish;
  record.ended = false;
  AddUnsettled(std::move(record), keepers, now, out);
}

void ClaimClient::Settle(const ClaimRequest& request,
                         std::uint64_t claim,
                         Outcome outcome,
                         std::optional<KeptAnswer> answer,
                         ClaimReplica& keepers,
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
  AddUnsettled(std::move(record), keepers, now, out);
}

void ClaimClient::AddUnsettled(ClaimRecord record,
                               ClaimReplica& keepers,
                               TimePoint now,
                               Outbox& out) {
  Unsettled unsettled;
  unsettled.bucket = BucketOf(record.customer, record.key, options_.buckets);
  unsettled.ended_at = now;
  unsettled.record = std::move(record);
  const std::uint64_t claim = unsettled.record.claim;
  const auto it =
      unsettled_.insert_or_assign(claim, std::move(unsettled)).first;
  Send(it->second, keepers, now, out);
}

void ClaimClient::Send(Unsettled& unsettled,
                       ClaimReplica& keepers,
                       TimePoint now,
                       Outbox& out) {
  unsettled.sent_at = now;
  const auto& known = keepers.KnownReplicas(unsettled.bucket);
  if (!known) {
    return;
  }
  if (unsettled.ballot != known->ballot) {
    unsettled.ballot = known->ballot;
    unsettled.first_done = false;
    unsettled.second_done = known->second == known->first;
  }
  ClaimSettle settle{unsettled.bucket, unsettled.ballot, unsettled.record};
  settle.record.age = now - unsettled.ended_at;
  if (!unsettled.first_done) {
    out.Send(known->first, settle);
  }
  if (!unsettled.second_done) {
    out.Send(known->second, settle);
  }
}

void ClaimClient::On(const Sender& sender,
                     const ClaimSettled& settled,
                     ClaimReplica& keepers,
                     TimePoint now,
                     Outbox& out) {
  if (settled.keepers) {
    keepers.LearnReplicas(*settled.keepers);
  }
  const auto it = unsettled_.find(settled.claim);
  if (it == unsettled_.end()) {
    return;
  }
  Unsettled& unsettled = it->second;
  const auto& known = keepers.KnownReplicas(unsettled.bucket);
  if (settled.refused || !known || known->ballot != settled.ballot ||
      unsettled.ballot != settled.ballot) {
    if (known && unsettled.ballot != known->ballot) {
      Send(unsettled, keepers, now, out);
    }
    return;
  }
  unsettled.first_done = unsettled.first_done || sender.host == known->first;
  unsettled.second_done = unsettled.second_done || sender.host == known->second;
  if (unsettled.first_done && unsettled.second_done) {
    unsettled_.erase(it);
  }
}

void ClaimClient::Tick(ClaimReplica& keepers, TimePoint now, Outbox& out) {
  std::vector<std::uint64_t> late;
  for (auto& [claim, asking] : asking_) {
    if (asking.until <= now) {
      late.push_back(claim);
    } else if (asking.sent_at + options_.repeat <= now) {
      Send(asking, keepers, now, out);
    }
  }
  for (const std::uint64_t claim : late) {
    const ClaimRecord wish = asking_.at(claim).wish;
    Finish(claim, ClaimReply{});
    Release(wish, keepers, now, out);
  }
  for (auto& [claim, unsettled] : unsettled_) {
    if (unsettled.sent_at + options_.repeat <= now) {
      Send(unsettled, keepers, now, out);
    }
  }
}

}  // namespace damasktack
