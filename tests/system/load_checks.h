#ifndef TESTS_SYSTEM_LOAD_CHECKS_H_
#define TESTS_SYSTEM_LOAD_CHECKS_H_

#include <future>

#include "main/load_generator.h"
#include "standin/execution_log.h"

namespace damasktack {

// Call classes of the Alentejo preset.
LoadClass DockCommands(double rate);
LoadClass UnkeyedCommands(double rate);
LoadClass Lookups(double rate);

std::future<LoadRecords> StartLoad(LoadPlan plan);

std::size_t CountOf(const LoadRecords& records, LoadOutcome outcome);

// Checks the outcomes reported to callers against the executions: calls
// reported as "not-run" did not run, "complete" ones ran, no response reached
// the wrong caller, and no command ran twice, with a key or without.
void CheckOutcomesMatchExecutions(const LoadPlan& plan,
                                  const LoadRecords& records,
                                  const ExecutionLog& log);

// Prints the outcomes of the calls of each class to the test's log.
void PrintOutcomes(const LoadPlan& plan, const LoadRecords& records);

}  // namespace damasktack

#endif  // TESTS_SYSTEM_LOAD_CHECKS_H_
