#include "proxy/stop_schedule.h"

#include <algorithm>

namespace damasktack {

bool StopSchedule::CanFinish(TimePoint deadline) const {
  return deadline <= CloseBy() - kAnswerTime;
}

bool StopSchedule::MayRead(const Connection& connection, TimePoint now) const {
  const TimePoint begin = std::max(now + kReadTime, connection.begins_by);
  return begin <= CloseBy() - kAnswerTime - connection.longest_call;
}

Duration StopSchedule::ReadTimeout(const Connection& connection,
                                   TimePoint now) const {
  const TimePoint last =
      CloseBy() - kAnswerTime - kReadTime - connection.longest_call;
  // A request that arrives after `last` within this time is refused as not run
  // unless its own deadline lets it finish.
  return std::min(std::max(last - now, kMinSilence), TimeToClose(now));
}

Duration StopSchedule::TimeToClose(TimePoint now) const {
  return std::max(CloseBy() - now, Duration::zero());
}

}  // namespace damasktack
