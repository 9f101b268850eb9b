#ifndef CONTRACT_CONTRACT_DIFF_H_
#define CONTRACT_CONTRACT_DIFF_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "contract/document.h"

namespace damasktack {

// One contract field that differs. An added rule has an empty `before`, a
// removed rule an empty `after`.
struct FieldChange {
  std::string field;
  std::string before;
  std::string after;

  bool operator==(const FieldChange&) const = default;
};

enum class ContractChangeKind : std::uint8_t {
  kAdded,
  kRemoved,
  kChanged,
  // The customer's contract is unchanged, but the sum of all shares differs, so
  // the customer's part of the capacity under full load changes.
  kShareChanged,
};
std::string_view ToString(ContractChangeKind kind);

// Effect of a contract update on one customer.
struct ContractChange {
  CustomerId customer;
  ContractChangeKind kind = ContractChangeKind::kChanged;
  std::vector<FieldChange> fields;
  // The customer's fraction of the sum of all shares, from 0 to 1.
  double share_before = 0;
  double share_after = 0;
};

// Returns one entry per affected customer, sorted by customer.
std::vector<ContractChange> DiffContracts(const std::vector<Contract>& before,
                                          const std::vector<Contract>& after);

}  // namespace damasktack

#endif  // CONTRACT_CONTRACT_DIFF_H_
