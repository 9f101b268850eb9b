#ifndef CONTRACT_CONTRACT_CHECK_H_
#define CONTRACT_CONTRACT_CHECK_H_

#include <string>
#include <vector>

#include "contract/document.h"
#include "core/error.h"

namespace damasktack {

// Checks that go beyond single members, for documents that are otherwise
// read. Each returns the first fault with its place and the remedy.

// Within one contract: methods, keys, and rules that can never match because
// rules above them take all their requests. `path` is the contract's place.
leaf::result<void> CheckContract(const Contract& contract,
                                 const std::string& path);

// Between contracts: customers' names and keys.
leaf::result<void> CheckContractList(const std::vector<Contract>& contracts);

// Between services: names, prefixes and endpoints' addresses.
leaf::result<void> CheckServiceList(const std::vector<ServiceSpec>& services);

// Between hosts: names and addresses.
leaf::result<void> CheckHostList(const std::vector<HostSpec>& hosts);

// That every service a contract names is published. A daemon doesn't refuse
// contracts over this, since the two documents change one after the other;
// operators check it before publishing.
leaf::result<void> CheckReferences(const ContractList& contracts,
                                   const ServiceList& services);

}  // namespace damasktack

#endif  // CONTRACT_CONTRACT_CHECK_H_
