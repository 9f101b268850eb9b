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

// Tracks the state of each endpoint of one service, as seen by one host. The
// list, reports and the ends of sends cause transitions, which the state chart
// defines.
class EndpointRoster {
 public:
  // Adds a new endpoint. With `assume_warm` it serves at once: a host that
  // has just started knows no endpoint, but the endpoints are not new.
  EndpointIndex Add(bool assume_warm, TimePoint now);
  // Applies an endpoint's entry in the published list, or its removal.
  void OnListed(EndpointIndex index, const EndpointSpec& spec, TimePoint now);
  void OnUnlisted(EndpointIndex index, TimePoint now);

  void OnReportedMode(EndpointIndex index, EndpointMode mode, TimePoint now);
  // The endpoint has announced that it is leaving.
  void OnLeaving(EndpointIndex index, TimePoint now);
  // Another endpoint has its address: this one is gone, although the list does
  // not state it yet. Only a later report of its own restores it.
  void OnMisdirected(EndpointIndex index, TimePoint now);
  // Records the end of a send. `relative_time` is its duration divided by the
  // service's median.
  void OnSendEnd(EndpointIndex index,
                 SendResult result,
                 double relative_time,
                 TimePoint now);
  // Applies the transitions that are due. Cheap if none is.
  void Advance(TimePoint now);

  EndpointRecord& record(EndpointIndex index) { return records_[index]; }
  std::span<const EndpointRecord> records() const { return records_; }
  std::span<EndpointRecord> records() { return records_; }
  // Returns the endpoints that take calls.
  std::span<const EndpointIndex> usable() const {
    RecountIfDue();
    return usable_;
  }
  // Returns the total slots of the usable endpoints.
  double usable_slots() const {
    RecountIfDue();
    return usable_slots_;
  }
  // Must be called after a record's slots have changed. The totals are
  // recomputed on their next use, so that applying a list costs one recount and
  // not one for each endpoint.
  void Recount() { is_recount_due_ = true; }
  // Returns the number of recounts so far.
  std::uint64_t recounts() const { return recounts_; }

  // Returns the ejections and returns of endpoints since the last call. `specs`
  // holds the endpoints' specs by index.
  std::vector<EndpointChange> TakeChanges(
      const std::vector<EndpointSpec>& specs);

 private:
  // Applies the event. Returns whether the chart defines a transition for it.
  bool ApplyEvent(EndpointIndex index,
                  EndpointEvent event,
                  std::string_view reason,
                  TimePoint now);
  void OnTrialEnd(EndpointIndex index, SendResult result, TimePoint now);
  void EjectOutlier(EndpointIndex index,
                    const HealthComparison& health,
                    TimePoint now);
  void Eject(EndpointIndex index, std::string_view reason, TimePoint now);
  void ResetHealth(EndpointRecord& record, TimePoint now);
  void AdvanceOne(EndpointIndex index, TimePoint now);
  void EnforceEjectionLimit(TimePoint now);
  std::size_t CountLive() const;
  std::size_t CountIn(EndpointState state) const {
    return in_state_[static_cast<std::size_t>(state)];
  }
  void Move(EndpointIndex index, EndpointState to);
  // Returns the lowest index of an endpoint that is gone and that nothing
  // refers to, or a new index.
  EndpointIndex AllocateIndex();
  void RecountIfDue() const;

  std::vector<EndpointRecord> records_;
  // Number of records in each state.
  std::array<std::size_t, kEndpointStateCount> in_state_{};
  std::set<EndpointIndex> gone_;
  mutable bool is_recount_due_ = false;
  mutable std::uint64_t recounts_ = 0;
  mutable std::vector<EndpointIndex> usable_;
  mutable double usable_slots_ = 0;
  // Ends of the sends to all endpoints.
  EndpointHealth service_health_;
  // Time of the next transition that is due without an event.
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
