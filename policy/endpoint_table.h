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
  // Zone of this host.
  ZoneId zone;
  // One-way time to another zone.
  Duration zone_distance = std::chrono::milliseconds(1);
  // One of PickerNames(); an unknown name means the chosen picker.
  std::string_view picker = ChosenPicker::kName;
  // This host.
  HostId host = {};
};

// What a call needs of its endpoint.
struct PickRequest {
  Urgency urgency = Urgency::kNormal;
  // The estimated load (in flight and queued, by slots) must stay below this
  // after the send; above 1 the call would wait at the endpoint.
  double max_load = 1.0;
  // Not this one where another will do: the call has just failed there.
  std::optional<EndpointIndex> avoid;
};

// The endpoints of one service as one host sees them: estimates from late
// reports, choice, measuring within its budget, ejection and recovery. Pure.
class EndpointTable {
 public:
  explicit EndpointTable(EndpointTableOptions options);

  // Follows the published list; indexes of endpoints that stay are kept.
  // `hosts` is the number of entry hosts that share the endpoints.
  void SetService(const ServiceSpec& service,
                  std::int64_t hosts,
                  TimePoint now);

  // Null where no endpoint has the room asked for, unless the host holds
  // less than its own part of the slots (max_load of them, by `hosts`, and
  // at least one call): then some endpoint is always given.
  std::optional<EndpointIndex> Pick(const PickRequest& request,
                                    TimePoint now,
                                    Random& random);
  // Whether there is any endpoint that may ever be picked as things stand.
  bool AnyUsable(TimePoint now) const;
  // When the first endpoint takes a call by what the endpoints have asked for;
  // `latest` where none does before, null without a usable endpoint.
  std::optional<TimePoint> AvailableAt(TimePoint now, TimePoint latest) const;
  // Estimated slots that are free over all usable endpoints, and their sum.
  double FreeSlots(TimePoint now) const;
  double UsableSlots(TimePoint now) const;
  // Typical time of one execution, from answers; zero before the first.
  Duration TypicalServiceTime() const;

  // A call is sent to a picked endpoint, and ends there.
  void OnSend(EndpointIndex endpoint, TimePoint now);
  void OnEnd(EndpointIndex endpoint,
             SendResult result,
             Duration took,
             TimePoint now);
  void OnReport(EndpointIndex endpoint,
                const EndpointReport& report,
                TimePoint now);

  // The endpoint's answer to a call, sent at `asked_at`, or to a probe.
  void OnSignals(EndpointIndex endpoint,
                 const EndpointSignals& signals,
                 TimePoint asked_at,
                 TimePoint now) {
    restraints_.OnAnswer(endpoint, signals, asked_at, now);
    NoteLeaving(endpoint, signals, now);
  }
  void OnProbeSignals(EndpointIndex endpoint,
                      const EndpointSignals& signals,
                      TimePoint now) {
    restraints_.OnProbeAnswer(endpoint, signals, now);
    NoteLeaving(endpoint, signals, now);
  }

  std::optional<double> RateLimit(EndpointIndex endpoint) const {
    return restraints_.rate_limit(endpoint);
  }
  void OnPeerRateLimit(const EndpointProcess& endpoint,
                       std::optional<double> rate_limit,
                       TimePoint stated_at);

  // Another host has seen the endpoint drain.
  void OnHeardDrain(const EndpointId& id, TimePoint now);

  // The next endpoint worth a probe, if the budget allows one now.
  std::optional<EndpointIndex> NextProbe(TimePoint now);
  // A probe that was sent brought no report.
  void ProbeFailed(EndpointIndex endpoint, SendResult result, TimePoint now);

  const EndpointSpec& endpoint(EndpointIndex index) const;
  EndpointTableStatus Status(TimePoint now) const;
  std::vector<EndpointChange> TakeChanges() {
    return roster_.TakeChanges(specs_);
  }

 private:
  void NoteLeaving(EndpointIndex endpoint,
                   const EndpointSignals& signals,
                   TimePoint now) {
    if (signals.leaving) {
      roster_.OnLeaving(endpoint, now);
    }
  }
  std::optional<EndpointIndex> Find(const EndpointSpec& spec) const;
  void TakeIn(const EndpointSpec& spec, bool taken_as_warm, TimePoint now);
  // The way to another zone and back, by the time of an execution: as much as
  // the load by slot would have to differ to make up for it.
  double ZoneCost() const;
  // Calls of other hosts by slot, as the last reports of all usable endpoints
  // had them together.
  double OthersPerSlot() const;
  LoadPrior Prior(TimePoint now) const;
  bool IsBelowFairShare(double max_load) const;
  bool TakesOne(EndpointIndex index, TimePoint now) const {
    return restraints_.CanAcceptCall(index, now);
  }
  // Those of the usable endpoints that take a call now; `buf` holds them where
  // not all do.
  std::span<const EndpointIndex> Open(TimePoint now,
                                      std::vector<EndpointIndex>& buf) const;
  EndpointStatus StatusOf(EndpointIndex index, TimePoint now) const;

  EndpointTableOptions options_;
  std::vector<EndpointSpec> specs_;
  EndpointRoster roster_;
  EndpointLimits restraints_;
  ServiceBaseline norm_;
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
