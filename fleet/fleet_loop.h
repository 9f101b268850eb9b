#ifndef FLEET_FLEET_LOOP_H_
#define FLEET_FLEET_LOOP_H_

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "fleet/fleet_core.h"
#include "fleet/fleet_state.h"

namespace damasktack {

struct FleetLoopOptions {
  Duration tick = std::chrono::milliseconds(50);
  // A longer gap between two iterations of the loop means that the process was
  // suspended and its data must be checked.
  Duration late_wake = std::chrono::seconds(1);
  // Maximum number of frames and bytes in the queue of the loop.
  std::size_t queue_frames = 10'000;
  std::size_t queue_bytes = 64'000'000;
};

// Receives changes on the loop thread. Implementations must not block.
class FleetLoopEvents {
 public:
  virtual ~FleetLoopEvents() = default;

  // Called if documents, refusals, view, reader, readiness or check number have
  // changed.
  virtual void OnFleetState(std::shared_ptr<const FleetState> state) = 0;
  // A peer has reported that this endpoint is draining.
  virtual void OnPeerDrainObserved(const DrainObservation& observation) = 0;
};

// Runs a FleetCore on a dedicated thread. Other threads access it by posting
// tasks; its state is published as a FleetState.
class FleetLoop : public PeerTransportEvents {
 public:
  using Task = std::function<void(FleetCore& core, TimePoint now)>;

  FleetLoop(FleetLoopOptions options, FleetCore core, FleetLoopEvents& events);
  ~FleetLoop() override;

  // `transport` must outlive Stop.
  void Start(PeerTransport& transport);
  // Runs the tasks posted so far, then ends the thread.
  void Stop();

  // Runs `task` on the loop thread. Posted tasks are never dropped.
  void Post(Task task);
  std::shared_ptr<const FleetState> state() const;

  // Whether the published state may be used at `now`: a check has succeeded,
  // and the loop has run recently. After the process was suspended, other
  // threads get false even before the loop has detected the late wake-up.
  bool IsCurrent(TimePoint now) const;

  void OnLinkUp(const std::string& host, std::uint64_t incarnation) override;
  void OnLinkDown(const std::string& host, std::uint64_t incarnation) override;
  void OnFrame(const std::string& host,
               std::uint64_t incarnation,
               std::string frame) override;

 private:
  struct Event {
    Task task;
    std::size_t bytes = 0;
  };

  void Run();
  std::deque<Event> WaitForEvents();
  void DetectLateWake(TimePoint now);
  void SendOutbox();
  void UpdateLinks();
  void Publish(bool with_counters);

  const FleetLoopOptions options_;
  FleetLoopEvents& events_;
  PeerTransport* transport_ = nullptr;
  std::thread thread_;

  // Only used on the loop thread.
  FleetCore core_;
  std::vector<PeerAddress> links_;
  TimePoint next_tick_;

  mutable std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<Event> queue_;
  std::size_t queued_frames_ = 0;
  std::size_t queued_bytes_ = 0;
  std::uint64_t queue_dropped_ = 0;
  bool stopping_ = false;
  std::shared_ptr<const FleetState> state_;
  std::atomic<TimePoint> last_iteration_ = TimePoint();
};

}  // namespace damasktack

#endif  // FLEET_FLEET_LOOP_H_
