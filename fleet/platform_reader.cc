#include "fleet/platform_reader.h"

#include <spdlog/spdlog.h>

#include <utility>

namespace damasktack {

namespace {

constexpr Duration kStopPoll = std::chrono::milliseconds(5);

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
  // A call that has not connected yet does not hear of the first stop.
  while (running_ > 0) {
    source_.Interrupt();
    std::this_thread::sleep_for(kStopPoll);
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
      it.plain_read = true;
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
  while (WaitForTurn(lock, slot)) {
    ReadOnce(lock, name, slot);
  }
  --running_;
}

bool PlatformReader::WaitForTurn(std::unique_lock<std::mutex>& lock,
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
  // A host that is no reader does not hold a watch open.
  result.plain_read = std::exchange(slot.plain_read, false) || !reader_;
  const Revision after = std::max(slot.known, slot.handed_out);
  const std::uint64_t check = check_;
  ++counters_.reads;
  lock.unlock();
  const TimePoint began = Clock::now();
  result.document =
      Try([&] { return Ask(name, result.plain_read, after); },
          [&](const Error& error) {
            result.reached = false;
            spdlog::debug("event=platform-read-failed {}", ToString(error));
            return std::optional<Document>();
          });
  const TimePoint ended = Clock::now();
  result.took = ended - began;
  if (result.document) {
    events_.OnDocument(*result.document);
  }
  events_.OnQueried(name, check);
  lock.lock();
  Note(slot, result, ended);
}

leaf::result<std::optional<Document>> PlatformReader::Ask(DocumentName name,
                                                          bool plain_read,
                                                          Revision after) {
  if (!plain_read) {
    return source_.Watch(name, after, options_.watch);
  }
  BOOST_LEAF_AUTO(document, source_.Read(name, options_.read_timeout));
  return std::optional<Document>(std::move(document));
}

// A platform that came back from an old copy hands out older revisions, a
// broken one answers watches at once, and a refused value stays the newest one
// until somebody publishes again. None of them may turn the watch into a busy
// loop: the next watch waits for a revision above the one handed out, and an
// answer that brings nothing new counts like a failure for the time of the next
// read. A value that was handed out and did not come into force, perhaps
// because it was cut short on its way, is read again after one quiet watch.
void PlatformReader::Note(Slot& slot, const Result& result, TimePoint now) {
  counters_.failures += result.reached ? 0 : 1;
  const bool repeated =
      result.document && result.document->revision <= slot.handed_out;
  const bool hasty =
      result.reached && !result.document && result.took < options_.watch / 2;
  if (result.document) {
    slot.handed_out = std::max(slot.handed_out, result.document->revision);
  } else if (result.reached && slot.handed_out > slot.known) {
    slot.plain_read = true;
  }
  if (result.reached && !repeated && !hasty) {
    slot.schedule.Answered(now);
  } else {
    slot.schedule.Failed(now);
  }
}

}  // namespace damasktack
