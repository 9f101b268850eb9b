#ifndef FLEET_PLATFORM_READER_H_
#define FLEET_PLATFORM_READER_H_

#include <array>
#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <thread>

#include "fleet/platform_source.h"
#include "fleet/read_budget.h"
#include "fleet/read_schedule.h"

namespace damasktack {

struct PlatformReaderOptions {
  ReadScheduleOptions schedule;
  // How long one watch waits at the platform.
  Duration watch = std::chrono::seconds(20);
  Duration read_timeout = std::chrono::seconds(2);
  // Reads and watches a second that all hosts together may send.
  double reads_per_second = 200;
};

struct PlatformReaderCounters {
  std::uint64_t reads = 0;
  std::uint64_t failures = 0;
  // Waits for the budget.
  std::uint64_t throttled = 0;
};

// Hears what the platform said; on the reader's threads.
class PlatformReaderEvents {
 public:
  virtual ~PlatformReaderEvents() = default;

  virtual void OnDocument(Document document) = 0;
  // The platform was asked and answered, or failed; after OnDocument. `check`
  // is the one that was current when the question went out.
  virtual void OnQueried(DocumentName name, std::uint64_t check) = 0;
};

// Reads the platform's documents while this host is a reader, and rarely
// otherwise, within its part of the fleet's budget. One thread a document,
// because a watch waits.
class PlatformReader {
 public:
  PlatformReader(PlatformReaderOptions options,
                 PlatformSource& source,
                 PlatformReaderEvents& events,
                 std::uint64_t random_seed);
  ~PlatformReader();

  void Start();
  // Ends waiting calls and the threads.
  void Stop();

  void SetReader(bool reader);
  void SetHosts(std::size_t hosts);
  // The revision in force; what the platform has above it is news.
  void SetKnownRevision(DocumentName name, Revision revision);
  // Reads all documents soon and unconditionally, under this check's number;
  // watches that wait are cut short.
  void ReadSoon(std::uint64_t check);

  PlatformReaderCounters counters() const;

 private:
  struct Slot {
    explicit Slot(ReadSchedule it) : schedule(std::move(it)) {}

    ReadSchedule schedule;
    Revision known = 0;
    // The highest that the platform handed out, in force or not.
    Revision handed_out = 0;
    // The next read asks for the value as it stands.
    bool plain_read = true;
    std::thread thread;
  };

  void Run(DocumentName name);
  // Waits until a read is due and paid for; false where the reader stops.
  bool WaitForTurn(std::unique_lock<std::mutex>& lock, Slot& slot);
  void ReadOnce(std::unique_lock<std::mutex>& lock,
                DocumentName name,
                Slot& slot);
  leaf::result<std::optional<Document>> Ask(DocumentName name,
                                            bool plain_read,
                                            Revision after);
  // What one read came to.
  struct Result {
    bool reached = true;
    std::optional<Document> document;
    Duration took{};
    bool plain_read = false;
  };

  void Note(Slot& slot, const Result& result, TimePoint now);
  Slot& SlotOf(DocumentName name) {
    return slots_[static_cast<std::size_t>(name)];
  }

  const PlatformReaderOptions options_;
  PlatformSource& source_;
  PlatformReaderEvents& events_;

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  bool stopping_ = false;
  bool reader_ = false;
  std::uint64_t check_ = 0;
  ReadBudget budget_;
  std::array<Slot, kDocumentCount> slots_;
  PlatformReaderCounters counters_;
  std::atomic<int> running_ = 0;
};

}  // namespace damasktack

#endif  // FLEET_PLATFORM_READER_H_
