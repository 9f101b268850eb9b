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
  if (options_.gates.quarantine != nullptr) {
    crashes_.emplace(*options_.gates.quarantine);
  }
}

void FleetCore::LinkUp(const HostId& host,
                       Incarnation incarnation,
                       TimePoint now) {
  membership_.LinkUp(host, incarnation, now);
  Settle(now);
}

void FleetCore::LinkDown(const HostId& host,
                         Incarnation incarnation,
                         TimePoint now) {
  membership_.LinkDown(host, incarnation, now);
  Settle(now);
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
  // First the view, so that a module knows the sender of its message.
  Settle(now);
  ForEachModule(
      [&](auto& module) { module.OnMessage(sender, *message, now, out_); });
  Settle(now);
}

void FleetCore::Offer(Document document, DocumentOrigin origin, TimePoint now) {
  documents_.Offer(std::move(document), origin, now, out_);
  Settle(now);
}

void FleetCore::OnPlatformQueried(DocumentName name,
                                  std::uint64_t check,
                                  TimePoint now) {
  if (check != check_number_) {
    return;
  }
  platform_asked_[static_cast<std::size_t>(name)] = true;
  EndCheckWhereDone(now);
}

void FleetCore::Tick(TimePoint now) {
  if (!started_) {
    started_ = true;
    BeginCheck(now);
  }
  membership_.Tick(now, out_);
  Settle(now);
  ForEachModule([&](auto& module) { module.Tick(now, out_); });
  EndCheckWhereDone(now);
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
  Settle(now);
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
  platform_asked_ = {};
  documents_.RequestAllDigests(out_);
}

// The peers are waited for only as long as `peer_wait`: those that cannot be
// reached must not keep a host from serving. A host that has no document yet
// stays unready however long that takes.
void FleetCore::EndCheckWhereDone(TimePoint now) {
  if (ready_ || !started_ || !HasAllDocuments()) {
    return;
  }
  const bool platform_asked =
      std::ranges::all_of(platform_asked_, [](bool it) { return it; });
  const bool peers_asked = documents_.HasAllDigests() && AllPeersReached();
  const bool waited = now - check_began_ >= options_.peer_wait;
  ready_ = platform_asked && (peers_asked || waited);
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
  const bool found = options_.seeds.empty() || !membership_.Linked().empty();
  return found && std::ranges::all_of(view().peers, [](const PeerView& it) {
           return it.reachable;
         });
}

void FleetCore::Settle(TimePoint now) {
  const auto list = documents_.InForce(DocumentName::kHosts);
  if (list != list_) {
    list_ = list;
    Try(
        [&]() -> leaf::result<void> {
          BOOST_LEAF_AUTO(hosts, ParseHosts(*list));
          membership_.SetList(hosts, now);
          return {};
        },
        // Cannot be: only checked values come into force.
        [](const Error&) {});
  }
  if (membership_.TakeChanged()) {
    ForEachModule([&](auto& module) { module.OnView(view(), now, out_); });
  }
  EndCheckWhereDone(now);
}

}  // namespace damasktack
