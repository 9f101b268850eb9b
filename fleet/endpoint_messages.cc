#include "fleet/endpoint_messages.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

#include "fleet/message_json.h"

namespace damasktack {

namespace {

using detail::ReadTime;
using detail::ToMicroseconds;

constexpr std::int64_t kMaxCount = 1'000'000'000'000;
// Upper bound of start times: far beyond any real clock, and small enough that
// sums of times cannot overflow.
constexpr std::int64_t kMaxStartMs = 1'000'000'000'000'000;
constexpr std::string_view kRemedy =
    "check that the sender is a daemon of this system";

// The values of a row, in order.
constexpr std::array<std::string_view, 9> kColumns = {
    "revision", "id",      "service", "address",      "zone",
    "slots",    "leaving", "cold_us", "started_at_ms"};

// A table of names that rows refer to by index.
class NameList {
 public:
  std::size_t IndexOf(const std::string& name) {
    const auto known = std::ranges::find(names_, name);
    const auto index = static_cast<std::size_t>(known - names_.begin());
    if (known == names_.end()) {
      names_.push_back(name);
    }
    return index;
  }
  Json ToJson() const { return names_; }

 private:
  std::vector<std::string> names_;
};

Json ToRow(const PublishedEndpoint& endpoint,
           StoreRevision revision,
           NameList& services,
           NameList& zones) {
  return Json::array({revision, endpoint.spec.id.text(),
                      services.IndexOf(endpoint.service.text()),
                      ToString(endpoint.spec.address),
                      zones.IndexOf(endpoint.spec.zone.text()),
                      endpoint.spec.slots,
                      endpoint.spec.state == ListedState::kLeaving,
                      ToMicroseconds(endpoint.cold_for),
                      endpoint.spec.started_at.time_since_epoch().count()});
}

leaf::result<Json> NameColumns(const Json& row, const std::string& path) {
  if (!row.is_array() || row.size() != kColumns.size()) {
    return Fail(ErrorKind::kWrongType, path, "not a row of an endpoint",
                std::string(kRemedy));
  }
  Json::object_t members;
  for (std::size_t n = 0; n < kColumns.size(); ++n) {
    if (!row[n].is_null()) {
      members.emplace(kColumns[n], row[n]);
    }
  }
  return Json(std::move(members));
}

std::string ReadName(JsonReader& reader,
                     std::string_view key,
                     const std::vector<std::string>& names) {
  std::int64_t index = 0;
  reader.Read(key, index, 0, kMaxCount);
  if (static_cast<std::size_t>(index) >= names.size()) {
    reader.Refuse(ErrorKind::kOutOfRange, key, std::to_string(index),
                  std::string(kRemedy));
    return {};
  }
  return names[static_cast<std::size_t>(index)];
}

leaf::result<PublishedItem> ParseRow(const Json& row,
                                     const std::string& path,
                                     const std::vector<std::string>& services,
                                     const std::vector<std::string>& zones) {
  BOOST_LEAF_AUTO(json, NameColumns(row, path));
  PublishedItem item;
  PublishedEndpoint endpoint;
  std::string id;
  bool leaving = false;
  std::int64_t started_at_ms = 0;
  JsonReader reader(json, path);
  ReadRevision(reader, "revision", item.revision);
  reader.Read("id", id);
  reader.Read("address", endpoint.spec.address);
  reader.Read("slots", endpoint.spec.slots, 1, kMaxCount);
  reader.ReadOptional("leaving", leaving);
  ReadTime(reader, "cold_us", endpoint.cold_for);
  reader.ReadOptional("started_at_ms", started_at_ms, 0, kMaxStartMs);
  endpoint.service = ServiceId(ReadName(reader, "service", services));
  endpoint.spec.zone = ZoneId(ReadName(reader, "zone", zones));
  BOOST_LEAF_CHECK(reader.Finish());
  endpoint.spec.id = EndpointId(id);
  endpoint.spec.state = leaving ? ListedState::kLeaving : ListedState::kLive;
  endpoint.spec.started_at =
      EndpointStart(std::chrono::milliseconds(started_at_ms));
  item.value = std::move(endpoint);
  return item;
}

const EndpointId* RemovedId(const PublishedValue& value) {
  if (const auto* removed = std::get_if<RemovedEndpoint>(&value)) {
    return &removed->id;
  }
  if (const auto* unusable = std::get_if<UnusableEndpoint>(&value)) {
    return &unusable->id;
  }
  return nullptr;
}

}  // namespace

Json EndpointsToJson(const std::vector<PublishedItem>& items) {
  NameList services;
  NameList zones;
  Json rows = Json::array();
  for (const PublishedItem& it : items) {
    if (const auto* endpoint = std::get_if<PublishedEndpoint>(&it.value)) {
      rows.push_back(ToRow(*endpoint, it.revision, services, zones));
    }
  }
  return Json{{"services", services.ToJson()},
              {"zones", zones.ToJson()},
              {"rows", std::move(rows)}};
}

leaf::result<void> ParseEndpoints(const Json& json,
                                  const std::string& path,
                                  std::vector<PublishedItem>& items) {
  std::vector<std::string> services;
  std::vector<std::string> zones;
  JsonReader reader(json, path);
  reader.ReadOptional("services", services);
  reader.ReadOptional("zones", zones);
  const Json* rows = reader.Array("rows");
  BOOST_LEAF_CHECK(reader.FinishIgnoringUnknown());
  items.reserve(items.size() + rows->size());
  for (const Json& it : *rows) {
    BOOST_LEAF_AUTO(item, ParseRow(it, path, services, zones));
    items.push_back(std::move(item));
  }
  return {};
}

Json RemovalsToJson(const std::vector<PublishedItem>& items) {
  Json pairs = Json::array();
  for (const PublishedItem& it : items) {
    if (const EndpointId* id = RemovedId(it.value)) {
      pairs.push_back(Json::array({it.revision, id->text()}));
    }
  }
  return pairs;
}

leaf::result<void> ParseRemovals(const Json& json,
                                 const std::string& path,
                                 std::vector<PublishedItem>& items) {
  for (const Json& it : json) {
    const bool is_pair = it.is_array() && it.size() == 2 && it[1].is_string();
    const std::optional<StoreRevision> revision =
        is_pair ? ParseRevision(it[0]) : std::nullopt;
    if (!revision) {
      return Fail(ErrorKind::kWrongType, path,
                  "not a pair of a revision and an id", std::string(kRemedy));
    }
    items.push_back(
        {*revision, RemovedEndpoint{EndpointId(it[1].get<std::string>())}});
  }
  return {};
}

}  // namespace damasktack
