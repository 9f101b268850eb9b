#ifndef POLICY_ENDPOINT_TABLE_H_
#define POLICY_ENDPOINT_TABLE_H_

#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "contract/service.h"
#include "core/random.h"
#include "core/time.h"
#include "policy/call.h"
#include "policy/endpoint_limits.h"
#include "policy/endpoint_process.h"
#include "policy/endpoint_report.h"
#include "policy/endpoint_roster.h"
#include "policy/endpoint_status.h"
#include "policy/picker_registry.h"
#include "policy/probe_budget.h"
#include "policy/service_baseline.h"

namespace damasktack {

struct EndpointTableOptions {
  // Availability zone of this host.
  ZoneId zone;
  // One-way network latency to another zone.
  Duration zone_distance = std::chrono::milliseconds(1);
  // One of PickerNames(); an unknown name selects the production picker.
  std::string_view picker = ChosenPicker::kName;
  // Id of this host.
  HostId host = {};
};

// Requirements of a call for its endpoint.
struct PickRequest {
  Urgency urgency = Urgency::kNormal;
  // Upper bound on the estimated load (calls in flight and queued, per slot)
  // including this call; above 1 the call would wait at the endpoint.
  double max_load = 1.0;
  // Endpoint to avoid if there is another: the call has just failed there.
  std::optional<EndpointIndex> avoid;
};

// The endpoints of one service, as seen by one host: load estimates from
// delayed reports, the choice of an endpoint, probes within their budget,
// ejection and recovery. It has no clock, sockets or threads.
class EndpointTable {
 public:
  explicit EndpointTable(EndpointTableOptions options);

  // Applies the published list; endpoints that stay listed keep their index.
  // `hosts` is the number of entry hosts that share the endpoints.
  void SetService(const ServiceSpec& service,
                  std::int64_t hosts,
                  TimePoint now);

  // Returns null if no endpoint has the required room, unless the host uses
  // less than its fair share of the slots: max_load of all slots divided by
  // `hosts`, and at least one call. In that case it always returns an endpoint.
  std::optional<EndpointIndex> Pick(const PickRequest& request,
                                    TimePoint now,
                                    Random& random);
  // Returns whether a further call would use a free slot, by the estimate.
  bool HasFreeSlot(EndpointIndex endpoint, TimePoint now) const;
  // Returns whether any endpoint may be chosen at present.
  bool AnyUsable(TimePoint now) const;
  // Returns the first time at which the stated limits allow a call to some
  // endpoint; `latest` if that is not earlier, null without a usable endpoint.
  std::optional<TimePoint> AvailableAt(TimePoint now, TimePoint latest) const;
  // Estimated free slots over all usable endpoints, and the total of their
  // slots.
  double FreeSlots(TimePoint now) const;
  double UsableSlots(TimePoint now) const;
  // Typical time of one execution, learned from answers; zero before the first.
  Duration TypicalServiceTime() const;

  // Records that a call was sent to a chosen endpoint, and that it ended there.
  void OnSend(EndpointIndex endpoint, TimePoint now);
  void OnEnd(EndpointIndex endpoint,
             SendResult result,
             Duration took,
             TimePoint now);
  void OnReport(EndpointIndex endpoint,
                const EndpointReport& report,
                TimePoint now);

  // Apply the signals in the endpoint's answer to a call, sent at `asked_at`,
  // or to a probe.
  void OnSignals(EndpointIndex endpoint,
                 const EndpointSignals& signals,
                 TimePoint asked_at,
                 TimePoint now) {
    limits_.OnAnswer(endpoint, signals, asked_at, now);
    HandleLeaving(endpoint, signals, now);
  }
  void OnProbeSignals(EndpointIndex endpoint,
                      const EndpointSignals& signals,
                      TimePoint now) {
    limits_.OnProbeAnswer(endpoint, signals, now);
    HandleLeaving(endpoint, signals, now);
  }

  std::optional<double> RateLimit(EndpointIndex endpoint) const {
    return limits_.rate_limit(endpoint);
  }
  void OnPeerRateLimit(const EndpointProcess& endpoint,
                       std::optional<double> rate_limit,
                       TimePoint stated_at);

  // Handles news from another host that the endpoint is draining.
  void OnPeerDrain(const EndpointId& id, TimePoint now);

  // Returns the next endpoint to probe, if the budget allows a probe now.
  std::optional<EndpointIndex> NextProbe(TimePoint now);
  // Handles a probe that was sent and returned no report.
  void ProbeFailed(EndpointIndex endpoint, SendResult result, TimePoint now);

  const EndpointSpec& endpoint(EndpointIndex index) const;
  // Returns the index of a listed endpoint; null if it is not listed.
  std::optional<EndpointIndex> Find(const EndpointId& id) const;
  EndpointTableStatus Status(TimePoint now) const;
  std::vector<EndpointChange> TakeChanges() {
    return roster_.TakeChanges(specs_);
  }

 private:
  void HandleLeaving(EndpointIndex endpoint,
                     const EndpointSignals& signals,
                     TimePoint now) {
    if (signals.leaving) {
      roster_.OnLeaving(endpoint, now);
    }
  }
  std::optional<EndpointIndex> Find(const EndpointSpec& spec) const;
  void ApplySpec(const EndpointSpec& spec, bool assume_warm, TimePoint now);
  // Returns the round trip to another zone, relative to the time of an
  // execution. This is the difference in load per slot that outweighs the round
  // trip.
  double ZoneCost() const;
  // Calls of other hosts per slot, summed over the last reports of all usable
  // endpoints.
  double OthersPerSlot() const;
  LoadPrior Prior(TimePoint now) const;
  bool IsBelowFairShare(double max_load) const;
  bool AcceptsCall(EndpointIndex index, TimePoint now) const {
    return limits_.CanAcceptCall(index, now);
  }
  // Returns the usable endpoints that accept a call now. They are stored in
  // `buf` unless all of them do.
  std::span<const EndpointIndex> AcceptingEndpoints(
      TimePoint now,
      std::vector<EndpointIndex>& buf) const;
  EndpointStatus StatusOf(EndpointIndex index, TimePoint now) const;

  EndpointTableOptions options_;
  std::vector<EndpointSpec> specs_;
  EndpointRoster roster_;
  EndpointLimits limits_;
  ServiceBaseline baseline_;
  PickerVariant picker_;
  ProbeBudget budget_;
  std::int64_t hosts_ = 1;
  std::int32_t own_in_flight_ = 0;
  TimePoint last_send_;
  std::uint64_t probes_sent_ = 0;
  std::uint64_t probes_withheld_ = 0;
};

}  // namespace damasktack

#endif  // POLICY_ENDPOINT_TABLE_H_
