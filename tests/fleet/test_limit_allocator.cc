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

// Divides by the number of hosts on its own list and nothing else.
class ListDivision {
 public:
  ListDivision(HostId, Incarnation, LimitOptions) {}
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

// Callers of a fleet of ledgers, with an exact count of what was admitted.
template <typename Module>
class LimitTrial {
 public:
  // The last `missing` hosts are listed but never start.
  LimitTrial(std::size_t hosts,
             std::uint64_t seed,
             const Contract& contract,
             std::size_t missing = 0)
      : contract_(contract), fleet_(hosts, seed, [&](HostId id, Incarnation n) {
          auto module = std::make_unique<Module>(id, n, Options());
          module->SetContracts({contract_}, fleet_.now());
          return module;
        }) {
    for (std::size_t n = 0; n < hosts - missing; ++n) {
      fleet_.Start(n);
    }
    fleet_.ShowViews();
    level_ = Burst();
  }

  FakeFleet<Module>& fleet() { return fleet_; }

  bool Call(std::size_t n, Duration lasts) {
    if (!fleet_.Awake(n) ||
        !fleet_.At(n).Enter(contract_, fleet_.now()).admitted) {
      return false;
    }
    ++admitted_;
    level_ -= 1;
    broken_ = broken_ || (contract_.limits.calls_per_second > 0 && level_ < 0);
    calls_.push_back({n, fleet_.HostAt(n).incarnation, fleet_.now() + lasts});
    CheckInFlight();
    return true;
  }

  void Advance(Duration step) {
    fleet_.Advance(step);
    const double passed = std::chrono::duration<double>(step).count();
    const auto rate = static_cast<double>(contract_.limits.calls_per_second);
    level_ = std::min(level_ + rate * passed, Burst());
    EndCalls();
  }

  bool broken() const { return broken_; }
  std::uint64_t admitted() const { return admitted_; }
  std::size_t in_flight() const {
    return static_cast<std::size_t>(
        std::count_if(calls_.begin(), calls_.end(), [&](const Entered& it) {
          return it.until > fleet_.now() &&
                 fleet_.HostAt(it.host).incarnation == it.incarnation &&
                 fleet_.Alive(it.host);
        }));
  }

 private:
  struct Entered {
    std::size_t host = 0;
    Incarnation incarnation = 0;
    TimePoint until;
  };

  // The stated burst: a tenth of a second, and one call for each host.
  double Burst() const {
    return 0.1 * static_cast<double>(contract_.limits.calls_per_second) +
           static_cast<double>(fleet_.size()) + 0.001;
  }

  void CheckInFlight() {
    const std::int64_t limit = contract_.limits.in_flight;
    broken_ =
        broken_ || (limit > 0 && in_flight() > static_cast<std::size_t>(limit));
  }

  // A call ends by its deadline also where its host is paused; the host only
  // hears of it later.
  void EndCalls() {
    std::erase_if(calls_, [&](const Entered& it) {
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
  std::vector<Entered> calls_;
  double level_ = 0;
  std::uint64_t admitted_ = 0;
  bool broken_ = false;
};

// The stated assumption: the list of a process that starts names a host that
// owns, or else every host that runs.
void StartAgain(std::size_t n, auto& trial) {
  auto& fleet = trial.fleet();
  bool names_owner = false;
  for (const std::size_t it : fleet.HostAt(n).listed) {
    names_owner = names_owner ||
                  (fleet.Alive(it) && fleet.At(it).Status(fleet.now()).owns);
  }
  fleet.Start(n, !names_owner);
  fleet.ShowViews();
}

// One event of a generated schedule: numbers that choose what happens where.
void Happen(std::uint32_t event, auto& trial) {
  auto& fleet = trial.fleet();
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
        StartAgain(a, trial);
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
      trial.Call(a, milliseconds(60) * (size + 1));
      trial.Call(b, milliseconds(30) * (size + 1));
    }
    trial.Advance(milliseconds(20));
  }
}

template <typename Module>
bool NeverPasses(const Contract& contract, std::uint64_t seed_offset) {
  return rc::check([&] {
    const auto hosts = *rc::gen::inRange<std::size_t>(2, 6);
    const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
    const auto events = *rc::gen::container<std::vector<std::uint32_t>>(
        200, rc::gen::inRange<std::uint32_t>(0, 1U << 30));
    LimitTrial<Module> trial(hosts, seed + seed_offset, contract);
    for (int n = 0; n < 20; ++n) {
      trial.Advance(milliseconds(20));
    }
    for (const std::uint32_t it : events) {
      Happen(it, trial);
      RC_ASSERT(!trial.broken());
    }
  });
}

}  // namespace

// A customer gets more through than its contract says: hosts that are cut off,
// pause, restart, leave or see another list divide the limit differently, or
// a lent part is used on both sides. Generated schedules of all of these.
TEST_CASE("the sum of what all hosts admit never passes the limit") {
  CHECK(NeverPasses<LimitAllocator>(MakeContract(0, kInFlight), 0));
  CHECK(NeverPasses<LimitAllocator>(MakeContract(kRate, 0), 1));
  CHECK(NeverPasses<LimitAllocator>(MakeContract(kRate, 2 * kInFlight), 2));
}

// The property must see the fault it is made for: a division by each host's
// own list passes the limit as soon as two lists differ.
TEST_CASE("the property catches a division by the list alone") {
  LimitTrial<ListDivision> trial(4, 1, MakeContract(0, 8));
  for (std::size_t n = 0; n < 4; ++n) {
    trial.fleet().List(0, n, n == 0);
  }
  for (int n = 0; n < 40; ++n) {
    trial.Call(static_cast<std::size_t>(n % 4), seconds(3));
  }
  CHECK(trial.broken());
}

TEST_CASE("two of fifteen hosts gather most of a limit within two seconds") {
  LimitTrial<LimitAllocator> trial(15, 7, MakeContract(3000, 0));
  for (int n = 0; n < 50; ++n) {
    trial.Advance(milliseconds(10));
  }
  std::uint64_t before = 0;
  for (int n = 0; n < 400; ++n) {
    before = n == 200 ? trial.admitted() : before;
    for (int call = 0; call < 40; ++call) {
      trial.Call(static_cast<std::size_t>(call % 2), milliseconds(1));
    }
    trial.Advance(milliseconds(10));
  }
  CHECK(trial.admitted() - before > 3000 * 2 * 9 / 10);
  CHECK_FALSE(trial.broken());
}

TEST_CASE("a limit smaller than the number of hosts is gathered on one") {
  LimitTrial<LimitAllocator> trial(15, 7, MakeContract(0, 3));
  for (int n = 0; n < 300; ++n) {
    trial.Call(0, milliseconds(500));
    trial.Advance(milliseconds(10));
  }
  std::size_t most = 0;
  for (int n = 0; n < 100; ++n) {
    for (int call = 0; call < 4; ++call) {
      trial.Call(0, milliseconds(500));
    }
    trial.Advance(milliseconds(10));
    most = std::max(most, trial.in_flight());
  }
  CHECK(most == 3);
}

TEST_CASE("a host alone owns the whole limit") {
  LimitTrial<LimitAllocator> trial(1, 7, MakeContract(0, 5));
  int admitted = 0;
  for (int n = 0; n < 8; ++n) {
    admitted += trial.Call(0, seconds(1)) ? 1 : 0;
  }
  CHECK(admitted == 5);
}

// A host is cut off and leaves everyone's list, but goes on serving its part.
// A new host that nobody has told of it would divide without it. The others'
// acknowledgements name it, so the new host owns nothing; it may borrow.
TEST_CASE("a new host owns nothing while a cut-off host may") {
  LimitTrial<LimitAllocator> trial(4, 3, MakeContract(0, 12));
  auto& fleet = trial.fleet();
  for (int n = 0; n < 20; ++n) {
    trial.Advance(milliseconds(20));
  }
  fleet.Leave(3);
  for (std::size_t n = 0; n < 3; ++n) {
    fleet.List(n, 3, false);
  }
  for (int n = 0; n < 1000; ++n) {
    trial.Advance(milliseconds(20));
  }
  for (std::size_t n = 1; n < 4; ++n) {
    fleet.Cut(0, n, true);
    fleet.List(n, 0, false);
  }
  fleet.Start(3);
  fleet.List(1, 3, true);
  fleet.List(2, 3, true);
  for (int n = 0; n < 100; ++n) {
    trial.Advance(milliseconds(20));
  }
  CHECK_FALSE(fleet.At(3).Status(fleet.now()).owns);
  CHECK(fleet.At(3).Status(fleet.now()).missing_acks ==
        std::vector<HostId>{HostId("h0")});
  Outbox out;
  fleet.At(1).ConfirmGone(HostId("h0"), fleet.now(), out);
  fleet.Post(1, out);
  for (int n = 0; n < 100; ++n) {
    trial.Advance(milliseconds(20));
  }
  CHECK(fleet.At(3).Status(fleet.now()).owns);
}

// All hosts start at once and one of them never comes up. Nobody knows whether
// it is down or cut off and serving, so nobody owns until the list has been
// without it for the time set.
TEST_CASE("a host that never came up stops holding a new fleet back") {
  LimitTrial<LimitAllocator> trial(3, 3, MakeContract(0, 6), 1);
  auto& fleet = trial.fleet();
  for (int n = 0; n < 100; ++n) {
    trial.Advance(seconds(1));
  }
  CHECK_FALSE(fleet.At(0).Status(fleet.now()).owns);
  fleet.List(0, 2, false);
  fleet.List(1, 2, false);
  for (int n = 0; n < 290; ++n) {
    trial.Advance(seconds(1));
  }
  CHECK_FALSE(fleet.At(0).Status(fleet.now()).owns);
  for (int n = 0; n < 20; ++n) {
    trial.Advance(seconds(1));
  }
  CHECK(fleet.At(0).Status(fleet.now()).owns);
  CHECK(fleet.At(0).Status(fleet.now()).counted_hosts == 2);
}

TEST_CASE("a goodbye gives the part to the others after its leases") {
  LimitTrial<LimitAllocator> trial(3, 3, MakeContract(0, 6));
  for (int n = 0; n < 20; ++n) {
    trial.Advance(milliseconds(20));
  }
  auto& fleet = trial.fleet();
  fleet.Leave(2);
  for (std::size_t n = 0; n < 2; ++n) {
    fleet.List(n, 2, false);
  }
  trial.Advance(milliseconds(20));
  CHECK(fleet.At(0).Status(fleet.now()).counted_hosts == 3);
  for (int n = 0; n < 400; ++n) {
    trial.Advance(milliseconds(20));
  }
  CHECK(fleet.At(0).Status(fleet.now()).counted_hosts == 2);
}

}  // namespace damasktack
