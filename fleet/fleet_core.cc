#include "fleet/fleet_core.h"

#include <algorithm>
#include <utility>

#include "fleet/peer_codec.h"

namespace damasktack {

static_assert(FleetModule<DocumentStore>);
static_assert(FleetModule<DrainObservations>);
static_assert(FleetModule<CrashExchange>);

FleetCore::FleetCore(FleetCoreOptions options,
                     DocumentStore::Check check,
                     std::uint64_t random_seed)
    : options_(std::move(options)),
      membership_(options_.membership),
      documents_(options_.documents, std::move(check), random_seed) {
  if (options_.gates.rates != nullptr) {
    rates_.emplace(*options_.gates.rates, FleetTopology::kMesh);
  }
  if (options_.gates.overload != nullptr) {
    overload_.emplace(*options_.gates.overload, FleetTopology::kMesh,
                      random_seed);
  }
  if (options_.gates.quarantine != nullptr) {
    crashes_.emplace(*options_.gates.quarantine);
  }
}

void FleetCore::LinkUp(const HostId& host,
                       Incarnation incarnation,
                       TimePoint now) {
  membership_.LinkUp(host, incarnation, now);
  PropagateChanges(now);
}

void FleetCore::LinkDown(const HostId& host,
                         Incarnation incarnation,
                         TimePoint now) {
  membership_.LinkDown(host, incarnation, now);
  PropagateChanges(now);
}

void FleetCore::OnFrame(const Sender& sender,
                        std::string_view frame,
                        TimePoint now) {
  const auto message = Try(
      [&]() -> leaf::result<std::optional<PeerMessage>> {
        BOOST_LEAF_AUTO(decoded, DecodePeerMessage(frame));
        counters_.messages_ignored += decoded ? 0 : 1;
        return decoded;
      },
      [&](const Error&) {
        ++counters_.messages_malformed;
        return std::optional<PeerMessage>();
      });
  if (!message) {
    return;
  }
  if (!membership_.OnMessage(sender, *message, now)) {
    ++counters_.messages_unknown_sender;
    return;
  }
  ++counters_.messages_received;
  // Update the view first, so that modules know the sender of the message.
  PropagateChanges(now);
  ForEachModule(
      [&](auto& module) { module.OnMessage(sender, *message, now, out_); });
  PropagateChanges(now);
}

void FleetCore::Offer(Document document, DocumentOrigin origin, TimePoint now) {
  documents_.Offer(std::move(document), origin, now, out_);
  PropagateChanges(now);
}

void FleetCore::OnPlatformQueried(DocumentName name,
                                  std::uint64_t check,
                                  TimePoint now) {
  if (check != check_number_) {
    return;
  }
  platform_queried_[static_cast<std::size_t>(name)] = true;
  EndCheckIfComplete(now);
}

void FleetCore::Tick(TimePoint now) {
  if (!started_) {
    started_ = true;
    BeginCheck(now);
  }
  membership_.Tick(now, out_);
  PropagateChanges(now);
  ForEachModule([&](auto& module) { module.Tick(now, out_); });
  EndCheckIfComplete(now);
}

void FleetCore::OnLateWake(TimePoint now) {
  ++counters_.late_wakes;
  membership_.OnLateWake(now);
  BeginCheck(now);
}

void FleetCore::SetLeaving(TimePoint now) {
  membership_.SetLeaving(now, out_);
  if (options_.gates.limits != nullptr) {
    options_.gates.limits->ReturnLeases(out_);
  }
  PropagateChanges(now);
}

void FleetCore::SendGoodbye() {
  membership_.SendGoodbye(out_);
}

void FleetCore::ProcessClaims(TimePoint now) {
  if (options_.gates.claims != nullptr) {
    options_.gates.claims->Tick(now, out_);
  }
}

void FleetCore::ConfirmGone(const HostId& host) {
  if (options_.gates.limits != nullptr) {
    options_.gates.limits->ConfirmGone(host, out_);
  }
}

std::vector<PeerAddress> FleetCore::WantedLinks() const {
  std::vector<PeerAddress> wanted = membership_.Addresses();
  if (!list_ || membership_.Linked().empty()) {
    for (const SocketAddress& it : options_.seeds) {
      wanted.push_back({"", it.ip, it.port});
    }
  }
  return wanted;
}

void FleetCore::BeginCheck(TimePoint now) {
  ready_ = false;
  ++check_number_;
  check_began_ = now;
  platform_queried_ = {};
  documents_.RequestAllDigests(out_);
}

// Ends the check once the platform and all peers have been queried. Waits for
// peers for at most `peer_wait`, because unreachable peers must not keep a host
// out of service. A host without all documents stays unready for as long as
// that takes.
void FleetCore::EndCheckIfComplete(TimePoint now) {
  if (ready_ || !started_ || !HasAllDocuments()) {
    return;
  }
  const bool is_platform_queried =
      std::ranges::all_of(platform_queried_, [](bool it) { return it; });
  const bool are_peers_queried =
      documents_.HasAllDigests() && AllPeersReached();
  const bool has_timed_out = now - check_began_ >= options_.peer_wait;
  ready_ = is_platform_queried && (are_peers_queried || has_timed_out);
}

bool FleetCore::HasAllDocuments() const {
  for (std::size_t n = 0; n < kDocumentCount; ++n) {
    if (!documents_.InForce(static_cast<DocumentName>(n))) {
      return false;
    }
  }
  return true;
}

bool FleetCore::AllPeersReached() const {
  const bool has_links =
      options_.seeds.empty() || !membership_.Linked().empty();
  return has_links && std::ranges::all_of(view().peers, [](const PeerView& it) {
           return it.reachable;
         });
}

void FleetCore::PropagateChanges(TimePoint now) {
  const auto list = documents_.InForce(DocumentName::kHosts);
  if (list != list_) {
    list_ = list;
    Try(
        [&]() -> leaf::result<void> {
          BOOST_LEAF_AUTO(hosts, ParseHosts(*list));
          membership_.SetList(hosts, now);
          return {};
        },
        // Unreachable: only valid documents become current.
        [](const Error&) {});
  }
  if (membership_.TakeChanged()) {
    ForEachModule([&](auto& module) { module.OnView(view(), now, out_); });
  }
  EndCheckIfComplete(now);
}

}  // namespace damasktack
