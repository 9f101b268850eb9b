#ifndef PROXY_CALL_ORIGIN_H_
#define PROXY_CALL_ORIGIN_H_

#include <cstdint>

namespace damasktack {

// Who connects to this host.
enum class CallOrigin : std::uint8_t {
  kCaller,
  // A host of the fleet that relays calls.
  kPeer,
};

}  // namespace damasktack

#endif  // PROXY_CALL_ORIGIN_H_
