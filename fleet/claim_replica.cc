#include "fleet/claim_replica.h"

#include <xxhash.h>

#include <algorithm>
#include <string>
#include <utility>

namespace damasktack {

namespace {

// Answers that one handover message carries; the frame's bound is a megabyte.
constexpr std::size_t kHandoverAnswerBytes = 400'000;
// A takeover that did not come through makes room for another host's.
constexpr Duration kTakeoverTimeout = std::chrono::seconds(5);
constexpr Duration kRound = std::chrono::milliseconds(100);

std::uint64_t Score(std::int64_t bucket, const HostId& host) {
  return XXH3_64bits_withSeed(host.text().data(), host.text().size(),
                              static_cast<std::uint64_t>(bucket) + 1);
}

}  // namespace

ClaimReplica::ClaimReplica(HostId self,
                           Incarnation incarnation,
                           ClaimOptions options)
    : self_(std::move(self)), incarnation_(incarnation), options_(options) {
  // All that a message may name, so that no index needs a check.
  buckets_.reserve(kClaimBuckets);
  for (std::int64_t n = 0; n < kClaimBuckets; ++n) {
    buckets_.emplace_back(usage_);
  }
}

const std::optional<ClaimReplicas>& ClaimReplica::KnownReplicas(
    std::int64_t bucket) const {
  return buckets_[static_cast<std::size_t>(bucket)].known;
}

void ClaimReplica::LearnReplicas(const ClaimReplicas& keepers) {
  auto& known = buckets_[static_cast<std::size_t>(keepers.bucket)].known;
  if (!known || known->ballot < keepers.ballot) {
    known = keepers;
  }
}

void ClaimReplica::OnView(const HostView& view) {
  view_ = view;
  FindCandidates();
}

void ClaimReplica::SetCounted(CountedFleet counted) {
  counted_ = std::move(counted);
  FindCandidates();
}

std::optional<ClaimBallot> ClaimReplica::HeldBallot(std::int64_t bucket) const {
  const auto& kept = buckets_[static_cast<std::size_t>(bucket)].kept;
  return kept ? std::optional(kept->ballot) : std::nullopt;
}

void ClaimReplica::FindCandidates() {
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

ClaimReplica::Pair ClaimReplica::Wanted(std::int64_t bucket) const {
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
  const PeerView* first = best([](const PeerView&) { return true; });
  if (first == nullptr) {
    return {};
  }
  // Another zone, so that the loss of one zone does not take both.
  const PeerView* second = best([&](const PeerView& it) {
    return it.id != first->id && it.zone != first->zone;
  });
  if (second == nullptr) {
    second = best([&](const PeerView& it) { return it.id != first->id; });
  }
  return {first->id, second == nullptr ? first->id : second->id};
}

bool ClaimReplica::EveryoneReachable() const {
  return std::all_of(counted_.others.begin(), counted_.others.end(),
                     [&](const CountedHost& other) {
                       return std::any_of(
                           view_.peers.begin(), view_.peers.end(),
                           [&](const PeerView& it) {
                             return it.id == other.host && it.reachable;
                           });
                     });
}

bool ClaimReplica::KeepsUnder(const Bucket& bucket,
                              const ClaimBallot& ballot) const {
  return bucket.kept && bucket.kept->ballot == ballot &&
         bucket.promised <= ballot;
}

void ClaimReplica::Tick(TimePoint now, Outbox& out) {
  if (now < next_round_) {
    return;
  }
  next_round_ = now + kRound;
  buckets_[next_sweep_].records.Forget(now - options_.retention);
  next_sweep_ = (next_sweep_ + 1) % buckets_.size();
  for (std::int64_t n = 0; n < options_.buckets; ++n) {
    Bucket& bucket = buckets_[static_cast<std::size_t>(n)];
    if (bucket.takeover) {
      Continue(n, now, out);
    } else {
      Consider(n, now, out);
    }
  }
  Announce(now, out);
}

// A takeover stops the bucket until it is through, so none is begun that
// cannot come through now.
void ClaimReplica::Consider(std::int64_t index, TimePoint now, Outbox& out) {
  Bucket& bucket = buckets_[static_cast<std::size_t>(index)];
  if (!counted_.owns || now < bucket.next_try || !EveryoneReachable()) {
    return;
  }
  const Pair wanted = Wanted(index);
  if (wanted.first != self_) {
    return;
  }
  const bool kept = bucket.kept && bucket.kept->first == wanted.first &&
                    bucket.kept->second == wanted.second &&
                    KeepsUnder(bucket, bucket.kept->ballot);
  // A second keeper that started anew has forgotten the bucket.
  const bool same_process =
      wanted.second == self_ ||
      std::any_of(counted_.others.begin(), counted_.others.end(),
                  [&](const CountedHost& it) {
                    return it.host == wanted.second &&
                           it.incarnation == bucket.second_incarnation;
                  });
  if (!kept || !same_process) {
    Begin(index, now, out);
  }
}

void ClaimReplica::Begin(std::int64_t index, TimePoint now, Outbox& out) {
  Bucket& bucket = buckets_[static_cast<std::size_t>(index)];
  Takeover takeover;
  const auto highest =
      std::max(bucket.promised.counter, bucket.highest_counter);
  takeover.ballot = {highest + 1, self_, incarnation_};
  takeover.began_at = now;
  bucket.takeover = std::move(takeover);
  Continue(index, now, out);
}

void ClaimReplica::Continue(std::int64_t index, TimePoint now, Outbox& out) {
  Bucket& bucket = buckets_[static_cast<std::size_t>(index)];
  Takeover& takeover = *bucket.takeover;
  if (now - takeover.began_at > kTakeoverTimeout) {
    GiveUp(bucket, now);
    return;
  }
  if (!takeover.install) {
    FinishAsking(index, now, out);
  }
  if (!bucket.takeover || now < takeover.sent_at + options_.repeat) {
    return;
  }
  takeover.sent_at = now;
  if (takeover.install) {
    out.Send(takeover.install->keepers.second, *takeover.install);
    return;
  }
  const TakeoverRequest ask{index, takeover.ballot};
  out.Send(self_, ask);
  for (const CountedHost& it : counted_.others) {
    if (!takeover.heard.contains(it.host)) {
      out.Send(it.host, ask);
    }
  }
}

void ClaimReplica::GiveUp(Bucket& bucket, TimePoint now) {
  bucket.takeover.reset();
  // Hosts with different views take turns instead of outbidding each other.
  const auto stagger =
      static_cast<std::int64_t>(Score(0, self_) % 8) * options_.repeat;
  bucket.next_try = now + options_.repeat + stagger;
}

void ClaimReplica::On(const Sender& sender,
                      const TakeoverRequest& ask,
                      TimePoint now,
                      Outbox& out) {
  Bucket& bucket = buckets_[static_cast<std::size_t>(ask.bucket)];
  TakeoverReply answer;
  answer.bucket = ask.bucket;
  answer.ballot = ask.ballot;
  answer.counted = counted_.owns;
  if (bucket.promised < ask.ballot) {
    bucket.promised_before = bucket.promised;
    bucket.promised = ask.ballot;
  }
  // An ask that comes again gets the same answer.
  const bool promises = bucket.promised == ask.ballot;
  answer.promised = promises ? bucket.promised_before : bucket.promised;
  if (promises) {
    // From here on this host grants nothing under a lower ballot, so the
    // records that go with the answer are complete.
    if (bucket.kept) {
      answer.accepted = bucket.kept->ballot;
      answer.records = bucket.records.Export(kHandoverAnswerBytes, now);
    }
    if (bucket.takeover && bucket.takeover->ballot < ask.ballot) {
      GiveUp(bucket, now);
    }
  }
  out.Send(sender.host, std::move(answer));
}

void ClaimReplica::On(const Sender& sender,
                      const TakeoverReply& answer,
                      TimePoint now,
                      Outbox& out) {
  Bucket& bucket = buckets_[static_cast<std::size_t>(answer.bucket)];
  const bool withdrawn =
      !bucket.takeover && bucket.kept && bucket.kept->first == self_ &&
      bucket.kept->ballot == answer.ballot && answer.ballot < answer.promised;
  if (withdrawn) {
    // Another host asked the second keeper for a takeover that never came
    // through; unless the bucket is taken over again it stays refused.
    bucket.second_incarnation = 0;
    bucket.highest_counter =
        std::max(bucket.highest_counter, answer.promised.counter);
    return;
  }
  if (!bucket.takeover || bucket.takeover->ballot != answer.ballot ||
      bucket.takeover->install) {
    return;
  }
  if (answer.ballot < answer.promised) {
    bucket.highest_counter =
        std::max(bucket.highest_counter, answer.promised.counter);
    GiveUp(bucket, now);
    return;
  }
  bucket.takeover->heard.insert_or_assign(sender.host,
                                          Heard{sender.incarnation, answer});
  FinishAsking(answer.bucket, now, out);
}

// Once every host that may keep the bucket has promised, the records under the
// highest ballot are all that was ever granted and not lost.
void ClaimReplica::FinishAsking(std::int64_t index,
                                TimePoint now,
                                Outbox& out) {
  Bucket& bucket = buckets_[static_cast<std::size_t>(index)];
  Takeover& takeover = *bucket.takeover;
  for (const CountedHost& it : counted_.others) {
    const auto heard = takeover.heard.find(it.host);
    if (heard == takeover.heard.end() ||
        heard->second.incarnation != it.incarnation) {
      return;
    }
  }
  const auto own = takeover.heard.find(self_);
  const Pair wanted = Wanted(index);
  if (own == takeover.heard.end() || wanted.first != self_) {
    return;
  }
  const auto second = takeover.heard.find(wanted.second);
  const bool known_second =
      second != takeover.heard.end() && second->second.answer.counted;
  // Later takeovers must ask the second keeper, so all must count it. One that
  // has just started is asked again until it owns: with its first answer alone
  // the bucket would stay refused until this takeover times out, and a host
  // that leaves meanwhile would end without having handed it over.
  if (!known_second) {
    takeover.heard.erase(wanted.second);
    return;
  }
  ClaimBallot accepted;
  for (const auto& [host, heard] : takeover.heard) {
    accepted = std::max(accepted, heard.answer.accepted);
  }
  // Nobody keeps what the highest known ballot may have granted: both keepers
  // are lost, or this is the first start. A call that was granted then may
  // still run, and its caller repeat it; waiting is all that is left.
  if (MayBeLost(takeover, accepted)) {
    bucket.lost_since = bucket.lost_since.value_or(now);
    if (now - *bucket.lost_since < options_.quarantine) {
      return;
    }
  }
  bucket.lost_since.reset();
  std::vector<std::vector<ClaimRecord>> records;
  for (const auto& [host, heard] : takeover.heard) {
    if (heard.answer.accepted == accepted) {
      records.push_back(heard.answer.records);
    }
  }
  ReplicaInstall install;
  install.keepers = {index, takeover.ballot, self_, wanted.second};
  install.records = MergeClaimRecords(records);
  bucket.second_incarnation = second->second.incarnation;
  takeover.install = std::move(install);
  takeover.sent_at = TimePoint();
  if (wanted.second == self_) {
    Complete(index, now, out);
  }
}

// Whether a ballot above `accepted` may have granted claims. One whose own
// host answers with a lower one never came through.
bool ClaimReplica::MayBeLost(const Takeover& takeover,
                             const ClaimBallot& accepted) const {
  if (accepted.counter == 0) {
    return true;
  }
  return std::any_of(
      takeover.heard.begin(), takeover.heard.end(), [&](const auto& it) {
        const ClaimBallot& promised = it.second.answer.promised;
        const auto host = takeover.heard.find(promised.host);
        const bool answers = host != takeover.heard.end() &&
                             host->second.incarnation == promised.incarnation;
        return accepted < promised && !answers;
      });
}

void ClaimReplica::On(const Sender& sender,
                      const ReplicaInstall& install,
                      TimePoint now,
                      Outbox& out) {
  const ClaimReplicas& keepers = install.keepers;
  Bucket& bucket = buckets_[static_cast<std::size_t>(keepers.bucket)];
  // An equal promise is of this takeover: the ballot names its host. A process
  // that started after it was asked has promised nothing and is left out.
  if (bucket.promised != keepers.ballot) {
    return;
  }
  const bool repeated = bucket.kept && bucket.kept->ballot == keepers.ballot;
  if (!repeated) {
    bucket.kept = keepers;
    bucket.records.Replace(install.records, now);
    LearnReplicas(keepers);
  }
  out.Send(sender.host, ReplicaInstalled{keepers.bucket, keepers.ballot});
}

void ClaimReplica::On(const Sender& sender,
                      const ReplicaInstalled& installed,
                      TimePoint now,
                      Outbox& out) {
  const Bucket& bucket = buckets_[static_cast<std::size_t>(installed.bucket)];
  const bool ours = bucket.takeover && bucket.takeover->install &&
                    bucket.takeover->ballot == installed.ballot &&
                    sender.host == bucket.takeover->install->keepers.second &&
                    sender.incarnation == bucket.second_incarnation;
  if (ours) {
    Complete(installed.bucket, now, out);
  }
}

void ClaimReplica::Complete(std::int64_t index, TimePoint now, Outbox& out) {
  Bucket& bucket = buckets_[static_cast<std::size_t>(index)];
  const ReplicaInstall install = *bucket.takeover->install;
  bucket.takeover.reset();
  if (bucket.promised != install.keepers.ballot) {
    return;
  }
  bucket.kept = install.keepers;
  bucket.records.Replace(install.records, now);
  LearnReplicas(install.keepers);
  for (const PeerView& it : view_.peers) {
    out.Send(it.id, install.keepers);
  }
}

// Tells a host that has just come into reach of every bucket kept here.
void ClaimReplica::Announce(TimePoint /*now*/, Outbox& out) {
  for (const PeerView& it : view_.peers) {
    const auto told = told_.find(it.id);
    const bool known = told != told_.end() && told->second == it.incarnation;
    if (!it.reachable) {
      told_.erase(it.id);
    }
    if (!it.reachable || known) {
      continue;
    }
    told_.insert_or_assign(it.id, it.incarnation);
    for (const Bucket& bucket : buckets_) {
      if (bucket.kept && bucket.kept->first == self_) {
        out.Send(it.id, *bucket.kept);
      }
    }
  }
}

void ClaimReplica::On(const Sender& /*sender*/,
                      const ClaimReplicas& keepers,
                      TimePoint /*now*/,
                      Outbox& /*out*/) {
  LearnReplicas(keepers);
  Bucket& bucket = buckets_[static_cast<std::size_t>(keepers.bucket)];
  const bool other = bucket.kept && bucket.kept->ballot < keepers.ballot;
  // Its records went over with the promise; nobody asks for them again.
  if (other && keepers.first != self_ && keepers.second != self_) {
    bucket.promised = std::max(bucket.promised, keepers.ballot);
    bucket.kept.reset();
    bucket.records.Clear();
  }
}

GrantReply ClaimReplica::Decide(Bucket& bucket, const GrantRequest& ask) {
  const ClaimRecord& wish = ask.wish;
  GrantReply answer;
  answer.bucket = ask.bucket;
  answer.ballot = ask.ballot;
  answer.customer = wish.customer;
  answer.key = wish.key;
  answer.claim = wish.claim;
  if (!KeepsUnder(bucket, ask.ballot)) {
    answer.keepers = bucket.known;
    return answer;
  }
  const ClaimRecord* record = bucket.records.Find(wish.customer, wish.key);
  if (record == nullptr) {
    if (usage_.records < options_.max_records) {
      bucket.records.Grant(wish);
      answer.verdict = ClaimVerdict::kGranted;
    }
    return answer;
  }
  if (record->request_digest != wish.request_digest) {
    answer.verdict = ClaimVerdict::kMismatch;
  } else if (record->ended) {
    answer.verdict = ClaimVerdict::kAlreadyRan;
    answer.answer = record->answer;
  } else {
    answer.verdict = record->claim == wish.claim ? ClaimVerdict::kGranted
                                                 : ClaimVerdict::kInProgress;
  }
  return answer;
}

void ClaimReplica::On(const Sender& sender,
                      const GrantRequest& ask,
                      TimePoint /*now*/,
                      Outbox& out) {
  Bucket& bucket = buckets_[static_cast<std::size_t>(ask.bucket)];
  out.Send(sender.host, Decide(bucket, ask));
  const bool withdrew = bucket.kept && bucket.kept->ballot == ask.ballot &&
                        ask.ballot < bucket.promised;
  if (withdrew && bucket.kept->first != self_) {
    TakeoverReply told;
    told.bucket = ask.bucket;
    told.ballot = ask.ballot;
    told.promised = bucket.promised;
    out.Send(bucket.kept->first, std::move(told));
  }
}

void ClaimReplica::On(const Sender& sender,
                      const ClaimSettle& settle,
                      TimePoint now,
                      Outbox& out) {
  Bucket& bucket = buckets_[static_cast<std::size_t>(settle.bucket)];
  ClaimSettled settled{settle.ballot, settle.record.claim, false, {}};
  // After a promise the records have gone over; an end that came now would be
  // acknowledged and lost.
  if (!KeepsUnder(bucket, settle.ballot)) {
    settled.refused = true;
    settled.keepers = bucket.known;
    out.Send(sender.host, std::move(settled));
    return;
  }
  if (settle.record.ended) {
    const std::size_t size =
        settle.record.answer ? settle.record.answer->body.size() : 0;
    const bool room = size <= options_.max_answer_bytes &&
                      usage_.answer_bytes + size <= options_.answer_bytes;
    bucket.records.End(settle.record, room, now);
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
    status.holds += it.kept ? 1 : 0;
    if (!it.kept || !KeepsUnder(it, it.kept->ballot)) {
      continue;
    }
    status.primary_buckets += it.kept->first == self_ ? 1 : 0;
    status.secondary_buckets += it.kept->first != self_ ? 1 : 0;
  }
  return status;
}

}  // namespace damasktack
