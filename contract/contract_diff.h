#ifndef CONTRACT_CONTRACT_DIFF_H_
#define CONTRACT_CONTRACT_DIFF_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "contract/document.h"

namespace damasktack {

// One member of a contract that differs; a rule that was added has no
// `before`, one that was removed no `after`.
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
  // Its own contract is the same, but other customers' shares are not, and so
  // it gets another part of a full service.
  kShareChanged,
};
std::string_view ToString(ContractChangeKind kind);

// What a change of the contracts does to one customer.
struct ContractChange {
  CustomerId customer;
  ContractChangeKind kind = ContractChangeKind::kChanged;
  std::vector<FieldChange> fields;
  // Its part of the sum of all shares, 0 to 1.
  double share_before = 0;
  double share_after = 0;
};

// One entry for each customer that notices, in the order of their names.
std::vector<ContractChange> DiffContracts(const std::vector<Contract>& before,
                                          const std::vector<Contract>& after);

}  // namespace damasktack

#endif  // CONTRACT_CONTRACT_DIFF_H_
