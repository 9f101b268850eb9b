#ifndef FLEET_LIMIT_OPTIONS_H_
#define FLEET_LIMIT_OPTIONS_H_

#include <chrono>

#include "core/time.h"

namespace damasktack {

// How limits are divided and lent. Every host of a fleet is given the same.
struct LimitOptions {
  // How long a borrowed part lasts unless it is renewed.
  Duration lease = std::chrono::seconds(2);
  // Parts of in-flight limits are lent only for contracts whose calls end
  // within this; a lender waits so long after the end of a lease.
  Duration longest_call = std::chrono::minutes(1);
  // A counted host that is off the list and silent for so long is shown to the
  // operators as one that needs their word.
  Duration orphan_timeout = std::chrono::minutes(5);
  // Between two looks at demand.
  Duration round = std::chrono::milliseconds(50);
  // Between two asks for the same thing that was not answered.
  Duration repeat = std::chrono::milliseconds(250);
};

}  // namespace damasktack

#endif  // FLEET_LIMIT_OPTIONS_H_
