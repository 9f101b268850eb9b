#include <doctest/doctest.h>

#include "tests/soak/soak_ledger.h"

namespace damasktack {
namespace {

TEST_CASE("the ledger passes over what was kept") {
  SoakLedger ledger;
  ledger.Sent("read", true);
  ledger.Sent("write", false);
  ledger.Sent("refused", false);
  for (const char* it : {"read", "read", "write"}) {
    ledger.Arrived(it);
    ledger.Ran(it);
  }
  ledger.Answered("read", 200);
  ledger.Answered("write", 502);
  ledger.Answered("refused", 503);
  CHECK(ledger.Violations().empty());
}

TEST_CASE("the ledger names each broken promise") {
  SoakLedger ledger;
  for (const char* it : {"twice", "refused", "empty"}) {
    ledger.Sent(it, false);
  }
  for (const char* it : {"twice", "twice", "refused", "unsent"}) {
    ledger.Ran(it);
  }
  ledger.Answered("refused", 503);
  ledger.Answered("empty", 200);
  ledger.Sent("often", true);
  for (int n = 0; n < 100; ++n) {
    ledger.Arrived("often");
  }
  CHECK(ledger.Violations().size() == 5);
}

}  // namespace
}  // namespace damasktack
