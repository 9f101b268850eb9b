#ifndef PROXY_STOP_SCHEDULE_H_
#define PROXY_STOP_SCHEDULE_H_

#include "core/time.h"

namespace damasktack {

// Decides which requests a stopping host still accepts, from the time at which
// it aborts the calls that are left. Pure.
class StopSchedule {
 public:
  // Time before the end at which the last connections are closed.
  static constexpr Duration kClosingTime = std::chrono::milliseconds(100);
  // Time from a call's deadline to the last byte of its answer.
  static constexpr Duration kAnswerTime = std::chrono::milliseconds(50);
  // Time from the decision to read a request until its call begins.
  static constexpr Duration kReadTime = std::chrono::milliseconds(100);
  // How long a connection must have been silent before a stopping host closes
  // it: long compared with the network delay of a request that has been sent,
  // short compared with a stop.
  static constexpr Duration kMinSilence = std::chrono::milliseconds(500);

  // What is known about a connection.
  struct Connection {
    // The longest time that a call on this connection may take, from the
    // routes of its requests so far; zero before the first request.
    Duration longest_call{};
    // Latest time at which a request that is read now begins to run: the
    // latest deadline of the requests before it.
    TimePoint begins_by;
  };

  // No stop: every request is accepted.
  StopSchedule() = default;
  // The host aborts all calls at `end`.
  explicit StopSchedule(TimePoint end) : end_(end) {}

  // Whether a call with this deadline surely ends, and its answer is written,
  // before the host aborts calls.
  bool CanFinish(TimePoint deadline) const;
  // Whether one more request may be read on a connection.
  bool MayRead(const Connection& connection, TimePoint now) const;
  // Returns how long to wait for the next request, or for the rest of one, on a
  // connection without requests in progress.
  Duration ReadTimeout(const Connection& connection, TimePoint now) const;
  // Returns the time left until all connections must be closed; never negative.
  Duration TimeToClose(TimePoint now) const;

 private:
  TimePoint CloseBy() const { return end_ - kClosingTime; }

  TimePoint end_ = TimePoint::max();
};

}  // namespace damasktack

#endif  // PROXY_STOP_SCHEDULE_H_
