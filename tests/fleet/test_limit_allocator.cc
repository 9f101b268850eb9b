#include "fleet/limit_allocator.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "tests/fleet/fake_fleet.h"

namespace damasktack {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::int64_t kRate = 50;
constexpr std::int64_t kInFlight = 7;
constexpr Duration kLongestCall = seconds(4);

Contract MakeContract(std::int64_t rate, std::int64_t in_flight) {
  Contract contract;
  contract.customer = CustomerId("parks");
  contract.limits.calls_per_second = rate;
  contract.limits.in_flight = in_flight;
  RequestRule rule;
  rule.deadline = kLongestCall;
  contract.requests.push_back(rule);
  return contract;
}

LimitOptions Options() {
  LimitOptions options;
  options.longest_call = kLongestCall;
  return options;
}

// Divides the limit by the number of hosts on the host list only. A faulty
// implementation, which the property test must detect.
class HostListDivision {
 public:
  HostListDivision(HostId, Incarnation, LimitOptions) {}
  void OnView(const HostView& view, TimePoint, Outbox&) {
    hosts_ = static_cast<std::int64_t>(view.peers.size()) + 1;
  }
  void OnMessage(const Sender&, const PeerMessage&, TimePoint, Outbox&) {}
  void Tick(TimePoint, Outbox&) {}
  void SetContracts(const std::vector<Contract>& contracts, TimePoint) {
    limit_ = contracts.front().limits.in_flight;
  }
  LimitGate::Verdict Enter(const Contract&, TimePoint) {
    const bool fits = (in_flight_ + 1) * hosts_ <= limit_;
    in_flight_ += fits ? 1 : 0;
    return {fits, {}};
  }
  void Leave(const CustomerId&, TimePoint) { --in_flight_; }

 private:
  std::int64_t hosts_ = 1;
  std::int64_t limit_ = 0;
  std::int64_t in_flight_ = 0;
};

// Simulates callers of a fleet and checks the admitted calls against the limit,
// with an exact count over all hosts.
template <typename Module>
class LimitSimulation {
 public:
  // The last `absent` hosts are on the host list but never start.
  LimitSimulation(std::size_t hosts,
                  std::uint64_t seed,
                  const Contract& contract,
                  std::size_t absent = 0)
      : contract_(contract), fleet_(hosts, seed, [&](HostId id, Incarnation n) {
          auto module = std::make_unique<Module>(id, n, Options());
          module->SetContracts({contract_}, fleet_.now());
          return module;
        }) {
    for (std::size_t n = 0; n < hosts - absent; ++n) {
      fleet_.Start(n);
    }
    fleet_.ShowViews();
    tokens_ = Burst();
  }

  FakeFleet<Module>& fleet() { return fleet_; }

  bool Call(std::size_t n, Duration lasts) {
    if (!fleet_.Awake(n) ||
        !fleet_.At(n).Enter(contract_, fleet_.now()).admitted) {
      return false;
    }
    ++admitted_;
    tokens_ -= 1;
    limit_exceeded_ = limit_exceeded_ ||
                      (contract_.limits.calls_per_second > 0 && tokens_ < 0);
    calls_.push_back({n, fleet_.HostAt(n).incarnation, fleet_.now() + lasts});
    CheckInFlight();
    return true;
  }

  void Advance(Duration step) {
    fleet_.Advance(step);
    const double elapsed_s = std::chrono::duration<double>(step).count();
    const auto rate = static_cast<double>(contract_.limits.calls_per_second);
    tokens_ = std::min(tokens_ + rate * elapsed_s, Burst());
    EndCalls();
  }

  bool limit_exceeded() const { return limit_exceeded_; }
  std::uint64_t admitted() const { return admitted_; }
  std::size_t in_flight() const {
    return static_cast<std::size_t>(
        std::count_if(calls_.begin(), calls_.end(), [&](const ActiveCall& it) {
          return it.until > fleet_.now() &&
                 fleet_.HostAt(it.host).incarnation == it.incarnation &&
                 fleet_.Alive(it.host);
        }));
  }

 private:
  struct ActiveCall {
    std::size_t host = 0;
    Incarnation incarnation = 0;
    TimePoint until;
  };

  // The documented burst: a tenth of a second of the rate, and one call per
  // host.
  double Burst() const {
    return 0.1 * static_cast<double>(contract_.limits.calls_per_second) +
           static_cast<double>(fleet_.size()) + 0.001;
  }

  void CheckInFlight() {
    const std::int64_t limit = contract_.limits.in_flight;
    limit_exceeded_ =
        limit_exceeded_ ||
        (limit > 0 && in_flight() > static_cast<std::size_t>(limit));
  }

  // A call ends by its deadline even if its host is paused; the host only
  // notices later.
  void EndCalls() {
    std::erase_if(calls_, [&](const ActiveCall& it) {
      const bool crashed = !fleet_.Alive(it.host) ||
                           fleet_.HostAt(it.host).incarnation != it.incarnation;
      const bool ends = it.until <= fleet_.now() && fleet_.Awake(it.host);
      if (ends && !crashed) {
        fleet_.At(it.host).Leave(contract_.customer, fleet_.now());
      }
      return crashed || ends;
    });
  }

  Contract contract_;
  FakeFleet<Module> fleet_;
  std::vector<ActiveCall> calls_;
  double tokens_ = 0;
  std::uint64_t admitted_ = 0;
  bool limit_exceeded_ = false;
};

// Restarts a host under the documented assumption: the host list of a starting
// process names a host that owns a share, or else every running host.
void RestartHost(std::size_t n, auto& simulation) {
  auto& fleet = simulation.fleet();
  bool names_owner = false;
  for (const std::size_t it : fleet.HostAt(n).listed) {
    names_owner = names_owner ||
                  (fleet.Alive(it) && fleet.At(it).Status(fleet.now()).owns);
  }
  fleet.Start(n, !names_owner);
  fleet.ShowViews();
}

// Applies one event of a generated schedule, whose bits select the kind of
// event, the hosts and its size. Then makes calls for 200 ms.
void ApplyEvent(std::uint32_t event, auto& simulation) {
  auto& fleet = simulation.fleet();
  const std::size_t a = (event >> 8) % fleet.size();
  const std::size_t b = (event >> 12) % fleet.size();
  const std::uint32_t size = (event >> 16) % 64;
  switch (event % 16) {
    case 0:
      fleet.Cut(a, b, a != b);
      break;
    case 1:
      fleet.Cut(a, b, false);
      break;
    case 2:
      fleet.Pause(a, milliseconds(100) * (size + 1));
      break;
    case 3:
      fleet.List(a, b, false);
      break;
    case 4:
      fleet.List(a, b, true);
      break;
    case 5:
      fleet.Crash(a);
      break;
    case 6:
      if (!fleet.Alive(a)) {
        RestartHost(a, simulation);
      }
      break;
    case 7:
      if (size < 16 && fleet.Awake(a)) {
        fleet.Leave(a);
      }
      break;
    case 8:
      fleet.SetLoss(size % 30);
      break;
    default:
      break;
  }
  for (std::uint32_t n = 0; n < 10; ++n) {
    for (std::uint32_t call = 0; call < 1 + size / 8; ++call) {
      simulation.Call(a, milliseconds(60) * (size + 1));
      simulation.Call(b, milliseconds(30) * (size + 1));
    }
    simulation.Advance(milliseconds(20));
  }
}

// Checks the limit over generated schedules of events.
template <typename Module>
bool NeverExceedsLimit(const Contract& contract, std::uint64_t seed_offset) {
  return rc::check([&] {
    const auto hosts = *rc::gen::inRange<std::size_t>(2, 6);
    const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
    const auto events = *rc::gen::container<std::vector<std::uint32_t>>(
        200, rc::gen::inRange<std::uint32_t>(0, 1U << 30));
    LimitSimulation<Module> simulation(hosts, seed + seed_offset, contract);
    for (int n = 0; n < 20; ++n) {
      simulation.Advance(milliseconds(20));
    }
    for (const std::uint32_t it : events) {
      ApplyEvent(it, simulation);
      RC_ASSERT(!simulation.limit_exceeded());
    }
  });
}

}  // namespace

// Guards against a customer exceeding its contract's limit because hosts that
// are cut off, pause, restart, leave or see different host lists divide the
// limit differently, or because a lent share is used by lender and borrower.
// Generated schedules combine these events.
TEST_CASE("the calls admitted by all hosts never exceed the limit") {
  CHECK(NeverExceedsLimit<LimitAllocator>(MakeContract(0, kInFlight), 0));
  CHECK(NeverExceedsLimit<LimitAllocator>(MakeContract(kRate, 0), 1));
  CHECK(
      NeverExceedsLimit<LimitAllocator>(MakeContract(kRate, 2 * kInFlight), 2));
}

// Checks that the simulation detects the fault it was written for: division by
// each host's own list exceeds the limit as soon as two lists differ.
TEST_CASE("the limit check detects a division by the host list alone") {
  LimitSimulation<HostListDivision> simulation(4, 1, MakeContract(0, 8));
  for (std::size_t n = 0; n < 4; ++n) {
    simulation.fleet().List(0, n, n == 0);
  }
  for (int n = 0; n < 40; ++n) {
    simulation.Call(static_cast<std::size_t>(n % 4), seconds(3));
  }
  CHECK(simulation.limit_exceeded());
}

TEST_CASE("two of fifteen hosts borrow most of a limit within two seconds") {
  LimitSimulation<LimitAllocator> simulation(15, 7, MakeContract(3000, 0));
  for (int n = 0; n < 50; ++n) {
    simulation.Advance(milliseconds(10));
  }
  std::uint64_t before = 0;
  for (int n = 0; n < 400; ++n) {
    before = n == 200 ? simulation.admitted() : before;
    for (int call = 0; call < 40; ++call) {
      simulation.Call(static_cast<std::size_t>(call % 2), milliseconds(1));
    }
    simulation.Advance(milliseconds(10));
  }
  CHECK(simulation.admitted() - before > 3000 * 2 * 9 / 10);
  CHECK_FALSE(simulation.limit_exceeded());
}

TEST_CASE("one host borrows all of a limit smaller than the number of hosts") {
  LimitSimulation<LimitAllocator> simulation(15, 7, MakeContract(0, 3));
  for (int n = 0; n < 300; ++n) {
    simulation.Call(0, milliseconds(500));
    simulation.Advance(milliseconds(10));
  }
  std::size_t peak = 0;
  for (int n = 0; n < 100; ++n) {
    for (int call = 0; call < 4; ++call) {
      simulation.Call(0, milliseconds(500));
    }
    simulation.Advance(milliseconds(10));
    peak = std::max(peak, simulation.in_flight());
  }
  CHECK(peak == 3);
}

TEST_CASE("a single host owns the whole limit") {
  LimitSimulation<LimitAllocator> simulation(1, 7, MakeContract(0, 5));
  int admitted = 0;
  for (int n = 0; n < 8; ++n) {
    admitted += simulation.Call(0, seconds(1)) ? 1 : 0;
  }
  CHECK(admitted == 5);
}

// A host is cut off and dropped from the host list, but still serves calls on
// its share. A new host that does not know of it would divide the limit without
// it. The acknowledgements of the other hosts name the host that is cut off, so
// the new host owns no share until an operator confirms that host as gone.
TEST_CASE("a new host owns no share while a cut-off host may own one") {
  LimitSimulation<LimitAllocator> simulation(4, 3, MakeContract(0, 12));
  auto& fleet = simulation.fleet();
  for (int n = 0; n < 20; ++n) {
    simulation.Advance(milliseconds(20));
  }
  fleet.Leave(3);
  for (std::size_t n = 0; n < 3; ++n) {
    fleet.List(n, 3, false);
  }
  for (int n = 0; n < 1000; ++n) {
    simulation.Advance(milliseconds(20));
  }
  for (std::size_t n = 1; n < 4; ++n) {
    fleet.Cut(0, n, true);
    fleet.List(n, 0, false);
  }
  fleet.Start(3);
  fleet.List(1, 3, true);
  fleet.List(2, 3, true);
  for (int n = 0; n < 100; ++n) {
    simulation.Advance(milliseconds(20));
  }
  CHECK_FALSE(fleet.At(3).Status(fleet.now()).owns);
  CHECK(fleet.At(3).Status(fleet.now()).missing_acks ==
        std::vector<HostId>{HostId("h0")});
  Outbox out;
  fleet.At(1).ConfirmGone(HostId("h0"), fleet.now(), out);
  fleet.Post(1, out);
  for (int n = 0; n < 100; ++n) {
    simulation.Advance(milliseconds(20));
  }
  CHECK(fleet.At(3).Status(fleet.now()).owns);
}

// All hosts start at once and one of them never comes up. No host can tell
// whether that host is down, or cut off and serving. So no host owns a share
// until the missing host has been off the host list for orphan_timeout.
TEST_CASE("a host that never came up blocks a new fleet only for a time") {
  LimitSimulation<LimitAllocator> simulation(3, 3, MakeContract(0, 6), 1);
  auto& fleet = simulation.fleet();
  for (int n = 0; n < 100; ++n) {
    simulation.Advance(seconds(1));
  }
  CHECK_FALSE(fleet.At(0).Status(fleet.now()).owns);
  fleet.List(0, 2, false);
  fleet.List(1, 2, false);
  for (int n = 0; n < 290; ++n) {
    simulation.Advance(seconds(1));
  }
  CHECK_FALSE(fleet.At(0).Status(fleet.now()).owns);
  for (int n = 0; n < 20; ++n) {
    simulation.Advance(seconds(1));
  }
  CHECK(fleet.At(0).Status(fleet.now()).owns);
  CHECK(fleet.At(0).Status(fleet.now()).counted_hosts == 2);
}

TEST_CASE(
    "the share of a host that left is divided once its leases have ended") {
  LimitSimulation<LimitAllocator> simulation(3, 3, MakeContract(0, 6));
  for (int n = 0; n < 20; ++n) {
    simulation.Advance(milliseconds(20));
  }
  auto& fleet = simulation.fleet();
  fleet.Leave(2);
  for (std::size_t n = 0; n < 2; ++n) {
    fleet.List(n, 2, false);
  }
  simulation.Advance(milliseconds(20));
  CHECK(fleet.At(0).Status(fleet.now()).counted_hosts == 3);
  for (int n = 0; n < 400; ++n) {
    simulation.Advance(milliseconds(20));
  }
  CHECK(fleet.At(0).Status(fleet.now()).counted_hosts == 2);
}

}  // namespace damasktack
