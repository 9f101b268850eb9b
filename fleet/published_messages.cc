#include "fleet/published_messages.h"

#include <utility>

#include "fleet/message_json.h"
#include "fleet/route_messages.h"

namespace damasktack {

namespace {

using detail::ReadTime;
using detail::ToMicroseconds;

constexpr std::int64_t kMostCount = 1'000'000'000'000;
// Far beyond any clock, and far from where adding times would overflow.
constexpr std::int64_t kLatestStartMs = 1'000'000'000'000'000;

Json ToJson(const PublishedEndpoint& endpoint) {
  return Json{
      {"id", endpoint.spec.id.text()},
      {"service", endpoint.service.text()},
      {"address", ToString(endpoint.spec.address)},
      {"zone", endpoint.spec.zone.text()},
      {"slots", endpoint.spec.slots},
      {"leaving", endpoint.spec.state == ListedState::kLeaving},
      {"cold_us", ToMicroseconds(endpoint.cold_for)},
      {"started_at_ms", endpoint.spec.started_at.time_since_epoch().count()}};
}

leaf::result<PublishedEndpoint> ParseEndpoint(const Json& json,
                                              const std::string& path) {
  PublishedEndpoint endpoint;
  std::string id;
  std::string service;
  std::string zone;
  bool leaving = false;
  std::int64_t started_at_ms = 0;
  JsonReader reader(json, path);
  reader.Read("id", id);
  reader.Read("service", service);
  reader.Read("address", endpoint.spec.address);
  reader.Read("zone", zone);
  reader.Read("slots", endpoint.spec.slots, 1, kMostCount);
  reader.ReadOptional("leaving", leaving);
  ReadTime(reader, "cold_us", endpoint.cold_for);
  reader.ReadOptional("started_at_ms", started_at_ms, 0, kLatestStartMs);
  BOOST_LEAF_CHECK(reader.FinishIgnoringUnknown());
  endpoint.service = ServiceId(service);
  endpoint.spec.id = EndpointId(id);
  endpoint.spec.zone = ZoneId(zone);
  endpoint.spec.state = leaving ? ListedState::kLeaving : ListedState::kLive;
  endpoint.spec.started_at =
      EndpointStart(std::chrono::milliseconds(started_at_ms));
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
  } else if (const auto* unusable =
                 std::get_if<UnusableEndpoint>(&item.value)) {
    json["removed"] = unusable->id.text();
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
    BOOST_LEAF_ASSIGN(item.value, ParseRouteBook(*book, path));
  } else if (change != nullptr) {
    BOOST_LEAF_ASSIGN(item.value, ParseRouteBookChange(*change, path));
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
