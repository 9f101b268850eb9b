#ifndef STANDIN_STANDIN_CONTROL_H_
#define STANDIN_STANDIN_CONTROL_H_

#include <cstdint>
#include <memory>

#include "standin/standin_fleet.h"

namespace damasktack {

// HTTP interface that controls the stand-ins of one process:
//   POST /standin/endpoints/ID/faults[?for=2s]  body: JSON faults
//   GET  /standin/endpoints                     counters per endpoint
//   GET  /standin/executions                    executions by key and call
//   POST /standin/platform/faults/NAME          none, down, slow, refusing,
//                                               stale, half-body
//   PUT  /standin/platform/documents/NAME[?revision=N]
//   GET  /standin/platform                      reads, waiting watches
class StandinControl {
 public:
  explicit StandinControl(StandinFleet& fleet, const Deployment& deployment);
  ~StandinControl();

  // Serves on 127.0.0.1; port 0 selects a free port. Returns the port, or 0 if
  // it cannot be bound.
  std::uint16_t Start(std::uint16_t port);
  void Stop();

 private:
  struct Backend;

  StandinFleet& fleet_;
  const Deployment deployment_;
  std::unique_ptr<Backend> backend_;
};

}  // namespace damasktack

#endif  // STANDIN_STANDIN_CONTROL_H_
