#ifndef CONTRACT_CONTRACT_CHECK_H_
#define CONTRACT_CONTRACT_CHECK_H_

#include <string>
#include <vector>

#include "contract/document.h"
#include "core/error.h"

namespace damasktack {

// Consistency checks across the fields of documents that have been parsed. Each
// returns the first error with its location and a remedy.

// Checks one contract: methods, keys, and rules that can never match because
// earlier rules match all their requests. `path` is the contract's location in
// the document.
leaf::result<void> CheckContract(const Contract& contract,
                                 const std::string& path);

// Checks that customers' names are valid and that names and keys are unique
// across contracts.
leaf::result<void> CheckContractList(const std::vector<Contract>& contracts);

// Checks names and that names, prefixes and endpoint addresses are unique
// across services.
leaf::result<void> CheckServiceList(const std::vector<ServiceSpec>& services);

// Checks names and that names and addresses are unique across hosts.
leaf::result<void> CheckHostList(const std::vector<HostSpec>& hosts);

// Checks that every service referenced by a contract is published. A daemon
// does not reject contracts for this, since the two documents are updated one
// after the other; operators run the check before publishing.
leaf::result<void> CheckReferences(const ContractList& contracts,
                                   const ServiceList& services);

}  // namespace damasktack

#endif  // CONTRACT_CONTRACT_CHECK_H_
