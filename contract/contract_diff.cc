#include "contract/contract_diff.h"

#include <algorithm>
#include <array>
#include <map>

namespace damasktack {

namespace {

constexpr std::array<std::string_view, 4> kKindNames = {"added", "removed",
                                                        "changed", "displaced"};

using ContractsByCustomer = std::map<CustomerId, const Contract*>;

ContractsByCustomer ByCustomer(const std::vector<Contract>& contracts) {
  ContractsByCustomer by_customer;
  for (const Contract& it : contracts) {
    by_customer[it.customer] = &it;
  }
  return by_customer;
}

std::int64_t SumOfShares(const std::vector<Contract>& contracts) {
  std::int64_t sum = 0;
  for (const Contract& it : contracts) {
    sum += it.share;
  }
  return sum;
}

double ShareFraction(const Contract* contract, std::int64_t sum) {
  return contract == nullptr
             ? 0.0
             : static_cast<double>(contract->share) / static_cast<double>(sum);
}

// A limit of 0 means that there is none.
std::string FormatLimit(std::int64_t bound) {
  return bound == 0 ? "no bound" : std::to_string(bound);
}

std::string FormatRule(const RequestRule& rule) {
  std::string text = rule.service.text() + rule.path_prefix + " ";
  for (const std::string& it : rule.methods) {
    text += it + (it == rule.methods.back() ? " " : ",");
  }
  text += rule.methods.empty() ? "every method " : "";
  text += rule.idempotent ? "idempotent " : "non-idempotent ";
  text += std::string(ToString(rule.urgency)) + " within ";
  return text + FormatDuration(rule.deadline);
}

// Collects the fields that differ.
class FieldChangeCollector {
 public:
  void Compare(std::string_view field, std::string before, std::string after) {
    if (before != after) {
      fields_.push_back(
          {std::string(field), std::move(before), std::move(after)});
    }
  }
  std::vector<FieldChange> Take() { return std::move(fields_); }

 private:
  std::vector<FieldChange> fields_;
};

// Reports only how many keys were added and removed, without their digests: an
// operator does not need to know which.
void CompareKeys(const Contract& before,
                 const Contract& after,
                 FieldChangeCollector& fields) {
  const auto missing_in = [](const Contract& from, const Contract& in) {
    return std::ranges::count_if(from.key_sha256, [&](const std::string& key) {
      return std::ranges::find(in.key_sha256, key) == in.key_sha256.end();
    });
  };
  fields.Compare("keys removed", "0",
                 std::to_string(missing_in(before, after)));
  fields.Compare("keys added", "0", std::to_string(missing_in(after, before)));
}

void CompareRules(const Contract& before,
                  const Contract& after,
                  FieldChangeCollector& fields) {
  const auto has = [](const Contract& contract, const RequestRule& rule) {
    return std::ranges::find(contract.requests, rule) !=
           contract.requests.end();
  };
  std::vector<RequestRule> kept_before;
  std::vector<RequestRule> kept_after;
  for (const RequestRule& it : before.requests) {
    if (has(after, it)) {
      kept_before.push_back(it);
    } else {
      fields.Compare("rule", FormatRule(it), "");
    }
  }
  for (const RequestRule& it : after.requests) {
    if (has(before, it)) {
      kept_after.push_back(it);
    } else {
      fields.Compare("rule", "", FormatRule(it));
    }
  }
  // The first matching rule applies, so a different order of the kept rules is
  // a change too.
  if (kept_before != kept_after) {
    fields.Compare("order of rules", "as it was", "another");
  }
}

std::vector<FieldChange> CompareFields(const Contract& before,
                                       const Contract& after) {
  FieldChangeCollector fields;
  fields.Compare("share", std::to_string(before.share),
                 std::to_string(after.share));
  fields.Compare("when_short", std::string(ToString(before.overload_policy)),
                 std::string(ToString(after.overload_policy)));
  fields.Compare("limits.calls_per_second",
                 FormatLimit(before.limits.calls_per_second),
                 FormatLimit(after.limits.calls_per_second));
  fields.Compare("limits.in_flight", FormatLimit(before.limits.in_flight),
                 FormatLimit(after.limits.in_flight));
  fields.Compare("limits.waiting_per_host",
                 std::to_string(before.limits.waiting_per_host),
                 std::to_string(after.limits.waiting_per_host));
  fields.Compare("retry_percent", std::to_string(before.retry_percent),
                 std::to_string(after.retry_percent));
  CompareKeys(before, after, fields);
  CompareRules(before, after, fields);
  return fields.Take();
}

}  // namespace

std::string_view ToString(ContractChangeKind kind) {
  return kKindNames[static_cast<std::size_t>(kind)];
}

std::vector<ContractChange> DiffContracts(const std::vector<Contract>& before,
                                          const std::vector<Contract>& after) {
  const ContractsByCustomer old_contracts = ByCustomer(before);
  const ContractsByCustomer new_contracts = ByCustomer(after);
  const std::int64_t old_sum = SumOfShares(before);
  const std::int64_t new_sum = SumOfShares(after);
  ContractsByCustomer all = old_contracts;
  all.insert(new_contracts.begin(), new_contracts.end());
  std::vector<ContractChange> changes;
  for (const auto& [customer, contract] : all) {
    const auto was = old_contracts.find(customer);
    const auto is = new_contracts.find(customer);
    const Contract* old_one =
        was == old_contracts.end() ? nullptr : was->second;
    const Contract* new_one = is == new_contracts.end() ? nullptr : is->second;
    ContractChange change{.customer = customer,
                          .kind = ContractChangeKind::kChanged,
                          .fields = {},
                          .share_before = ShareFraction(old_one, old_sum),
                          .share_after = ShareFraction(new_one, new_sum)};
    if (old_one == nullptr) {
      change.kind = ContractChangeKind::kAdded;
    } else if (new_one == nullptr) {
      change.kind = ContractChangeKind::kRemoved;
    } else {
      change.fields = CompareFields(*old_one, *new_one);
      const bool same = change.fields.empty();
      if (same && change.share_before == change.share_after) {
        continue;
      }
      change.kind = same ? ContractChangeKind::kShareChanged
                         : ContractChangeKind::kChanged;
    }
    changes.push_back(std::move(change));
  }
  return changes;
}

}  // namespace damasktack
