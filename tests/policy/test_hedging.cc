#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/random.h"
#include "policy/measured_balancer.h"
#include "policy/service_balancer.h"

namespace damasktack {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr Duration kStep = milliseconds(2);
constexpr double kSlowPace = 7;

struct Conditions {
  int endpoints = 20;
  double calls_per_second = 200;
  // After `overload_after`.
  double overload_calls_per_second = 200;
  Duration overload_after = std::chrono::seconds(30);
  // Of an execution; it varies by 30%.
  Duration work = milliseconds(140);
  Duration objective = milliseconds(400);
  Duration deadline = milliseconds(1200);
  // Fraction of the answers that are lost without a sign.
  double lost = 0;
  // Three endpoints in ten are slow, other ones every half second, and 3% of
  // the executions take seven times as long.
  bool changes_pace = false;
  bool hedges = true;
  bool cancels_loser = true;
  Duration length = std::chrono::seconds(60);
};

struct Result {
  double calls = 0;
  double on_time = 0;
  double hedges = 0;
  double refused = 0;
  double withheld = 0;
  // Hedges later than a second after the beginning of the overload.
  double hedges_in_overload = 0;
  Duration slot_time{};
};

// One host that sends calls to endpoints of four slots.
class Service {
 public:
  Service(Balancer& balancer, const Conditions& conditions)
      : balancer_(balancer), conditions_(conditions) {
    ServiceSpec spec;
    spec.id = ServiceId("s");
    for (int n = 0; n < conditions.endpoints; ++n) {
      EndpointSpec& it = spec.endpoints.emplace_back();
      it.id = EndpointId("e" + std::to_string(n));
      it.slots = kSlots;
    }
    endpoints_.resize(spec.endpoints.size());
    balancer_.SetService(spec, 1, now_);
  }

  Result Run() {
    for (; now_ < kStart + conditions_.length; now_ += kStep) {
      if ((now_ - kStart) % milliseconds(500) == Duration::zero()) {
        ChangePaces();
      }
      Decisions out;
      const double rate = now_ < kStart + conditions_.overload_after
                              ? conditions_.calls_per_second
                              : conditions_.overload_calls_per_second;
      if (Chance(rate * std::chrono::duration<double>(kStep).count())) {
        Arrive(out);
      }
      balancer_.Tick(now_, out);
      Progress(out);
      Carry(out);
      AskForHedges();
    }
    result_.withheld =
        static_cast<double>(balancer_.Status(now_).hedges_withheld);
    return result_;
  }

 private:
  static constexpr int kSlots = 4;
  struct Endpoint {
    bool is_slow = false;
    int running = 0;
  };
  struct Send {
    CallOffer offer;
    EndpointIndex endpoint = 0;
    TimePoint began_at;
    // Time to the end at the usual pace.
    Duration left{};
    bool is_lost = false;
    // The call has been answered by the other send.
    bool is_losing = false;
    // The other send of the call; 0 without one.
    CallToken other = 0;
    std::optional<TimePoint> ask_at = std::nullopt;
  };

  bool Chance(double probability) {
    constexpr std::uint32_t kWhole = 1'000'000;
    return UniformBelow(random_, kWhole) < probability * kWhole;
  }

  // Every n-th answer is lost, so that the fraction is exact.
  bool IsLost() {
    lost_ += conditions_.lost;
    const bool is_lost = lost_ >= 1;
    lost_ -= is_lost ? 1 : 0;
    return is_lost;
  }

  void ChangePaces() {
    for (Endpoint& it : endpoints_) {
      it.is_slow = conditions_.changes_pace && Chance(0.3);
    }
  }

  void Arrive(Decisions& out) {
    CallOffer offer;
    offer.token = ++last_token_;
    offer.customer = CustomerId("route");
    offer.idempotent = true;
    offer.retry_percent = 20;
    offer.attempt_limit = 2;
    offer.arrival = now_;
    offer.on_time_until = now_ + conditions_.objective;
    offer.deadline = now_ + conditions_.deadline;
    offers_.emplace(offer.token, offer);
    result_.calls += 1;
    balancer_.Offer(offer, now_, out);
  }

  EndpointReport ReportOf(EndpointIndex index) const {
    EndpointReport report;
    report.in_flight = std::min(endpoints_[index].running, kSlots);
    report.queued = std::max(endpoints_[index].running - kSlots, 0);
    report.slots = kSlots;
    report.pace = endpoints_[index].is_slow ? kSlowPace : 1;
    return report;
  }

  // Answers probes and begins the sends that were decided.
  void Carry(Decisions& out) {
    while (const auto probe = balancer_.NextProbe(now_)) {
      balancer_.Report(*probe, ReportOf(*probe), now_, out);
    }
    for (const Dispatch& it : out.dispatches) {
      Begin(offers_.at(it.token), it.endpoint).ask_at = now_;
      offers_.erase(it.token);
    }
    for (const Rejection& it : out.rejections) {
      offers_.erase(it.token);
      result_.refused += 1;
    }
    out.clear();
  }

  Send& Begin(const CallOffer& offer, EndpointIndex endpoint) {
    ++endpoints_[endpoint].running;
    constexpr std::uint32_t kPercent = 100;
    const auto percent = 70 + UniformBelow(random_, 61);
    Duration work = conditions_.work * percent / kPercent;
    if (conditions_.changes_pace && Chance(0.03)) {
      work *= static_cast<int>(kSlowPace);
    }
    return sends_[offer.token] = {offer, endpoint, now_, work, IsLost()};
  }

  void Progress(Decisions& out) {
    // Calls beyond the slots wait.
    std::vector<int> used(endpoints_.size());
    std::vector<CallToken> tokens;
    for (const auto& [token, send] : sends_) {
      tokens.push_back(token);
    }
    for (const CallToken token : tokens) {
      const auto it = sends_.find(token);
      if (it == sends_.end()) {
        continue;
      }
      Send& send = it->second;
      const bool had_slot =
          send.left > Duration::zero() && ++used[send.endpoint] <= kSlots;
      const bool is_slow = endpoints_[send.endpoint].is_slow;
      if (had_slot) {
        send.left -= is_slow ? kStep / static_cast<int>(kSlowPace) : kStep;
      }
      result_.slot_time += had_slot ? kStep : Duration::zero();
      const bool is_over = send.left <= Duration::zero();
      if (had_slot && is_over) {
        --endpoints_[send.endpoint].running;
      }
      if (is_over && !send.is_lost) {
        End(token, SendResult::kAnswered, out);
      } else if (now_ >= send.offer.deadline) {
        End(token, SendResult::kTimedOut, out);
      }
    }
  }

  void End(CallToken token, SendResult result, Decisions& out) {
    const auto node = sends_.extract(token);
    const Send& send = node.mapped();
    if (send.left > Duration::zero()) {
      --endpoints_[send.endpoint].running;
    }
    SendEnd end{.token = token,
                .endpoint = send.endpoint,
                .result = result,
                .took = now_ - send.began_at,
                .report = std::nullopt,
                .sends = 2};
    if (result == SendResult::kAnswered) {
      end.report = ReportOf(send.endpoint);
      const bool is_on_time = now_ <= send.offer.on_time_until;
      result_.on_time += is_on_time && !send.is_losing ? 1 : 0;
    }
    balancer_.Finish(send.offer, end, now_, out);
    if (const auto other = sends_.find(send.other); other != sends_.end()) {
      other->second.other = 0;
      if (result == SendResult::kAnswered && conditions_.cancels_loser) {
        End(other->first, SendResult::kCancelled, out);
      } else if (result == SendResult::kAnswered) {
        other->second.is_losing = true;
        other->second.ask_at.reset();
      }
    }
  }

  void AskForHedges() {
    std::vector<CallToken> due;
    for (const auto& [token, send] : sends_) {
      if (conditions_.hedges && send.ask_at && *send.ask_at <= now_) {
        due.push_back(token);
      }
    }
    for (const CallToken token : due) {
      Send& first = sends_.at(token);
      HedgeRequest request{first.offer, token, first.endpoint,
                           now_ - first.began_at, 1};
      request.offer.token = ++last_token_;
      const HedgeDecision decision = balancer_.DecideHedge(request, now_);
      first.ask_at.reset();
      if (decision.ask_again_after) {
        first.ask_at = now_ + *decision.ask_again_after;
      }
      if (decision.dispatch) {
        REQUIRE(decision.dispatch->endpoint != first.endpoint);
        first.other = decision.dispatch->token;
        Begin(request.offer, decision.dispatch->endpoint).other = token;
        result_.hedges += 1;
        result_.hedges_in_overload +=
            now_ > kStart + conditions_.overload_after + std::chrono::seconds(1)
                ? 1
                : 0;
      }
      Decisions out;
      Carry(out);
    }
  }

  Balancer& balancer_;
  const Conditions conditions_;
  Random random_{20261204};
  TimePoint now_ = kStart;
  std::vector<Endpoint> endpoints_;
  std::map<CallToken, CallOffer> offers_;
  std::map<CallToken, Send> sends_;
  CallToken last_token_ = 0;
  double lost_ = 0;
  Result result_;
};

Result RunMeasured(const Conditions& conditions) {
  MeasuredBalancer balancer(MeasuredBalancerOptions{}, 7);
  return Service(balancer, conditions).Run();
}

void Print(const std::string& name, const Result& it) {
  MESSAGE(name << ": calls " << it.calls << ", on time "
               << it.on_time / it.calls << ", hedges " << it.hedges / it.calls
               << ", withheld " << it.withheld / it.calls << ", refused "
               << it.refused / it.calls << ", slots "
               << std::chrono::duration<double>(it.slot_time).count() << " s");
}

// Guards against callers that wait for their whole timeout for answers that
// were lost without a sign.
TEST_CASE("nearly all calls are on time while a tenth of the answers is lost") {
  Conditions conditions;
  conditions.lost = 0.1;
  conditions.length = std::chrono::minutes(3);
  conditions.hedges = false;
  Print("lost, without hedges", RunMeasured(conditions));
  conditions.hedges = true;
  const Result hedged = RunMeasured(conditions);
  Print("lost, with hedges", hedged);
  CHECK(hedged.on_time >= 0.97 * hedged.calls);
  CHECK(hedged.hedges <= 0.08 * hedged.calls);
}

// Guards against calls that stay on an endpoint which became slow after they
// were sent there.
TEST_CASE("half of the calls that slow endpoints make late are on time") {
  Conditions conditions;
  conditions.changes_pace = true;
  conditions.hedges = false;
  const Result single = RunMeasured(conditions);
  conditions.hedges = true;
  const Result hedged = RunMeasured(conditions);
  Print("pace, without hedges", single);
  Print("pace, with hedges", hedged);
  conditions.cancels_loser = false;
  Print("pace, losing sends run on", RunMeasured(conditions));
  CHECK((1 - hedged.on_time / hedged.calls) <=
        0.5 * (1 - single.on_time / single.calls));
  CHECK(hedged.hedges <= 0.08 * hedged.calls);
}

// Conditions of a load that rises above the capacity.
Conditions RisingLoad(bool hedges) {
  Conditions conditions;
  conditions.endpoints = 12;
  conditions.changes_pace = true;
  conditions.calls_per_second = 100;
  conditions.overload_calls_per_second = 400;
  conditions.hedges = hedges;
  return conditions;
}

// Guards against second sends that take slots from first sends.
TEST_CASE("hedging ends within a second when the load exceeds the capacity") {
  const Result hedged = RunMeasured(RisingLoad(true));
  Print("overload, with hedges", hedged);
  CHECK(hedged.hedges > 0);
  CHECK(hedged.hedges_in_overload == 0);
}

// Guards against hedges before an overload that leave less capacity in it.
TEST_CASE("a rising load is served with hedges as well as without") {
  const Result single = RunMeasured(RisingLoad(false));
  const Result hedged = RunMeasured(RisingLoad(true));
  Print("overload, without hedges", single);
  CHECK(hedged.on_time / hedged.calls >= single.on_time / single.calls);
}

}  // namespace
}  // namespace damasktack
