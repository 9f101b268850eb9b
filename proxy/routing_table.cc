#include "proxy/routing_table.h"

#include <openssl/evp.h>

#include <algorithm>
#include <cctype>
#include <set>
#include <utility>

#include "wire/hex.h"

namespace damasktack {

namespace {

bool IsPrefixOfPath(std::string_view prefix, std::string_view path) {
  if (!path.starts_with(prefix)) {
    return false;
  }
  return path.size() == prefix.size() || path[prefix.size()] == '/' ||
         path[prefix.size()] == '?';
}

std::string LowerCase(std::string_view text) {
  std::string lower(text);
  std::ranges::transform(lower, lower.begin(), [](unsigned char it) {
    return static_cast<char>(std::tolower(it));
  });
  return lower;
}

std::string_view WithoutPort(std::string_view host) {
  const std::size_t colon = host.rfind(':');
  const bool is_port = colon != std::string_view::npos &&
                       host.find(']', colon) == std::string_view::npos;
  return is_port ? host.substr(0, colon) : host;
}

}  // namespace

std::string Sha256Hex(std::string_view text) {
  std::string digest(EVP_MAX_MD_SIZE, '\0');
  unsigned n = 0;
  EVP_Digest(text.data(), text.size(),
             reinterpret_cast<unsigned char*>(digest.data()), &n, EVP_sha256(),
             nullptr);
  digest.resize(n);
  return ToHex(digest);
}

RoutingTable::RoutingTable(const ContractList& contracts,
                           const ServiceList& services)
    : contracts_(contracts.contracts), services_(services.services) {
  for (ServiceSpec& service : services_) {
    std::set<Urgency> urgencies;
    for (const Contract& contract : contracts_) {
      for (const RequestRule& it : contract.requests) {
        if (it.service == service.id) {
          urgencies.insert(it.urgency);
        }
      }
    }
    service.route_mix.urgencies = urgencies.size();
  }
  std::ranges::sort(services_, [](const ServiceSpec& a, const ServiceSpec& b) {
    return a.prefix.size() > b.prefix.size();
  });
  for (std::size_t n = 0; n < contracts_.size(); ++n) {
    for (const std::string& digest : contracts_[n].key_sha256) {
      contract_by_digest_.emplace(digest, n);
    }
  }
}

RoutingTable::RoutingTable(std::shared_ptr<const RouteTable> book,
                           std::vector<ServiceSpec> services)
    : services_(std::move(services)), book_(std::move(book)) {
  for (std::size_t n = 0; n < services_.size(); ++n) {
    service_by_id_.emplace(services_[n].id, n);
  }
  for (const Route& it : book_->routes) {
    contracts_.push_back(it.contract);
    routes_by_host_[LowerCase(it.host)].push_back(&it);
  }
  for (auto& [host, routes] : routes_by_host_) {
    std::ranges::sort(routes, [](const Route* a, const Route* b) {
      return a->prefix.size() > b->prefix.size();
    });
  }
}

const Route* RoutingTable::FindRoute(std::string_view host,
                                     std::string_view path) const {
  const auto routes = routes_by_host_.find(LowerCase(WithoutPort(host)));
  if (routes == routes_by_host_.end()) {
    return nullptr;
  }
  const auto it = std::ranges::find_if(routes->second, [&](const Route* route) {
    return path.starts_with(route->prefix);
  });
  return it == routes->second.end() ? nullptr : *it;
}

const ServiceSpec* RoutingTable::FindServiceById(const ServiceId& id) const {
  const auto it = service_by_id_.find(id);
  return it == service_by_id_.end() ? nullptr : &services_[it->second];
}

const Contract* RoutingTable::FindContract(std::string_view key) const {
  const auto it = contract_by_digest_.find(Sha256Hex(key));
  return it == contract_by_digest_.end() ? nullptr : &contracts_[it->second];
}

const ServiceSpec* RoutingTable::FindService(std::string_view path) const {
  const auto it =
      std::ranges::find_if(services_, [&](const ServiceSpec& service) {
        return IsPrefixOfPath(service.prefix, path);
      });
  return it == services_.end() ? nullptr : &*it;
}

}  // namespace damasktack
