#ifndef TESTS_POLICY_BALANCER_LOAD_H_
#define TESTS_POLICY_BALANCER_LOAD_H_

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "policy/balancer.h"

namespace damasktack {

// Plays calls of several routes on a few hosts and endpoints, in steps of 1 ms.
// Each endpoint executes up to `slots` calls at once and queues the others; its
// pace is set by the test. Refused callers return to a random host after
// Retry-After, or after a third of the time that they have left.
class BalancerLoad {
 public:
  struct RouteLoad {
    double calls_per_second = 0;
    Duration execution{};
    Duration objective{};
    Duration timeout{};
    Urgency urgency = Urgency::kNormal;
  };
  struct Result {
    int calls = 0;
    int on_time = 0;
    int refusals = 0;

    double OnTimeShare() const {
      return calls == 0 ? 0 : static_cast<double>(on_time) / calls;
    }
  };
  using MakeBalancer = std::function<std::unique_ptr<Balancer>(int host)>;

  BalancerLoad(int hosts, const ServiceSpec& service, const MakeBalancer& make)
      : service_(service), endpoints_(service.endpoints.size()) {
    for (int n = 0; n < hosts; ++n) {
      hosts_.push_back(make(n));
      hosts_.back()->SetService(service, hosts, now_);
    }
  }

  // Plays the routes for `span`; returns the results by route, for calls that
  // began in this time.
  std::vector<Result> Play(const std::vector<RouteLoad>& routes,
                           Duration span) {
    results_.assign(routes.size(), {});
    for (const TimePoint end = now_ + span; now_ < end;) {
      for (std::size_t n = 0; n < routes.size(); ++n) {
        if (Chance(routes[n].calls_per_second / 1000)) {
          ++results_[n].calls;
          Attempt({n, routes[n], now_}, now_);
        }
      }
      Step();
    }
    return results_;
  }

  // Called before each step.
  std::function<void(Duration since_start)> on_step = [](Duration) {};
  std::vector<double> pace = std::vector<double>(1000, 1);
  // Fraction of the arrivals that endpoints refuse.
  double shed_share = 0;

 private:
  static constexpr Duration kStep = std::chrono::milliseconds(1);

  struct Call {
    std::size_t route = 0;
    RouteLoad load;
    TimePoint began;
    CallOffer offer{};
    std::size_t host = 0;
    int sends = 0;
  };
  struct Execution {
    CallToken token = 0;
    TimePoint began;
    double left_ms = 0;
  };

  double Fraction() { return std::uniform_real_distribution<>()(random_); }
  bool Chance(double probability) { return Fraction() < probability; }

  void Attempt(Call call, TimePoint at) {
    const TimePoint until = call.began + call.load.timeout;
    if (at < until) {
      returns_.emplace(at, std::move(call));
    }
  }
  void Offer(Call call) {
    call.host =
        UniformBelow(random_, static_cast<std::uint32_t>(hosts_.size()));
    call.offer = {};
    call.offer.token = ++last_token_;
    call.offer.customer = CustomerId("r" + std::to_string(call.route));
    call.offer.urgency = call.load.urgency;
    call.offer.idempotent = true;
    call.offer.attempt_limit = 2;
    call.offer.waiting_limit = 0;
    call.offer.asked = call.began + call.load.timeout - now_;
    call.offer.timeout_factor =
        std::chrono::duration<double>(call.load.timeout) / call.load.objective;
    call.offer.arrival = now_;
    call.offer.deadline = now_ + call.offer.asked;
    call.offer.on_time_until =
        std::min(call.offer.deadline, now_ + call.load.objective);
    const std::size_t host = call.host;
    const CallOffer offer = call.offer;
    calls_.emplace(offer.token, std::move(call));
    With(host,
         [&](Balancer& it, Decisions& out) { it.Offer(offer, now_, out); });
  }
  void Refuse(CallToken token, Duration retry_after) {
    Call call = std::move(calls_.extract(token).mapped());
    ++results_[call.route].refusals;
    // Zero stands for the default of the failure, which is 1 s.
    if (retry_after == Duration::zero()) {
      retry_after = std::chrono::seconds(1);
    }
    const Duration left = call.began + call.load.timeout - now_;
    Attempt(std::move(call),
            now_ + std::clamp<Duration>(retry_after, kStep,
                                        std::max(left / 3, kStep)));
  }
  // Runs an event at a host and carries out its decisions.
  template <typename Event>
  void With(std::size_t host, Event event) {
    Balancer& balancer = *hosts_[host];
    Decisions out;
    event(balancer, out);
    while (const auto probe = balancer.NextProbe(now_)) {
      balancer.Report(*probe, ReportOf(*probe), now_, out);
    }
    for (const Dispatch& it : out.dispatches) {
      ++calls_.at(it.token).sends;
      if (Chance(shed_share)) {
        End(it.token, it.endpoint, SendResult::kShed, now_);
        continue;
      }
      const double ms = std::chrono::duration<double, std::milli>(
                            calls_.at(it.token).load.execution)
                            .count();
      endpoints_[it.endpoint].push_back(
          {it.token, now_, ms * (0.7 + 0.6 * Fraction())});
    }
    for (const Rejection& it : out.rejections) {
      Refuse(it.token, it.retry_after);
    }
  }
  EndpointReport ReportOf(EndpointIndex index) const {
    const auto slots =
        static_cast<std::int32_t>(service_.endpoints[index].slots);
    const auto calls = static_cast<std::int32_t>(endpoints_[index].size());
    EndpointReport report;
    report.slots = slots;
    report.in_flight = std::min(calls, slots);
    report.queued = calls - report.in_flight;
    report.pace = pace[index];
    return report;
  }
  void End(CallToken token,
           EndpointIndex endpoint,
           SendResult result,
           TimePoint began) {
    const Call call = calls_.at(token);
    SendEnd end;
    end.token = token;
    end.endpoint = endpoint;
    end.result = result;
    end.took = now_ - began;
    end.sends = call.sends;
    if (result == SendResult::kAnswered) {
      end.report = ReportOf(endpoint);
      results_[call.route].on_time += now_ <= call.began + call.load.objective;
      calls_.erase(token);
    }
    With(call.host, [&](Balancer& it, Decisions& out) {
      const AfterSend after = it.Finish(call.offer, end, now_, out);
      if (after == AfterSend::kDone && result != SendResult::kAnswered) {
        Refuse(token, it.RetryAfterSend(call.offer, end, now_));
      }
    });
  }
  void Step() {
    on_step(now_ - kBegin);
    while (!returns_.empty() && returns_.begin()->first <= now_) {
      Offer(std::move(returns_.extract(returns_.begin()).mapped()));
    }
    for (std::size_t n = 0; n < hosts_.size(); ++n) {
      With(n, [&](Balancer& it, Decisions& out) { it.Tick(now_, out); });
    }
    for (EndpointIndex n = 0; n < endpoints_.size(); ++n) {
      std::vector<Execution>& running = endpoints_[n];
      const auto slots = static_cast<std::size_t>(service_.endpoints[n].slots);
      for (std::size_t k = 0; k < std::min(slots, running.size()); ++k) {
        running[k].left_ms -= 1 / pace[n];
      }
      std::vector<Execution> ended;
      std::ranges::copy_if(running, std::back_inserter(ended),
                           [](const Execution& it) { return it.left_ms <= 0; });
      std::erase_if(running,
                    [](const Execution& it) { return it.left_ms <= 0; });
      for (const Execution& it : ended) {
        End(it.token, n, SendResult::kAnswered, it.began);
      }
    }
    now_ += kStep;
  }

  static constexpr TimePoint kBegin{std::chrono::hours(1)};

  ServiceSpec service_;
  Random random_{11};
  TimePoint now_ = kBegin;
  std::vector<std::unique_ptr<Balancer>> hosts_;
  std::vector<std::vector<Execution>> endpoints_;
  std::map<CallToken, Call> calls_;
  std::multimap<TimePoint, Call> returns_;
  std::vector<Result> results_;
  CallToken last_token_ = 0;
};

}  // namespace damasktack

#endif  // TESTS_POLICY_BALANCER_LOAD_H_
