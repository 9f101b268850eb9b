#ifndef FLEET_FLEET_CORE_H_
#define FLEET_FLEET_CORE_H_

#include <array>
#include <optional>
#include <string_view>
#include <vector>

#include "fleet/crash_exchange.h"
#include "fleet/document_store.h"
#include "fleet/drain_observations.h"
#include "fleet/endpoint_rate_exchange.h"
#include "fleet/fleet_claim_gate.h"
#include "fleet/fleet_limit_gate.h"
#include "fleet/membership.h"

namespace damasktack {

// What callers' threads share with the fleet; must outlive the core.
struct FleetGates {
  FleetLimitGate* limits = nullptr;
  FleetClaimGate* claims = nullptr;
  RequestQuarantine* quarantine = nullptr;
  EndpointRates* rates = nullptr;
};

struct FleetCoreOptions {
  FleetGates gates;
  MembershipOptions membership;
  DocumentStoreOptions documents;
  // Where to look for peers while no list is known.
  std::vector<SocketAddress> seeds;
  // How long a check waits for peers that cannot be reached.
  Duration peer_wait = std::chrono::seconds(2);
};

struct FleetCounters {
  std::uint64_t messages_received = 0;
  // From another process than the linked one, or of no known host.
  std::uint64_t messages_unknown_sender = 0;
  // Unknown kinds and newer versions.
  std::uint64_t messages_ignored = 0;
  std::uint64_t messages_malformed = 0;
  std::uint64_t late_wakes = 0;
};

// All that one host knows and says about the fleet, without thread, socket or
// clock: membership, documents and the further modules. FleetLoop runs it in
// the daemon; tests run many of them over a network in memory.
class FleetCore {
 public:
  FleetCore(FleetCoreOptions options,
            DocumentStore::Check check,
            std::uint64_t random_seed);

  void LinkUp(const HostId& host, Incarnation incarnation, TimePoint now);
  void LinkDown(const HostId& host, Incarnation incarnation, TimePoint now);
  // Malformed frames are counted; the link that brought them is not trusted
  // less, because its peer may be a newer daemon.
  void OnFrame(const Sender& sender, std::string_view frame, TimePoint now);
  void Offer(Document document, DocumentOrigin origin, TimePoint now);
  // The platform was asked for a document under this check: it answered, or it
  // cannot be reached.
  void OnPlatformQueried(DocumentName name, std::uint64_t check, TimePoint now);
  // An endpoint has told this host that it drains.
  void OnDrainObserved(const DrainObservation& sighting, TimePoint now) {
    drains_.OnObserved(sighting, now, out_);
  }
  // Drains that peers have seen, since the last call.
  std::set<DrainObservation> TakePeerDrains() { return drains_.TakeReceived(); }
  void Tick(TimePoint now);

  // The process was stopped for a while and believes old things. It is not
  // ready until it has asked platform and peers again.
  void OnLateWake(TimePoint now);
  void SetLeaving(TimePoint now);
  void SendGoodbye();
  // Carries out what callers' threads have left at the claim gate.
  void ProcessClaims(TimePoint now);
  // An operator's word that the last known process of `host` has ended.
  void ConfirmGone(const HostId& host);

  // Whether this host may take calls: it has all documents, and since it
  // started or woke late it has asked the platform and the peers.
  bool ready() const { return ready_; }
  // Goes up with each check; the platform is to be asked anew.
  std::uint64_t check_number() const { return check_number_; }

  const HostView& view() const { return membership_.view(); }
  const DocumentStore& documents() const { return documents_; }
  const FleetCounters& counters() const { return counters_; }
  // Peers to open links to; seeds only while they are needed.
  std::vector<PeerAddress> WantedLinks() const;
  std::vector<Outbox::Item> TakeOutbox() { return out_.Take(); }

 private:
  // The one place that lists the modules of the fleet.
  template <typename Body>
  void ForEachModule(Body body) {
    body(documents_);
    body(drains_);
    // Claims count whom the limits count, so limits come first.
    if (options_.gates.limits != nullptr) {
      body(*options_.gates.limits);
    }
    if (options_.gates.claims != nullptr) {
      body(*options_.gates.claims);
    }
    if (crashes_) {
      body(*crashes_);
    }
    if (rates_) {
      body(*rates_);
    }
  }

  void BeginCheck(TimePoint now);
  void EndCheckWhereDone(TimePoint now);
  bool HasAllDocuments() const;
  bool AllPeersReached() const;
  // Carries changes from one part to the others after each event.
  void Settle(TimePoint now);

  const FleetCoreOptions options_;
  Membership membership_;
  DocumentStore documents_;
  DrainObservations drains_;
  // Null without a quarantine.
  std::optional<CrashExchange> crashes_;
  // Null where nobody asks for them.
  std::optional<EndpointRateExchange> rates_;
  Outbox out_;
  FleetCounters counters_;

  std::shared_ptr<const Document> list_;
  bool ready_ = false;
  bool started_ = false;
  std::uint64_t check_number_ = 0;
  TimePoint check_began_;
  std::array<bool, kDocumentCount> platform_asked_{};
};

}  // namespace damasktack

#endif  // FLEET_FLEET_CORE_H_
