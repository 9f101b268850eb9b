#include "fleet/document_store.h"

#include <algorithm>
#include <set>
#include <utility>

namespace damasktack {

namespace {

std::size_t IndexOf(DocumentName name) {
  return static_cast<std::size_t>(name);
}

}  // namespace

DocumentStore::DocumentStore(DocumentStoreOptions options,
                             Check check,
                             std::uint64_t random_seed)
    : options_(options), check_(std::move(check)), random_(random_seed) {}

DocumentStore::Slot& DocumentStore::SlotOf(DocumentName name) {
  return slots_[IndexOf(name)];
}

const DocumentStore::Slot& DocumentStore::SlotOf(DocumentName name) const {
  return slots_[IndexOf(name)];
}

std::shared_ptr<const Document> DocumentStore::InForce(
    DocumentName name) const {
  return SlotOf(name).in_force;
}

Revision DocumentStore::RevisionOf(DocumentName name) const {
  return SlotOf(name).version.revision;
}

const std::optional<DocumentRefusal>& DocumentStore::Refused(
    DocumentName name) const {
  return SlotOf(name).refused;
}

bool DocumentStore::PassesCheck(Slot& slot,
                                const Document& document,
                                const DocumentVersion& version,
                                TimePoint now) {
  // Several peers and the platform may offer the same invalid version. It is
  // checked only once.
  if (slot.refused && slot.refused->version == version) {
    slot.refused->when = now;
    return false;
  }
  return Try(
      [&]() -> leaf::result<bool> {
        BOOST_LEAF_CHECK(check_(document));
        return true;
      },
      [&](const Error& error) {
        ++counters_.refused;
        slot.refused = DocumentRefusal{version, error, now};
        return false;
      });
}

bool DocumentStore::Offer(Document document,
                          DocumentOrigin origin,
                          TimePoint now,
                          Outbox& out) {
  Slot& slot = SlotOf(document.name);
  const DocumentVersion version = VersionOf(document);
  if (version.revision < slot.version.revision) {
    ++(origin == DocumentOrigin::kPlatform ? counters_.stale_from_platform
                                           : counters_.stale_from_peers);
    return false;
  }
  if (version == slot.version) {
    return false;
  }
  if (version.revision == slot.version.revision) {
    ++counters_.conflicts;
  }
  if (version < slot.version || !PassesCheck(slot, document, version, now)) {
    return false;
  }
  ++counters_.accepted;
  if (slot.refused && slot.refused->version < version) {
    slot.refused.reset();
  }
  slot.version = version;
  slot.in_force = std::make_shared<const Document>(std::move(document));
  Announce(out);
  return true;
}

void DocumentStore::OnView(const HostView& view,
                           TimePoint /*now*/,
                           Outbox& out) {
  std::set<HostId> reachable(view.unlisted.begin(), view.unlisted.end());
  for (const PeerView& it : view.peers) {
    if (it.reachable) {
      reachable.insert(it.id);
    }
  }
  std::erase_if(peers_, [&](const auto& entry) {
    return !reachable.contains(entry.first);
  });
  for (const HostId& it : reachable) {
    if (peers_.try_emplace(it).second) {
      SendDigest(it, true, out);
    }
  }
}

void DocumentStore::OnMessage(const Sender& sender,
                              const PeerMessage& message,
                              TimePoint now,
                              Outbox& out) {
  if (const auto* digest = std::get_if<DocumentDigest>(&message)) {
    OnDigest(sender.host, *digest, now, out);
  } else if (const auto* request = std::get_if<DocumentRequest>(&message)) {
    if (SlotOf(request->name).version > request->after) {
      Push(sender.host, request->name, out);
    }
  } else if (const auto* push = std::get_if<DocumentPush>(&message)) {
    // Any push ends the pending request, so that the next digest may request
    // the document again.
    SlotOf(push->document.name).requested_version = {};
    Offer(push->document, DocumentOrigin::kPeer, now, out);
  }
}

void DocumentStore::Tick(TimePoint now, Outbox& out) {
  if (now < next_digest_) {
    return;
  }
  // Random between half and one and a half intervals, so that hosts that
  // started at the same time do not stay synchronized.
  next_digest_ = now + options_.digest_interval / 2 +
                 options_.digest_interval * UniformBelow(random_, 1000) / 1000;
  if (peers_.empty()) {
    return;
  }
  const auto index =
      UniformBelow(random_, static_cast<std::uint32_t>(peers_.size()));
  SendDigest(std::next(peers_.begin(), index)->first, false, out);
}

void DocumentStore::RequestAllDigests(Outbox& out) {
  for (auto& [peer, known] : peers_) {
    known.reset();
    SendDigest(peer, true, out);
  }
}

bool DocumentStore::HasAllDigests() const {
  return std::ranges::all_of(peers_, [&](const auto& entry) {
    if (!entry.second) {
      return false;
    }
    for (std::size_t n = 0; n < kDocumentCount; ++n) {
      const Slot& slot = slots_[n];
      const DocumentVersion refused =
          slot.refused ? slot.refused->version : DocumentVersion{};
      if ((*entry.second)[n] > std::max(slot.version, refused)) {
        return false;
      }
    }
    return true;
  });
}

// Sends the digest to random peers that are not known to have all versions.
void DocumentStore::Announce(Outbox& out) {
  std::vector<HostId> behind;
  for (const auto& [peer, known] : peers_) {
    for (std::size_t n = 0; n < kDocumentCount; ++n) {
      if (!known || (*known)[n] < slots_[n].version) {
        behind.push_back(peer);
        break;
      }
    }
  }
  for (std::size_t n = 0; n < options_.fanout && !behind.empty(); ++n) {
    const auto index =
        UniformBelow(random_, static_cast<std::uint32_t>(behind.size()));
    SendDigest(behind[index], false, out);
    behind.erase(behind.begin() + index);
  }
}

void DocumentStore::SendDigest(const HostId& to,
                               bool request_answer,
                               Outbox& out) {
  DocumentDigest digest;
  for (std::size_t n = 0; n < kDocumentCount; ++n) {
    digest.versions[n] = slots_[n].version;
  }
  digest.answer = request_answer;
  ++counters_.digests_sent;
  out.Send(to, digest);
}

void DocumentStore::OnDigest(const HostId& from,
                             const DocumentDigest& digest,
                             TimePoint now,
                             Outbox& out) {
  const auto peer = peers_.find(from);
  if (peer != peers_.end()) {
    peer->second = digest.versions;
  }
  bool sender_is_behind = false;
  for (std::size_t n = 0; n < kDocumentCount; ++n) {
    RequestIfNewer(from, static_cast<DocumentName>(n), digest.versions[n], now,
                   out);
    sender_is_behind =
        sender_is_behind || digest.versions[n] < slots_[n].version;
  }
  // A sender that is behind may request the new versions from this host, unless
  // it already has requested them from another one.
  if (digest.answer || sender_is_behind) {
    SendDigest(from, false, out);
  }
}

void DocumentStore::RequestIfNewer(const HostId& from,
                                   DocumentName name,
                                   const DocumentVersion& theirs,
                                   TimePoint now,
                                   Outbox& out) {
  Slot& slot = SlotOf(name);
  if (theirs <= slot.version) {
    return;
  }
  // A peer that runs another version of the daemon may accept a document that
  // this host refuses, and would offer it in every digest.
  if (slot.refused && theirs <= slot.refused->version &&
      now - slot.refused->when < options_.refused_retry_delay) {
    return;
  }
  if (theirs <= slot.requested_version &&
      now - slot.requested_at < options_.request_timeout) {
    return;
  }
  slot.requested_at = now;
  slot.requested_version = theirs;
  ++counters_.requests_sent;
  out.Send(from, DocumentRequest{name, slot.version});
}

void DocumentStore::Push(const HostId& to, DocumentName name, Outbox& out) {
  ++counters_.pushes_sent;
  out.Send(to, DocumentPush{*SlotOf(name).in_force});
}

}  // namespace damasktack
