#ifndef MAIN_LOAD_REPORT_H_
#define MAIN_LOAD_REPORT_H_

#include <array>
#include <ostream>
#include <string>
#include <vector>

#include "core/json_reader.h"
#include "main/load_plan.h"
#include "main/load_record.h"

namespace damasktack {

// Quantiles with an error of at most 2.5 percent; all 0 if nothing was counted.
struct LoadQuantiles {
  std::uint64_t count = 0;
  Duration p50{};
  Duration p99{};
  Duration p999{};
};

struct LoadClassReport {
  std::string name;
  // Indexed by LoadOutcome.
  std::array<std::uint64_t, kLoadOutcomeCount> outcomes{};
  // Latency of complete responses, measured from when the call was due.
  LoadQuantiles total;
  // The same without the processing time at the endpoint, for calls where it is
  // known.
  LoadQuantiles added;
};

// Returns one entry per class in the order of the plan.
std::vector<LoadClassReport> ReportLoad(const LoadPlan& plan,
                                        const LoadRecords& records);

Json ToJson(const std::vector<LoadClassReport>& reports);
void PrintLoad(const std::vector<LoadClassReport>& reports, std::ostream& out);

}  // namespace damasktack

#endif  // MAIN_LOAD_REPORT_H_
