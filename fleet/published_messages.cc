#include "fleet/published_messages.h"

#include <algorithm>
#include <utility>

#include "fleet/endpoint_messages.h"
#include "fleet/message_json.h"
#include "fleet/route_messages.h"

namespace damasktack {

namespace {

using detail::ReadTime;
using detail::ToMicroseconds;

constexpr std::int64_t kMaxCount = 1'000'000'000'000;

// Route tables and their deltas keep their order; all other items of an update
// are written as rows of values.
std::optional<Json> RoutesToJson(const PublishedItem& item) {
  if (const auto* table = std::get_if<RouteTable>(&item.value)) {
    return Json{{"revision", item.revision}, {"routes", ToJson(*table)}};
  }
  if (const auto* change = std::get_if<RouteTableDelta>(&item.value)) {
    return Json{{"revision", item.revision},
                {"routes_change", ToJson(*change)}};
  }
  return std::nullopt;
}

leaf::result<PublishedItem> ParseRoutesItem(const Json& json,
                                            const std::string& path) {
  PublishedItem item;
  JsonReader reader(json, path);
  ReadRevision(reader, "revision", item.revision);
  const Json* table = reader.OptionalObject("routes");
  const Json* change =
      table == nullptr ? reader.Object("routes_change") : nullptr;
  BOOST_LEAF_CHECK(reader.FinishIgnoringUnknown());
  if (table != nullptr) {
    BOOST_LEAF_ASSIGN(item.value, ParseRouteTable(*table, path));
  } else {
    BOOST_LEAF_ASSIGN(item.value, ParseRouteTableDelta(*change, path));
  }
  return item;
}

leaf::result<void> ParseRouteTables(const Json& json,
                                    const std::string& path,
                                    std::vector<PublishedItem>& items) {
  for (const Json& it : json) {
    BOOST_LEAF_AUTO(item, ParseRoutesItem(it, path));
    items.push_back(std::move(item));
  }
  return {};
}

// Writes rows of the form [revision, zone, drain in force].
Json ZoneDrainsToJson(const std::vector<PublishedItem>& items) {
  Json rows = Json::array();
  for (const PublishedItem& it : items) {
    if (const auto* drain = std::get_if<ZoneDrain>(&it.value)) {
      rows.push_back(
          Json::array({it.revision, drain->zone.text(), drain->in_force}));
    }
  }
  return rows;
}

leaf::result<void> ParseZoneDrains(const Json& json,
                                   const std::string& path,
                                   std::vector<PublishedItem>& items) {
  for (const Json& it : json) {
    const bool is_row = it.is_array() && it.size() == 3 && it[1].is_string() &&
                        it[2].is_boolean();
    const std::optional<StoreRevision> revision =
        is_row ? ParseRevision(it[0]) : std::nullopt;
    if (!revision) {
      return Fail(ErrorKind::kWrongType, path,
                  "not a row of a revision, a zone and a flag",
                  "check that the sender is a daemon of this system");
    }
    items.push_back({*revision, ZoneDrain{ZoneId(it[1].get<std::string>()),
                                          it[2].get<bool>()}});
  }
  return {};
}

Json IdsToJson(const std::vector<EndpointId>& ids) {
  Json json = Json::array();
  for (const EndpointId& it : ids) {
    json.push_back(it.text());
  }
  return json;
}

}  // namespace

Json FeedHello::ToJson() const {
  return Json{{"rank", rank},
              {"address", ToString(address)},
              {"revision", revision},
              {"followers", followers},
              {"seat", host_number.number},
              {"seats", host_number.number_count}};
}

leaf::result<FeedHello> FeedHello::Parse(const Json& json,
                                         const std::string& path) {
  FeedHello hello;
  JsonReader reader(json, path);
  reader.Read("rank", hello.rank, 0, kNoSeed);
  reader.Read("address", hello.address);
  ReadRevision(reader, "revision", hello.revision);
  reader.ReadOptional("followers", hello.followers, 0, kMaxCount);
  reader.ReadOptional("seat", hello.host_number.number, HostNumber::kNone,
                      kMaxCount);
  reader.ReadOptional("seats", hello.host_number.number_count, 0, kMaxCount);
  BOOST_LEAF_CHECK(reader.FinishIgnoringUnknown());
  return hello;
}

Json FeedUpdate::ToJson() const {
  Json tables = Json::array();
  for (const PublishedItem& it : changes.items) {
    if (std::optional<Json> json = RoutesToJson(it)) {
      tables.push_back(std::move(*json));
    }
  }
  Json json{{"after", after},
            {"current", changes.current},
            {"age_us", ToMicroseconds(age)},
            {"reader", reader},
            {"whole", whole},
            {"after_outage", after_outage},
            {"hosts", hosts}};
  if (!changes.items.empty()) {
    json["books"] = std::move(tables);
    json["endpoints"] = EndpointsToJson(changes.items);
    json["removed"] = RemovalsToJson(changes.items);
    json["zone_drains"] = ZoneDrainsToJson(changes.items);
  }
  if (!present.empty()) {
    json["present"] = IdsToJson(present);
  }
  return json;
}

leaf::result<FeedUpdate> FeedUpdate::Parse(const Json& json,
                                           const std::string& path) {
  FeedUpdate update;
  std::vector<std::string> present;
  JsonReader reader(json, path);
  ReadRevision(reader, "after", update.after);
  ReadRevision(reader, "current", update.changes.current);
  ReadTime(reader, "age_us", update.age);
  reader.ReadOptional("reader", update.reader);
  reader.ReadOptional("whole", update.whole);
  reader.ReadOptional("after_outage", update.after_outage);
  reader.ReadOptional("hosts", update.hosts, 0, kMaxCount);
  reader.ReadOptional("present", present);
  const Json* tables = reader.OptionalArray("books");
  const Json* endpoints = reader.OptionalObject("endpoints");
  const Json* removed = reader.OptionalArray("removed");
  const Json* drains = reader.OptionalArray("zone_drains");
  BOOST_LEAF_CHECK(reader.FinishIgnoringUnknown());
  std::vector<PublishedItem>& items = update.changes.items;
  if (tables != nullptr) {
    BOOST_LEAF_CHECK(ParseRouteTables(*tables, path, items));
  }
  if (endpoints != nullptr) {
    BOOST_LEAF_CHECK(ParseEndpoints(*endpoints, path, items));
  }
  if (removed != nullptr) {
    BOOST_LEAF_CHECK(ParseRemovals(*removed, path, items));
  }
  if (drains != nullptr) {
    BOOST_LEAF_CHECK(ParseZoneDrains(*drains, path, items));
  }
  std::ranges::stable_sort(items, {}, &PublishedItem::revision);
  for (std::string& it : present) {
    update.present.emplace_back(std::move(it));
  }
  return update;
}

Json FeedPart::ToJson() const {
  return Json{{"update", update.ToJson()},
              {"begin", range.begin.text()},
              {"end", range.end.text()}};
}

leaf::result<FeedPart> FeedPart::Parse(const Json& json,
                                       const std::string& path) {
  FeedPart part;
  std::string begin;
  std::string end;
  JsonReader reader(json, path);
  const Json* update = reader.Object("update");
  reader.ReadOptional("begin", begin);
  reader.ReadOptional("end", end);
  BOOST_LEAF_CHECK(reader.FinishIgnoringUnknown());
  BOOST_LEAF_ASSIGN(part.update, FeedUpdate::Parse(*update, path));
  part.range = {EndpointId(std::move(begin)), EndpointId(std::move(end))};
  return part;
}

Json FeedNumberAssignment::ToJson() const {
  return Json{{"seat", host_number.number},
              {"seats", host_number.number_count}};
}

leaf::result<FeedNumberAssignment> FeedNumberAssignment::Parse(
    const Json& json,
    const std::string& path) {
  FeedNumberAssignment message;
  JsonReader reader(json, path);
  reader.Read("seat", message.host_number.number, 0, kMaxCount);
  reader.Read("seats", message.host_number.number_count, 1, kMaxCount);
  BOOST_LEAF_CHECK(reader.FinishIgnoringUnknown());
  if (message.host_number.number >= message.host_number.number_count) {
    return Fail(ErrorKind::kOutOfRange, path + ".seat",
                std::to_string(message.host_number.number) + " of " +
                    std::to_string(message.host_number.number_count),
                "check that the sender is a daemon of this system");
  }
  return message;
}

Json FeedOutage::ToJson() const {
  return Json{{"hosts", hosts}};
}

leaf::result<FeedOutage> FeedOutage::Parse(const Json& json,
                                           const std::string& path) {
  FeedOutage outage;
  JsonReader reader(json, path);
  reader.ReadOptional("hosts", outage.hosts, 0, kMaxCount);
  BOOST_LEAF_CHECK(reader.FinishIgnoringUnknown());
  return outage;
}

}  // namespace damasktack
