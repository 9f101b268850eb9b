#include "proxy/call_metrics.h"

#include <doctest/doctest.h>

#include <chrono>
#include <string>

namespace damasktack {
namespace {

using std::chrono::milliseconds;

TEST_CASE("customers beyond the bound share one series") {
  CallMetrics metrics(10);
  for (int n = 0; n < 1000; ++n) {
    metrics.Record({CustomerId("c" + std::to_string(n)), Urgency::kNormal},
                   {Outcome::kComplete, milliseconds(5), milliseconds(1)});
  }
  const std::string page = metrics.Render();
  CHECK(page.find("damasktack_calls_total{customer=\"c9\",class=\"normal\","
                  "outcome=\"complete\"} 1\n") != std::string::npos);
  CHECK(page.find("customer=\"c10\"") == std::string::npos);
  CHECK(page.find("damasktack_calls_total{customer=\"(others)\","
                  "class=\"normal\",outcome=\"complete\"} 990\n") !=
        std::string::npos);
}

TEST_CASE("a customer's name is escaped in the metrics output") {
  CallMetrics metrics;
  metrics.Record({CustomerId("a\"b\\c"), Urgency::kBulk},
                 {Outcome::kNotRun, milliseconds(5), milliseconds(1)});
  CHECK(metrics.Render().find("{customer=\"a\\\"b\\\\c\",class=\"bulk\"") !=
        std::string::npos);
}

TEST_CASE("a histogram's last bucket, count and sum agree") {
  CallMetrics metrics;
  for (const int time : {1, 10, 1'000'000}) {
    metrics.Record({CustomerId("c"), Urgency::kUrgent},
                   {Outcome::kComplete, milliseconds(time), milliseconds(0)});
  }
  const std::string page = metrics.Render();
  const std::string labels = "{customer=\"c\",class=\"urgent\"";
  CHECK(page.find("damasktack_call_seconds_bucket" + labels +
                  ",le=\"+Inf\"} 3\n") != std::string::npos);
  CHECK(page.find("damasktack_call_seconds_count" + labels + "} 3\n") !=
        std::string::npos);
  CHECK(page.find("damasktack_call_seconds_sum" + labels + "} 1000.01\n") !=
        std::string::npos);
}

}  // namespace
}  // namespace damasktack
