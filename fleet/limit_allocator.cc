#include "fleet/limit_allocator.h"

#include <algorithm>
#include <functional>
#include <type_traits>
#include <utility>
#include <variant>

namespace damasktack {

namespace {

constexpr Duration kGossipInterval = std::chrono::seconds(1);
constexpr std::int64_t kThousandth = kLimitUnit / 1000;

Duration LongestCallOf(const Contract& contract) {
  Duration longest{};
  for (const RequestRule& it : contract.requests) {
    longest = std::max(longest, it.deadline);
  }
  return longest;
}

std::int64_t LimitOf(const Contract& contract, LimitKind kind) {
  return kind == LimitKind::kRate ? contract.limits.calls_per_second
                                  : contract.limits.in_flight;
}

std::size_t IndexOf(LimitKind kind) {
  return static_cast<std::size_t>(kind);
}

// Gathers what goes to each host, so that a round sends one message a host.
template <typename Message>
class Batch {
 public:
  Message& For(const HostId& host) { return messages_[host]; }

  void Send(Outbox& out) {
    for (auto& [host, message] : messages_) {
      out.Send(host, std::move(message));
    }
  }

 private:
  std::map<HostId, Message> messages_;
};

}  // namespace

LimitAllocator::LimitAllocator(HostId self,
                               Incarnation incarnation,
                               LimitOptions options)
    : options_(options),
      hosts_(self, incarnation, options),
      // Leases of an earlier process of this host must never be mistaken for
      // this one's; incarnations are drawn at random.
      next_lease_(incarnation),
      next_lender_(std::hash<HostId>()(self)) {}

void LimitAllocator::OnView(const HostView& view,
                            TimePoint now,
                            Outbox& /*out*/) {
  hosts_.OnView(view, now);
  Divide(now);
}

void LimitAllocator::OnMessage(const Sender& sender,
                               const PeerMessage& message,
                               TimePoint now,
                               Outbox& out) {
  std::visit(
      [&](const auto& it) {
        if constexpr (requires { On(sender, it, now, out); }) {
          const Incarnation before = hosts_.IncarnationOf(sender.host);
          if (!hosts_.Hear(sender, now)) {
            return;
          }
          if (before != sender.incarnation) {
            Divide(now);
          }
          On(sender, it, now, out);
        }
      },
      message);
}

void LimitAllocator::On(const Sender& sender,
                        const CountRequest& /*ask*/,
                        TimePoint now,
                        Outbox& out) {
  // Leases that an earlier process of the asker granted are no longer its to
  // give: it will own its part again once everyone has acknowledged it.
  for (auto& [customer, accounts] : accounts_) {
    for (LimitAccount& it : accounts.kinds) {
      it.DropOthers(sender.host, sender.incarnation, now);
    }
  }
  // The asker may own from the acknowledgement on, so it waits until calls and
  // loans from before this host's part shrank have ended. It asks again.
  if (Fits(now)) {
    out.Send(sender.host,
             CountAck{sender.incarnation, hosts_.owns(), hosts_.Counted()});
  }
}

void LimitAllocator::On(const Sender& sender,
                        const CountAck& ack,
                        TimePoint now,
                        Outbox& /*out*/) {
  hosts_.OnAck(sender, ack);
  Divide(now);
}

void LimitAllocator::On(const Sender& /*sender*/,
                        const GoneHosts& gone,
                        TimePoint now,
                        Outbox& out) {
  for (const CountedHost& it : gone.gone) {
    LearnGone(it, now, out);
  }
}

void LimitAllocator::On(const Sender& sender,
                        const Goodbye& /*goodbye*/,
                        TimePoint now,
                        Outbox& out) {
  LearnGone({sender.host, sender.incarnation}, now, out);
}

void LimitAllocator::On(const Sender& sender,
                        const LendRequest& ask,
                        TimePoint now,
                        Outbox& out) {
  LendGrant answer;
  for (const LendRequestItem& it : ask.items) {
    const auto found = accounts_.find(it.customer);
    std::int64_t amount = 0;
    if (found != accounts_.end() && !returning_leases_) {
      LimitAccount& account = found->second.kinds[IndexOf(it.kind)];
      amount = account.Lend(sender.host, it, now);
    }
    counters_.grants += amount > 0 ? 1 : 0;
    answer.items.push_back({it.lease, it.renewal, it.customer, it.kind, amount,
                            options_.lease, options_.longest_call});
  }
  out.Send(sender.host, std::move(answer));
}

void LimitAllocator::On(const Sender& sender,
                        const LendGrant& grant,
                        TimePoint now,
                        Outbox& /*out*/) {
  for (const LendGrantItem& it : grant.items) {
    const auto found = accounts_.find(it.customer);
    if (found != accounts_.end()) {
      found->second.kinds[IndexOf(it.kind)].OnGrant(sender, it, now);
    }
  }
}

void LimitAllocator::On(const Sender& sender,
                        const LendReturn& returned,
                        TimePoint now,
                        Outbox& /*out*/) {
  for (auto& [customer, accounts] : accounts_) {
    for (LimitAccount& it : accounts.kinds) {
      for (const std::uint64_t lease : returned.leases) {
        it.TakeBack(sender.host, lease, now);
      }
    }
  }
}

void LimitAllocator::LearnGone(const CountedHost& process,
                               TimePoint now,
                               Outbox& out) {
  if (!hosts_.OnGone(process, now)) {
    return;
  }
  for (const HostId& it : hosts_.Reachable()) {
    out.Send(it, GoneHosts{{process}});
  }
}

void LimitAllocator::ConfirmGone(const HostId& host,
                                 TimePoint now,
                                 Outbox& out) {
  const CountedHost process = hosts_.Confirm(host, now);
  for (const HostId& it : hosts_.Reachable()) {
    out.Send(it, GoneHosts{{process}});
  }
  Divide(now);
}

void LimitAllocator::Divide(TimePoint now) {
  for (auto& [customer, accounts] : accounts_) {
    for (LimitAccount& it : accounts.kinds) {
      it.SetDivision(hosts_.size(), hosts_.owns(), now);
    }
  }
}

bool LimitAllocator::Fits(TimePoint now) const {
  for (const auto& [customer, accounts] : accounts_) {
    for (const LimitAccount& it : accounts.kinds) {
      if (it.bounded() && !it.Fits(now)) {
        return false;
      }
    }
  }
  return true;
}

LimitAllocator::Accounts& LimitAllocator::AccountsOf(
    const CustomerId& customer) {
  const auto it = accounts_.try_emplace(
      customer, Accounts{{LimitAccount(LimitKind::kRate, options_),
                          LimitAccount(LimitKind::kInFlight, options_)}});
  return it.first->second;
}

void LimitAllocator::Configure(const Contract& contract, TimePoint now) {
  Accounts& accounts = AccountsOf(contract.customer);
  const Duration longest = LongestCallOf(contract);
  for (const LimitKind kind : {LimitKind::kRate, LimitKind::kInFlight}) {
    LimitAccount& account = accounts.kinds[IndexOf(kind)];
    account.SetLimit(LimitOf(contract, kind), longest, now);
    account.SetDivision(hosts_.size(), hosts_.owns(), now);
  }
}

void LimitAllocator::SetContracts(const std::vector<Contract>& contracts,
                                  TimePoint now) {
  // Forgetting what is lent would divide it a second time if the customer came
  // back at once, so accounts in use stay, without a limit.
  for (auto& [customer, accounts] : accounts_) {
    for (LimitAccount& it : accounts.kinds) {
      it.SetLimit(0, {}, now);
    }
  }
  for (const Contract& it : contracts) {
    Configure(it, now);
  }
  std::erase_if(accounts_, [](const auto& it) {
    const auto& kinds = it.second.kinds;
    return std::all_of(kinds.begin(), kinds.end(), [](const LimitAccount& one) {
      return one.idle() && !one.bounded();
    });
  });
}

// A call may come under a contract that the ledger has not seen yet, or no
// longer: its limits hold all the same.
void LimitAllocator::ConfigureMissing(const Contract& contract, TimePoint now) {
  const Accounts& accounts = AccountsOf(contract.customer);
  for (const LimitKind kind : {LimitKind::kRate, LimitKind::kInFlight}) {
    const bool bounded = accounts.kinds[IndexOf(kind)].bounded();
    if (LimitOf(contract, kind) > 0 && !bounded) {
      Configure(contract, now);
      return;
    }
  }
}

LimitGate::Verdict LimitAllocator::Enter(const Contract& contract,
                                         TimePoint now) {
  ConfigureMissing(contract, now);
  Accounts& accounts = AccountsOf(contract.customer);
  LimitGate::Verdict verdict;
  for (LimitAccount& it : accounts.kinds) {
    if (it.bounded() && !it.Offer(now)) {
      verdict.admitted = false;
      verdict.retry_after = std::max(verdict.retry_after, it.RetryAfter(now));
    }
  }
  ++(verdict.admitted ? counters_.admitted : counters_.refused);
  if (verdict.admitted) {
    for (LimitAccount& it : accounts.kinds) {
      it.Take();
    }
  }
  return verdict;
}

void LimitAllocator::Leave(const CustomerId& customer, TimePoint /*now*/) {
  const auto it = accounts_.find(customer);
  if (it != accounts_.end()) {
    it->second.kinds[IndexOf(LimitKind::kInFlight)].GiveBack();
  }
}

void LimitAllocator::Tick(TimePoint now, Outbox& out) {
  hosts_.Tick(now);
  if (now < next_round_) {
    return;
  }
  next_round_ = now + options_.round;
  Divide(now);
  for (auto& [customer, accounts] : accounts_) {
    for (LimitAccount& it : accounts.kinds) {
      it.Round(now);
    }
  }
  AskForAcks(now, out);
  TellGone(now, out);
  if (!returning_leases_) {
    Borrow(now, out);
  }
  SendReturns(now, out);
}

void LimitAllocator::AskForAcks(TimePoint now, Outbox& out) {
  if (hosts_.owns() || now < next_ask_) {
    return;
  }
  next_ask_ = now + options_.repeat;
  for (const HostId& it : hosts_.MissingAcks()) {
    out.Send(it, CountRequest{});
  }
}

// A goodbye may be lost, and then its part with it: whoever knows of one tells
// another host each second.
void LimitAllocator::TellGone(TimePoint now, Outbox& out) {
  const std::vector<HostId> reachable = hosts_.Reachable();
  std::vector<CountedHost> gone = hosts_.Gone();
  if (now < next_gossip_ || reachable.empty() || gone.empty()) {
    return;
  }
  next_gossip_ = now + kGossipInterval;
  const HostId& listener = reachable[next_listener_++ % reachable.size()];
  out.Send(listener, GoneHosts{std::move(gone)});
}

void LimitAllocator::Borrow(TimePoint now, Outbox& out) {
  const std::vector<HostId> lenders = hosts_.Reachable();
  Batch<LendRequest> asks;
  for (auto& [customer, accounts] : accounts_) {
    for (const LimitKind kind : {LimitKind::kRate, LimitKind::kInFlight}) {
      LimitAccount& account = accounts.kinds[IndexOf(kind)];
      const auto add = [&, &customer = customer](const LimitBorrower::Ask& it) {
        ++counters_.asks;
        asks.For(it.lender).items.push_back(
            {it.lease, it.renewal, customer, kind, it.amount});
      };
      account.GiveUpSurplus(now);
      for (const LimitBorrower::Ask& it : account.debts().Due(now)) {
        add(it);
      }
      std::int64_t missing = account.Missing(now);
      for (std::size_t n = 0; n < lenders.size() && missing > 0; ++n) {
        const HostId& lender = lenders[(next_lender_ + n) % lenders.size()];
        if (account.debts().Asks(lender, now)) {
          const std::int64_t amount = std::min(missing, account.TypicalPart());
          add(account.debts().Borrow(lender, NextLease(), amount, now));
          missing -= amount;
        }
      }
    }
  }
  ++next_lender_;
  asks.Send(out);
}

void LimitAllocator::SendReturns(TimePoint now, Outbox& out) {
  Batch<LendReturn> returns;
  for (auto& [customer, accounts] : accounts_) {
    for (LimitAccount& it : accounts.kinds) {
      // Calls that still rest on an ended lease end before its lender's hold
      // does; only then may it be handed back early.
      if (!it.Fits(now)) {
        continue;
      }
      for (const LimitBorrower::Return& ended : it.debts().TakeEnded()) {
        ++counters_.returns;
        returns.For(ended.lender).leases.push_back(ended.lease);
      }
    }
  }
  returns.Send(out);
}

void LimitAllocator::ReturnLeases(TimePoint now, Outbox& out) {
  returning_leases_ = true;
  for (auto& [customer, accounts] : accounts_) {
    for (LimitAccount& it : accounts.kinds) {
      it.debts().GiveUpAll();
    }
  }
  SendReturns(now, out);
}

LimitAllocatorStatus LimitAllocator::Status(TimePoint now) const {
  LimitAllocatorStatus status;
  status.counted_hosts = hosts_.size();
  status.owns = hosts_.owns();
  status.missing_acks = hosts_.MissingAcks();
  status.orphans = hosts_.Orphans(now);
  status.counters = counters_;
  for (const auto& [customer, accounts] : accounts_) {
    for (const LimitKind kind : {LimitKind::kRate, LimitKind::kInFlight}) {
      const LimitAccount& it = accounts.kinds[IndexOf(kind)];
      if (it.bounded()) {
        status.limits.push_back(
            {customer, kind, it.owned() / kThousandth, it.lent() / kThousandth,
             it.Borrowed(now) / kThousandth, it.in_flight()});
      }
    }
  }
  return status;
}

std::int64_t LimitAllocator::Usable(const CustomerId& customer,
                                    LimitKind kind,
                                    TimePoint now) const {
  const auto it = accounts_.find(customer);
  return it == accounts_.end() ? 0
                               : it->second.kinds[IndexOf(kind)].Usable(now);
}

}  // namespace damasktack
