#include "fleet/platform_reader.h"

#include <spdlog/spdlog.h>

#include <utility>

namespace damasktack {

namespace {

constexpr Duration kStopPollInterval = std::chrono::milliseconds(5);

}  // namespace

PlatformReader::PlatformReader(PlatformReaderOptions options,
                               PlatformSource& source,
                               PlatformReaderEvents& events,
                               std::uint64_t random_seed)
    : options_(options),
      source_(source),
      events_(events),
      budget_(options.reads_per_second),
      slots_{Slot(ReadSchedule(options.schedule, random_seed)),
             Slot(ReadSchedule(options.schedule, random_seed + 1)),
             Slot(ReadSchedule(options.schedule, random_seed + 2))} {
  static_assert(kDocumentCount == 3);
}

PlatformReader::~PlatformReader() {
  Stop();
}

void PlatformReader::Start() {
  const std::lock_guard lock(mutex_);
  for (std::size_t n = 0; n < kDocumentCount; ++n) {
    slots_[n].schedule.Start(Clock::now());
    ++running_;
    slots_[n].thread =
        std::thread([this, n] { Run(static_cast<DocumentName>(n)); });
  }
}

void PlatformReader::Stop() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  // Interrupt repeatedly: a call that has not connected yet misses the first
  // interruption.
  while (running_ > 0) {
    source_.Interrupt();
    std::this_thread::sleep_for(kStopPollInterval);
  }
  for (Slot& it : slots_) {
    if (it.thread.joinable()) {
      it.thread.join();
    }
  }
}

void PlatformReader::SetReader(bool reader) {
  {
    const std::lock_guard lock(mutex_);
    reader_ = reader;
    for (Slot& it : slots_) {
      it.schedule.SetReader(reader, Clock::now());
    }
  }
  changed_.notify_all();
}

void PlatformReader::SetHosts(std::size_t hosts) {
  const std::lock_guard lock(mutex_);
  budget_.SetHosts(hosts, Clock::now());
  for (Slot& it : slots_) {
    it.schedule.SetHosts(hosts);
  }
}

void PlatformReader::SetKnownRevision(DocumentName name, Revision revision) {
  const std::lock_guard lock(mutex_);
  SlotOf(name).known = revision;
}

void PlatformReader::ReadSoon(std::uint64_t check) {
  {
    const std::lock_guard lock(mutex_);
    check_ = check;
    for (Slot& it : slots_) {
      it.schedule.ReadSoon(Clock::now());
      it.unconditional = true;
    }
  }
  source_.Interrupt();
  changed_.notify_all();
}

PlatformReaderCounters PlatformReader::counters() const {
  const std::lock_guard lock(mutex_);
  return counters_;
}

void PlatformReader::Run(DocumentName name) {
  Slot& slot = SlotOf(name);
  std::unique_lock lock(mutex_);
  while (WaitForRead(lock, slot)) {
    ReadOnce(lock, name, slot);
  }
  --running_;
}

bool PlatformReader::WaitForRead(std::unique_lock<std::mutex>& lock,
                                 Slot& slot) {
  while (!stopping_) {
    const TimePoint now = Clock::now();
    if (now < slot.schedule.due()) {
      changed_.wait_until(lock, slot.schedule.due());
      continue;
    }
    const Duration wait = budget_.Take(now);
    if (wait == Duration::zero()) {
      return true;
    }
    ++counters_.throttled;
    changed_.wait_for(lock, wait);
  }
  return false;
}

void PlatformReader::ReadOnce(std::unique_lock<std::mutex>& lock,
                              DocumentName name,
                              Slot& slot) {
  Result result;
  // Only readers keep a watch open.
  result.unconditional = std::exchange(slot.unconditional, false) || !reader_;
  const Revision after = std::max(slot.known, slot.returned_revision);
  const std::uint64_t check = check_;
  ++counters_.reads;
  lock.unlock();
  const TimePoint began = Clock::now();
  result.document =
      Try([&] { return Request(name, result.unconditional, after); },
          [&](const Error& error) {
            result.reached = false;
            spdlog::debug("event=platform-read-failed {}", ToString(error));
            return std::optional<Document>();
          });
  const TimePoint ended = Clock::now();
  result.duration = ended - began;
  if (result.document) {
    events_.OnDocument(*result.document);
  }
  events_.OnQueried(name, check);
  lock.lock();
  RecordResult(slot, result, ended);
}

leaf::result<std::optional<Document>>
PlatformReader::Request(DocumentName name, bool unconditional, Revision after) {
  if (!unconditional) {
    return source_.Watch(name, after, options_.watch);
  }
  BOOST_LEAF_AUTO(document, source_.Read(name, options_.read_timeout));
  return std::optional<Document>(std::move(document));
}

// A platform restored from an old copy returns older revisions, a faulty one
// answers watches at once, and a rejected value stays the newest one until
// another is published. None of these cases may turn the watch into a busy
// loop: the next watch waits for a revision above the one returned, and a
// response without a new value counts as a failure when the next read is
// scheduled. A value that was returned but did not become current, for example
// because it was truncated in transit, is read again after one watch without a
// change.
void PlatformReader::RecordResult(Slot& slot,
                                  const Result& result,
                                  TimePoint now) {
  counters_.failures += result.reached ? 0 : 1;
  const bool is_repeated =
      result.document && result.document->revision <= slot.returned_revision;
  const bool is_early = result.reached && !result.document &&
                        result.duration < options_.watch / 2;
  if (result.document) {
    slot.returned_revision =
        std::max(slot.returned_revision, result.document->revision);
  } else if (result.reached && slot.returned_revision > slot.known) {
    slot.unconditional = true;
  }
  if (result.reached && !is_repeated && !is_early) {
    slot.schedule.Answered(now);
  } else {
    slot.schedule.Failed(now);
  }
}

}  // namespace damasktack
