#include "standin/endpoint_faults.h"

#include <string_view>
#include <vector>

namespace damasktack {

namespace {

constexpr double kMaxSlowdown = 10'000;
constexpr Duration kMaxDuration = std::chrono::minutes(10);

const std::vector<std::string_view> kDrainNames = {"none", "reported",
                                                   "announced", "silent"};
const std::vector<std::string_view> kReportNames = {"none", "frozen", "low",
                                                    "stale", "missing"};
const std::vector<std::string_view> kAnswerNames = {
    "none", "half", "close", "close-unrun", "stray", "never"};

}  // namespace

leaf::result<EndpointFaults> ParseEndpointFaults(const Json& json) {
  EndpointFaults faults;
  std::size_t drain = 0;
  std::size_t report = 0;
  std::size_t answer = 0;
  JsonReader reader(json, "faults");
  reader.ReadOptional("slowdown", faults.slowdown, 0, kMaxSlowdown);
  reader.ReadOptional("failing_share", faults.failing_share, 0, 1);
  reader.ReadOptionalChoice("drain", kDrainNames, drain);
  reader.ReadOptional("drain_grace", faults.drain_grace, Duration::zero(),
                      kMaxDuration);
  reader.ReadOptionalChoice("report", kReportNames, report);
  reader.ReadOptional("report_age", faults.report_age, Duration::zero(),
                      kMaxDuration);
  reader.ReadOptionalChoice("answer", kAnswerNames, answer);
  reader.ReadOptional("answer_share", faults.answer_share, 0, 1);
  reader.ReadOptional("one_way_delay", faults.one_way_delay, Duration::zero(),
                      kMaxDuration);
  BOOST_LEAF_CHECK(reader.Finish());
  faults.drain = static_cast<DrainMode>(drain);
  faults.report = static_cast<ReportFault>(report);
  faults.answer = static_cast<AnswerFault>(answer);
  return faults;
}

}  // namespace damasktack
