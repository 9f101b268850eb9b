#ifndef FLEET_PUBLISHED_READER_H_
#define FLEET_PUBLISHED_READER_H_

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "core/random.h"
#include "fleet/published_source.h"
#include "fleet/published_view.h"

namespace damasktack {

struct PublishedReaderOptions {
  Duration read_timeout = std::chrono::seconds(1);
  // One watch waits this long. Bounds for how long a change stays unseen where
  // the answer to a watch was lost on its way.
  Duration watch = std::chrono::seconds(10);
  // After changes, the next watch starts this much later, so that changes that
  // come in quick succession cost one call together.
  Duration gather = std::chrono::milliseconds(150);
  // Between failed calls: doubled from the first to the second, jittered.
  Duration shortest_backoff = std::chrono::milliseconds(150);
  Duration longest_backoff = std::chrono::milliseconds(800);
  // An endpoint that vanishes this soon after the store was out of reach may
  // only have lost its lease.
  Duration after_outage = std::chrono::milliseconds(2500);
};

// What is published, as one host knows it now.
struct PublishedState {
  std::shared_ptr<const RouteBook> routes;
  std::vector<PublishedEndpoint> endpoints;
};

// Hears of changes, on the reader's thread; must not block for long.
class PublishedReaderEvents {
 public:
  virtual ~PublishedReaderEvents() = default;

  virtual void OnPublished(const PublishedState& state) = 0;
};

struct PublishedReaderCounters {
  std::uint64_t reads = 0;
  std::uint64_t watches = 0;
  std::uint64_t failures = 0;
  std::uint64_t refused = 0;
};

// Keeps a PublishedView up to date from one PublishedSource, on a thread of
// its own: one whole read, then watches; a whole read again after each gap.
class PublishedReader {
 public:
  PublishedReader(PublishedReaderOptions options,
                  PublishedSource& source,
                  PublishedReaderEvents& events,
                  std::uint64_t random_seed);
  ~PublishedReader();

  void Start();
  void Stop();

  PublishedReaderCounters counters() const;

 private:
  void Run();
  // One call and what follows from it.
  void Step();
  leaf::result<void> ReadAll();
  leaf::result<void> WatchOnce();
  void OnFailure(const Error& error);
  void OnContact();
  bool IsAfterOutage(TimePoint now) const;
  void Tell();
  // False where the reader is stopping.
  bool Pause(Duration time);
  Duration NextBackoff();
  Duration WatchTime(TimePoint now) const;

  const PublishedReaderOptions options_;
  PublishedSource& source_;
  PublishedReaderEvents& events_;
  std::thread thread_;
  std::atomic<bool> running_ = false;

  // Only the reader's thread uses these.
  PublishedView view_;
  Random random_;
  bool is_synced_ = false;
  bool lost_contact_ = false;
  Duration backoff_{};
  std::optional<TimePoint> regained_at_;

  mutable std::mutex mutex_;
  std::condition_variable wake_;
  bool stopping_ = false;
  PublishedReaderCounters counters_;
};

}  // namespace damasktack

#endif  // FLEET_PUBLISHED_READER_H_
