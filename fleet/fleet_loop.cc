#include "fleet/fleet_loop.h"

#include <utility>

#include "fleet/peer_codec.h"
#include "fleet/reader_election.h"

namespace damasktack {

namespace {

FleetState MakeState(const FleetCore& core) {
  FleetState state;
  for (std::size_t n = 0; n < kDocumentCount; ++n) {
    const auto name = static_cast<DocumentName>(n);
    state.documents[n] = core.documents().InForce(name);
    state.refused[n] = core.documents().Refused(name);
  }
  state.view = core.view();
  state.reader = IsReader(core.view());
  state.ready = core.ready();
  state.check_number = core.check_number();
  state.counters = core.counters();
  state.document_counters = core.documents().counters();
  return state;
}

bool EqualExceptCounters(const FleetState& a, const FleetState& b) {
  for (std::size_t n = 0; n < kDocumentCount; ++n) {
    const bool is_same_refusal =
        a.refused[n].has_value() == b.refused[n].has_value() &&
        (!a.refused[n] || a.refused[n]->version == b.refused[n]->version);
    if (!is_same_refusal) {
      return false;
    }
  }
  return a.documents == b.documents && a.view == b.view &&
         a.reader == b.reader && a.ready == b.ready &&
         a.check_number == b.check_number;
}

}  // namespace

FleetLoop::FleetLoop(FleetLoopOptions options,
                     FleetCore core,
                     FleetLoopEvents& events)
    : options_(options),
      events_(events),
      core_(std::move(core)),
      state_(std::make_shared<FleetState>()) {}

FleetLoop::~FleetLoop() {
  Stop();
}

void FleetLoop::Start(PeerTransport& transport) {
  transport_ = &transport;
  last_iteration_ = Clock::now();
  thread_ = std::thread([this] { Run(); });
}

void FleetLoop::Stop() {
  if (!thread_.joinable()) {
    return;
  }
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_one();
  thread_.join();
}

void FleetLoop::Post(Task task) {
  {
    const std::lock_guard lock(mutex_);
    queue_.push_back({std::move(task), 0});
  }
  wake_.notify_one();
}

std::shared_ptr<const FleetState> FleetLoop::state() const {
  const std::lock_guard lock(mutex_);
  return state_;
}

bool FleetLoop::IsCurrent(TimePoint now) const {
  return now - last_iteration_.load() <= options_.late_wake && state()->ready;
}

void FleetLoop::OnLinkUp(const std::string& host, std::uint64_t incarnation) {
  Post([=](FleetCore& core, TimePoint now) {
    core.LinkUp(HostId(host), incarnation, now);
  });
}

void FleetLoop::OnLinkDown(const std::string& host, std::uint64_t incarnation) {
  Post([=](FleetCore& core, TimePoint now) {
    core.LinkDown(HostId(host), incarnation, now);
  });
}

void FleetLoop::OnFrame(const std::string& host,
                        std::uint64_t incarnation,
                        std::string frame) {
  const std::size_t n = frame.size();
  {
    const std::lock_guard lock(mutex_);
    if (queued_frames_ >= options_.queue_frames ||
        queued_bytes_ + n > options_.queue_bytes) {
      ++queue_dropped_;
      return;
    }
    ++queued_frames_;
    queued_bytes_ += n;
    const Sender sender{HostId(host), incarnation};
    queue_.push_back(
        {[sender, frame = std::move(frame)](FleetCore& core, TimePoint now) {
           core.OnFrame(sender, frame, now);
         },
         n});
  }
  wake_.notify_one();
}

void FleetLoop::Run() {
  while (true) {
    const std::deque<Event> events = WaitForEvents();
    const TimePoint now = Clock::now();
    DetectLateWake(now);
    for (const Event& it : events) {
      it.task(core_, now);
    }
    const bool is_tick_due = now >= next_tick_;
    if (is_tick_due) {
      core_.Tick(now);
      next_tick_ = now + options_.tick;
    }
    SendOutbox();
    UpdateLinks();
    Publish(is_tick_due);
    for (const DrainObservation& it : core_.TakePeerDrains()) {
      events_.OnPeerDrainObserved(it);
    }
    const std::lock_guard lock(mutex_);
    if (stopping_ && queue_.empty()) {
      return;
    }
  }
}

std::deque<FleetLoop::Event> FleetLoop::WaitForEvents() {
  std::unique_lock lock(mutex_);
  wake_.wait_until(lock, next_tick_,
                   [&] { return stopping_ || !queue_.empty(); });
  queued_frames_ = 0;
  queued_bytes_ = 0;
  return std::exchange(queue_, {});
}

// Queued frames were sent before or during the suspension of the process, so
// the core must be informed before it processes them.
void FleetLoop::DetectLateWake(TimePoint now) {
  if (now - last_iteration_.load() > options_.late_wake) {
    core_.OnLateWake(now);
    Publish(true);
  }
  last_iteration_ = now;
}

void FleetLoop::SendOutbox() {
  for (const Outbox::Item& it : core_.TakeOutbox()) {
    transport_->Send(it.to.text(), EncodePeerMessage(it.message));
  }
}

void FleetLoop::UpdateLinks() {
  std::vector<PeerAddress> wanted = core_.WantedLinks();
  if (wanted != links_) {
    links_ = wanted;
    transport_->SetPeers(std::move(wanted));
  }
}

void FleetLoop::Publish(bool with_counters) {
  auto next = std::make_shared<FleetState>(MakeState(core_));
  bool changed = false;
  {
    const std::lock_guard lock(mutex_);
    next->queue_dropped = queue_dropped_;
    changed = !EqualExceptCounters(*state_, *next);
    if (changed || with_counters) {
      state_ = next;
    }
  }
  if (changed) {
    events_.OnFleetState(std::move(next));
  }
}

}  // namespace damasktack
