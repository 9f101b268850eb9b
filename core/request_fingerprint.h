#ifndef CORE_REQUEST_FINGERPRINT_H_
#define CORE_REQUEST_FINGERPRINT_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace damasktack {

// Hash that identifies a request's content: equal for all attempts on all
// hosts, and almost always different for other requests.
struct RequestFingerprint {
  std::uint64_t value = 0;

  auto operator<=>(const RequestFingerprint&) const = default;
};

// Returns the fingerprint as 16 hexadecimal digits.
std::string ToString(RequestFingerprint fingerprint);

}  // namespace damasktack

template <>
struct std::hash<damasktack::RequestFingerprint> {
  std::size_t operator()(
      const damasktack::RequestFingerprint& it) const noexcept {
    return std::hash<std::uint64_t>()(it.value);
  }
};

#endif  // CORE_REQUEST_FINGERPRINT_H_
