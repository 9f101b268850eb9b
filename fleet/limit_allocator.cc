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

Duration LongestDeadlineOf(const Contract& contract) {
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

// Collects items by host, so that a round sends one message per host.
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
      // Starts at the incarnation, which is random, so that lease numbers of an
      // earlier process of this host are not used again.
      next_lease_(incarnation),
      next_lender_(std::hash<HostId>()(self)) {}

void LimitAllocator::OnView(const HostView& view,
                            TimePoint now,
                            Outbox& /*out*/) {
  hosts_.OnView(view, now);
  UpdateShares(now);
}

void LimitAllocator::OnMessage(const Sender& sender,
                               const PeerMessage& message,
                               TimePoint now,
                               Outbox& out) {
  std::visit(
      [&](const auto& it) {
        if constexpr (requires { On(sender, it, now, out); }) {
          const Incarnation before = hosts_.IncarnationOf(sender.host);
          if (!hosts_.OnMessageFrom(sender, now)) {
            return;
          }
          if (before != sender.incarnation) {
            UpdateShares(now);
          }
          On(sender, it, now, out);
        }
      },
      message);
}

void LimitAllocator::On(const Sender& sender,
                        const CountRequest& /*request*/,
                        TimePoint now,
                        Outbox& out) {
  // Leases granted by an earlier process of the sender are dropped: the new
  // process owns the whole share once every host has acknowledged it.
  for (auto& [customer, accounts] : accounts_) {
    for (LimitAccount& it : accounts.kinds) {
      it.DropOtherIncarnations(sender.host, sender.incarnation, now);
    }
  }
  // The sender may own a share once it has the acknowledgement. Until calls and
  // loans from before this host's share shrank have ended, no acknowledgement
  // is sent; the sender repeats its request.
  if (IsWithinShares(now)) {
    out.Send(sender.host,
             CountAck{sender.incarnation, hosts_.owns(), hosts_.Counted()});
  }
}

void LimitAllocator::On(const Sender& sender,
                        const CountAck& ack,
                        TimePoint now,
                        Outbox& /*out*/) {
  hosts_.OnAck(sender, ack);
  UpdateShares(now);
}

void LimitAllocator::On(const Sender& /*sender*/,
                        const GoneHosts& gone,
                        TimePoint now,
                        Outbox& out) {
  for (const CountedHost& it : gone.gone) {
    RecordGone(it, now, out);
  }
}

void LimitAllocator::On(const Sender& sender,
                        const Goodbye& /*goodbye*/,
                        TimePoint now,
                        Outbox& out) {
  RecordGone({sender.host, sender.incarnation}, now, out);
}

void LimitAllocator::On(const Sender& sender,
                        const LendRequest& request,
                        TimePoint now,
                        Outbox& out) {
  LendGrant answer;
  for (const LendRequestItem& it : request.items) {
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
        it.Reclaim(sender.host, lease, now);
      }
    }
  }
}

void LimitAllocator::RecordGone(const CountedHost& process,
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
  const CountedHost process = hosts_.ConfirmGone(host, now);
  for (const HostId& it : hosts_.Reachable()) {
    out.Send(it, GoneHosts{{process}});
  }
  UpdateShares(now);
}

void LimitAllocator::UpdateShares(TimePoint now) {
  for (auto& [customer, accounts] : accounts_) {
    for (LimitAccount& it : accounts.kinds) {
      it.SetDivision(hosts_.size(), hosts_.owns(), now);
    }
  }
}

bool LimitAllocator::IsWithinShares(TimePoint now) const {
  for (const auto& [customer, accounts] : accounts_) {
    for (const LimitAccount& it : accounts.kinds) {
      if (it.bounded() && !it.IsWithinShares(now)) {
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
  const Duration longest = LongestDeadlineOf(contract);
  for (const LimitKind kind : {LimitKind::kRate, LimitKind::kInFlight}) {
    LimitAccount& account = accounts.kinds[IndexOf(kind)];
    account.SetLimit(LimitOf(contract, kind), longest, now);
    account.SetDivision(hosts_.size(), hosts_.owns(), now);
  }
}

void LimitAllocator::SetContracts(const std::vector<Contract>& contracts,
                                  TimePoint now) {
  // Accounts in use stay, without a limit. If one with loans were removed and
  // the customer came back at once, the lent shares would be assigned twice.
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

// A call may arrive under a contract that SetContracts has not announced yet,
// or has already removed. Its limits apply nevertheless.
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
    if (it.bounded() && !it.OfferCall(now)) {
      verdict.admitted = false;
      verdict.retry_after = std::max(verdict.retry_after, it.RetryAfter(now));
    }
  }
  ++(verdict.admitted ? counters_.admitted : counters_.refused);
  if (verdict.admitted) {
    for (LimitAccount& it : accounts.kinds) {
      it.ConsumeCall();
    }
  }
  return verdict;
}

void LimitAllocator::Leave(const CustomerId& customer, TimePoint /*now*/) {
  const auto it = accounts_.find(customer);
  if (it != accounts_.end()) {
    it->second.kinds[IndexOf(LimitKind::kInFlight)].EndCall();
  }
}

void LimitAllocator::Tick(TimePoint now, Outbox& out) {
  hosts_.Tick(now);
  if (now < next_round_) {
    return;
  }
  next_round_ = now + options_.round_interval;
  UpdateShares(now);
  for (auto& [customer, accounts] : accounts_) {
    for (LimitAccount& it : accounts.kinds) {
      it.Update(now);
    }
  }
  RequestAcks(now, out);
  GossipGone(now, out);
  if (!returning_leases_) {
    Borrow(now, out);
  }
  SendReturns(now, out);
}

void LimitAllocator::RequestAcks(TimePoint now, Outbox& out) {
  if (hosts_.owns() || now < next_ack_request_) {
    return;
  }
  next_ack_request_ = now + options_.resend_interval;
  for (const HostId& it : hosts_.MissingAcks()) {
    out.Send(it, CountRequest{});
  }
}

// If a goodbye is lost, the share of that host stays unused. Every host that
// knows of ended processes therefore tells another host each second, in turn.
void LimitAllocator::GossipGone(TimePoint now, Outbox& out) {
  const std::vector<HostId> reachable = hosts_.Reachable();
  std::vector<CountedHost> gone = hosts_.Gone();
  if (now < next_gossip_ || reachable.empty() || gone.empty()) {
    return;
  }
  next_gossip_ = now + kGossipInterval;
  const HostId& target = reachable[next_gossip_target_++ % reachable.size()];
  out.Send(target, GoneHosts{std::move(gone)});
}

void LimitAllocator::Borrow(TimePoint now, Outbox& out) {
  const std::vector<HostId> lenders = hosts_.Reachable();
  Batch<LendRequest> requests;
  for (auto& [customer, accounts] : accounts_) {
    for (const LimitKind kind : {LimitKind::kRate, LimitKind::kInFlight}) {
      LimitAccount& account = accounts.kinds[IndexOf(kind)];
      const auto add = [&, &customer =
                               customer](const LimitBorrower::Request& it) {
        ++counters_.asks;
        requests.For(it.lender).items.push_back(
            {it.lease, it.renewal, customer, kind, it.amount});
      };
      account.ReturnSurplus(now);
      for (const LimitBorrower::Request& it :
           account.borrower().TakeDueRequests(now)) {
        add(it);
      }
      std::int64_t shortfall = account.Shortfall(now);
      for (std::size_t n = 0; n < lenders.size() && shortfall > 0; ++n) {
        const HostId& lender = lenders[(next_lender_ + n) % lenders.size()];
        if (account.borrower().CanRequestFrom(lender, now)) {
          const std::int64_t amount =
              std::min(shortfall, account.TypicalShare());
          add(account.borrower().Borrow(lender, NextLease(), amount, now));
          shortfall -= amount;
        }
      }
    }
  }
  ++next_lender_;
  requests.Send(out);
}

void LimitAllocator::SendReturns(TimePoint now, Outbox& out) {
  Batch<LendReturn> returns;
  for (auto& [customer, accounts] : accounts_) {
    for (LimitAccount& it : accounts.kinds) {
      // Calls in flight that still depend on an ended lease end before the
      // lender's hold does. The lease is returned early only after these calls.
      if (!it.IsWithinShares(now)) {
        continue;
      }
      for (const LimitBorrower::Return& ended : it.borrower().TakeReturns()) {
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
      it.borrower().ReturnAll();
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
