#include <doctest/doctest.h>

#include "tests/soak/soak_recorder.h"

namespace damasktack {
namespace {

TEST_CASE("the ledger reports no violation for correct responses") {
  SoakRecorder ledger;
  ledger.RecordSent("read", true);
  ledger.RecordSent("write", false);
  ledger.RecordSent("refused", false);
  for (const char* it : {"read", "read", "write"}) {
    ledger.RecordArrival(it);
    ledger.RecordRun(it);
  }
  ledger.RecordAnswer("read", 200);
  ledger.RecordAnswer("write", 502);
  ledger.RecordAnswer("refused", 503);
  CHECK(ledger.Violations().empty());
}

TEST_CASE("the ledger reports each kind of violation") {
  SoakRecorder ledger;
  for (const char* it : {"twice", "refused", "empty"}) {
    ledger.RecordSent(it, false);
  }
  for (const char* it : {"twice", "twice", "refused", "unsent"}) {
    ledger.RecordRun(it);
  }
  ledger.RecordAnswer("refused", 503);
  ledger.RecordAnswer("empty", 200);
  ledger.RecordSent("often", true);
  for (int n = 0; n < 100; ++n) {
    ledger.RecordArrival("often");
  }
  CHECK(ledger.Violations().size() == 5);
}

}  // namespace
}  // namespace damasktack
