// Measures retry amplification: the number of requests that reach a failing
// service behind a chain of ten hops, each with its own balancer. Prints a
// table of docs/measurements/admission.md.

#include <cstdio>
#include <vector>

#include "policy/service_balancer.h"

namespace damasktack {
namespace {

using std::chrono::milliseconds;

constexpr int kDepth = 10;
constexpr int kNaiveAttempts = 3;

// Headers that the services between the hops forward.
struct Forwarding {
  const char* name;
  // Damasktack-Attempt request header.
  bool attempt = false;
  // Damasktack-Outcome response header.
  bool outcome = false;
};

struct Answer {
  SendResult result = SendResult::kAnswered;
  bool has_outcome = false;
};

class Chain {
 public:
  Chain(Forwarding forwarding, double failure_rate)
      : forwarding_(forwarding), failure_rate_(failure_rate) {
    ServiceSpec service;
    for (int n = 0; n < 6; ++n) {
      EndpointSpec spec;
      spec.id = EndpointId("e" + std::to_string(n));
      spec.address =
          SocketAddress{"10.0.0.1", static_cast<std::uint16_t>(n + 1)};
      spec.slots = 6;
      service.endpoints.push_back(spec);
    }
    for (int n = 0; n < kDepth; ++n) {
      hops_.emplace_back(BalancerOptions{}, static_cast<std::uint64_t>(n));
      hops_.back().SetService(service, 1, now_);
    }
  }

  void Run(int calls) {
    for (int n = 0; n < calls; ++n) {
      now_ += milliseconds(1);
      Call(0, false);
    }
  }

  // Number of requests sent to the last service.
  double last_sends() const { return static_cast<double>(last_sends_); }

 private:
  Answer Call(std::size_t hop, bool is_retry) {
    ServiceBalancer& balancer = hops_[hop];
    CallOffer offer;
    offer.token = ++token_;
    offer.customer = CustomerId("inspectors");
    offer.idempotent = true;
    offer.is_retry = is_retry;
    offer.arrival = now_;
    offer.deadline = now_ + std::chrono::seconds(10);
    Decisions out;
    balancer.Offer(offer, now_, out);
    Answer answer;
    for (int sends = 1;; ++sends) {
      const auto endpoint = AwaitDispatch(balancer, out);
      if (!endpoint) {
        return {SendResult::kFailed, forwarding_.outcome};
      }
      answer = Send(hop, is_retry || (forwarding_.attempt && sends > 1));
      SendEnd end;
      end.token = offer.token;
      end.endpoint = *endpoint;
      end.result = answer.result;
      end.took = milliseconds(1);
      end.retried_downstream = answer.has_outcome;
      end.sends = sends;
      if (balancer.Finish(offer, end, now_, out) == AfterSend::kDone) {
        answer.has_outcome = forwarding_.outcome;
        return answer;
      }
    }
  }

  std::optional<EndpointIndex> AwaitDispatch(ServiceBalancer& balancer,
                                             Decisions& out) {
    while (out.dispatches.empty() && out.rejections.empty()) {
      now_ += milliseconds(2);
      balancer.Tick(now_, out);
    }
    std::optional<EndpointIndex> endpoint;
    if (!out.dispatches.empty()) {
      endpoint = out.dispatches.front().endpoint;
    }
    out.clear();
    return endpoint;
  }

  Answer Send(std::size_t hop, bool is_retry) {
    if (hop + 1 < kDepth) {
      return Call(hop + 1, is_retry);
    }
    ++last_sends_;
    const bool fails = UniformBelow(random_, 1000) < failure_rate_ * 1000;
    return {fails ? SendResult::kFailed : SendResult::kAnswered, false};
  }

  const Forwarding forwarding_;
  const double failure_rate_;
  Random random_{1};
  TimePoint now_{std::chrono::hours(1)};
  CallToken token_ = 0;
  std::vector<ServiceBalancer> hops_;
  std::uint64_t last_sends_ = 0;
};

// Sends a call for which each hop makes up to three attempts without a retry
// budget.
bool NaiveCall(int hop,
               double failure_rate,
               Random& random,
               std::uint64_t& sends) {
  for (int n = 0; n < kNaiveAttempts; ++n) {
    if (hop < kDepth) {
      if (NaiveCall(hop + 1, failure_rate, random, sends)) {
        return true;
      }
      continue;
    }
    ++sends;
    if (UniformBelow(random, 1000) >= failure_rate * 1000) {
      return true;
    }
  }
  return false;
}

void Print() {
  constexpr int kCalls = 20'000;
  constexpr int kNaiveCalls = 20;
  std::puts("\n## Sends to a failing service behind ten hops\n");
  std::puts("Requests that reach the last service per call that enters the");
  std::puts("first; idempotent calls, 1,000 a second, retry_percent 10.\n");
  std::puts("| policy | 1% fail | 10% fail | 50% fail | all fail |");
  std::puts("|---|---|---|---|---|");
  std::printf("| three attempts at each hop |");
  for (const double failure_rate : {0.01, 0.1, 0.5, 1.0}) {
    Random random(1);
    std::uint64_t sends = 0;
    const int calls = failure_rate < 1 ? kCalls : kNaiveCalls;
    for (int n = 0; n < calls; ++n) {
      NaiveCall(1, failure_rate, random, sends);
    }
    std::printf(" %.3f |", static_cast<double>(sends) / calls);
  }
  std::puts("");
  for (const Forwarding& forwarding :
       {Forwarding{"retry budget only", false, false},
        Forwarding{"and services forward the attempt", true, false},
        Forwarding{"and the outcome of responses", true, true}}) {
    std::printf("| %s |", forwarding.name);
    for (const double failure_rate : {0.01, 0.1, 0.5, 1.0}) {
      Chain chain(forwarding, failure_rate);
      chain.Run(kCalls);
      std::printf(" %.3f |", chain.last_sends() / kCalls);
    }
    std::puts("");
  }
}

}  // namespace
}  // namespace damasktack

int main() {
  damasktack::Print();
}
