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
  // Maximum duration of one watch.
  Duration watch = std::chrono::seconds(20);
  Duration read_timeout = std::chrono::seconds(2);
  // Maximum rate of reads and watches of all hosts together.
  double reads_per_second = 200;
};

struct PlatformReaderCounters {
  std::uint64_t reads = 0;
  std::uint64_t failures = 0;
  // Number of waits for the read budget.
  std::uint64_t throttled = 0;
};

// Receives the responses of the platform, on the threads of the reader.
class PlatformReaderEvents {
 public:
  virtual ~PlatformReaderEvents() = default;

  virtual void OnDocument(Document document) = 0;
  // The platform has answered, or the read has failed; called after OnDocument.
  // `check` is the check that was current when the request was sent.
  virtual void OnQueried(DocumentName name, std::uint64_t check) = 0;
};

// Reads the documents of the platform, continuously while this host is a reader
// and rarely otherwise, within its share of the read budget of the fleet. Uses
// one thread per document because a watch blocks.
class PlatformReader {
 public:
  PlatformReader(PlatformReaderOptions options,
                 PlatformSource& source,
                 PlatformReaderEvents& events,
                 std::uint64_t random_seed);
  ~PlatformReader();

  void Start();
  // Interrupts pending calls and ends the threads.
  void Stop();

  void SetReader(bool reader);
  void SetHosts(std::size_t hosts);
  // Sets the current revision of a document; only newer revisions of the
  // platform are changes.
  void SetKnownRevision(DocumentName name, Revision revision);
  // Reads all documents soon and unconditionally under the given check number;
  // interrupts pending watches.
  void ReadSoon(std::uint64_t check);

  PlatformReaderCounters counters() const;

 private:
  struct Slot {
    explicit Slot(ReadSchedule it) : schedule(std::move(it)) {}

    ReadSchedule schedule;
    Revision known = 0;
    // The highest revision returned by the platform, whether or not it became
    // current.
    Revision returned_revision = 0;
    // The next read requests the current value instead of watching for a newer
    // one.
    bool unconditional = true;
    std::thread thread;
  };

  void Run(DocumentName name);
  // Waits until a read is due and within budget; returns false if the reader
  // stops.
  bool WaitForRead(std::unique_lock<std::mutex>& lock, Slot& slot);
  void ReadOnce(std::unique_lock<std::mutex>& lock,
                DocumentName name,
                Slot& slot);
  leaf::result<std::optional<Document>> Request(DocumentName name,
                                                bool unconditional,
                                                Revision after);
  // The result of one read.
  struct Result {
    bool reached = true;
    std::optional<Document> document;
    Duration duration{};
    bool unconditional = false;
  };

  void RecordResult(Slot& slot, const Result& result, TimePoint now);
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
