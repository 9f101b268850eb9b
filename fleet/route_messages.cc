#include "fleet/route_messages.h"

#include <utility>

#include "core/column_table.h"
#include "fleet/message_json.h"

namespace damasktack {

namespace {

using detail::ReadTime;
using detail::ToMicroseconds;

constexpr std::int64_t kMostCount = 1'000'000'000'000;

// One target as a list of its service and weight.
Json ToPair(const RouteTarget& target) {
  return Json::array({target.service.text(), target.weight});
}

leaf::result<RouteTarget> ParseTarget(const Json& pair,
                                      const std::string& path) {
  const bool is_pair =
      pair.is_array() && pair.size() == 2 && pair[0].is_string() &&
      !pair[0].get_ref<const std::string&>().empty() &&
      pair[1].is_number_integer() && pair[1].get<std::int64_t>() >= 0;
  if (!is_pair) {
    return Fail(ErrorKind::kWrongType, path,
                "something else than a service and a weight",
                "check that the sender is a daemon of this system");
  }
  return RouteTarget{ServiceId(pair[0].get<std::string>()),
                     pair[1].get<std::int64_t>()};
}

// In the order of the values in ToRow.
const std::vector<std::string>& RouteColumns() {
  static const std::vector<std::string> columns = {
      "name",          "host",         "prefix",     "idempotent",
      "timeout_us",    "objective_us", "most_sends", "urgency",
      "retry_percent", "targets",      "regions"};
  return columns;
}

Json ToRow(const Route& route) {
  Json targets = Json::array();
  for (const RouteTarget& it : route.targets) {
    targets.push_back(ToPair(it));
  }
  Json regions;
  for (const RegionId& it : route.allowed_regions) {
    regions.push_back(it.text());
  }
  return Json::array({route.contract.customer.text(), route.host, route.prefix,
                      route.idempotent, ToMicroseconds(route.timeout),
                      ToMicroseconds(route.latency_objective),
                      route.attempt_limit, static_cast<int>(route.urgency),
                      route.contract.retry_percent, std::move(targets),
                      std::move(regions)});
}

leaf::result<Route> ParseRoute(const Json& json, const std::string& path) {
  Route route;
  std::string name;
  std::int64_t attempt_limit = 0;
  std::int64_t urgency = 0;
  JsonReader reader(json, path);
  reader.Read("name", name);
  reader.Read("host", route.host);
  reader.Read("prefix", route.prefix);
  reader.ReadOptional("idempotent", route.idempotent);
  ReadTime(reader, "timeout_us", route.timeout);
  ReadTime(reader, "objective_us", route.latency_objective);
  reader.Read("most_sends", attempt_limit, 1, 100);
  reader.Read("urgency", urgency, 0, kUrgencyCount - 1);
  reader.Read("retry_percent", route.contract.retry_percent, 0, 100);
  std::vector<std::string> regions;
  reader.ReadOptional("regions", regions);
  const Json* targets = reader.Array("targets");
  BOOST_LEAF_CHECK(reader.FinishIgnoringUnknown());
  for (const Json& it : *targets) {
    BOOST_LEAF_AUTO(target, ParseTarget(it, path));
    route.targets.push_back(std::move(target));
  }
  for (std::string& it : regions) {
    route.allowed_regions.emplace_back(std::move(it));
  }
  route.contract.customer = CustomerId(name);
  route.attempt_limit = static_cast<int>(attempt_limit);
  route.urgency = static_cast<Urgency>(urgency);
  return route;
}

Json ToJson(const ServiceTraits& service) {
  return Json{{"id", service.id.text()},
              {"health_path", service.health_path},
              {"connections", service.connections},
              {"cold_us", ToMicroseconds(service.cold_time)},
              {"cold_rate", service.cold_rate}};
}

leaf::result<ServiceTraits> ParseTraits(const Json& json,
                                        const std::string& path) {
  ServiceTraits service;
  std::string id;
  JsonReader reader(json, path);
  reader.Read("id", id);
  reader.Read("health_path", service.health_path);
  reader.Read("connections", service.connections, 1, kMostCount);
  ReadTime(reader, "cold_us", service.cold_time);
  reader.ReadOptional("cold_rate", service.cold_rate, 0,
                      static_cast<double>(kMostCount));
  BOOST_LEAF_CHECK(reader.FinishIgnoringUnknown());
  service.id = ServiceId(id);
  return service;
}

Json ToJson(const CallerLimits& limits) {
  return Json{{"header_bytes", limits.header_bytes},
              {"body_bytes", limits.body_bytes},
              {"header_us", ToMicroseconds(limits.header_timeout)},
              {"idle_us", ToMicroseconds(limits.idle_timeout)}};
}

leaf::result<CallerLimits> ParseLimits(const Json& json,
                                       const std::string& path) {
  CallerLimits limits;
  JsonReader reader(json, path);
  reader.Read("header_bytes", limits.header_bytes, 1, kMostCount);
  reader.Read("body_bytes", limits.body_bytes, 0, kMostCount);
  ReadTime(reader, "header_us", limits.header_timeout);
  ReadTime(reader, "idle_us", limits.idle_timeout);
  BOOST_LEAF_CHECK(reader.FinishIgnoringUnknown());
  return limits;
}

Json ToJson(const RouteKey& key) {
  return Json{{"host", key.host}, {"prefix", key.prefix}};
}

leaf::result<RouteKey> ParseKey(const Json& json, const std::string& path) {
  RouteKey key;
  JsonReader reader(json, path);
  reader.Read("host", key.host);
  reader.Read("prefix", key.prefix);
  BOOST_LEAF_CHECK(reader.FinishIgnoringUnknown());
  return key;
}

template <typename T>
Json ListToJson(const std::vector<T>& list) {
  Json json = Json::array();
  for (const T& it : list) {
    json.push_back(ToJson(it));
  }
  return json;
}

template <typename T, typename Parse>
leaf::result<std::vector<T>> ParseList(const Json& json,
                                       const std::string& path,
                                       Parse parse) {
  std::vector<T> list;
  list.reserve(json.size());
  for (const Json& it : json) {
    BOOST_LEAF_AUTO(value, parse(it, path));
    list.push_back(std::move(value));
  }
  return list;
}

Json RoutesToJson(const std::vector<Route>& routes) {
  Json rows = Json::array();
  for (const Route& it : routes) {
    rows.push_back(ToRow(it));
  }
  return ColumnTable::Make(RouteColumns(), std::move(rows));
}

leaf::result<std::vector<Route>> ParseRoutes(const Json& json,
                                             const std::string& path) {
  BOOST_LEAF_AUTO(table, ColumnTable::Open(json, path));
  std::vector<Route> routes;
  routes.reserve(table.size());
  for (std::size_t n = 0; n < table.size(); ++n) {
    BOOST_LEAF_AUTO(route, ParseRoute(table.Row(n), path));
    routes.push_back(std::move(route));
  }
  return routes;
}

}  // namespace

Json ToJson(const RouteTable& book) {
  return Json{{"version", book.version},
              {"routes", RoutesToJson(book.routes)},
              {"services", ListToJson(book.services)},
              {"limits", ToJson(book.limits)}};
}

leaf::result<RouteTable> ParseRouteTable(const Json& json,
                                         const std::string& path) {
  RouteTable book;
  JsonReader reader(json, path);
  reader.Read("version", book.version);
  const Json* routes = reader.Object("routes");
  const Json* services = reader.Array("services");
  const Json* limits = reader.Object("limits");
  BOOST_LEAF_CHECK(reader.FinishIgnoringUnknown());
  BOOST_LEAF_ASSIGN(book.routes, ParseRoutes(*routes, path));
  BOOST_LEAF_ASSIGN(book.services,
                    ParseList<ServiceTraits>(*services, path, ParseTraits));
  BOOST_LEAF_ASSIGN(book.limits, ParseLimits(*limits, path));
  return book;
}

Json ToJson(const RouteTableDelta& change) {
  return Json{{"base_version", change.base_version},
              {"version", change.version},
              {"changed", RoutesToJson(change.changed)},
              {"removed", ListToJson(change.removed)},
              {"services", ListToJson(change.services)},
              {"limits", ToJson(change.limits)}};
}

leaf::result<RouteTableDelta> ParseRouteTableDelta(const Json& json,
                                                   const std::string& path) {
  RouteTableDelta change;
  JsonReader reader(json, path);
  reader.Read("base_version", change.base_version);
  reader.Read("version", change.version);
  const Json* changed = reader.Object("changed");
  const Json* removed = reader.Array("removed");
  const Json* services = reader.Array("services");
  const Json* limits = reader.Object("limits");
  BOOST_LEAF_CHECK(reader.FinishIgnoringUnknown());
  BOOST_LEAF_ASSIGN(change.changed, ParseRoutes(*changed, path));
  BOOST_LEAF_ASSIGN(change.removed,
                    ParseList<RouteKey>(*removed, path, ParseKey));
  BOOST_LEAF_ASSIGN(change.services,
                    ParseList<ServiceTraits>(*services, path, ParseTraits));
  BOOST_LEAF_ASSIGN(change.limits, ParseLimits(*limits, path));
  return change;
}

}  // namespace damasktack
