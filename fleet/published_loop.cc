#include "fleet/published_loop.h"

#include <spdlog/spdlog.h>

#include <cstdlib>
#include <random>
#include <utility>

#include "fleet/peer_codec.h"
#include "fleet/store_revision.h"

namespace damasktack {

namespace {

// Stop interrupts the pending store call repeatedly: a call that has not
// connected yet misses the first interruption.
constexpr Duration kStopPollInterval = std::chrono::milliseconds(5);

// Whether the fleet size has changed enough to notify the owner. Each change
// recomputes shares, and a starting fleet grows one host at a time, so only
// changes of at least one eighth are reported.
bool IsNewSize(std::int64_t reported, std::int64_t hosts) {
  constexpr std::int64_t kStep = 8;
  return hosts > 0 && std::abs(hosts - reported) * kStep >= reported;
}

std::vector<PeerAddress> ToPeers(const std::vector<SocketAddress>& seeds) {
  std::vector<PeerAddress> peers;
  peers.reserve(seeds.size());
  for (const SocketAddress& it : seeds) {
    peers.push_back({"", it.ip, it.port});
  }
  return peers;
}

}  // namespace

PublishedLoop::PublishedLoop(PublishedFeedOptions options,
                             PublishedSource& source,
                             PublishedLoopEvents& events,
                             std::uint64_t random_seed)
    : source_(source),
      events_(events),
      feed_(std::move(options), random_seed) {}

PublishedLoop::~PublishedLoop() {
  Stop();
}

void PublishedLoop::ShareCrashes(RequestQuarantine& quarantine) {
  crashes_.emplace(quarantine);
}

void PublishedLoop::ShareRates(EndpointRates& rates) {
  rate_exchange_.emplace(rates, FleetTopology::kStar);
}

void PublishedLoop::ShareOverload(OverloadView& overload) {
  overload_exchange_.emplace(overload, FleetTopology::kStar,
                             std::random_device()());
}

void PublishedLoop::ShareRelays(RelayDirectory& relays) {
  relay_exchange_.emplace(relays, std::random_device()());
}

void PublishedLoop::Start(PeerTransport* transport) {
  transport_ = transport;
  ConnectExchanges();
  running_ = true;
  thread_ = std::thread([this] { Run(); });
}

void PublishedLoop::Stop() {
  DisconnectExchanges();
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_all();
  while (running_) {
    source_.Interrupt();
    std::this_thread::sleep_for(kStopPollInterval);
  }
  if (thread_.joinable()) {
    thread_.join();
  }
}

template <typename Action>
void PublishedLoop::ForEachExchange(Action action) {
  const auto apply = [&](auto& exchange) {
    if (exchange) {
      action(exchange);
    }
  };
  apply(crashes_);
  apply(rate_exchange_);
  apply(relay_exchange_);
  apply(overload_exchange_);
}

void PublishedLoop::ConnectExchanges() {
  ForEachExchange([this](auto& it) {
    it->SetOnUpdates([this, &it] { SendExchangeUpdate(it); });
  });
}

void PublishedLoop::DisconnectExchanges() {
  ForEachExchange([](auto& it) { it->SetOnUpdates({}); });
}

void PublishedLoop::SetSeeds(std::vector<SocketAddress> seeds) {
  std::unique_lock lock(mutex_);
  feed_.SetSeeds(std::move(seeds));
  PublishChanges(lock);
  wake_.notify_all();
}

FeedCounters PublishedLoop::counters() const {
  const std::lock_guard lock(mutex_);
  return feed_.counters();
}

bool PublishedLoop::reads_store() const {
  const std::lock_guard lock(mutex_);
  return feed_.reads_store();
}

StoreEra PublishedLoop::store_era() const {
  const std::lock_guard lock(mutex_);
  return feed_.view().revision().era;
}

std::optional<Duration> PublishedLoop::Age(TimePoint now) const {
  const std::lock_guard lock(mutex_);
  return feed_.Age(now);
}

void PublishedLoop::Run() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    const FeedStep step = feed_.NextStep(Clock::now());
    PublishChanges(lock);
    if (stopping_) {
      break;
    }
    if (step.kind == FeedStep::Kind::kWait) {
      wake_.wait_for(lock, step.time);
      continue;
    }
    lock.unlock();
    Execute(step);
    lock.lock();
  }
  running_ = false;
}

template <typename Call, typename Take>
void PublishedLoop::CallStore(Call call, Take take) {
  Try(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(items, call());
        const std::lock_guard lock(mutex_);
        take(items);
        return {};
      },
      [&](const Error& error) {
        const std::lock_guard lock(mutex_);
        feed_.OnFailure(error, Clock::now());
      });
}

void PublishedLoop::Execute(const FeedStep& step) {
  if (step.kind == FeedStep::Kind::kReadPart) {
    CallStore([&] { return source_.ReadPart(step.time); },
              [&](const PublishedItems& items) {
                feed_.OnReadPart(items, Clock::now());
              });
    return;
  }
  if (step.kind == FeedStep::Kind::kReadEndpoints) {
    CallStore([&] { return source_.ReadEndpoints(step.time); },
              [&](const PublishedItems& items) {
                feed_.OnReadEndpoints(items, Clock::now());
              });
    return;
  }
  if (step.kind == FeedStep::Kind::kReadAll) {
    CallStore([&] { return source_.ReadAll(step.time); },
              [&](const PublishedItems& items) {
                feed_.OnReadAll(items, Clock::now());
              });
    return;
  }
  Revision after = 0;
  {
    const std::lock_guard lock(mutex_);
    after = feed_.view().revision().number;
  }
  CallStore([&] { return source_.Watch(after, step.time); },
            [&](const PublishedItems& items) {
              feed_.OnWatched(items, Clock::now());
            });
}

void PublishedLoop::PublishChanges(std::unique_lock<std::mutex>& lock) {
  const TimePoint now = Clock::now();
  feed_.SendUpdates(now, out_);
  const std::vector<Outbox::Multicast> parcels = out_.TakeMulticasts();
  const std::vector<SocketAddress> seeds = feed_.WantedSeeds(now);
  const bool has_new_seeds = seeds != seeds_;
  seeds_ = seeds;
  for (const Error& it : feed_.view().TakeRefused()) {
    spdlog::error("event=published-value-refused {}", ToString(it));
  }
  for (const Error& it : feed_.view().TakeAdjusted()) {
    spdlog::warn("event=published-value-adjusted {}", ToString(it));
  }
  const std::int64_t hosts = feed_.KnownHosts();
  const bool has_new_size =
      hosts != reported_hosts_ && IsNewSize(reported_hosts_, hosts);
  const HostNumber host_number = feed_.OwnHostNumber(now);
  const bool has_new_number =
      host_number != std::exchange(reported_number_, host_number);
  const bool changed =
      feed_.view().TakeChanged() || has_new_size || has_new_number;
  std::unique_lock notify_lock(notify_mutex_, std::defer_lock);
  if (changed) {
    // Acquired before the state lock is released, so that an older state cannot
    // be reported after a newer one.
    notify_lock.lock();
  }
  PublishedState state;
  if (changed) {
    if (has_new_size) {
      reported_hosts_ = hosts;
    }
    const PublishedView& view = feed_.view();
    state = {view.routes(), view.Endpoints(), view.drained_zones().InForce(),
             reported_hosts_, host_number};
  }
  lock.unlock();
  if (changed) {
    events_.OnPublished(state);
    notify_lock.unlock();
  }
  SendFrames(parcels);
  if (has_new_seeds && transport_ != nullptr) {
    transport_->SetPeers(ToPeers(seeds));
  }
  lock.lock();
}

void PublishedLoop::SendFrames(const std::vector<Outbox::Multicast>& parcels) {
  if (transport_ == nullptr) {
    return;
  }
  for (const Outbox::Multicast& parcel : parcels) {
    const std::string frame = EncodePeerMessage(parcel.message);
    for (const HostId& it : parcel.to) {
      transport_->Send(it.text(), frame);
    }
  }
}

void PublishedLoop::ExchangeCrashes(const HostId& host,
                                    const PeerMessage& message) {
  if (!crashes_) {
    return;
  }
  if (const auto* hello = std::get_if<FeedHello>(&message)) {
    const bool is_seed = hello->rank != FeedHello::kNoSeed;
    crashes_->OnPeer(host,
                     is_seed ? CrashPeerRole::kSeed : CrashPeerRole::kFollower,
                     Clock::now(), out_);
  } else if (const auto* report = std::get_if<CrashReport>(&message)) {
    crashes_->OnReport(host, *report, Clock::now(), out_);
  }
}

void PublishedLoop::ExchangeRates(const HostId& host,
                                  const PeerMessage& message) {
  if (!rate_exchange_) {
    return;
  }
  if (std::holds_alternative<FeedHello>(message)) {
    rate_exchange_->OnPeer(host, Clock::now(), out_);
  } else if (const auto* report = std::get_if<EndpointRateReport>(&message)) {
    rate_exchange_->OnReport(host, *report, Clock::now(), out_);
  }
}

void PublishedLoop::ExchangeRelays(const HostId& host,
                                   const PeerMessage& message) {
  if (!relay_exchange_) {
    return;
  }
  if (const auto* hello = std::get_if<FeedHello>(&message)) {
    const bool is_seed = hello->rank != FeedHello::kNoSeed;
    relay_exchange_->OnPeer(
        host, is_seed ? RelayPeerRole::kSeed : RelayPeerRole::kFollower, out_);
  } else if (const auto* offers = std::get_if<RelayOffers>(&message)) {
    relay_exchange_->OnOffers(host, *offers, out_);
  } else if (const auto* peers = std::get_if<RelayPeers>(&message)) {
    relay_exchange_->OnPeers(*peers);
  }
}

void PublishedLoop::ExchangeOverload(const HostId& host,
                                     const PeerMessage& message) {
  if (!overload_exchange_) {
    return;
  }
  if (const auto* hello = std::get_if<FeedHello>(&message)) {
    const bool is_seed = hello->rank != FeedHello::kNoSeed;
    overload_exchange_->OnPeer(
        host, is_seed ? OverloadPeerRole::kSeed : OverloadPeerRole::kFollower);
  } else if (const auto* report = std::get_if<ServiceLoadReport>(&message)) {
    overload_exchange_->OnReport(host, *report, Clock::now(), out_);
  } else if (const auto* sum = std::get_if<ServiceLoadSum>(&message)) {
    overload_exchange_->OnSum(host, *sum, Clock::now(), out_);
  }
}

template <typename Exchange>
void PublishedLoop::SendExchangeUpdate(std::optional<Exchange>& exchange) {
  Outbox out;
  {
    const std::lock_guard lock(mutex_);
    exchange->Share(Clock::now(), out);
  }
  SendFrames(out.TakeMulticasts());
}

void PublishedLoop::OnLinkUp(const std::string& host,
                             std::uint64_t incarnation) {
  spdlog::info("event=peer-linked peer={} incarnation={}", host, incarnation);
  std::unique_lock lock(mutex_);
  feed_.OnLinkUp(HostId(host), Clock::now(), out_);
  PublishChanges(lock);
}

void PublishedLoop::OnLinkDown(const std::string& host,
                               std::uint64_t incarnation) {
  spdlog::info("event=peer-lost peer={} incarnation={}", host, incarnation);
  const std::lock_guard lock(mutex_);
  feed_.OnLinkDown(HostId(host), Clock::now());
  if (crashes_) {
    crashes_->OnPeerGone(HostId(host));
  }
  if (rate_exchange_) {
    rate_exchange_->OnPeerGone(HostId(host));
  }
  if (relay_exchange_) {
    relay_exchange_->OnPeerGone(HostId(host), out_);
  }
  if (overload_exchange_) {
    overload_exchange_->OnPeerGone(HostId(host));
  }
}

void PublishedLoop::OnFrame(const std::string& host,
                            std::uint64_t /*incarnation*/,
                            std::string frame) {
  Try(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(message, DecodePeerMessage(frame));
        if (!message) {
          return {};
        }
        std::unique_lock lock(mutex_);
        feed_.OnMessage(HostId(host), *message, Clock::now(), out_);
        ExchangeCrashes(HostId(host), *message);
        ExchangeRates(HostId(host), *message);
        ExchangeRelays(HostId(host), *message);
        ExchangeOverload(HostId(host), *message);
        PublishChanges(lock);
        return {};
      },
      [&](const Error& error) {
        spdlog::warn("event=peer-frame-refused peer={} {}", host,
                     ToString(error));
      });
}

}  // namespace damasktack
