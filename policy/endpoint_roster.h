#ifndef POLICY_ENDPOINT_ROSTER_H_
#define POLICY_ENDPOINT_ROSTER_H_

#include <array>
#include <cstdint>
#include <set>
#include <span>
#include <string_view>
#include <vector>

#include "contract/service.h"
#include "policy/call.h"
#include "policy/endpoint_record.h"
#include "policy/endpoint_status.h"

namespace damasktack {

// The endpoints of one service with the states that a host has them in:
// list, reports and ends of sends lead from one to another by the chart.
class EndpointRoster {
 public:
  // Puts a new endpoint in. One that is `taken_as_warm` serves at once: a
  // host that has just started knows nothing, but the endpoints are not new.
  EndpointIndex Add(bool taken_as_warm, TimePoint now);
  // What the list says of an endpoint, and that it says nothing any more.
  void OnListed(EndpointIndex index, const EndpointSpec& spec, TimePoint now);
  void OnUnlisted(EndpointIndex index, TimePoint now);

  void OnReportedMode(EndpointIndex index, EndpointMode mode, TimePoint now);
  // It has said itself that it leaves.
  void OnLeaving(EndpointIndex index, TimePoint now);
  // Another endpoint has its address: this one is gone, though the list does
  // not say so yet. Only a later report of its own brings it back.
  void OnMisdirected(EndpointIndex index, TimePoint now);
  // A send ended; `relative_time` is by the service's median.
  void OnSendEnd(EndpointIndex index,
                 SendResult result,
                 double relative_time,
                 TimePoint now);
  // Makes the changes whose time has come. Cheap where there is none.
  void Advance(TimePoint now);

  EndpointRecord& record(EndpointIndex index) { return records_[index]; }
  std::span<const EndpointRecord> records() const { return records_; }
  std::span<EndpointRecord> records() { return records_; }
  // Those that take calls.
  std::span<const EndpointIndex> usable() const {
    RecountIfDue();
    return usable_;
  }
  // The slots of those, together.
  double usable_slots() const {
    RecountIfDue();
    return usable_slots_;
  }
  // After a record's slots have changed. What was counted is counted anew when
  // it is next asked for, so that a list costs one count and not one for each
  // endpoint in it.
  void Recount() { is_recount_due_ = true; }
  // Counts so far.
  std::uint64_t recounts() const { return recounts_; }

  // Steps of endpoints out of the service for failing, and back into it, since
  // the last call. `specs` names the endpoints by index.
  std::vector<EndpointChange> TakeChanges(
      const std::vector<EndpointSpec>& specs);

 private:
  // Whether the chart has an arrow for the event.
  bool Follow(EndpointIndex index,
              EndpointEvent event,
              std::string_view reason,
              TimePoint now);
  void OnTrialEnd(EndpointIndex index, SendResult result, TimePoint now);
  void EjectOutlier(EndpointIndex index,
                    const HealthComparison& health,
                    TimePoint now);
  void Eject(EndpointIndex index, std::string_view reason, TimePoint now);
  void ForgetHealth(EndpointRecord& record, TimePoint now);
  void AdvanceOne(EndpointIndex index, TimePoint now);
  void KeepCeiling(TimePoint now);
  std::size_t CountLive() const;
  std::size_t CountIn(EndpointState state) const {
    return in_state_[static_cast<std::size_t>(state)];
  }
  void Move(EndpointIndex index, EndpointState to);
  // The lowest place of one that is gone and that nothing can refer to any
  // more, else a new one.
  EndpointIndex AllocateIndex();
  void RecountIfDue() const;

  std::vector<EndpointRecord> records_;
  // Of the records, by state.
  std::array<std::size_t, kEndpointStateCount> in_state_{};
  std::set<EndpointIndex> gone_;
  mutable bool is_recount_due_ = false;
  mutable std::uint64_t recounts_ = 0;
  mutable std::vector<EndpointIndex> usable_;
  mutable double usable_slots_ = 0;
  // The ends of all sends, whichever the endpoint.
  EndpointHealth service_health_;
  // The next time at which a state changes by itself.
  TimePoint next_change_ = TimePoint::max();
  TimePoint next_refresh_;
  struct Change {
    EndpointIndex index = 0;
    EndpointState from = EndpointState::kServing;
    EndpointState to = EndpointState::kServing;
    std::string_view reason;
  };
  std::vector<Change> changes_;
};

}  // namespace damasktack

#endif  // POLICY_ENDPOINT_ROSTER_H_
