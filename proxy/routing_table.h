#ifndef PROXY_ROUTING_TABLE_H_
#define PROXY_ROUTING_TABLE_H_

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "contract/document.h"
#include "contract/route.h"

namespace damasktack {

// SHA-256 as 64 lower-case hex digits.
std::string Sha256Hex(std::string_view text);

// What the documents in force say about one request. Immutable once built;
// calls hold the table they began with.
class RoutingTable {
 public:
  RoutingTable() = default;
  RoutingTable(const ContractList& contracts, const ServiceList& services);
  // For callers without keys: the route tells the contract.
  RoutingTable(std::shared_ptr<const RouteTable> book,
               std::vector<ServiceSpec> services);

  // Null where no contract has this key.
  const Contract* FindContract(std::string_view key) const;
  // Null where no service has a prefix of this path.
  const ServiceSpec* FindService(std::string_view path) const;

  // Whether requests go by routes and not by their callers' contracts.
  bool has_routes() const { return book_ != nullptr; }
  // The route with the longest prefix of this path; null where there is none.
  const Route* FindRoute(std::string_view host, std::string_view path) const;
  // Null where it is not published.
  const ServiceSpec* FindServiceById(const ServiceId& id) const;
  // Null without routes.
  const std::shared_ptr<const RouteTable>& book() const { return book_; }

  const std::vector<Contract>& contracts() const { return contracts_; }
  const std::vector<ServiceSpec>& services() const { return services_; }

 private:
  std::vector<Contract> contracts_;
  // Longest prefix first.
  std::vector<ServiceSpec> services_;
  std::unordered_map<std::string, std::size_t> contract_by_digest_;
  std::shared_ptr<const RouteTable> book_;
  // By host in lower case, longest prefix first.
  std::unordered_map<std::string, std::vector<const Route*>> routes_by_host_;
  std::unordered_map<ServiceId, std::size_t> service_by_id_;
};

using RoutingTablePtr = std::shared_ptr<const RoutingTable>;

}  // namespace damasktack

#endif  // PROXY_ROUTING_TABLE_H_
