#include "fleet/endpoint_rate_messages.h"

#include <algorithm>
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
constexpr double kMaxRate = 1e9;
// Stands for "no limit" in the message.
constexpr double kNoRate = -1;

}  // namespace

Json EndpointRateReport::Statement::ToJson() const {
  return Json{{"endpoint", endpoint.id.text()},
              {"started_at_ms", endpoint.started_at.time_since_epoch().count()},
              {"rate", std::min(rate_limit.value_or(kNoRate), kMaxRate)},
              {"age_us", ToMicroseconds(age)}};
}

leaf::result<EndpointRateReport::Statement>
EndpointRateReport::Statement::Parse(const Json& json,
                                     const std::string& path) {
  Statement statement;
  std::string endpoint;
  std::int64_t started_at_ms = 0;
  double rate = kNoRate;
  JsonReader reader(json, path);
  reader.Read("endpoint", endpoint);
  reader.Read("started_at_ms", started_at_ms, 0, kLatestStartMs);
  reader.Read("rate", rate, kNoRate, kMaxRate);
  ReadTime(reader, "age_us", statement.age);
  BOOST_LEAF_CHECK(reader.FinishIgnoringUnknown());
  statement.endpoint = {
      EndpointId(std::move(endpoint)),
      EndpointStart(std::chrono::milliseconds(started_at_ms))};
  if (rate >= 0) {
    statement.rate_limit = rate;
  }
  return statement;
}

Json EndpointRateReport::ToJson() const {
  return Json{{"statements", ListToJson(statements)}};
}

leaf::result<EndpointRateReport> EndpointRateReport::Parse(
    const Json& json,
    const std::string& path) {
  EndpointRateReport report;
  JsonReader reader(json, path);
  ReadList(reader, "statements", report.statements);
  BOOST_LEAF_CHECK(reader.FinishIgnoringUnknown());
  return report;
}

}  // namespace damasktack
