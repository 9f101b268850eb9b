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
  // How often this host sends its digest to a peer drawn at random.
  Duration digest = std::chrono::milliseconds(500);
  // Peers that hear of a new revision at once.
  std::size_t fanout = 4;
  // How long an ask may stay unanswered before another peer is asked.
  Duration ask_timeout = std::chrono::seconds(2);
  // How long a refused revision is not asked for again.
  Duration refused_retry = std::chrono::seconds(30);
};

// A value that failed its checks; the last good one stays in force.
struct DocumentRefusal {
  DocumentVersion version;
  Error error;
  TimePoint when;
};

enum class DocumentOrigin : std::uint8_t { kPlatform, kPeer };

struct DocumentCounters {
  std::uint64_t accepted = 0;
  // Older than what is in force, by who offered it.
  std::uint64_t stale_from_platform = 0;
  std::uint64_t stale_from_peers = 0;
  std::uint64_t refused = 0;
  // The same revision with another content.
  std::uint64_t conflicts = 0;
  std::uint64_t digests_sent = 0;
  std::uint64_t asks_sent = 0;
  std::uint64_t pushes_sent = 0;
};

// What is in force on this host and how it spreads. Revisions only go up, so a
// restarted host, a stale platform or an old peer cannot bring back an older
// value; values are whole, so what was removed stays removed.
//
// Spreading: a host that takes a new revision announces it by its digest to a
// few random peers; one that is behind asks one announcer and gets the body
// once. A digest to a random peer now and then finds whoever was missed.
class DocumentStore {
 public:
  using Check = std::function<leaf::result<void>(const Document&)>;

  DocumentStore(DocumentStoreOptions options,
                Check check,
                std::uint64_t random_seed);

  // Takes the value if its version is higher than the one in force and it
  // passes the check; true where it is now in force. For the same revision
  // with another content the higher hash wins, on every host.
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

  // Forgets what peers have and asks all of them; see HasAllDigests.
  void RequestAllDigests(Outbox& out);
  // Whether every peer that is linked now has sent its digest since
  // RequestAllDigests or since its link came up, and this host has all that
  // they announced.
  bool HasAllDigests() const;

  // Null where none is in force.
  std::shared_ptr<const Document> InForce(DocumentName name) const;
  Revision RevisionOf(DocumentName name) const;
  const std::optional<DocumentRefusal>& Refused(DocumentName name) const;
  const DocumentCounters& counters() const { return counters_; }

 private:
  using Versions = std::array<DocumentVersion, kDocumentCount>;

  struct Slot {
    std::shared_ptr<const Document> in_force;
    DocumentVersion version;
    std::optional<DocumentRefusal> refused;
    // The last ask that is not yet answered.
    TimePoint asked;
    DocumentVersion asked_version;
  };

  Slot& SlotOf(DocumentName name);
  const Slot& SlotOf(DocumentName name) const;
  bool PassesCheck(Slot& slot,
                   const Document& document,
                   const DocumentVersion& version,
                   TimePoint now);
  void Announce(Outbox& out);
  void SendDigest(const HostId& to, bool answer, Outbox& out);
  void OnDigest(const HostId& from,
                const DocumentDigest& digest,
                TimePoint now,
                Outbox& out);
  void AskIfBehind(const HostId& from,
                   DocumentName name,
                   const DocumentVersion& theirs,
                   TimePoint now,
                   Outbox& out);
  void Push(const HostId& to, DocumentName name, Outbox& out);

  const DocumentStoreOptions options_;
  const Check check_;
  Random random_;
  std::array<Slot, kDocumentCount> slots_;
  // Peers that can be reached, and what each is known to have; null until its
  // digest came.
  std::map<HostId, std::optional<Versions>> peers_;
  TimePoint next_digest_;
  DocumentCounters counters_;
};

}  // namespace damasktack

#endif  // FLEET_DOCUMENT_STORE_H_
