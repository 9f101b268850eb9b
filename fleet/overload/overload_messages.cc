#include "fleet/overload/overload_messages.h"

#include <cmath>
#include <utility>

#include "fleet/message_json.h"

namespace damasktack {

namespace {

using detail::ReadTime;
using detail::ToMicroseconds;

// Rates are sent as whole numbers of this many calls per second, which take one
// to three bytes each.
constexpr double kRateUnit = 0.01;
// Larger values are invalid.
constexpr double kMaxRate = 1e9;
constexpr std::int64_t kMaxSentUs = INT64_MAX;

Json RatesToJson(const UrgencyRates& rates) {
  Json json = Json::array();
  for (const double it : rates) {
    json.push_back(std::llround(std::min(it, kMaxRate) / kRateUnit));
  }
  return json;
}

// Returns whether all values are valid.
bool ReadRates(JsonReader& reader, std::string_view key, UrgencyRates& out) {
  const Json* json = reader.OptionalValue(key);
  if (json == nullptr || !json->is_array() || json->size() != out.size()) {
    return false;
  }
  for (std::size_t n = 0; n < out.size(); ++n) {
    const Json& it = (*json)[n];
    const double rate = it.is_number() ? it.get<double>() * kRateUnit : -1;
    if (!std::isfinite(rate) || rate < 0 || rate > kMaxRate) {
      return false;
    }
    out[n] = rate;
  }
  return true;
}

bool ReadLoad(JsonReader& reader, UrgencyLoad& out) {
  return ReadRates(reader, "offered", out.offered) &&
         ReadRates(reader, "served", out.served) &&
         ReadRates(reader, "missed", out.missed);
}

Json LoadToJson(const ServiceId& service,
                const UrgencyLoad& load,
                bool is_short) {
  return Json{{"service", service.text()},
              {"offered", RatesToJson(load.offered)},
              {"served", RatesToJson(load.served)},
              {"missed", RatesToJson(load.missed)},
              {"short", is_short}};
}

template <typename Item>
Json ItemsToJson(const std::vector<Item>& items) {
  Json json = Json::array();
  for (std::size_t n = 0; n < std::min(items.size(), kMaxStatedServices); ++n) {
    json.push_back(items[n].ToJson());
  }
  return json;
}

// Reads the items and leaves out those without a service, which stand for
// invalid ones.
template <typename Item>
void ReadItems(JsonReader& reader, std::vector<Item>& out) {
  detail::ReadList(reader, "services", out);
  std::erase_if(out, [](const Item& it) { return it.service.text().empty(); });
  if (out.size() > kMaxStatedServices) {
    out.resize(kMaxStatedServices);
  }
}

}  // namespace

Json ServiceLoadReport::Item::ToJson() const {
  return LoadToJson(service, load, is_short);
}

leaf::result<ServiceLoadReport::Item> ServiceLoadReport::Item::Parse(
    const Json& json,
    const std::string& path) {
  Item item;
  std::string service;
  JsonReader reader(json, path);
  reader.Read("service", service);
  reader.ReadOptional("short", item.is_short);
  const bool is_valid = ReadLoad(reader, item.load);
  BOOST_LEAF_CHECK(reader.FinishIgnoringUnknown());
  if (is_valid) {
    item.service = ServiceId(std::move(service));
  }
  return item;
}

Json ServiceLoadReport::ToJson() const {
  return Json{{"sent_us", sent_us}, {"services", ItemsToJson(items)}};
}

leaf::result<ServiceLoadReport> ServiceLoadReport::Parse(
    const Json& json,
    const std::string& path) {
  ServiceLoadReport report;
  JsonReader reader(json, path);
  reader.Read("sent_us", report.sent_us, 0, kMaxSentUs);
  ReadItems(reader, report.items);
  BOOST_LEAF_CHECK(reader.FinishIgnoringUnknown());
  return report;
}

Json ServiceLoadSum::Item::ToJson() const {
  Json json = LoadToJson(service, sum.total, sum.is_short);
  json["hosts"] = std::llround(sum.hosts / kRateUnit);
  json["age_us"] = ToMicroseconds(age);
  return json;
}

leaf::result<ServiceLoadSum::Item> ServiceLoadSum::Item::Parse(
    const Json& json,
    const std::string& path) {
  Item item;
  std::string service;
  std::int64_t hosts = 0;
  JsonReader reader(json, path);
  reader.Read("service", service);
  reader.ReadOptional("short", item.sum.is_short);
  reader.Read("hosts", hosts, 0, 1'000'000);
  ReadTime(reader, "age_us", item.age);
  const bool is_valid = ReadLoad(reader, item.sum.total);
  BOOST_LEAF_CHECK(reader.FinishIgnoringUnknown());
  item.sum.hosts = static_cast<double>(hosts) * kRateUnit;
  if (is_valid) {
    item.service = ServiceId(std::move(service));
  }
  return item;
}

Json ServiceLoadSum::ToJson() const {
  return Json{{"sent_us", sent_us},
              {"part", is_part},
              {"services", ItemsToJson(items)}};
}

leaf::result<ServiceLoadSum> ServiceLoadSum::Parse(const Json& json,
                                                   const std::string& path) {
  ServiceLoadSum sum;
  JsonReader reader(json, path);
  reader.Read("sent_us", sum.sent_us, 0, kMaxSentUs);
  reader.ReadOptional("part", sum.is_part);
  ReadItems(reader, sum.items);
  BOOST_LEAF_CHECK(reader.FinishIgnoringUnknown());
  return sum;
}

}  // namespace damasktack
