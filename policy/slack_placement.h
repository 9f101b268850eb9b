#ifndef POLICY_SLACK_PLACEMENT_H_
#define POLICY_SLACK_PLACEMENT_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

#include "core/time.h"
#include "policy/decay.h"

namespace damasktack {

// An endpoint with a fresh report, evaluated for one more call.
struct SlackCandidate {
  // Expected time from now to the end of the call.
  Duration finish{};
  // Execution time relative to the usual one.
  double pace = 1;
  bool is_good = false;
  bool has_free_slot = false;
  bool is_in_other_zone = false;
};

// A call to be placed.
struct SlackCall {
  Duration until_objective{};
  Duration until_deadline{};
  // The call counts as on time if it is with its expected time multiplied by
  // this factor.
  double on_time_margin = 1;
};

// Times for which a call waits for information or for an endpoint.
struct SlackWaits {
  Duration probes{};
  Duration endpoint{};
};

// Places calls by their slack, the time between the expected end of a call and
// its objective, while a service is short of free endpoints of usual pace.
//
// Made for services that routes of different objectives share. A call that is
// on time even on a slow endpoint goes there, so that the fast endpoints are
// left to calls that need them. A call that cannot be on time anywhere takes no
// slot that other calls could use on time. Without recent reports no shortage
// is visible, and nothing changes.
class SlackPlacement {
 public:
  enum class Choice : std::uint8_t {
    // Place the call as without this class.
    kUsual,
    kCandidate,
    // No slot may be used for this call.
    kNone,
  };
  struct Decision {
    Choice choice = Choice::kUsual;
    // Position of the chosen candidate.
    std::size_t candidate = 0;
  };

  // Off for a service whose routes have the same objective.
  void SetEnabled(bool is_enabled) { is_enabled_ = is_enabled; }
  bool is_enabled() const { return is_enabled_; }

  // Records the report of a probe: whether the endpoint has a free slot at the
  // usual pace. Reports in answers are left out, because an endpoint always has
  // a free slot when a call has just ended there.
  void OnProbeReport(bool is_good, TimePoint now);
  // Returns whether free endpoints of usual pace are scarce.
  bool IsShort(TimePoint now) const;
  // Returns the fraction of the recently probed endpoints that had a free slot
  // at the usual pace; null without enough recent reports.
  std::optional<double> GoodShare(TimePoint now) const;

  // Decides where a call goes while capacity is short. `least` is the shortest
  // time that the call may take at any endpoint, with or without a report.
  static Decision Choose(std::span<const SlackCandidate> candidates,
                         Duration least,
                         const SlackCall& call);

  // Returns how long a call may wait if it has `slack` on arrival. The probe
  // wait is at least `min_probes`, which the network needs.
  static SlackWaits WaitsFor(Duration slack, Duration min_probes);

 private:
  // Endpoints change their pace twice a second, so older reports say little.
  static constexpr Duration kMemory = std::chrono::milliseconds(500);

  bool is_enabled_ = false;
  bool is_short_ = false;
  DecayingSum reports_{kMemory};
  DecayingSum good_reports_{kMemory};
};

}  // namespace damasktack

#endif  // POLICY_SLACK_PLACEMENT_H_
