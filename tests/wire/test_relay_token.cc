#include "wire/relay_token.h"

#include <doctest/doctest.h>

namespace damasktack {
namespace {

// Guards against hosts of two builds that take each other for another fleet.
TEST_CASE("a fleet's key always gives the same token, another key another") {
  CHECK(MakeRelayToken("a-key-that-only-this-test-uses") ==
        "44bc5f0e9d0d6957bf9e84c8ddd42ec1e45103863a060e3d2f084342ca91d1e9");
  CHECK(MakeRelayToken("another-key") !=
        MakeRelayToken("a-key-that-only-this-test-uses"));
}

}  // namespace
}  // namespace damasktack
