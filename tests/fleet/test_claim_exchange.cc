#include "fleet/claim_exchange.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <set>

#include "fleet/limit_allocator.h"
#include "tests/fleet/fake_fleet.h"

namespace damasktack {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

ClaimOptions Options() {
  ClaimOptions options;
  options.quarantine = seconds(3);
  options.buckets = 6;
  return options;
}

// Claims with the division that says whom to count, as in the daemon.
class ClaimHost {
 public:
  ClaimHost(HostId id, Incarnation incarnation)
      : ledger_(id, incarnation, Limits()),
        claims_(id, incarnation, Options()) {}

  void OnView(const HostView& view, TimePoint now, Outbox& out) {
    ledger_.OnView(view, now, out);
    claims_.OnView(view, now, out);
  }
  void OnMessage(const Sender& sender,
                 const PeerMessage& message,
                 TimePoint now,
                 Outbox& out) {
    ledger_.OnMessage(sender, message, now, out);
    claims_.SetCounted(ledger_.Counted());
    claims_.OnMessage(sender, message, now, out);
  }
  void Tick(TimePoint now, Outbox& out) {
    ledger_.Tick(now, out);
    claims_.SetCounted(ledger_.Counted());
    claims_.Tick(now, out);
  }
  ClaimExchange& claims() { return claims_; }
  bool owns() const { return ledger_.Counted().owns; }

 private:
  static LimitOptions Limits() {
    LimitOptions options;
    options.longest_call = seconds(1);
    return options;
  }

  LimitAllocator ledger_;
  ClaimExchange claims_;
};

// Callers that repeat few keys through any host, and an endpoint that counts.
class ClaimTrial {
 public:
  ClaimTrial(std::size_t hosts, std::uint64_t seed)
      : fleet_(hosts, seed, [](HostId id, Incarnation incarnation) {
          return std::make_unique<ClaimHost>(id, incarnation);
        }) {
    for (std::size_t n = 0; n < hosts; ++n) {
      fleet_.Start(n);
    }
    fleet_.ShowViews();
    Advance(seconds(8));
  }

  FakeFleet<ClaimHost>& fleet() { return fleet_; }
  int executions(const std::string& key) { return executions_[key]; }
  bool broken() const { return broken_; }

  // `pause` passes between the grant and the send.
  void Call(std::size_t n,
            const std::string& key,
            Duration pause,
            Outcome outcome,
            std::function<void(ClaimVerdict)> done = {}) {
    if (!fleet_.Awake(n)) {
      return;
    }
    ClaimRequest request;
    request.customer = CustomerId("parks");
    request.key = key;
    request.deadline = fleet_.now() + seconds(2);
    const Incarnation incarnation = fleet_.HostAt(n).incarnation;
    Outbox out;
    fleet_.At(n).claims().Claim(
        request,
        [=, this](const ClaimReply& reply) {
          const bool ran = executions_[key] > 0 || unknown_.contains(key);
          const bool wrong =
              reply.verdict == ClaimVerdict::kAlreadyRan &&
              (!ran || (reply.answer && reply.answer->body != key));
          broken_ = broken_ || wrong;
          if (reply.verdict == ClaimVerdict::kGranted) {
            sends_.push_back({n, incarnation, request, reply.claim,
                              fleet_.now() + pause, outcome});
          }
          if (done) {
            done(reply.verdict);
          }
        },
        fleet_.now(), out);
    fleet_.Post(n, out);
  }

  void Advance(Duration length) {
    for (Duration passed{}; passed < length; passed += milliseconds(20)) {
      fleet_.Advance(milliseconds(20));
      SendDue();
    }
  }

  // The stated limit: both keepers of a bucket must not be lost together. A
  // crash is left out where it would take the last records of the newest
  // ballot.
  bool MayCrash(std::size_t n) {
    for (std::int64_t bucket = 0; bucket < Options().buckets; ++bucket) {
      ClaimBallot newest;
      bool others = false;
      for (std::size_t it = 0; it < fleet_.size(); ++it) {
        if (!fleet_.Alive(it)) {
          continue;
        }
        const auto held = fleet_.At(it).claims().keeper().HeldBallot(bucket);
        if (held && newest < *held) {
          newest = *held;
          others = false;
        }
        others = others || (held && *held == newest && it != n);
      }
      if (newest.counter > 0 && !others) {
        return false;
      }
    }
    return true;
  }

 private:
  struct Send {
    std::size_t host = 0;
    Incarnation incarnation = 0;
    ClaimRequest request;
    std::uint64_t claim = 0;
    TimePoint at;
    Outcome outcome = Outcome::kComplete;
  };

  void SendDue() {
    const std::vector<Send> sends = std::exchange(sends_, {});
    for (const Send& it : sends) {
      const bool crashed = !fleet_.Alive(it.host) ||
                           fleet_.HostAt(it.host).incarnation != it.incarnation;
      if (crashed) {
        continue;
      }
      if (!fleet_.Awake(it.host) || it.at > fleet_.now()) {
        sends_.push_back(it);
        continue;
      }
      const std::string& key = it.request.key;
      std::optional<KeptAnswer> answer;
      if (it.outcome != Outcome::kNotRun) {
        broken_ = ++executions_[key] > 1 || broken_;
      }
      if (it.outcome == Outcome::kUnknown) {
        unknown_.insert(key);
      }
      if (it.outcome == Outcome::kComplete) {
        answer = KeptAnswer{200, "text/plain", key};
      }
      Outbox out;
      fleet_.At(it.host).claims().Settle(it.request, it.claim, it.outcome,
                                         answer, fleet_.now(), out);
      fleet_.Post(it.host, out);
    }
  }

  FakeFleet<ClaimHost> fleet_;
  std::map<std::string, int> executions_;
  std::set<std::string> unknown_;
  std::vector<Send> sends_;
  bool broken_ = false;
};

void StartAgain(std::size_t n, ClaimTrial& trial) {
  auto& fleet = trial.fleet();
  bool names_owner = false;
  for (const std::size_t it : fleet.HostAt(n).listed) {
    names_owner = names_owner || (fleet.Alive(it) && fleet.At(it).owns());
  }
  fleet.Start(n, !names_owner);
  fleet.ShowViews();
}

void Happen(std::uint32_t event, ClaimTrial& trial) {
  auto& fleet = trial.fleet();
  const std::size_t a = (event >> 8) % fleet.size();
  const std::size_t b = (event >> 12) % fleet.size();
  const std::uint32_t size = (event >> 16) % 64;
  switch (event % 16) {
    case 0:
      fleet.Cut(a, b, a != b);
      break;
    case 1:
    case 2:
      fleet.Cut(a, b, false);
      break;
    case 3:
      fleet.Pause(a, milliseconds(100) * (size + 1));
      break;
    case 4:
      fleet.List(a, b, false);
      break;
    case 5:
      fleet.List(a, b, true);
      break;
    case 6:
      if (trial.MayCrash(a)) {
        fleet.Crash(a);
        fleet.ShowViews();
      }
      break;
    case 7:
    case 8:
      if (!fleet.Alive(a)) {
        StartAgain(a, trial);
      }
      break;
    case 9:
      if (fleet.Awake(a) && trial.MayCrash(a)) {
        fleet.Leave(a);
        fleet.ShowViews();
      }
      break;
    case 10:
      fleet.SetLoss(size % 25);
      break;
    default:
      break;
  }
  const std::string key = "key-" + std::to_string(size % 5);
  const auto outcome = static_cast<Outcome>((event >> 22) % 3);
  trial.Call(a, key, milliseconds(50) * size, outcome);
  trial.Call(b, key, milliseconds(5) * size, Outcome::kComplete);
  trial.Advance(milliseconds(20) * (1 + (event >> 24) % 20));
}

// One keeper a key, by each host's own list; the first way weighed.
class OneKeeper {
 public:
  void SetList(std::vector<std::string> hosts) { hosts_ = std::move(hosts); }
  const std::string& KeeperOf(const std::string& key) const {
    return *std::max_element(hosts_.begin(), hosts_.end(),
                             [&](const auto& a, const auto& b) {
                               return std::hash<std::string>()(a + key) <
                                      std::hash<std::string>()(b + key);
                             });
  }

 private:
  std::vector<std::string> hosts_;
};

}  // namespace

// A caller repeats a dock command through another host and the mower docks
// twice: the keepers crashed, changed or were cut off between the two, or the
// first host paused after its check. Generated schedules of all of these.
TEST_CASE("no key is executed twice, and keys are served again in the end") {
  CHECK(rc::check([] {
    const auto hosts = *rc::gen::inRange<std::size_t>(2, 6);
    const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
    const auto events = *rc::gen::container<std::vector<std::uint32_t>>(
        60, rc::gen::inRange<std::uint32_t>(0, 1U << 30));
    ClaimTrial trial(hosts, seed);
    for (const std::uint32_t it : events) {
      Happen(it, trial);
      RC_ASSERT(!trial.broken());
    }
    auto& fleet = trial.fleet();
    fleet.SetLoss(0);
    for (std::size_t n = 0; n < hosts; ++n) {
      if (!fleet.Alive(n)) {
        StartAgain(n, trial);
      }
      for (std::size_t peer = 0; peer < hosts; ++peer) {
        fleet.Cut(n, peer, false);
        fleet.List(n, peer, true);
      }
    }
    trial.Advance(seconds(30));
    int granted = 0;
    for (std::size_t n = 0; n < hosts; ++n) {
      trial.Call(n, "late-" + std::to_string(n), {}, Outcome::kComplete,
                 [&](ClaimVerdict verdict) {
                   granted += verdict == ClaimVerdict::kGranted ? 1 : 0;
                 });
    }
    trial.Advance(seconds(3));
    RC_ASSERT(granted == static_cast<int>(hosts));
    RC_ASSERT(!trial.broken());
  }));
}

// The naive way: with one keeper by the list, a host that joins becomes the
// keeper of keys that it knows nothing of, and they run again.
TEST_CASE("one keeper by the list doubles when the list changes") {
  OneKeeper old_list;
  old_list.SetList({"h0", "h1"});
  OneKeeper new_list;
  new_list.SetList({"h0", "h1", "h2"});
  std::map<std::string, std::set<std::string>> records;
  int doubled = 0;
  for (int n = 0; n < 30; ++n) {
    const std::string key = "key-" + std::to_string(n);
    records[old_list.KeeperOf(key)].insert(key);
    doubled += records[new_list.KeeperOf(key)].insert(key).second ? 1 : 0;
  }
  CHECK(doubled > 0);
}

TEST_CASE("a repeat hears the earlier answer through any host") {
  ClaimTrial trial(3, 1);
  trial.Call(0, "dock", {}, Outcome::kComplete);
  trial.Advance(seconds(1));
  int ran = 0;
  for (std::size_t n = 0; n < 3; ++n) {
    trial.Call(n, "dock", {}, Outcome::kComplete, [&](ClaimVerdict verdict) {
      ran += verdict == ClaimVerdict::kAlreadyRan ? 1 : 0;
    });
  }
  trial.Advance(seconds(1));
  CHECK(ran == 3);
  CHECK(trial.executions("dock") == 1);
  CHECK_FALSE(trial.broken());
}

TEST_CASE("a call that did not run frees its key") {
  ClaimTrial trial(3, 1);
  trial.Call(0, "dock", {}, Outcome::kNotRun);
  trial.Advance(seconds(1));
  trial.Call(1, "dock", {}, Outcome::kComplete);
  trial.Advance(seconds(1));
  CHECK(trial.executions("dock") == 1);
}

// A keeper crashes and comes back with nothing. The other one still knows what
// was granted, so the repeat hears of it instead of running.
TEST_CASE("one keeper's crash forgets nothing") {
  for (std::size_t crashed = 0; crashed < 3; ++crashed) {
    ClaimTrial trial(3, 1 + crashed);
    trial.Call(0, "dock", {}, Outcome::kComplete);
    trial.Advance(seconds(1));
    trial.fleet().Crash(crashed);
    trial.fleet().ShowViews();
    trial.Advance(seconds(1));
    StartAgain(crashed, trial);
    trial.Advance(seconds(6));
    for (std::size_t n = 0; n < 3; ++n) {
      trial.Call(n, "dock", {}, Outcome::kComplete);
    }
    trial.Advance(seconds(3));
    CHECK(trial.executions("dock") == 1);
  }
}

// A replaced host is back and reachable, but a link between it and a third host
// comes up late, so that it may not keep claims yet. It has already promised to
// follow the takeover that waits for it. Callers are told "unknown" for every
// key of that bucket until the takeover takes note that it may keep them.
TEST_CASE("a takeover goes on once its second keeper may keep claims") {
  ClaimTrial trial(3, 1);
  auto& fleet = trial.fleet();
  fleet.Leave(0);
  fleet.ShowViews();
  trial.Advance(seconds(8));
  fleet.Cut(0, 2, true);
  StartAgain(0, trial);
  trial.Advance(seconds(1));
  // What was promised to the takeover is still held: a planned stop of this
  // host must wait, or both copies could be gone before the next keepers have
  // theirs.
  const ClaimReplicaStatus waiting = fleet.At(2).claims().Status().keeper;
  CHECK(waiting.primary_buckets + waiting.secondary_buckets <
        Options().buckets);
  CHECK(waiting.holds == Options().buckets);
  fleet.Cut(0, 2, false);
  trial.Advance(seconds(1));
  int granted = 0;
  constexpr int kKeys = 12;
  for (int n = 0; n < kKeys; ++n) {
    trial.Call(1, "dock-" + std::to_string(n), {}, Outcome::kComplete,
               [&](ClaimVerdict verdict) {
                 granted += verdict == ClaimVerdict::kGranted ? 1 : 0;
               });
  }
  trial.Advance(milliseconds(500));
  CHECK(granted == kKeys);
}

TEST_CASE("a host alone keeps claims after the quarantine") {
  ClaimTrial trial(1, 1);
  trial.Call(0, "dock", {}, Outcome::kComplete);
  trial.Call(0, "dock", {}, Outcome::kComplete);
  trial.Advance(seconds(1));
  CHECK(trial.executions("dock") == 1);
}

}  // namespace damasktack
