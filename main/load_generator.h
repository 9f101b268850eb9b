#ifndef MAIN_LOAD_GENERATOR_H_
#define MAIN_LOAD_GENERATOR_H_

#include <memory>

#include "main/load_plan.h"
#include "main/load_record.h"

namespace damasktack {

// Open-loop load generator: sends a plan's calls at their rates whether or not
// earlier ones have been answered. Emulates the platform's balancer:
// distributes calls over the ready load balancer hosts and tries the next host
// if a connection is refused.
class LoadGenerator {
 public:
  explicit LoadGenerator(LoadPlan plan);
  ~LoadGenerator();

  // Sends for the plan's duration, waits for the last responses and returns one
  // record for each send. May be called only once.
  LoadRecords Run();

 private:
  struct Backend;

  std::unique_ptr<Backend> backend_;
};

}  // namespace damasktack

#endif  // MAIN_LOAD_GENERATOR_H_
