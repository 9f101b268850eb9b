#ifndef TESTS_SYSTEM_LOAD_CHECKS_H_
#define TESTS_SYSTEM_LOAD_CHECKS_H_

#include <future>

#include "main/load_generator.h"
#include "standin/execution_log.h"

namespace damasktack {

// Classes of the Alentejo preset.
LoadClass DockCommands(double rate);
LoadClass UnkeyedCommands(double rate);
LoadClass Lookups(double rate);

std::future<LoadRecords> StartLoad(LoadPlan plan);

std::size_t CountOf(const LoadRecords& records, LoadOutcome outcome);

// Holds what each caller was told against what ran: "not-run" did not run,
// "complete" ran, nobody got another caller's answer, and no keyed or unkeyed
// command ran twice.
void CheckOutcomesMatchExecutions(const LoadPlan& plan,
                                  const LoadRecords& records,
                                  const ExecutionLog& log);

// Prints how the calls of each class ended, for the reader of the test's log.
void PrintOutcomes(const LoadPlan& plan, const LoadRecords& records);

}  // namespace damasktack

#endif  // TESTS_SYSTEM_LOAD_CHECKS_H_
