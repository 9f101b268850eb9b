#include <doctest/doctest.h>
#include <signal.h>

#include <chrono>
#include <thread>

#include "tests/system/system_fleet.h"

namespace damasktack {
namespace {

// A planned stop is under way when further signals come: the settings change,
// and the operator asks for the stop again. Callers whose requests the host has
// in hand got no answer, since the thread that writes lines took the signal and
// ended the process.
TEST_CASE("signals in series during a stop do not end the process sooner") {
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
