#ifndef STANDIN_SERVICE_TIME_H_
#define STANDIN_SERVICE_TIME_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "core/error.h"
#include "core/random.h"
#include "core/time.h"

namespace damasktack {

enum class ServiceShape : std::uint8_t { kExponential, kFixed, kBimodal };

// Distribution of the time that an endpoint takes for one call.
struct ServiceTime {
  ServiceShape shape = ServiceShape::kExponential;
  // Mean for kExponential, value for kFixed, common value for kBimodal.
  Duration usual = std::chrono::milliseconds(5);
  // For kBimodal: the rare value and its fraction of calls, 0 to 1.
  Duration rare = std::chrono::milliseconds(50);
  double rare_share = 0.05;

  bool operator==(const ServiceTime&) const = default;
};

Duration DrawServiceTime(const ServiceTime& time, Random& random);

// Parses "exponential 5ms", "fixed 5ms" or "bimodal 2ms 40ms 0.05".
leaf::result<ServiceTime> ParseServiceTime(std::string_view text,
                                           std::string_view where);
std::string FormatServiceTime(const ServiceTime& time);

}  // namespace damasktack

#endif  // STANDIN_SERVICE_TIME_H_
