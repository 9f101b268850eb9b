#include "fleet/published_reader.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace damasktack {

namespace {

// A stop interrupts a call that is waiting; one that has not connected yet
// does not hear of the first interruption.
constexpr Duration kStopPoll = std::chrono::milliseconds(5);

}  // namespace

PublishedReader::PublishedReader(PublishedReaderOptions options,
                                 PublishedSource& source,
                                 PublishedReaderEvents& events,
                                 std::uint64_t random_seed)
    : options_(options),
      source_(source),
      events_(events),
      random_(random_seed) {}

PublishedReader::~PublishedReader() {
  Stop();
}

void PublishedReader::Start() {
  running_ = true;
  thread_ = std::thread([this] { Run(); });
}

void PublishedReader::Stop() {
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

PublishedReaderCounters PublishedReader::counters() const {
  const std::lock_guard lock(mutex_);
  return counters_;
}

void PublishedReader::Run() {
  while (Pause(Duration::zero())) {
    Step();
  }
  running_ = false;
}

void PublishedReader::Step() {
  const std::optional<Error> fault =
      FaultOf([&] { return is_synced_ ? WatchOnce() : ReadAll(); });
  if (fault) {
    OnFailure(*fault);
  } else {
    OnContact();
  }
  view_.Advance(Clock::now());
  Tell();
  if (fault && fault->kind != ErrorKind::kStale) {
    Pause(NextBackoff());
  }
}

leaf::result<void> PublishedReader::ReadAll() {
  {
    const std::lock_guard lock(mutex_);
    ++counters_.reads;
  }
  BOOST_LEAF_AUTO(all, source_.ReadAll(options_.read_timeout));
  const TimePoint now = Clock::now();
  view_.TakeAll(all, lost_contact_ || IsAfterOutage(now), now);
  is_synced_ = true;
  return {};
}

leaf::result<void> PublishedReader::WatchOnce() {
  {
    const std::lock_guard lock(mutex_);
    ++counters_.watches;
  }
  BOOST_LEAF_AUTO(changes,
                  source_.Watch(view_.revision(), WatchTime(Clock::now())));
  const TimePoint now = Clock::now();
  view_.TakeChanges(changes, IsAfterOutage(now), now);
  if (!changes.items.empty()) {
    Tell();
    Pause(options_.gather);
  }
  return {};
}

// An endpoint that waits to be given up must not wait for the next change.
Duration PublishedReader::WatchTime(TimePoint now) const {
  const std::optional<TimePoint> next = view_.NextChange();
  if (!next) {
    return options_.watch;
  }
  return std::clamp<Duration>(*next - now, std::chrono::milliseconds(1),
                              options_.watch);
}

void PublishedReader::OnFailure(const Error& error) {
  is_synced_ = false;
  {
    const std::lock_guard lock(mutex_);
    ++counters_.failures;
  }
  // Old changes were dropped; that is no loss of contact.
  if (error.kind == ErrorKind::kStale) {
    spdlog::info("event=store-history-lost revision={}", view_.revision());
    return;
  }
  if (!std::exchange(lost_contact_, true)) {
    spdlog::warn("event=store-lost revision={} {}", view_.revision(),
                 ToString(error));
  }
}

void PublishedReader::OnContact() {
  backoff_ = Duration::zero();
  if (std::exchange(lost_contact_, false)) {
    regained_at_ = Clock::now();
    spdlog::info("event=store-regained revision={}", view_.revision());
  }
}

bool PublishedReader::IsAfterOutage(TimePoint now) const {
  return regained_at_ && now - *regained_at_ < options_.after_outage;
}

void PublishedReader::Tell() {
  for (const Error& it : view_.TakeRefused()) {
    spdlog::error("event=published-value-refused {}", ToString(it));
    const std::lock_guard lock(mutex_);
    ++counters_.refused;
  }
  if (view_.TakeChanged()) {
    events_.OnPublished({view_.routes(), view_.Endpoints()});
  }
}

bool PublishedReader::Pause(Duration time) {
  std::unique_lock lock(mutex_);
  wake_.wait_for(lock, time, [this] { return stopping_; });
  return !stopping_;
}

Duration PublishedReader::NextBackoff() {
  backoff_ = std::clamp(2 * backoff_, options_.shortest_backoff,
                        options_.longest_backoff);
  // From half of it to one and a half, so that hosts that lost the store
  // together do not come back together.
  constexpr std::uint32_t kScale = 1000;
  return backoff_ / 2 + backoff_ * UniformBelow(random_, kScale) / kScale;
}

}  // namespace damasktack
