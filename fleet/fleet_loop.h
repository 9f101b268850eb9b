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
  // A longer gap between two turns of the loop means that the process was
  // stopped; what it believes has to be checked.
  Duration late_wake = std::chrono::seconds(1);
  // Frames and bytes that may wait for the loop.
  std::size_t queue_frames = 10'000;
  std::size_t queue_bytes = 64'000'000;
};

// Hears of changes, on the loop's thread; must not block.
class FleetLoopEvents {
 public:
  virtual ~FleetLoopEvents() = default;

  // `state` differs from the last one in documents, refusals, view, reader,
  // readiness or check.
  virtual void OnFleetState(std::shared_ptr<const FleetState> state) = 0;
  // A peer has seen this endpoint drain.
  virtual void OnHeardDrain(const DrainObservation& sighting) = 0;
};

// The one thread on which a FleetCore lives. Everything else reaches it by
// posting; what others may see is published as a FleetState.
class FleetLoop : public PeerTransportEvents {
 public:
  using Task = std::function<void(FleetCore& core, TimePoint now)>;

  FleetLoop(FleetLoopOptions options, FleetCore core, FleetLoopEvents& events);
  ~FleetLoop() override;

  // `transport` must outlive Stop.
  void Start(PeerTransport& transport);
  // Runs what was posted before it, then ends the thread.
  void Stop();

  // Runs `task` on the loop's thread; never dropped.
  void Post(Task task);
  std::shared_ptr<const FleetState> state() const;

  // Whether what the loop published may be acted on at `now`: it has been
  // checked, and the loop has turned a short while ago. A thread that runs
  // first after the process was stopped gets false before the loop itself has
  // noticed.
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
  void NoticeLateWake(TimePoint now);
  void SendOutbox();
  void UpdateLinks();
  void Publish(bool with_counters);

  const FleetLoopOptions options_;
  FleetLoopEvents& events_;
  PeerTransport* transport_ = nullptr;
  std::thread thread_;

  // Only the loop's thread uses these.
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
  std::atomic<TimePoint> last_turn_ = TimePoint();
};

}  // namespace damasktack

#endif  // FLEET_FLEET_LOOP_H_
