#include "standin/service_time.h"

#include <array>
#include <cstdlib>
#include <random>
#include <sstream>

#include "core/json_reader.h"

namespace damasktack {

namespace {

constexpr std::array<std::string_view, 3> kShapeNames = {"exponential", "fixed",
                                                         "bimodal"};

Duration Scaled(Duration time, double factor) {
  return Duration(
      static_cast<std::int64_t>(static_cast<double>(time.count()) * factor));
}

leaf::result<ServiceTime> InvalidTextError(std::string_view text,
                                           std::string_view where) {
  return Fail(ErrorKind::kOutOfRange, std::string(where), std::string(text),
              "write \"exponential 5ms\", \"fixed 5ms\" or "
              "\"bimodal 2ms 40ms 0.05\"");
}

}  // namespace

Duration DrawServiceTime(const ServiceTime& time, Random& random) {
  switch (time.shape) {
    case ServiceShape::kExponential:
      return Scaled(time.usual,
                    std::exponential_distribution<double>(1.0)(random));
    case ServiceShape::kFixed:
      return time.usual;
    case ServiceShape::kBimodal: {
      std::bernoulli_distribution is_rare(time.rare_share);
      return is_rare(random) ? time.rare : time.usual;
    }
  }
  return time.usual;
}

leaf::result<ServiceTime> ParseServiceTime(std::string_view text,
                                           std::string_view where) {
  std::istringstream words{std::string(text)};
  std::string shape;
  std::string usual;
  words >> shape >> usual;
  const auto* it = std::find(kShapeNames.begin(), kShapeNames.end(), shape);
  if (it == kShapeNames.end()) {
    return InvalidTextError(text, where);
  }
  ServiceTime time;
  time.shape = static_cast<ServiceShape>(it - kShapeNames.begin());
  BOOST_LEAF_ASSIGN(time.usual, ParseDuration(usual, where));
  if (time.shape == ServiceShape::kBimodal) {
    std::string rare;
    words >> rare >> time.rare_share;
    BOOST_LEAF_ASSIGN(time.rare, ParseDuration(rare, where));
    if (words.fail() || time.rare_share < 0 || time.rare_share > 1) {
      return InvalidTextError(text, where);
    }
  }
  return time;
}

std::string FormatServiceTime(const ServiceTime& time) {
  std::ostringstream text;
  text << kShapeNames[static_cast<std::size_t>(time.shape)] << " "
       << FormatDuration(time.usual);
  if (time.shape == ServiceShape::kBimodal) {
    text << " " << FormatDuration(time.rare) << " " << time.rare_share;
  }
  return text.str();
}

}  // namespace damasktack
