#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <set>

#include "policy/admission_queue.h"
#include "tests/policy/naive_admission_queue.h"

namespace damasktack {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::hours(1)};

WaitingCall Call(CallToken token,
                 const std::string& customer,
                 Urgency urgency,
                 std::int64_t share = 1) {
  WaitingCall call;
  call.offer.token = token;
  call.offer.customer = CustomerId(customer);
  call.offer.urgency = urgency;
  call.offer.share = share;
  call.offer.arrival = kStart + milliseconds(token);
  call.offer.deadline = kStart + std::chrono::hours(1);
  return call;
}

enum class Step : std::uint8_t { kAdd, kRemove, kTake, kExpire, kLearn };

// Mostly one urgency, so that its queue lives long enough for the customers'
// virtual times to diverge.
Urgency RandomUrgency() {
  return *rc::gen::weightedElement<Urgency>(
      {{1, Urgency::kUrgent}, {1, Urgency::kNormal}, {6, Urgency::kBulk}});
}

WaitingCall RandomCall(CallToken token) {
  const int customer =
      *rc::gen::weightedElement<int>({{6, 0}, {2, 1}, {1, 2}, {1, 3}});
  WaitingCall call = Call(token, "c" + std::to_string(customer),
                          RandomUrgency(), *rc::gen::element(1, 2, 5));
  call.offer.waiting_limit = *rc::gen::element(0, 0, 2, 6);
  call.offer.arrival = kStart + milliseconds(*rc::gen::inRange(0, 20));
  call.offer.deadline = kStart + milliseconds(*rc::gen::inRange(0, 200));
  return call;
}

TEST_CASE("the queue matches the naive one and reports each call once") {
  const bool held = rc::check([] {
    AdmissionOptions options;
    options.max_waiting = *rc::gen::element<std::size_t>(4, 8, 60);
    AdmissionQueue queue(options);
    NaiveAdmissionQueue naive(options);
    std::set<CallToken> inside;
    std::vector<Rejection> refused;
    std::vector<Rejection> refused_by_naive;
    const int steps = *rc::gen::inRange(1, 300);
    for (int n = 0; n < steps; ++n) {
      refused.clear();
      refused_by_naive.clear();
      const auto token = static_cast<CallToken>(n);
      const Urgency urgency = RandomUrgency();
      switch (*rc::gen::weightedElement<Step>({{8, Step::kAdd},
                                               {1, Step::kRemove},
                                               {7, Step::kTake},
                                               {1, Step::kExpire},
                                               {2, Step::kLearn}})) {
        case Step::kAdd: {
          const WaitingCall call = RandomCall(token);
          inside.insert(token);
          queue.Add(call, refused);
          naive.Add(call, refused_by_naive);
          break;
        }
        case Step::kRemove: {
          const auto any = static_cast<CallToken>(*rc::gen::inRange(0, n + 1));
          RC_ASSERT(queue.Remove(any) == naive.Remove(any));
          inside.erase(any);
          break;
        }
        case Step::kTake:
          RC_ASSERT((queue.Head(urgency) == nullptr) ==
                    (naive.Waiting(urgency) == 0));
          if (queue.Head(urgency) != nullptr) {
            const CallToken taken = queue.Take(urgency).offer.token;
            RC_ASSERT(taken == naive.Take(urgency));
            RC_ASSERT(inside.erase(taken) == 1U);
          }
          break;
        case Step::kExpire: {
          const TimePoint now = kStart + milliseconds(*rc::gen::inRange(0, 90));
          const ServiceTimes least = {milliseconds(0), milliseconds(2),
                                      milliseconds(9)};
          queue.Expire(now, least, refused);
          naive.Expire(now, least, refused_by_naive);
          break;
        }
        case Step::kLearn: {
          const CustomerId customer("c1");
          const milliseconds took(*rc::gen::inRange(1, 30));
          queue.Learn(urgency, customer, took);
          naive.Learn(urgency, customer, took);
          break;
        }
      }
      RC_ASSERT(refused == refused_by_naive);
      for (const Rejection& it : refused) {
        RC_ASSERT(inside.erase(it.token) == 1U);
      }
      RC_ASSERT(queue.size() == inside.size());
      RC_ASSERT(queue.size() <= options.max_waiting);
    }
  });
  CHECK(held);
}

TEST_CASE("shares hold within one call for any cost of a customer's calls") {
  // Guards against a customer with many or long calls that uses the shares of
  // others, whose calls then miss their deadlines. The queue charges slot time.
  const bool held = rc::check([] {
    AdmissionQueue queue(AdmissionOptions{});
    const std::vector<std::int64_t> shares = {1, 2, 5};
    std::vector<double> costs;
    std::vector<double> used(shares.size());
    std::vector<Rejection> refused;
    CallToken token = 0;
    for (std::size_t n = 0; n < shares.size(); ++n) {
      costs.push_back(*rc::gen::inRange(1, 40));
    }
    const auto add = [&](std::size_t n) {
      queue.Add(Call(++token, std::to_string(n), Urgency::kBulk, shares[n]),
                refused);
    };
    for (std::size_t n = 0; n < shares.size(); ++n) {
      add(n);
      add(n);
      queue.Learn(Urgency::kBulk, CustomerId(std::to_string(n)),
                  milliseconds(static_cast<int>(costs[n])));
    }
    for (int rounds = 0; rounds < 2000; ++rounds) {
      const WaitingCall taken = queue.Take(Urgency::kBulk);
      const std::size_t n = std::stoul(taken.offer.customer.text());
      used[n] += costs[n];
      add(n);
    }
    for (std::size_t n = 1; n < shares.size(); ++n) {
      const double gap = used[n] / static_cast<double>(shares[n]) -
                         used[0] / static_cast<double>(shares[0]);
      RC_ASSERT(std::abs(gap) <= 2 * 40.0);
    }
  });
  CHECK(held);
}

TEST_CASE("bulk gets its minimum share under continuous urgent load") {
  // Guards against bulk calls that miss every deadline because another urgent
  // call is there each time a slot becomes free. The minimum share gives bulk
  // one dispatch in twenty.
  AdmissionQueue queue(AdmissionOptions{});
  std::vector<Rejection> refused;
  int bulk = 0;
  for (CallToken token = 0; token < 2000; token += 2) {
    queue.Add(Call(token, "dock", Urgency::kUrgent), refused);
    queue.Add(Call(token + 1, "report", Urgency::kBulk), refused);
    const WaitingCall taken = queue.Take(*queue.Order().begin());
    bulk += taken.offer.urgency == Urgency::kBulk ? 1 : 0;
  }
  CHECK(bulk >= 45);
  CHECK(bulk <= 55);
}

TEST_CASE("a customer's own bulk call is evicted for its urgent call") {
  AdmissionQueue queue(AdmissionOptions{});
  std::vector<Rejection> refused;
  for (CallToken token = 1; token <= 4; ++token) {
    WaitingCall call = Call(token, "park", Urgency::kBulk);
    call.offer.waiting_limit = 4;
    queue.Add(call, refused);
  }
  WaitingCall dock = Call(9, "park", Urgency::kUrgent);
  dock.offer.waiting_limit = 4;
  queue.Add(dock, refused);
  REQUIRE(refused.size() == 1);
  CHECK(refused[0] == Rejection{4, Refusal::kQueueFull});
  CHECK(queue.Contains(9));
}

TEST_CASE("a retried call precedes later calls of its customer") {
  AdmissionQueue queue(AdmissionOptions{});
  std::vector<Rejection> refused;
  queue.Add(Call(1, "park", Urgency::kNormal), refused);
  queue.Add(Call(2, "park", Urgency::kNormal), refused);
  queue.Add(Call(3, "park", Urgency::kNormal), refused);
  const WaitingCall first = queue.Take(Urgency::kNormal);
  CHECK(first.offer.token == 1);
  queue.Add(first, refused);
  CHECK(queue.Head(Urgency::kNormal)->offer.token == 1);
}

TEST_CASE("calls of a customer are ordered by their rank if they have one") {
  AdmissionQueue queue(AdmissionOptions{});
  std::vector<Rejection> refused;
  const auto add = [&](CallToken token, bool is_first_attempt, int at_ms) {
    WaitingCall call = Call(token, "park", Urgency::kNormal);
    call.rank = {is_first_attempt, kStart + milliseconds(at_ms)};
    queue.Add(call, refused);
  };
  add(1, true, 30);
  add(2, true, 10);
  add(3, false, 90);
  add(4, true, 20);
  CHECK(queue.Remove(4));
  CHECK(queue.Take(Urgency::kNormal).offer.token == 3);
  CHECK(queue.Take(Urgency::kNormal).offer.token == 2);
  CHECK(queue.Take(Urgency::kNormal).offer.token == 1);
}

}  // namespace
}  // namespace damasktack
