#include "core/request_fingerprint.h"

#include <spdlog/fmt/fmt.h>

namespace damasktack {

std::string ToString(RequestFingerprint fingerprint) {
  return fmt::format("{:016x}", fingerprint.value);
}

}  // namespace damasktack
