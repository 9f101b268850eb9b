#include "fleet/crash_messages.h"

#include <utility>

#include "fleet/message_json.h"

namespace damasktack {

namespace {

using detail::ListToJson;
using detail::ReadList;
using detail::ReadTime;
using detail::ToMicroseconds;

// Upper bound for plausible start times.
constexpr std::int64_t kLatestStartMs = 1'000'000'000'000'000;

}  // namespace

Json CrashReport::Observation::ToJson() const {
  return Json{{"request", request.value},
              {"endpoint", endpoint.id.text()},
              {"started_at_ms", endpoint.started_at.time_since_epoch().count()},
              {"age_us", ToMicroseconds(age)}};
}

leaf::result<CrashReport::Observation> CrashReport::Observation::Parse(
    const Json& json,
    const std::string& path) {
  Observation observation;
  std::string endpoint;
  std::int64_t started_at_ms = 0;
  JsonReader reader(json, path);
  reader.Read("request", observation.request.value);
  reader.Read("endpoint", endpoint);
  reader.Read("started_at_ms", started_at_ms, 0, kLatestStartMs);
  ReadTime(reader, "age_us", observation.age);
  BOOST_LEAF_CHECK(reader.FinishIgnoringUnknown());
  observation.endpoint = {
      EndpointId(std::move(endpoint)),
      EndpointStart(std::chrono::milliseconds(started_at_ms))};
  return observation;
}

Json CrashReport::Cleared::ToJson() const {
  return Json{{"request", request.value}, {"age_us", ToMicroseconds(age)}};
}

leaf::result<CrashReport::Cleared> CrashReport::Cleared::Parse(
    const Json& json,
    const std::string& path) {
  Cleared cleared;
  JsonReader reader(json, path);
  reader.Read("request", cleared.request.value);
  ReadTime(reader, "age_us", cleared.age);
  BOOST_LEAF_CHECK(reader.FinishIgnoringUnknown());
  return cleared;
}

Json CrashReport::ToJson() const {
  return Json{{"sightings", ListToJson(observations)},
              {"cleared", ListToJson(cleared)}};
}

leaf::result<CrashReport> CrashReport::Parse(const Json& json,
                                             const std::string& path) {
  CrashReport report;
  JsonReader reader(json, path);
  ReadList(reader, "sightings", report.observations);
  ReadList(reader, "cleared", report.cleared);
  BOOST_LEAF_CHECK(reader.FinishIgnoringUnknown());
  return report;
}

}  // namespace damasktack
