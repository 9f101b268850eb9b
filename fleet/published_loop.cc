#include "fleet/published_loop.h"

#include <spdlog/spdlog.h>

#include <cstdlib>
#include <utility>

#include "fleet/peer_codec.h"

namespace damasktack {

namespace {

// A stop interrupts a call that is waiting; one that has not connected yet
// does not hear of the first interruption.
constexpr Duration kStopPoll = std::chrono::milliseconds(5);

// Whether the owner should hear of another size of the fleet. It follows only
// steps of an eighth: each one makes shares anew, and a fleet that starts grows
// by a host at a time.
bool IsNewSize(std::int64_t told, std::int64_t hosts) {
  constexpr std::int64_t kStep = 8;
  return hosts > 0 && std::abs(hosts - told) * kStep >= told;
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

void PublishedLoop::Start(PeerTransport* transport) {
  transport_ = transport;
  ListenForNews();
  running_ = true;
  thread_ = std::thread([this] { Run(); });
}

void PublishedLoop::Stop() {
  StopListening();
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_all();
  while (running_) {
    source_.Interrupt();
    std::this_thread::sleep_for(kStopPoll);
  }
  if (thread_.joinable()) {
    thread_.join();
  }
}

void PublishedLoop::ListenForNews() {
  if (crashes_) {
    crashes_->SetOnUpdates([this] { SendNews(crashes_); });
  }
  if (rate_exchange_) {
    rate_exchange_->SetOnUpdates([this] { SendNews(rate_exchange_); });
  }
}

void PublishedLoop::StopListening() {
  if (crashes_) {
    crashes_->SetOnUpdates({});
  }
  if (rate_exchange_) {
    rate_exchange_->SetOnUpdates({});
  }
}

void PublishedLoop::SetSeeds(std::vector<SocketAddress> seeds) {
  std::unique_lock lock(mutex_);
  feed_.SetSeeds(std::move(seeds));
  Settle(lock);
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

std::optional<Duration> PublishedLoop::Age(TimePoint now) const {
  const std::lock_guard lock(mutex_);
  return feed_.Age(now);
}

void PublishedLoop::Run() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    const FeedStep step = feed_.Next(Clock::now());
    Settle(lock);
    if (stopping_) {
      break;
    }
    if (step.kind == FeedStep::Kind::kWait) {
      wake_.wait_for(lock, step.time);
      continue;
    }
    lock.unlock();
    CarryOut(step);
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

void PublishedLoop::CarryOut(const FeedStep& step) {
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
    after = feed_.view().revision();
  }
  CallStore([&] { return source_.Watch(after, step.time); },
            [&](const PublishedItems& items) {
              feed_.OnWatched(items, Clock::now());
            });
}

void PublishedLoop::Settle(std::unique_lock<std::mutex>& lock) {
  const TimePoint now = Clock::now();
  feed_.Feed(now, out_);
  const std::vector<Outbox::Parcel> parcels = out_.TakeParcels();
  const std::vector<SocketAddress> seeds = feed_.WantedSeeds(now);
  const bool has_new_seeds = seeds != seeds_;
  seeds_ = seeds;
  for (const Error& it : feed_.view().TakeRefused()) {
    spdlog::error("event=published-value-refused {}", ToString(it));
  }
  const std::int64_t hosts = feed_.KnownHosts();
  const bool has_new_size =
      hosts != told_hosts_ && IsNewSize(told_hosts_, hosts);
  const HostNumber seat = feed_.Seat(now);
  const bool has_new_seat = seat != std::exchange(told_seat_, seat);
  const bool changed =
      feed_.view().TakeChanged() || has_new_size || has_new_seat;
  std::unique_lock telling(telling_, std::defer_lock);
  if (changed) {
    // Taken before the other lock is let go, so that no older state is told
    // after a newer one.
    telling.lock();
  }
  PublishedState state;
  if (changed) {
    if (has_new_size) {
      told_hosts_ = hosts;
    }
    const PublishedView& view = feed_.view();
    state = {view.routes(), view.Endpoints(), view.drained_zones().InForce(),
             told_hosts_, seat};
  }
  lock.unlock();
  if (changed) {
    events_.OnPublished(state);
    telling.unlock();
  }
  SendFrames(parcels);
  if (has_new_seeds && transport_ != nullptr) {
    transport_->SetPeers(ToPeers(seeds));
  }
  lock.lock();
}

void PublishedLoop::SendFrames(const std::vector<Outbox::Parcel>& parcels) {
  if (transport_ == nullptr) {
    return;
  }
  for (const Outbox::Parcel& parcel : parcels) {
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

template <typename Exchange>
void PublishedLoop::SendNews(std::optional<Exchange>& exchange) {
  Outbox out;
  {
    const std::lock_guard lock(mutex_);
    exchange->Share(Clock::now(), out);
  }
  SendFrames(out.TakeParcels());
}

void PublishedLoop::OnLinkUp(const std::string& host,
                             std::uint64_t incarnation) {
  spdlog::info("event=peer-linked peer={} incarnation={}", host, incarnation);
  std::unique_lock lock(mutex_);
  feed_.OnLinkUp(HostId(host), Clock::now(), out_);
  Settle(lock);
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
        Settle(lock);
        return {};
      },
      [&](const Error& error) {
        spdlog::warn("event=peer-frame-refused peer={} {}", host,
                     ToString(error));
      });
}

}  // namespace damasktack
