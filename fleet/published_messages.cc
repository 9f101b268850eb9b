#include "fleet/published_messages.h"

#include <utility>

#include "fleet/message_json.h"

namespace damasktack {

namespace {

constexpr std::int64_t kMostCount = 1'000'000'000'000;

std::int64_t ToMicroseconds(Duration time) {
  return std::chrono::duration_cast<std::chrono::microseconds>(time).count();
}

void ReadTime(JsonReader& reader, std::string_view key, Duration& out) {
  std::int64_t us = 0;
  reader.Read(key, us, 0, kMostCount);
  out = std::chrono::microseconds(us);
}

Json ToJson(const RouteTarget& target) {
  return Json{{"service", target.service.text()}, {"weight", target.weight}};
}

leaf::result<RouteTarget> ParseTarget(const Json& json,
                                      const std::string& path) {
  RouteTarget target;
  std::string service;
  JsonReader reader(json, path);
  reader.Read("service", service);
  reader.Read("weight", target.weight, 0, kMostCount);
  BOOST_LEAF_CHECK(reader.FinishIgnoringUnknown());
  target.service = ServiceId(service);
  return target;
}

Json ToJson(const Route& route) {
  Json targets = Json::array();
  for (const RouteTarget& it : route.targets) {
    targets.push_back(ToJson(it));
  }
  return Json{{"name", route.contract.customer.text()},
              {"host", route.host},
              {"prefix", route.prefix},
              {"idempotent", route.idempotent},
              {"timeout_us", ToMicroseconds(route.timeout)},
              {"objective_us", ToMicroseconds(route.latency_objective)},
              {"most_sends", route.most_sends},
              {"urgency", static_cast<int>(route.urgency)},
              {"retry_percent", route.contract.retry_percent},
              {"targets", std::move(targets)}};
}

leaf::result<Route> ParseRoute(const Json& json, const std::string& path) {
  Route route;
  std::string name;
  std::int64_t most_sends = 0;
  std::int64_t urgency = 0;
  JsonReader reader(json, path);
  reader.Read("name", name);
  reader.Read("host", route.host);
  reader.Read("prefix", route.prefix);
  reader.ReadOptional("idempotent", route.idempotent);
  ReadTime(reader, "timeout_us", route.timeout);
  ReadTime(reader, "objective_us", route.latency_objective);
  reader.Read("most_sends", most_sends, 1, 100);
  reader.Read("urgency", urgency, 0, kUrgencyCount - 1);
  reader.Read("retry_percent", route.contract.retry_percent, 0, 100);
  const Json* targets = reader.Array("targets");
  BOOST_LEAF_CHECK(reader.FinishIgnoringUnknown());
  for (const Json& it : *targets) {
    BOOST_LEAF_AUTO(target, ParseTarget(it, path));
    route.targets.push_back(std::move(target));
  }
  route.contract.customer = CustomerId(name);
  route.most_sends = static_cast<int>(most_sends);
  route.urgency = static_cast<Urgency>(urgency);
  return route;
}

Json ToJson(const ServiceTraits& service) {
  return Json{{"id", service.id.text()},
              {"health_path", service.health_path},
              {"connections", service.connections}};
}

leaf::result<ServiceTraits> ParseTraits(const Json& json,
                                        const std::string& path) {
  ServiceTraits service;
  std::string id;
  JsonReader reader(json, path);
  reader.Read("id", id);
  reader.Read("health_path", service.health_path);
  reader.Read("connections", service.connections, 1, kMostCount);
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

Json ToJson(const RouteBook& book) {
  return Json{{"version", book.version},
              {"routes", ListToJson(book.routes)},
              {"services", ListToJson(book.services)},
              {"limits", ToJson(book.limits)}};
}

leaf::result<RouteBook> ParseBook(const Json& json, const std::string& path) {
  RouteBook book;
  JsonReader reader(json, path);
  reader.Read("version", book.version);
  const Json* routes = reader.Array("routes");
  const Json* services = reader.Array("services");
  const Json* limits = reader.Object("limits");
  BOOST_LEAF_CHECK(reader.FinishIgnoringUnknown());
  BOOST_LEAF_ASSIGN(book.routes, ParseList<Route>(*routes, path, ParseRoute));
  BOOST_LEAF_ASSIGN(book.services,
                    ParseList<ServiceTraits>(*services, path, ParseTraits));
  BOOST_LEAF_ASSIGN(book.limits, ParseLimits(*limits, path));
  return book;
}

Json ToJson(const RouteBookChange& change) {
  return Json{{"base_version", change.base_version},
              {"version", change.version},
              {"changed", ListToJson(change.changed)},
              {"removed", ListToJson(change.removed)},
              {"services", ListToJson(change.services)},
              {"limits", ToJson(change.limits)}};
}

leaf::result<RouteBookChange> ParseBookChange(const Json& json,
                                              const std::string& path) {
  RouteBookChange change;
  JsonReader reader(json, path);
  reader.Read("base_version", change.base_version);
  reader.Read("version", change.version);
  const Json* changed = reader.Array("changed");
  const Json* removed = reader.Array("removed");
  const Json* services = reader.Array("services");
  const Json* limits = reader.Object("limits");
  BOOST_LEAF_CHECK(reader.FinishIgnoringUnknown());
  BOOST_LEAF_ASSIGN(change.changed,
                    ParseList<Route>(*changed, path, ParseRoute));
  BOOST_LEAF_ASSIGN(change.removed,
                    ParseList<RouteKey>(*removed, path, ParseKey));
  BOOST_LEAF_ASSIGN(change.services,
                    ParseList<ServiceTraits>(*services, path, ParseTraits));
  BOOST_LEAF_ASSIGN(change.limits, ParseLimits(*limits, path));
  return change;
}

Json ToJson(const PublishedEndpoint& endpoint) {
  return Json{{"id", endpoint.spec.id.text()},
              {"service", endpoint.service.text()},
              {"address", ToString(endpoint.spec.address)},
              {"zone", endpoint.spec.zone.text()},
              {"slots", endpoint.spec.slots},
              {"leaving", endpoint.spec.state == ListedState::kLeaving},
              {"cold_us", ToMicroseconds(endpoint.cold_for)}};
}

leaf::result<PublishedEndpoint> ParseEndpoint(const Json& json,
                                              const std::string& path) {
  PublishedEndpoint endpoint;
  std::string id;
  std::string service;
  std::string zone;
  bool leaving = false;
  JsonReader reader(json, path);
  reader.Read("id", id);
  reader.Read("service", service);
  reader.Read("address", endpoint.spec.address);
  reader.Read("zone", zone);
  reader.Read("slots", endpoint.spec.slots, 1, kMostCount);
  reader.ReadOptional("leaving", leaving);
  ReadTime(reader, "cold_us", endpoint.cold_for);
  BOOST_LEAF_CHECK(reader.FinishIgnoringUnknown());
  endpoint.service = ServiceId(service);
  endpoint.spec.id = EndpointId(id);
  endpoint.spec.zone = ZoneId(zone);
  endpoint.spec.state = leaving ? ListedState::kLeaving : ListedState::kLive;
  return endpoint;
}

// One item under the key that names its sort; a value that could not be read
// is not passed on.
std::optional<Json> ItemToJson(const PublishedItem& item) {
  Json json{{"revision", item.revision}};
  if (const auto* book = std::get_if<RouteBook>(&item.value)) {
    json["routes"] = ToJson(*book);
  } else if (const auto* change = std::get_if<RouteBookChange>(&item.value)) {
    json["routes_change"] = ToJson(*change);
  } else if (const auto* endpoint =
                 std::get_if<PublishedEndpoint>(&item.value)) {
    json["endpoint"] = ToJson(*endpoint);
  } else if (const auto* removed = std::get_if<RemovedEndpoint>(&item.value)) {
    json["removed"] = removed->id.text();
  } else {
    return std::nullopt;
  }
  return json;
}

leaf::result<PublishedItem> ParseItem(const Json& json,
                                      const std::string& path) {
  PublishedItem item;
  std::string removed;
  JsonReader reader(json, path);
  reader.Read("revision", item.revision);
  reader.ReadOptional("removed", removed);
  const Json* book = reader.OptionalObject("routes");
  const Json* change = reader.OptionalObject("routes_change");
  const Json* endpoint = reader.OptionalObject("endpoint");
  BOOST_LEAF_CHECK(reader.FinishIgnoringUnknown());
  if (book != nullptr) {
    BOOST_LEAF_ASSIGN(item.value, ParseBook(*book, path));
  } else if (change != nullptr) {
    BOOST_LEAF_ASSIGN(item.value, ParseBookChange(*change, path));
  } else if (endpoint != nullptr) {
    BOOST_LEAF_ASSIGN(item.value, ParseEndpoint(*endpoint, path));
  } else {
    item.value = RemovedEndpoint{EndpointId(removed)};
  }
  return item;
}

}  // namespace

Json FeedHello::ToJson() const {
  return Json{{"rank", rank},
              {"address", ToString(address)},
              {"revision", revision},
              {"followers", followers}};
}

leaf::result<FeedHello> FeedHello::Parse(const Json& json,
                                         const std::string& path) {
  FeedHello hello;
  JsonReader reader(json, path);
  reader.Read("rank", hello.rank, 0, kNoSeed);
  reader.Read("address", hello.address);
  reader.Read("revision", hello.revision);
  reader.ReadOptional("followers", hello.followers, 0, kMostCount);
  BOOST_LEAF_CHECK(reader.FinishIgnoringUnknown());
  return hello;
}

Json FeedUpdate::ToJson() const {
  Json items = Json::array();
  for (const PublishedItem& it : changes.items) {
    if (std::optional<Json> json = ItemToJson(it)) {
      items.push_back(std::move(*json));
    }
  }
  return Json{{"after", after},
              {"current", changes.current},
              {"age_us", ToMicroseconds(age)},
              {"whole", whole},
              {"after_outage", after_outage},
              {"hosts", hosts},
              {"items", std::move(items)}};
}

leaf::result<FeedUpdate> FeedUpdate::Parse(const Json& json,
                                           const std::string& path) {
  FeedUpdate update;
  JsonReader reader(json, path);
  reader.Read("after", update.after);
  reader.Read("current", update.changes.current);
  ReadTime(reader, "age_us", update.age);
  reader.ReadOptional("whole", update.whole);
  reader.ReadOptional("after_outage", update.after_outage);
  reader.ReadOptional("hosts", update.hosts, 0, kMostCount);
  const Json* items = reader.Array("items");
  BOOST_LEAF_CHECK(reader.FinishIgnoringUnknown());
  for (const Json& it : *items) {
    BOOST_LEAF_AUTO(item, ParseItem(it, path));
    update.changes.items.push_back(std::move(item));
  }
  return update;
}

}  // namespace damasktack
