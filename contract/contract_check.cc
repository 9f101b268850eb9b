#include "contract/contract_check.h"

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <string_view>

namespace damasktack {

namespace {

constexpr std::array<std::string_view, 7> kMethods = {
    "DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"};

constexpr std::size_t kMaxNameLength = 64;
constexpr std::string_view kNameCharacters =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789._-";

// Names appear unescaped in metric labels, log lines and paths of the
// administration API, so only characters that are safe there are accepted.
leaf::result<void> CheckName(const std::string& name,
                             const std::string& where) {
  if (name.size() <= kMaxNameLength &&
      name.find_first_not_of(kNameCharacters) == std::string::npos) {
    return {};
  }
  return Fail(ErrorKind::kOutOfRange, where, name.substr(0, kMaxNameLength),
              "write at most 64 letters, digits, dots, hyphens or "
              "underscores");
}

std::string ItemPath(const std::string& path, std::size_t n) {
  return path + "[" + std::to_string(n) + "]";
}

leaf::result<void> CheckMethod(const std::string& method,
                               const std::string& where) {
  if (std::ranges::find(kMethods, method) != kMethods.end()) {
    return {};
  }
  std::string remedy = "write one of:";
  for (const std::string_view it : kMethods) {
    remedy += " " + std::string(it);
  }
  return Fail(ErrorKind::kOutOfRange, where, method, remedy);
}

leaf::result<void> CheckMethods(const RequestRule& rule,
                                const std::string& path) {
  const std::string where = path + ".methods";
  std::set<std::string> seen;
  for (const std::string& it : rule.methods) {
    BOOST_LEAF_CHECK(CheckMethod(it, where));
    if (!seen.insert(it).second) {
      return Fail(ErrorKind::kDuplicate, where, it, "name each method once");
    }
  }
  return {};
}

bool MatchesFirst(const RequestRule& rule,
                  const RequestRule& later,
                  std::string_view method) {
  return rule.service == later.service &&
         later.path_prefix.starts_with(rule.path_prefix) &&
         (rule.methods.empty() ||
          std::ranges::find(rule.methods, method) != rule.methods.end());
}

// Returns whether the rules before `index` match every request that the rule at
// `index` would match.
bool IsCovered(const std::vector<RequestRule>& rules, std::size_t index) {
  const RequestRule& later = rules[index];
  const auto is_matched_earlier = [&](std::string_view method) {
    for (std::size_t n = 0; n < index; ++n) {
      if (MatchesFirst(rules[n], later, method)) {
        return true;
      }
    }
    return false;
  };
  return later.methods.empty()
             ? std::ranges::all_of(kMethods, is_matched_earlier)
             : std::ranges::all_of(later.methods, is_matched_earlier);
}

// Detects duplicate names and reports where the first occurrence was.
class UniquenessChecker {
 public:
  leaf::result<void> Add(const std::string& name,
                         const std::string& where,
                         const std::string& remedy) {
    const auto [first, is_new] = first_use_.emplace(name, where);
    if (!is_new) {
      return Fail(ErrorKind::kDuplicate, where,
                  name + ", as in " + first->second, remedy);
    }
    return {};
  }

 private:
  std::map<std::string, std::string> first_use_;
};

leaf::result<void> CheckPort(const SocketAddress& address,
                             const std::string& where) {
  if (address.port == 0) {
    return Fail(ErrorKind::kInvalidAddress, where, ToString(address),
                "write a port from 1 to 65535");
  }
  return {};
}

leaf::result<void> CheckEndpoints(const ServiceSpec& service,
                                  const std::string& path,
                                  UniquenessChecker& addresses) {
  UniquenessChecker ids;
  for (std::size_t n = 0; n < service.endpoints.size(); ++n) {
    const EndpointSpec& it = service.endpoints[n];
    const std::string where = ItemPath(path + ".endpoints", n);
    BOOST_LEAF_CHECK(CheckName(it.id.text(), where + ".id"));
    BOOST_LEAF_CHECK(CheckName(it.zone.text(), where + ".zone"));
    BOOST_LEAF_CHECK(ids.Add(it.id.text(), where + ".id",
                             "give each endpoint of a service a name of its "
                             "own"));
    BOOST_LEAF_CHECK(CheckPort(it.address, where + ".address"));
    // A server listed under two names would receive calls for twice its slots.
    BOOST_LEAF_CHECK(addresses.Add(ToString(it.address), where + ".address",
                                   "list each address once, under one "
                                   "service"));
  }
  return {};
}

}  // namespace

leaf::result<void> CheckContract(const Contract& contract,
                                 const std::string& path) {
  UniquenessChecker keys;
  for (std::size_t n = 0; n < contract.key_sha256.size(); ++n) {
    BOOST_LEAF_CHECK(keys.Add(contract.key_sha256[n],
                              ItemPath(path + ".key_sha256", n),
                              "list each key once"));
  }
  for (std::size_t n = 0; n < contract.requests.size(); ++n) {
    const std::string where = ItemPath(path + ".requests", n);
    BOOST_LEAF_CHECK(CheckMethods(contract.requests[n], where));
    if (IsCovered(contract.requests, n)) {
      return Fail(ErrorKind::kDuplicate, where,
                  "a rule that can never match, because rules above it take "
                  "all its requests",
                  "move it above the wider rule, or remove it");
    }
  }
  return {};
}

leaf::result<void> CheckContractList(const std::vector<Contract>& contracts) {
  UniquenessChecker names;
  UniquenessChecker keys;
  for (std::size_t n = 0; n < contracts.size(); ++n) {
    const std::string path = ItemPath("contracts", n);
    BOOST_LEAF_CHECK(
        CheckName(contracts[n].customer.text(), path + ".customer"));
    BOOST_LEAF_CHECK(names.Add(contracts[n].customer.text(), path + ".customer",
                               "write one contract for each customer"));
    for (std::size_t k = 0; k < contracts[n].key_sha256.size(); ++k) {
      BOOST_LEAF_CHECK(keys.Add(contracts[n].key_sha256[k],
                                ItemPath(path + ".key_sha256", k),
                                "give each customer keys of its own: a key "
                                "says whose contract counts"));
    }
  }
  return {};
}

leaf::result<void> CheckServiceList(const std::vector<ServiceSpec>& services) {
  UniquenessChecker names;
  UniquenessChecker prefixes;
  UniquenessChecker addresses;
  for (std::size_t n = 0; n < services.size(); ++n) {
    const std::string path = ItemPath("services", n);
    BOOST_LEAF_CHECK(CheckName(services[n].id.text(), path + ".id"));
    BOOST_LEAF_CHECK(names.Add(services[n].id.text(), path + ".id",
                               "give each service a name of its own"));
    BOOST_LEAF_CHECK(prefixes.Add(services[n].prefix, path + ".prefix",
                                  "give each service a prefix of its own"));
    BOOST_LEAF_CHECK(CheckEndpoints(services[n], path, addresses));
  }
  return {};
}

leaf::result<void> CheckHostList(const std::vector<HostSpec>& hosts) {
  UniquenessChecker names;
  UniquenessChecker addresses;
  for (std::size_t n = 0; n < hosts.size(); ++n) {
    const std::string path = ItemPath("hosts", n);
    BOOST_LEAF_CHECK(CheckName(hosts[n].id.text(), path + ".id"));
    BOOST_LEAF_CHECK(CheckName(hosts[n].zone.text(), path + ".zone"));
    BOOST_LEAF_CHECK(names.Add(hosts[n].id.text(), path + ".id",
                               "give each host a name of its own"));
    BOOST_LEAF_CHECK(CheckPort(hosts[n].peer_address, path + ".peer_address"));
    BOOST_LEAF_CHECK(addresses.Add(ToString(hosts[n].peer_address),
                                   path + ".peer_address",
                                   "give each host an address of its own"));
  }
  return {};
}

leaf::result<void> CheckReferences(const ContractList& contracts,
                                   const ServiceList& services) {
  std::set<ServiceId> known;
  std::string remedy = "publish the service first, or use one of:";
  for (const ServiceSpec& it : services.services) {
    known.insert(it.id);
    remedy += " " + it.id.text();
  }
  for (std::size_t n = 0; n < contracts.contracts.size(); ++n) {
    const auto& rules = contracts.contracts[n].requests;
    for (std::size_t k = 0; k < rules.size(); ++k) {
      if (!known.contains(rules[k].service)) {
        const std::string path = ItemPath("contracts", n) + ".requests";
        return Fail(ErrorKind::kUnknownReference,
                    ItemPath(path, k) + ".service", rules[k].service.text(),
                    remedy);
      }
    }
  }
  return {};
}

}  // namespace damasktack
