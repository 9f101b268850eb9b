#include "fleet/claim_replica.h"

#include <xxhash.h>

#include <algorithm>
#include <string>
#include <utility>

namespace damasktack {

namespace {

// Maximum total size of the answers in one handover message. A peer frame is
// limited to a megabyte.
constexpr std::size_t kHandoverAnswerBytes = 400'000;
// A takeover that did not complete in this time is aborted, so that another
// host may take over.
constexpr Duration kTakeoverTimeout = std::chrono::seconds(5);
constexpr Duration kTickInterval = std::chrono::milliseconds(100);

std::uint64_t Score(std::int64_t bucket, const HostId& host) {
  return XXH3_64bits_withSeed(host.text().data(), host.text().size(),
                              static_cast<std::uint64_t>(bucket) + 1);
}

}  // namespace

ClaimReplica::ClaimReplica(HostId self,
                           Incarnation incarnation,
                           ClaimOptions options)
    : self_(std::move(self)), incarnation_(incarnation), options_(options) {
  // One for every bucket that a message may name, so that no index needs a
  // check.
  buckets_.reserve(kClaimBuckets);
  for (std::int64_t n = 0; n < kClaimBuckets; ++n) {
    buckets_.emplace_back(usage_);
  }
}

const std::optional<ClaimReplicas>& ClaimReplica::KnownReplicas(
    std::int64_t bucket) const {
  return buckets_[static_cast<std::size_t>(bucket)].known;
}

void ClaimReplica::LearnReplicas(const ClaimReplicas& replicas) {
  auto& known = buckets_[static_cast<std::size_t>(replicas.bucket)].known;
  if (!known || known->ballot < replicas.ballot) {
    known = replicas;
  }
}

void ClaimReplica::OnView(const HostView& view) {
  view_ = view;
  UpdateCandidates();
}

void ClaimReplica::SetCounted(CountedFleet counted) {
  counted_ = std::move(counted);
  UpdateCandidates();
}

std::optional<ClaimBallot> ClaimReplica::HeldBallot(std::int64_t bucket) const {
  const auto& held = buckets_[static_cast<std::size_t>(bucket)].held;
  return held ? std::optional(held->ballot) : std::nullopt;
}

void ClaimReplica::UpdateCandidates() {
  candidates_.clear();
  if (!view_.self_leaving) {
    candidates_.push_back(
        {self_, incarnation_, view_.self_zone, ListedState::kLive, true});
  }
  for (const PeerView& it : view_.peers) {
    const bool counted = std::any_of(
        counted_.others.begin(), counted_.others.end(),
        [&](const CountedHost& other) { return other.host == it.id; });
    if (counted && it.reachable && it.listed == ListedState::kLive) {
      candidates_.push_back(it);
    }
  }
}

ClaimReplica::ReplicaPair ClaimReplica::DesiredReplicas(
    std::int64_t bucket) const {
  const auto best = [&](auto allowed) -> const PeerView* {
    const PeerView* found = nullptr;
    std::uint64_t highest = 0;
    for (const PeerView& it : candidates_) {
      const std::uint64_t score = Score(bucket, it.id);
      if (allowed(it) && (found == nullptr || score > highest)) {
        found = &it;
        highest = score;
      }
    }
    return found;
  };
  const PeerView* primary = best([](const PeerView&) { return true; });
  if (primary == nullptr) {
    return {};
  }
  // In another zone if possible, so that the loss of one zone does not lose
  // both replicas.
  const PeerView* secondary = best([&](const PeerView& it) {
    return it.id != primary->id && it.zone != primary->zone;
  });
  if (secondary == nullptr) {
    secondary = best([&](const PeerView& it) { return it.id != primary->id; });
  }
  return {primary->id, secondary == nullptr ? primary->id : secondary->id};
}

bool ClaimReplica::AllCountedReachable() const {
  return std::all_of(counted_.others.begin(), counted_.others.end(),
                     [&](const CountedHost& other) {
                       return std::any_of(
                           view_.peers.begin(), view_.peers.end(),
                           [&](const PeerView& it) {
                             return it.id == other.host && it.reachable;
                           });
                     });
}

bool ClaimReplica::IsActiveUnder(const Bucket& bucket,
                                 const ClaimBallot& ballot) const {
  return bucket.held && bucket.held->ballot == ballot &&
         bucket.promised <= ballot;
}

void ClaimReplica::Tick(TimePoint now, Outbox& out) {
  if (now < next_round_) {
    return;
  }
  next_round_ = now + kTickInterval;
  buckets_[next_expiry_bucket_].records.RemoveEndedBefore(now -
                                                          options_.retention);
  next_expiry_bucket_ = (next_expiry_bucket_ + 1) % buckets_.size();
  for (std::int64_t n = 0; n < options_.buckets; ++n) {
    Bucket& bucket = buckets_[static_cast<std::size_t>(n)];
    if (bucket.takeover) {
      ContinueTakeover(n, now, out);
    } else {
      StartTakeoverIfNeeded(n, now, out);
    }
  }
  Announce(now, out);
}

// The bucket is unavailable during a takeover, so a takeover is not started
// while it cannot complete.
void ClaimReplica::StartTakeoverIfNeeded(std::int64_t index,
                                         TimePoint now,
                                         Outbox& out) {
  Bucket& bucket = buckets_[static_cast<std::size_t>(index)];
  if (!counted_.owns || now < bucket.next_attempt || !AllCountedReachable()) {
    return;
  }
  const ReplicaPair wanted = DesiredReplicas(index);
  if (wanted.primary != self_) {
    return;
  }
  const bool held = bucket.held && bucket.held->primary == wanted.primary &&
                    bucket.held->secondary == wanted.secondary &&
                    IsActiveUnder(bucket, bucket.held->ballot);
  // A secondary replica that has restarted has lost the records.
  const bool same_process =
      wanted.secondary == self_ ||
      std::any_of(counted_.others.begin(), counted_.others.end(),
                  [&](const CountedHost& it) {
                    return it.host == wanted.secondary &&
                           it.incarnation == bucket.secondary_incarnation;
                  });
  if (!held || !same_process) {
    BeginTakeover(index, now, out);
  }
}

void ClaimReplica::BeginTakeover(std::int64_t index,
                                 TimePoint now,
                                 Outbox& out) {
  Bucket& bucket = buckets_[static_cast<std::size_t>(index)];
  Takeover takeover;
  const auto highest =
      std::max(bucket.promised.counter, bucket.highest_counter);
  takeover.ballot = {highest + 1, self_, incarnation_};
  takeover.started_at = now;
  bucket.takeover = std::move(takeover);
  ContinueTakeover(index, now, out);
}

void ClaimReplica::ContinueTakeover(std::int64_t index,
                                    TimePoint now,
                                    Outbox& out) {
  Bucket& bucket = buckets_[static_cast<std::size_t>(index)];
  Takeover& takeover = *bucket.takeover;
  if (now - takeover.started_at > kTakeoverTimeout) {
    AbortTakeover(bucket, now);
    return;
  }
  if (!takeover.install) {
    InstallIfAllReplied(index, now, out);
  }
  if (!bucket.takeover || now < takeover.sent_at + options_.resend_interval) {
    return;
  }
  takeover.sent_at = now;
  if (takeover.install) {
    out.Send(takeover.install->replicas.secondary, *takeover.install);
    return;
  }
  const TakeoverRequest message{index, takeover.ballot};
  out.Send(self_, message);
  for (const CountedHost& it : counted_.others) {
    if (!takeover.replies.contains(it.host)) {
      out.Send(it.host, message);
    }
  }
}

void ClaimReplica::AbortTakeover(Bucket& bucket, TimePoint now) {
  bucket.takeover.reset();
  // The delay differs between hosts, so that hosts with different views do not
  // keep interrupting each other's takeovers with higher ballots.
  const auto host_delay =
      static_cast<std::int64_t>(Score(0, self_) % 8) * options_.resend_interval;
  bucket.next_attempt = now + options_.resend_interval + host_delay;
}

void ClaimReplica::On(const Sender& sender,
                      const TakeoverRequest& message,
                      TimePoint now,
                      Outbox& out) {
  Bucket& bucket = buckets_[static_cast<std::size_t>(message.bucket)];
  TakeoverReply reply;
  reply.bucket = message.bucket;
  reply.ballot = message.ballot;
  reply.counted = counted_.owns;
  if (bucket.promised < message.ballot) {
    bucket.promised_before = bucket.promised;
    bucket.promised = message.ballot;
  }
  // A repeated request gets the same answer.
  const bool promises = bucket.promised == message.ballot;
  reply.promised = promises ? bucket.promised_before : bucket.promised;
  if (promises) {
    // From now on this host grants nothing under a lower ballot, so the records
    // in the answer are complete.
    if (bucket.held) {
      reply.accepted = bucket.held->ballot;
      reply.records = bucket.records.Export(kHandoverAnswerBytes, now);
    }
    if (bucket.takeover && bucket.takeover->ballot < message.ballot) {
      AbortTakeover(bucket, now);
    }
  }
  out.Send(sender.host, std::move(reply));
}

void ClaimReplica::On(const Sender& sender,
                      const TakeoverReply& reply,
                      TimePoint now,
                      Outbox& out) {
  Bucket& bucket = buckets_[static_cast<std::size_t>(reply.bucket)];
  const bool withdrawn =
      !bucket.takeover && bucket.held && bucket.held->primary == self_ &&
      bucket.held->ballot == reply.ballot && reply.ballot < reply.promised;
  if (withdrawn) {
    // The secondary replica has promised a takeover by another host that never
    // completed. It refuses claims until the bucket is taken over again.
    bucket.secondary_incarnation = 0;
    bucket.highest_counter =
        std::max(bucket.highest_counter, reply.promised.counter);
    return;
  }
  if (!bucket.takeover || bucket.takeover->ballot != reply.ballot ||
      bucket.takeover->install) {
    return;
  }
  if (reply.ballot < reply.promised) {
    bucket.highest_counter =
        std::max(bucket.highest_counter, reply.promised.counter);
    AbortTakeover(bucket, now);
    return;
  }
  bucket.takeover->replies.insert_or_assign(
      sender.host, ReceivedReply{sender.incarnation, reply});
  InstallIfAllReplied(reply.bucket, now, out);
}

// Once every host that may be a replica has promised, the records under the
// highest ballot include every claim that was granted and not lost.
void ClaimReplica::InstallIfAllReplied(std::int64_t index,
                                       TimePoint now,
                                       Outbox& out) {
  Bucket& bucket = buckets_[static_cast<std::size_t>(index)];
  Takeover& takeover = *bucket.takeover;
  for (const CountedHost& it : counted_.others) {
    const auto replies = takeover.replies.find(it.host);
    if (replies == takeover.replies.end() ||
        replies->second.incarnation != it.incarnation) {
      return;
    }
  }
  const auto own = takeover.replies.find(self_);
  const ReplicaPair wanted = DesiredReplicas(index);
  if (own == takeover.replies.end() || wanted.primary != self_) {
    return;
  }
  const auto secondary = takeover.replies.find(wanted.secondary);
  const bool secondary_may_store =
      secondary != takeover.replies.end() && secondary->second.reply.counted;
  // Later takeovers must ask the secondary replica, so every host must count
  // it. A host that has just started is asked again until it owns a share of
  // the limits. If its first reply were final, the bucket would be unavailable
  // until this takeover times out, and a host that stops meanwhile would end
  // without having handed over the bucket.
  if (!secondary_may_store) {
    takeover.replies.erase(wanted.secondary);
    return;
  }
  ClaimBallot accepted;
  for (const auto& [host, received] : takeover.replies) {
    accepted = std::max(accepted, received.reply.accepted);
  }
  // No host has the records of the highest known ballot: both replicas are
  // lost, or this is the first start of the fleet. A call granted under that
  // ballot may still run and be repeated by its caller, so the takeover waits
  // for the quarantine time before it starts with the records that there are.
  if (MayBeLost(takeover, accepted)) {
    bucket.lost_since = bucket.lost_since.value_or(now);
    if (now - *bucket.lost_since < options_.quarantine) {
      return;
    }
  }
  bucket.lost_since.reset();
  std::vector<std::vector<ClaimRecord>> records;
  for (const auto& [host, received] : takeover.replies) {
    if (received.reply.accepted == accepted) {
      records.push_back(received.reply.records);
    }
  }
  ReplicaInstall install;
  install.replicas = {index, takeover.ballot, self_, wanted.secondary};
  install.records = MergeClaimRecords(records);
  bucket.secondary_incarnation = secondary->second.incarnation;
  takeover.install = std::move(install);
  takeover.sent_at = TimePoint();
  if (wanted.secondary == self_) {
    CompleteTakeover(index, now, out);
  }
}

// A higher ballot whose own host still answers with a lower accepted one never
// completed, so it granted nothing.
bool ClaimReplica::MayBeLost(const Takeover& takeover,
                             const ClaimBallot& accepted) const {
  if (accepted.counter == 0) {
    return true;
  }
  return std::any_of(
      takeover.replies.begin(), takeover.replies.end(), [&](const auto& it) {
        const ClaimBallot& promised = it.second.reply.promised;
        const auto host = takeover.replies.find(promised.host);
        const bool answers = host != takeover.replies.end() &&
                             host->second.incarnation == promised.incarnation;
        return accepted < promised && !answers;
      });
}

void ClaimReplica::On(const Sender& sender,
                      const ReplicaInstall& install,
                      TimePoint now,
                      Outbox& out) {
  const ClaimReplicas& replicas = install.replicas;
  Bucket& bucket = buckets_[static_cast<std::size_t>(replicas.bucket)];
  // An equal ballot belongs to this takeover, as ballots include their host. A
  // process that restarted after it was asked has promised nothing, so it must
  // not become a replica.
  if (bucket.promised != replicas.ballot) {
    return;
  }
  const bool repeated = bucket.held && bucket.held->ballot == replicas.ballot;
  if (!repeated) {
    bucket.held = replicas;
    bucket.records.Replace(install.records, now);
    LearnReplicas(replicas);
  }
  out.Send(sender.host, ReplicaInstalled{replicas.bucket, replicas.ballot});
}

void ClaimReplica::On(const Sender& sender,
                      const ReplicaInstalled& installed,
                      TimePoint now,
                      Outbox& out) {
  const Bucket& bucket = buckets_[static_cast<std::size_t>(installed.bucket)];
  const bool is_expected =
      bucket.takeover && bucket.takeover->install &&
      bucket.takeover->ballot == installed.ballot &&
      sender.host == bucket.takeover->install->replicas.secondary &&
      sender.incarnation == bucket.secondary_incarnation;
  if (is_expected) {
    CompleteTakeover(installed.bucket, now, out);
  }
}

void ClaimReplica::CompleteTakeover(std::int64_t index,
                                    TimePoint now,
                                    Outbox& out) {
  Bucket& bucket = buckets_[static_cast<std::size_t>(index)];
  const ReplicaInstall install = *bucket.takeover->install;
  bucket.takeover.reset();
  if (bucket.promised != install.replicas.ballot) {
    return;
  }
  bucket.held = install.replicas;
  bucket.records.Replace(install.records, now);
  LearnReplicas(install.replicas);
  for (const PeerView& it : view_.peers) {
    out.Send(it.id, install.replicas);
  }
}

// Announces the buckets of which this host is the primary replica to hosts that
// have just become reachable.
void ClaimReplica::Announce(TimePoint /*now*/, Outbox& out) {
  for (const PeerView& it : view_.peers) {
    const auto notice = announced_to_.find(it.id);
    const bool known =
        notice != announced_to_.end() && notice->second == it.incarnation;
    if (!it.reachable) {
      announced_to_.erase(it.id);
    }
    if (!it.reachable || known) {
      continue;
    }
    announced_to_.insert_or_assign(it.id, it.incarnation);
    for (const Bucket& bucket : buckets_) {
      if (bucket.held && bucket.held->primary == self_) {
        out.Send(it.id, *bucket.held);
      }
    }
  }
}

void ClaimReplica::On(const Sender& /*sender*/,
                      const ClaimReplicas& replicas,
                      TimePoint /*now*/,
                      Outbox& /*out*/) {
  LearnReplicas(replicas);
  Bucket& bucket = buckets_[static_cast<std::size_t>(replicas.bucket)];
  const bool other = bucket.held && bucket.held->ballot < replicas.ballot;
  // The records were handed over with the promise, so they are not needed here
  // any more.
  if (other && replicas.primary != self_ && replicas.secondary != self_) {
    bucket.promised = std::max(bucket.promised, replicas.ballot);
    bucket.held.reset();
    bucket.records.Clear();
  }
}

GrantReply ClaimReplica::DecideGrant(Bucket& bucket,
                                     const GrantRequest& message) {
  const ClaimRecord& request = message.request;
  GrantReply answer;
  answer.bucket = message.bucket;
  answer.ballot = message.ballot;
  answer.customer = request.customer;
  answer.key = request.key;
  answer.claim = request.claim;
  if (!IsActiveUnder(bucket, message.ballot)) {
    answer.replicas = bucket.known;
    return answer;
  }
  const ClaimRecord* record =
      bucket.records.Find(request.customer, request.key);
  if (record == nullptr) {
    if (usage_.records < options_.max_records) {
      bucket.records.Grant(request);
      answer.verdict = ClaimVerdict::kGranted;
    }
    return answer;
  }
  if (record->request_digest != request.request_digest) {
    answer.verdict = ClaimVerdict::kMismatch;
  } else if (record->ended) {
    answer.verdict = ClaimVerdict::kAlreadyRan;
    answer.answer = record->answer;
  } else {
    answer.verdict = record->claim == request.claim ? ClaimVerdict::kGranted
                                                    : ClaimVerdict::kInProgress;
  }
  return answer;
}

void ClaimReplica::On(const Sender& sender,
                      const GrantRequest& message,
                      TimePoint /*now*/,
                      Outbox& out) {
  Bucket& bucket = buckets_[static_cast<std::size_t>(message.bucket)];
  out.Send(sender.host, DecideGrant(bucket, message));
  const bool withdrew = bucket.held && bucket.held->ballot == message.ballot &&
                        message.ballot < bucket.promised;
  if (withdrew && bucket.held->primary != self_) {
    TakeoverReply notice;
    notice.bucket = message.bucket;
    notice.ballot = message.ballot;
    notice.promised = bucket.promised;
    out.Send(bucket.held->primary, std::move(notice));
  }
}

void ClaimReplica::On(const Sender& sender,
                      const ClaimSettle& settle,
                      TimePoint now,
                      Outbox& out) {
  Bucket& bucket = buckets_[static_cast<std::size_t>(settle.bucket)];
  ClaimSettled settled{settle.ballot, settle.record.claim, false, {}};
  // After a promise the records have been handed over. An end stored here now
  // would be acknowledged and lost.
  if (!IsActiveUnder(bucket, settle.ballot)) {
    settled.refused = true;
    settled.replicas = bucket.known;
    out.Send(sender.host, std::move(settled));
    return;
  }
  if (settle.record.ended) {
    const std::size_t size =
        settle.record.answer ? settle.record.answer->body.size() : 0;
    const bool keep_answer =
        size <= options_.max_answer_bytes &&
        usage_.answer_bytes + size <= options_.max_total_answer_bytes;
    bucket.records.End(settle.record, keep_answer, now);
  } else {
    bucket.records.Release(settle.record);
  }
  out.Send(sender.host, std::move(settled));
}

ClaimReplicaStatus ClaimReplica::Status() const {
  ClaimReplicaStatus status;
  status.usage = usage_;
  for (const Bucket& it : buckets_) {
    status.pending_takeovers += it.takeover ? 1 : 0;
    status.holds += it.held ? 1 : 0;
    if (!it.held || !IsActiveUnder(it, it.held->ballot)) {
      continue;
    }
    status.primary_buckets += it.held->primary == self_ ? 1 : 0;
    status.secondary_buckets += it.held->primary != self_ ? 1 : 0;
  }
  return status;
}

}  // namespace damasktack
