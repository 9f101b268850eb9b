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
#include "fleet/overload/overload_exchange.h"

namespace damasktack {

// Objects that request threads share with the fleet; must outlive the core.
struct FleetGates {
  FleetLimitGate* limits = nullptr;
  FleetClaimGate* claims = nullptr;
  RequestQuarantine* quarantine = nullptr;
  EndpointRates* rates = nullptr;
  OverloadView* overload = nullptr;
};

struct FleetCoreOptions {
  FleetGates gates;
  MembershipOptions membership;
  DocumentStoreOptions documents;
  // Addresses to connect to while no host list is known or no host is linked.
  std::vector<SocketAddress> seeds;
  // Maximum time for which a check waits for unreachable peers.
  Duration peer_wait = std::chrono::seconds(2);
};

struct FleetCounters {
  std::uint64_t messages_received = 0;
  // Messages from a process other than the linked one, or from an unknown host.
  std::uint64_t messages_unknown_sender = 0;
  // Messages of an unknown kind or a newer protocol version.
  std::uint64_t messages_ignored = 0;
  std::uint64_t messages_malformed = 0;
  std::uint64_t late_wakes = 0;
};

// Combines the fleet state and protocol of one host without threads, sockets or
// clock: membership, documents and the other modules. FleetLoop runs it in the
// daemon; tests run many instances over an in-memory network.
class FleetCore {
 public:
  FleetCore(FleetCoreOptions options,
            DocumentStore::Check check,
            std::uint64_t random_seed);

  void LinkUp(const HostId& host, Incarnation incarnation, TimePoint now);
  void LinkDown(const HostId& host, Incarnation incarnation, TimePoint now);
  // Malformed frames are only counted: the link remains trusted because its
  // peer may be a newer daemon.
  void OnFrame(const Sender& sender, std::string_view frame, TimePoint now);
  void Offer(Document document, DocumentOrigin origin, TimePoint now);
  // The platform has answered a read of the document that was sent under this
  // check, or the read has failed.
  void OnPlatformQueried(DocumentName name, std::uint64_t check, TimePoint now);
  // An endpoint has reported to this host that it is draining.
  void OnDrainObserved(const DrainObservation& observation, TimePoint now) {
    drains_.OnObserved(observation, now, out_);
  }
  // Returns the drains reported by peers since the last call.
  std::set<DrainObservation> TakePeerDrains() { return drains_.TakeReceived(); }
  void Tick(TimePoint now);

  // The process was suspended, so its data may be outdated. It is not ready
  // until it has queried the platform and the peers again.
  void OnLateWake(TimePoint now);
  void SetLeaving(TimePoint now);
  void SendGoodbye();
  // Processes the requests that request threads have queued at the claim gate.
  void ProcessClaims(TimePoint now);
  // The operator confirms that the last known process of `host` has ended.
  void ConfirmGone(const HostId& host);

  // Whether this host may serve requests: it has all documents, and has queried
  // the platform and the peers since its start or last late wake-up.
  bool ready() const { return ready_; }
  // Number of the current check, increased with each one; the platform must be
  // queried under it.
  std::uint64_t check_number() const { return check_number_; }

  const HostView& view() const { return membership_.view(); }
  const DocumentStore& documents() const { return documents_; }
  const FleetCounters& counters() const { return counters_; }
  // Returns the peers to which links should be open, including seeds while they
  // are needed.
  std::vector<PeerAddress> WantedLinks() const;
  std::vector<Outbox::Item> TakeOutbox() { return out_.Take(); }

 private:
  // Calls `body` for each module of the fleet; the only list of modules.
  template <typename Body>
  void ForEachModule(Body body) {
    body(documents_);
    body(drains_);
    // Limits come first because claims count the hosts that the limits count.
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
    if (overload_) {
      body(*overload_);
    }
  }

  void BeginCheck(TimePoint now);
  void EndCheckIfComplete(TimePoint now);
  bool HasAllDocuments() const;
  bool AllPeersReached() const;
  // Propagates changes between the components after each event.
  void PropagateChanges(TimePoint now);

  const FleetCoreOptions options_;
  Membership membership_;
  DocumentStore documents_;
  DrainObservations drains_;
  // Null without a quarantine.
  std::optional<CrashExchange> crashes_;
  // Null if endpoint rates are not exchanged.
  std::optional<EndpointRateExchange> rates_;
  // Null if loads are not exchanged.
  std::optional<OverloadExchange> overload_;
  Outbox out_;
  FleetCounters counters_;

  std::shared_ptr<const Document> list_;
  bool ready_ = false;
  bool started_ = false;
  std::uint64_t check_number_ = 0;
  TimePoint check_began_;
  std::array<bool, kDocumentCount> platform_queried_{};
};

}  // namespace damasktack

#endif  // FLEET_FLEET_CORE_H_
