#ifndef FLEET_DOCUMENT_STORE_H_
#define FLEET_DOCUMENT_STORE_H_

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "contract/document.h"
#include "core/random.h"
#include "fleet/fleet_module.h"

namespace damasktack {

struct DocumentStoreOptions {
  // Mean interval at which this host sends its digest to a random peer.
  Duration digest_interval = std::chrono::milliseconds(500);
  // Number of peers to which a new version is announced at once.
  std::size_t fanout = 4;
  // Timeout of a request, after which another peer is asked.
  Duration request_timeout = std::chrono::seconds(2);
  // Time for which a refused version is not requested again.
  Duration refused_retry_delay = std::chrono::seconds(30);
};

// Describes a version that failed its check. The last valid version stays in
// force.
struct DocumentRefusal {
  DocumentVersion version;
  Error error;
  TimePoint when;
};

// Where an offered document came from.
enum class DocumentOrigin : std::uint8_t { kPlatform, kPeer };

struct DocumentCounters {
  std::uint64_t accepted = 0;
  // Documents offered that were older than the one in force, by origin.
  std::uint64_t stale_from_platform = 0;
  std::uint64_t stale_from_peers = 0;
  std::uint64_t refused = 0;
  // Documents offered with the revision in force but a different body.
  std::uint64_t conflicts = 0;
  std::uint64_t digests_sent = 0;
  std::uint64_t requests_sent = 0;
  std::uint64_t pushes_sent = 0;
};

// Stores the documents in force on this host and distributes them to its peers.
// Revisions only increase, so a restarted host, a stale platform or an outdated
// peer cannot bring back an older version. Each version is complete, so removed
// entries stay removed.
//
// Distribution is by gossip: a host that accepts a new version announces it by
// sending its digest to a few random peers. A peer that is behind requests the
// body from one of the announcers, so that it is transferred once. Digests sent
// to random peers at intervals reach hosts that missed the announcements.
class DocumentStore {
 public:
  using Check = std::function<leaf::result<void>(const Document&)>;

  DocumentStore(DocumentStoreOptions options,
                Check check,
                std::uint64_t random_seed);

  // Puts the document in force if its version is higher than the current one
  // and it passes the check. Returns whether it did. Of two documents with the
  // same revision and different bodies, the one with the higher hash wins on
  // every host.
  bool Offer(Document document,
             DocumentOrigin origin,
             TimePoint now,
             Outbox& out);

  void OnView(const HostView& view, TimePoint now, Outbox& out);
  void OnMessage(const Sender& sender,
                 const PeerMessage& message,
                 TimePoint now,
                 Outbox& out);
  void Tick(TimePoint now, Outbox& out);

  // Clears the known versions of the peers and requests the digests of all; see
  // HasAllDigests.
  void RequestAllDigests(Outbox& out);
  // Returns whether every connected peer has sent its digest since
  // RequestAllDigests or since it connected, and this host has all versions
  // that they announced or has refused them.
  bool HasAllDigests() const;

  // Null if none is in force.
  std::shared_ptr<const Document> InForce(DocumentName name) const;
  // 0 if none is in force.
  Revision RevisionOf(DocumentName name) const;
  // The last version that failed its check, unless a higher one was accepted.
  const std::optional<DocumentRefusal>& Refused(DocumentName name) const;
  const DocumentCounters& counters() const { return counters_; }

 private:
  using Versions = std::array<DocumentVersion, kDocumentCount>;

  struct Slot {
    std::shared_ptr<const Document> in_force;
    DocumentVersion version;
    std::optional<DocumentRefusal> refused;
    // The last request that is not answered yet.
    TimePoint requested_at;
    DocumentVersion requested_version;
  };

  Slot& SlotOf(DocumentName name);
  const Slot& SlotOf(DocumentName name) const;
  bool PassesCheck(Slot& slot,
                   const Document& document,
                   const DocumentVersion& version,
                   TimePoint now);
  // Sends the digest to a few peers that are behind.
  void Announce(Outbox& out);
  void SendDigest(const HostId& to, bool request_answer, Outbox& out);
  // Requests newer documents of the sender and tells it if it is behind.
  void OnDigest(const HostId& from,
                const DocumentDigest& digest,
                TimePoint now,
                Outbox& out);
  void RequestIfNewer(const HostId& from,
                      DocumentName name,
                      const DocumentVersion& theirs,
                      TimePoint now,
                      Outbox& out);
  void Push(const HostId& to, DocumentName name, Outbox& out);

  const DocumentStoreOptions options_;
  const Check check_;
  Random random_;
  std::array<Slot, kDocumentCount> slots_;
  // Reachable peers and the versions that each has; null until its digest has
  // arrived.
  std::map<HostId, std::optional<Versions>> peers_;
  TimePoint next_digest_;
  DocumentCounters counters_;
};

}  // namespace damasktack

#endif  // FLEET_DOCUMENT_STORE_H_
