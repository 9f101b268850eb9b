#include <doctest/doctest.h>
#include <signal.h>

#include <chrono>
#include <thread>

#include "tests/system/system_fleet.h"

namespace damasktack {
namespace {

// Further signals arrive during a planned stop, because settings change or the
// operator requests the stop again. The thread that writes log lines used to
// receive such a signal and ended the process, so that calls in flight got no
// response.
TEST_CASE("repeated signals during a stop do not end the process early") {
  SystemFleet fleet({Preset::kAlentejo, 1, 0});
  fleet.WaitReady(0);
  fleet.host(0).Signal(SIGTERM);
  for (const int it : {SIGHUP, SIGTERM, SIGHUP, SIGINT}) {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    fleet.host(0).Signal(it);
  }
  WaitUntil("the host ends", [&] { return fleet.host(0).HasEnded(); });
  CHECK(fleet.host(0).Wait() == 0);
}

}  // namespace
}  // namespace damasktack
